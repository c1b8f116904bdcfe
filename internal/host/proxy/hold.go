package proxy

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hold"
)

// RecordBusy records the load report of a searcher's response with status 503. It is called before the response reaches the
// request that it answers.
func (srv *Server) RecordBusy(id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	srv.parts.holds.Observe(srv.clock.Now(), id, report)
}

// wireHolds sets up what this host knows about searchers that want no requests for a time. The other hosts are not told: a
// searcher asks each host for itself.
func (srv *Server) wireHolds() {
	p := &srv.parts
	p.balancer.Holds = &p.holds
	p.holds.OnChange = func(c hold.Change) {
		e := yuccahinge.Event{Code: event.SearcherHeld, Searcher: c.Searcher, Detail: fmt.Sprintf("%.0f ms", c.HoldMs)}
		if c.Malformed != "" {
			e.Code, e.Detail = event.SearcherHoldInvalid, c.Malformed
		}
		srv.events.Record(e)
	}
}
