// Package rates connects the limiter of searchers' maximum request rates with the events of a host and the gossip between
// hosts.
package rates

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/ration"
)

// Rates connects a Limiter. Set all fields, then call Wire before the Limiter is used.
type Rates struct {
	Limiter  *ration.Limiter
	Gossip   yuccahinge.Gossip
	Recorder yuccahinge.EventRecorder
	Stamps   *hybrid.Clock
	Clock    yuccahinge.Clock
}

// Wire sets the callbacks of the Limiter and subscribes to the announcements of other hosts.
func (r *Rates) Wire() {
	r.Limiter.Stamp = func() yuccahinge.Timestamp { return r.Stamps.Next(r.Clock.Now()) }
	r.Limiter.OnChange = r.handle
	r.Gossip.Subscribe(func(n yuccahinge.Notice) {
		if n.Kind == yuccahinge.NoticeMaxRate {
			r.Stamps.Observe(n.Stamp)
			r.Limiter.Learn(r.Clock.Now(), &n)
		}
	})
}

// handle announces a change to the other hosts and records it.
func (r *Rates) handle(c ration.Change) {
	if c.Announcement != nil {
		r.Gossip.Broadcast(*c.Announcement)
	}
	if c.Minor {
		return
	}
	e := yuccahinge.Event{Code: event.SearcherUnlimited, Searcher: c.Searcher, Detail: fmt.Sprintf("calls %v", c.Calls)}
	switch {
	case c.Malformed != "":
		e.Code, e.Detail = event.SearcherLimitInvalid, c.Malformed
	case c.MaxRate != nil:
		e.Code, e.Detail = event.SearcherLimited, fmt.Sprintf("%g requests/s", *c.MaxRate)
	}
	if c.Heard {
		e.Detail += ", announced by another host"
	}
	r.Recorder.Record(e)
}
