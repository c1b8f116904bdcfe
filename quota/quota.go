// Package quota limits extra attempts at each group of replicas to a share of its requests in every sliding
// window.
package quota

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// defaultWindow is the length of the window if WindowMs is zero.
	defaultWindow = 10 * yuccahinge.Second
	// windowSlices is the number of counters in a window. One more is kept, since the edge of the window cuts the
	// oldest slice.
	windowSlices = 20
	// creditSlices is the number of slices after which a request pays for no more extra attempts.
	creditSlices = windowSlices / 4
	// creditShare is the share of Ratio that a request pays. A window can hold the extra attempts paid by the requests of
	// that window and of creditSlices before it.
	creditShare = windowSlices / float64(windowSlices+creditSlices)
)

// Quota grants an extra attempt at a group if the extra attempts in the last window stay within Slack plus Ratio
// times the requests in that window. Requests pay for extra attempts soon after them or not at all, so that the limit
// also holds for all hosts together while hosts restart and requests move to other hosts. It implements
// yuccahinge.AttemptBudget. Set the fields before the first use; the zero value grants nothing.
type Quota struct {
	// Ratio returns the number of extra attempts allowed for each request.
	Ratio func() float64
	// Slack returns this host's share of the extra attempts that a group may get in a window regardless of its
	// requests.
	Slack func(group yuccahinge.ServiceName) float64
	// WindowMs is the length of the window; zero means 10 seconds.
	WindowMs yuccahinge.Millis

	groups sync.Map // of yuccahinge.ServiceName to *group
}

var _ yuccahinge.AttemptBudget = (*Quota)(nil)

// Deposit counts n requests to the group.
func (q *Quota) Deposit(now yuccahinge.Millis, name yuccahinge.ServiceName, n int) {
	g := q.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.current(now, q.sliceMs())
	c.requests += n
	c.credit += creditShare * q.ratio() * float64(n)
}

// Withdraw reports whether one extra attempt at the group may start, and counts it if so.
func (q *Quota) Withdraw(now yuccahinge.Millis, name yuccahinge.ServiceName) bool {
	g := q.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.current(now, q.sliceMs())
	requests, extra, fromSlack := g.windowTotals()
	slack := q.slack(name)
	missing := g.missingCredit()
	if float64(extra+1) > q.ratio()*float64(requests)+slack || fromSlack+missing > slack {
		return false
	}
	g.takeCredit()
	current.extra++
	current.fromSlack += missing
	return true
}

// Refund refunds an extra attempt that was granted at the instant taken and never sent. It has no effect once that
// instant has left the window.
func (q *Quota) Refund(taken yuccahinge.Millis, name yuccahinge.ServiceName) {
	g := q.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.earlier(taken, q.sliceMs()); c != nil && c.extra > 0 {
		c.extra--
		slack := min(1, c.fromSlack)
		c.fromSlack -= slack
		// The requests that paid may be of any slice whose credit has not expired.
		g.slice(g.oldestCredit()).credit += 1 - slack
	}
}

func (q *Quota) group(name yuccahinge.ServiceName) *group {
	if v, ok := q.groups.Load(name); ok {
		return v.(*group)
	}
	v, _ := q.groups.LoadOrStore(name, new(group))
	return v.(*group)
}

func (q *Quota) ratio() float64 {
	if q.Ratio == nil {
		return 0
	}
	return q.Ratio()
}

func (q *Quota) slack(name yuccahinge.ServiceName) float64 {
	if q.Slack == nil {
		return 0
	}
	return q.Slack(name)
}

func (q *Quota) sliceMs() yuccahinge.Millis {
	if q.WindowMs > 0 {
		return q.WindowMs / windowSlices
	}
	return defaultWindow / windowSlices
}
