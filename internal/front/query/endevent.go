package query

import (
	"fmt"
	"strings"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
)

// maxListedShards is the maximum number of shards listed in the detail of one event.
const maxListedShards = 6

// endEvent returns the event at the end of a forwarded request. If the request failed, is partial or late, its detail
// gives the cause. For an error or a partial answer it lists the lacking shards with the reason and the searchers tried.
func (q *run) endEvent(f *ForwardRequest, answer *ForwardAnswer, err error) yuccahinge.Event {
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
		v.Detail = err.Error() + q.describeLacking()
	case answer.Missing > 0:
		v.Detail = string(yuccahinge.Partial) + q.describeLacking()
	case answer.Response != nil && answer.Response.Status >= 400:
		v.Detail = fmt.Sprintf("failed with status %d", answer.Response.Status)
	case f.AnswerBy == 0 && f.Route.ObjectiveMs > 0 && v.TookMs > f.Route.ObjectiveMs:
		v.Detail = fmt.Sprintf("late, attempts %d", q.gather.AttemptsSent())
	}
	return v
}

// describeLacking lists the lacking shards and the number of attempts.
func (q *run) describeLacking() string {
	var sb strings.Builder
	n := 0
	q.gather.EachLacking(func(shard *yuccahinge.Shard, reason yuccahinge.Reason, tried []yuccahinge.SearcherID) {
		if n++; n > maxListedShards {
			return
		}
		fmt.Fprintf(&sb, "; %s %s %v", shard.Service, reason, tried)
	})
	if n > maxListedShards {
		fmt.Fprintf(&sb, "; %d more", n-maxListedShards)
	}
	fmt.Fprintf(&sb, "; attempts %d", q.gather.AttemptsSent())
	return sb.String()
}
