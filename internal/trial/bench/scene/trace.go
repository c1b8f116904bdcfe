package scene

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/trial/bench/drive"
)

// tracer is a host that keeps its part of the time line.
type tracer interface {
	Events(id yuccahinge.RequestID) []yuccahinge.Event
}

// traceSamples adds the time line of the search at p99 under the fault, so that a miss can be explained.
func (w *World) traceSamples(r *Report) {
	var slow []*drive.Sample
	for i := range r.samples {
		s := &r.samples[i]
		if r.phases[s.Phase].Name == phaseFault && s.IsAnswered() && !s.Marked {
			slow = append(slow, s)
		}
	}
	if len(slow) == 0 {
		return
	}
	slices.SortFunc(slow, func(a, b *drive.Sample) int { return cmp.Compare(a.Latency, b.Latency) })
	at := slow[len(slow)*99/100]
	host, ok := w.hosts[at.Host].current.Load().host.(tracer)
	if !ok {
		return
	}
	r.Trace = explain(at, host.Events(at.ID))
}

// explain lists the attempts of a search that took at least half of its time, and those beyond the first.
func explain(s *drive.Sample, events []yuccahinge.Event) []string {
	if len(events) == 0 {
		return nil
	}
	start := events[0].Stamp.Wall
	ms := func(e *yuccahinge.Event) float64 { return float64(e.Stamp.Wall-start) / 1000 }
	out := []string{fmt.Sprintf("search %s at %s: %.1f ms, covered %d of %d", s.ID, events[0].Host, s.Latency, s.Covered, s.Asked)}
	sent := map[yuccahinge.AttemptID]*yuccahinge.Event{}
	for i := range events {
		e := &events[i]
		if e.Code != event.AttemptEnded && e.Code != event.ReplyInvalid {
			if e.Attempt != 0 {
				sent[e.Attempt] = e
			}
			if e.Code != event.AttemptSent {
				out = append(out, line(ms(e), e, ""))
			}
			continue
		}
		from := sent[e.Attempt]
		if from != nil && (from.Code != event.AttemptSent || ms(e)-ms(from) > float64(s.Latency)/2) {
			out = append(out, line(ms(e), e, fmt.Sprintf("shard %d after %.1f ms", *from.Shard, ms(e)-ms(from))))
		}
	}
	return out
}

func line(at float64, e *yuccahinge.Event, more string) string {
	s := fmt.Sprintf("%8.1f %s", at, e.Name)
	if e.Attempt != 0 {
		s += fmt.Sprintf(" attempt %d %s", e.Attempt, e.Searcher)
	}
	if e.Shard != nil {
		s += fmt.Sprintf(" shard %d", *e.Shard)
	}
	return s + " " + e.Detail + " " + more
}
