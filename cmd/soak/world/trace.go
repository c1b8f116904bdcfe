package world

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// traceSize is the number of events kept for a report.
	traceSize = 20000
	// reportSize bounds the events of a report that are about its keys.
	reportSize = 400
	// contextSize is the number of last events that a report shows in any case.
	contextSize = 12
)

// trace keeps the last events and a hash of all.
type trace struct {
	sum  uint64
	ring []traced
	next int
}

// traced is an event of a run. The key is a request, claim, searcher or host.
type traced struct {
	step int
	at   yuccahinge.Millis
	who  string
	key  string
	text string
}

// note adds an event to the trace.
func (w *World) note(who, key, format string, args ...any) {
	w.trace.add(traced{step: w.steps, at: w.now() - epoch, who: who, key: key, text: fmt.Sprintf(format, args...)})
}

func (t *trace) add(e traced) {
	t.sum = xxhash.Sum64String(fmt.Sprintf("%x %d %v %s %s %s", t.sum, e.step, e.at, e.who, e.key, e.text))
	if len(t.ring) < traceSize {
		t.ring = append(t.ring, e)
		return
	}
	t.ring[t.next] = e
	t.next = (t.next + 1) % traceSize
}

// about returns the events with the keys, and the last ones, oldest first.
func (t *trace) about(keys []string) []string {
	all := append(slices.Clone(t.ring[t.next:]), t.ring[:t.next]...)
	var out []string
	for i, e := range all {
		if i >= len(all)-contextSize || slices.Contains(keys, e.key) || slices.Contains(keys, e.who) || e.who == "world" || e.who == "platform" {
			out = append(out, fmt.Sprintf("step %6d %10.3f ms %-10s %-14s %s", e.step, float64(e.at), e.who, e.key, e.text))
		}
	}
	return out[max(0, len(out)-reportSize-contextSize):]
}
