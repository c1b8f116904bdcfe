package proxy

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/internal/view/meter"
	"github.com/yuccahinge/yuccahinge/ration"
)

// recordLimit records a change of the maximum request rate of a searcher.
func (srv *Server) recordLimit(c ration.Change) {
	e := yuccahinge.Event{Code: event.SearcherUnlimited, Searcher: c.Searcher, Detail: fmt.Sprintf("calls %v", c.Calls)}
	switch {
	case c.Malformed != "":
		e.Code, e.Detail = event.SearcherLimitInvalid, c.Malformed
	case c.MaxRate != nil:
		e.Code, e.Detail = event.SearcherLimited, fmt.Sprintf("%g requests/s", *c.MaxRate)
	}
	srv.events.Record(e)
}

// countAttempt counts a call that is being sent to a searcher.
func (srv *Server) countAttempt(cause gather.Cause, id yuccahinge.SearcherID) {
	srv.meter.CountAttempt(meter.Attempt{Cause: string(cause), Limited: srv.parts.limits.CountCall(id, string(cause))})
}
