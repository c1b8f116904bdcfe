package assign

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
)

// MethodLoss asks the host that delegated a part whether the caller may report the loss of a searcher by it.
const MethodLoss yuccahinge.PeerMethod = "loss"

var errDelegatorUnknown = errors.New("the host that delegated the part is not known")

// lossQuestion is the message of MethodLoss. SentMsAgo counts back from its receipt because the clocks of hosts differ.
type lossQuestion struct {
	Request      yuccahinge.RequestID      `json:"request"`
	Fingerprints [2]yuccahinge.Fingerprint `json:"fingerprints"`
	Services     uint64                    `json:"services"`
	SentMsAgo    yuccahinge.Millis         `json:"sentMsAgo"`

	sentAt yuccahinge.Millis // at the sender
}

var _ yuccahinge.TimedMessage = (*lossQuestion)(nil)

// SetSendTime implements yuccahinge.TimedMessage.
func (q *lossQuestion) SetSendTime(now yuccahinge.Millis) { q.SentMsAgo = now - q.sentAt }

// lossReply is the reply to a lossQuestion.
type lossReply struct {
	Permitted bool `json:"permitted,omitempty"`
}

// MayReportLoss implements query.Delegator.
func (a *Assigner) MayReportLoss(ctx context.Context, delegatedBy yuccahinge.HostID, l *query.PartLoss) (bool, error) {
	m, ok := a.Membership.Find(delegatedBy)
	if !ok {
		return false, errDelegatorUnknown
	}
	q := &lossQuestion{Request: l.Request, Fingerprints: l.Fingerprints, Services: l.Services, sentAt: l.SentAt}
	q.SetSendTime(a.Clock.Now())
	var reply lossReply
	if err := a.Peers.Call(ctx, m.PeerAddr, MethodLoss, q, &reply); err != nil {
		return false, err
	}
	return reply.Permitted, nil
}

// answerLoss handles MethodLoss.
func (a *Assigner) answerLoss(ctx context.Context, q *lossQuestion) (*lossReply, error) {
	permitted, err := a.Engine.MayReportLoss(ctx, &query.PartLoss{
		Request: q.Request, Fingerprints: q.Fingerprints, Services: q.Services, SentAt: a.Clock.Now() - q.SentMsAgo,
	})
	return &lossReply{Permitted: permitted}, err
}
