package query

import (
	"fmt"
	"strings"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// maxTold bounds the shards that the story of one request names.
const maxTold = 6

// story returns the event that ends a forwarded request. For one that did not go as it should it holds what decided
// that: the shards that lack a reply, why, and whom they were asked of.
func (q *run) story(f *Forward, answer *Forwarded, err error) yuccahinge.Event {
	v := yuccahinge.Event{
		Code:    event.SearchAnswered,
		Request: q.request,
		Service: q.service,
		Ticket:  q.ticket,
		TookMs:  q.engine.now() - f.Arrived,
	}
	switch {
	case err != nil:
		v.Code = event.SearchRefused
		v.Detail = err.Error() + q.lacking()
	case answer.Missing > 0:
		v.Detail = string(yuccahinge.Partial) + q.lacking()
	case answer.Response != nil && answer.Response.Status >= 400:
		v.Detail = fmt.Sprintf("failed with status %d", answer.Response.Status)
	case f.Route.ObjectiveMs > 0 && v.TookMs > f.Route.ObjectiveMs:
		v.Detail = fmt.Sprintf("late, attempts %d", q.gather.Sent())
	}
	return v
}

// lacking lists the shards without a reply.
func (q *run) lacking() string {
	var sb strings.Builder
	n := 0
	q.gather.Lacks(func(spec *yuccahinge.Shard, why yuccahinge.Reason, tried []yuccahinge.SearcherID) {
		if n++; n > maxTold {
			return
		}
		fmt.Fprintf(&sb, "; %s %s %v", spec.Group, why, tried)
	})
	if n > maxTold {
		fmt.Fprintf(&sb, "; %d more", n-maxTold)
	}
	fmt.Fprintf(&sb, "; attempts %d", q.gather.Sent())
	return sb.String()
}
