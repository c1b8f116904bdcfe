// Package assign runs scattered requests on stronger entry hosts, or on this host if no other host runs them.
package assign

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/coord"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/front/conn"
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/internal/peers/peer"
)

// The peer methods that Register adds.
const (
	// MethodScatter runs a scattered request for another host.
	MethodScatter yuccahinge.PeerMethod = "scatter"
	// MethodPart runs a scattered request on some of its shards for another host.
	MethodPart yuccahinge.PeerMethod = "part"
	// MethodReach reports whether a host reaches the searchers of the requests that it runs for others.
	MethodReach yuccahinge.PeerMethod = "reach"
)

const (
	// returnMs is the time to return the answer from the other host and to decode it here.
	returnMs yuccahinge.Millis = 4
	// reachTimeoutMs is the timeout of a MethodReach call.
	reachTimeoutMs yuccahinge.Millis = 400
	// silenceGraceMs is the delay after the due time of an answer from which the host is considered silent and other hosts
	// are chosen.
	silenceGraceMs yuccahinge.Millis = 25
	// maxHelpers is the maximum number of other hosts, called helpers, that are tried for one request. The next one is tried
	// only if the previous one did not run it.
	maxHelpers = 2
)

// engine runs forwarded requests on this host.
type engine interface {
	Forward(ctx context.Context, f *query.ForwardRequest) (*query.ForwardAnswer, error)
	AnswerBy(f *query.ForwardRequest) yuccahinge.Millis
	MayReportLoss(ctx context.Context, l *query.PartLoss) (bool, error)
}

// Assigner runs forwarded requests on this host or another one. Set all fields before the first request.
type Assigner struct {
	Engine     engine
	Selector   *coord.Selector
	Membership yuccahinge.Membership
	Peers      yuccahinge.PeerCaller
	Clock      yuccahinge.Clock
	// Index returns the index with the given ServicesHash, or nil if the configuration of this host has none.
	Index    func(servicesHash uint64) *yuccahinge.Index
	Recorder yuccahinge.EventRecorder
	// Flights tracks the requests that this host runs for others.
	Flights *flight.Tracker
	// OnRequest, if not nil, is called with the route of each whole request that this host runs for another one.
	OnRequest func(name yuccahinge.RouteName)
	// CanServe reports whether this host reaches the searchers of the requests that it runs for others.
	CanServe func() bool
	// OnHelperReply, if not nil, is called with each reply to a whole request that another host has run for this one. It
	// takes whether that host reaches the searchers of such requests.
	OnHelperReply func(canServe bool)
	// IsCut reports whether a failure domain seems to be unreachable from this host; nil means that none is.
	IsCut func(now yuccahinge.Millis, d yuccahinge.DomainID) bool

	inFlight atomic.Int64
}

// InFlight returns the number of requests that this host runs for other hosts.
func (a *Assigner) InFlight() int { return int(a.inFlight.Load()) }

// Forward runs a request as query.Engine.Forward does. A scattered one may run on another host.
func (a *Assigner) Forward(ctx context.Context, f *query.ForwardRequest) (*query.ForwardAnswer, error) {
	if !f.Route.IsScattered() {
		return a.Engine.Forward(ctx, f)
	}
	var tried []yuccahinge.HostID
	for range maxHelpers {
		m, ok := a.Selector.Choose(a.Clock.Now(), a.Membership.Members(), len(f.Index.Shards), string(f.Request), tried...)
		if !ok {
			break
		}
		answer, err := a.delegate(ctx, f, &m)
		if !errors.Is(err, errNotRun) {
			return answer, err
		}
		tried = append(tried, yuccahinge.HostID(m.ID))
	}
	return a.Engine.Forward(ctx, f)
}

// errNotRun marks errors that prove that the other host did not run the request.
var errNotRun = errors.New("the other host did not run the request")

// delegate runs a request on another host. If that host may have run it but returns no answer, the request is not run
// again, because its attempts at each shard may be used up. Only its caller may retry.
func (a *Assigner) delegate(ctx context.Context, f *query.ForwardRequest, m *yuccahinge.Member) (*query.ForwardAnswer, error) {
	due := a.Engine.AnswerBy(f)
	return a.call(ctx, m, MethodScatter, newRequest(f, a.Clock.Now(), due-returnMs), due, f.Deadline)
}

// call sends a request to another host and waits for the answer at most until the given time. It marks the host as failed
// and its failure domain as silent if there is no answer silenceGraceMs after the due time.
func (a *Assigner) call(ctx context.Context, m *yuccahinge.Member, method yuccahinge.PeerMethod, r *Request, due, until yuccahinge.Millis) (*query.ForwardAnswer, error) {
	now := a.Clock.Now()
	id := yuccahinge.HostID(m.ID)
	late := time.AfterFunc((max(due, now) + silenceGraceMs - now).Duration(), func() {
		a.Selector.RecordFailure(a.Clock.Now(), id)
		a.Selector.RecordSilence(a.Clock.Now(), m.Domain)
	})
	defer late.Stop()
	call, cancel := context.WithTimeout(ctx, (until - now).Duration())
	defer cancel()
	var reply Reply
	err := a.Peers.Call(call, m.PeerAddr, method, r, &reply)
	switch {
	case err == nil:
		a.Selector.RecordAnswer(id)
		a.Selector.RecordReachable(m.Domain)
		if method == MethodScatter && a.OnHelperReply != nil {
			a.OnHelperReply(!reply.CannotServe)
		}
		return reply.answer()
	case ctx.Err() != nil:
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeDeadline, Step: yuccahinge.StepForward, Peer: m.ID, Message: "the request was canceled before the other host answered", Err: ctx.Err()}
	case yuccahinge.CodeOf(err) == yuccahinge.CodeNotFound:
		// The other host does not have the index of this request.
		return nil, errors.Mark(err, errNotRun)
	}
	a.Selector.RecordFailure(a.Clock.Now(), id)
	a.Recorder.Record(yuccahinge.Event{Code: event.HelperFailed, Request: r.Request, Peer: m.ID, Detail: err.Error()})
	if peer.NeverSent(err) || isNotRun(err) {
		return nil, errors.Mark(err, errNotRun)
	}
	code := yuccahinge.CodeUnavailable
	if call.Err() != nil {
		code = yuccahinge.CodeDeadline
	}
	return nil, &yuccahinge.Error{Code: code, Step: yuccahinge.StepForward, Peer: m.ID, Message: "the host that ran the request returned no answer", Err: err}
}

// isNotRun reports whether err is the other host's assurance that it has not run the request and will not run it.
func isNotRun(err error) bool {
	var e *yuccahinge.Error
	return errors.As(err, &e) && e.Outcome == yuccahinge.NotRun
}

// Register adds the handlers of the peer methods to a server.
func (a *Assigner) Register(handle func(yuccahinge.PeerMethod, yuccahinge.PeerHandler)) {
	for _, method := range []yuccahinge.PeerMethod{MethodScatter, MethodPart} {
		handle(method, func(ctx context.Context, decode func(any) error) (any, error) {
			var r Request
			if err := decode(&r); err != nil {
				return nil, err
			}
			return a.runForPeer(ctx, &r)
		})
	}
	handle(MethodLoss, func(ctx context.Context, decode func(any) error) (any, error) {
		var q lossQuestion
		if err := decode(&q); err != nil {
			return nil, err
		}
		return a.answerLoss(ctx, &q)
	})
	handle(MethodReach, func(context.Context, func(any) error) (any, error) {
		return &reachReply{Serves: a.CanServe()}, nil
	})
}

// reachReply is the reply to MethodReach.
type reachReply struct {
	Serves bool `json:"serves"`
}

// HelperCanServe reports whether the host that runs this host's requests over the given number of shards reaches the
// searchers. Known is false if this host runs them itself or if the other host does not answer.
func (a *Assigner) HelperCanServe(ctx context.Context, shards int) (canServe, known bool) {
	m, ok := a.Selector.Choose(a.Clock.Now(), a.Membership.Members(), shards, string(a.Selector.Self.ID))
	if !ok {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeoutMs.Duration())
	defer cancel()
	var out reachReply
	if err := a.Peers.Call(ctx, m.PeerAddr, MethodReach, struct{}{}, &out); err != nil {
		a.Selector.RecordFailure(a.Clock.Now(), yuccahinge.HostID(m.ID))
		return false, false
	}
	return out.Serves, true
}

// runForPeer runs a request for another host.
func (a *Assigner) runForPeer(ctx context.Context, r *Request) (any, error) {
	ix := a.Index(r.Index)
	if ix == nil {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeNotFound, Step: yuccahinge.StepForward, Message: "this host has no index for the services of the request", Outcome: yuccahinge.NotRun}
	}
	if len(r.Shards) > 0 {
		if ix = subsetIndex(ix, r.Shards); ix == nil {
			return nil, &yuccahinge.Error{Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepForward, Message: "the request names shards that are not in its index", Outcome: yuccahinge.NotRun}
		}
	}
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	f := r.toForward(a.Clock.Now()-conn.FromContext(ctx).WaitedMs(), ix)
	ctx, request, err := a.Flights.Start(ctx, f.Request, f.Route.Name, f.Deadline)
	if err != nil {
		return nil, err
	}
	defer request.Finish()
	if err := request.Send(); err != nil {
		return nil, err
	}
	if a.OnRequest != nil && len(r.Shards) == 0 {
		a.OnRequest(r.Route)
	}
	answer, err := a.Engine.Forward(ctx, f)
	reply := newReply(answer, err)
	reply.CannotServe = len(r.Shards) == 0 && a.CanServe != nil && !a.CanServe()
	return reply, nil
}
