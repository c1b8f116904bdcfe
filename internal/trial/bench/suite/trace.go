package suite

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/load"
)

// tracer is a host that records events.
type tracer interface {
	Events(id yuccahinge.RequestID) []yuccahinge.Event
}

// traceSlowSearch adds the event timeline of the search at p99 in the fault phase, which shows the cause of a missed target.
func (t *Testbed) traceSlowSearch(r *Report) {
	var answered []*load.Sample
	for i := range r.samples {
		s := &r.samples[i]
		if r.phases[s.Phase].Name == phaseFault && s.IsAnswered() && !s.Marked {
			answered = append(answered, s)
		}
	}
	if len(answered) == 0 {
		return
	}
	slices.SortFunc(answered, func(a, b *load.Sample) int { return cmp.Compare(a.Latency, b.Latency) })
	s := answered[len(answered)*99/100]
	host, ok := t.hosts[s.Host].current.Load().host.(tracer)
	if !ok {
		return
	}
	r.Trace = explain(s, host.Events(s.ID))
}

// explain returns the timeline of a search. It omits the sends of first attempts, and their ends unless they took more
// than half of the latency of the search.
func explain(s *load.Sample, events []yuccahinge.Event) []string {
	if len(events) == 0 {
		return nil
	}
	start := events[0].Stamp.Wall
	ms := func(e *yuccahinge.Event) float64 { return float64(e.Stamp.Wall-start) / 1000 }
	out := []string{fmt.Sprintf("search %s at %s: %.1f ms, covered %d of %d", s.ID, events[0].Host, s.Latency, s.Covered, s.Asked)}
	begins := map[yuccahinge.AttemptID]*yuccahinge.Event{}
	for i := range events {
		e := &events[i]
		if e.Code != event.AttemptEnded && e.Code != event.ReplyInvalid {
			if e.Attempt != 0 {
				begins[e.Attempt] = e
			}
			if e.Code != event.AttemptSent {
				out = append(out, traceLine(ms(e), e, ""))
			}
			continue
		}
		begin := begins[e.Attempt]
		if begin != nil && (begin.Code != event.AttemptSent || ms(e)-ms(begin) > float64(s.Latency)/2) {
			out = append(out, traceLine(ms(e), e, fmt.Sprintf("shard %d after %.1f ms", *begin.Shard, ms(e)-ms(begin))))
		}
	}
	return out
}

func traceLine(ms float64, e *yuccahinge.Event, suffix string) string {
	s := fmt.Sprintf("%8.1f %s", ms, e.Name)
	if e.Attempt != 0 {
		s += fmt.Sprintf(" attempt %d %s", e.Attempt, e.Searcher)
	}
	if e.Shard != nil {
		s += fmt.Sprintf(" shard %d", *e.Shard)
	}
	return s + " " + e.Detail + " " + suffix
}
