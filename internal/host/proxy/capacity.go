package proxy

import (
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// wireCapacity lets the choice of searchers follow estimates of what each handles well, if the settings ask for that.
func (srv *Server) wireCapacity() {
	if srv.Settings.Forward.SearcherCapacity {
		srv.parts.balancer.Capacity = &srv.parts.capacity
	}
}

// recordCapacity records the searchers that have become slow or are in trouble, and those that no longer are.
func (srv *Server) recordCapacity(now yuccahinge.Millis) {
	for _, c := range srv.parts.capacity.Changes(now) {
		detail := fmt.Sprintf("%s, %s before", c.After.Condition, c.Before)
		if c.After.Reason != "" {
			detail += ": " + c.After.Reason
		}
		srv.events.Record(yuccahinge.Event{Code: event.SearcherAssessed, Searcher: c.After.Searcher, Detail: detail})
	}
}

// countInCondition returns the number of searchers in a condition.
func (srv *Server) countInCondition(c yuccahinge.SearcherCondition) float64 {
	n := 0
	for _, d := range srv.parts.capacity.Deviations(srv.clock.Now()) {
		if d.Condition == c {
			n++
		}
	}
	return float64(n)
}
