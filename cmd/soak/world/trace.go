package world

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// traceSize is the number of most recent events kept for a report.
	traceSize = 20000
	// reportSize bounds the events that a report shows besides its last contextSize events.
	reportSize = 400
	// contextSize is the number of most recent events that a report shows whatever their keys.
	contextSize = 12
)

// trace holds the most recent events in a ring buffer and a hash of all events.
type trace struct {
	digest uint64
	ring   []traceEvent
	next   int
}

// traceEvent is an event of a run. The key names a request, claim, searcher or host, or is empty.
type traceEvent struct {
	step int
	at   yuccahinge.Millis
	who  string
	key  string
	text string
}

// note adds an event to the trace. Its text is part of the digest of the run.
func (w *World) note(who, key, format string, args ...any) {
	w.trace.add(traceEvent{step: w.steps, at: w.now() - epoch, who: who, key: key, text: fmt.Sprintf(format, args...)})
}

func (t *trace) add(e traceEvent) {
	t.digest = xxhash.Sum64String(fmt.Sprintf("%x %d %v %s %s %s", t.digest, e.step, e.at, e.who, e.key, e.text))
	if len(t.ring) < traceSize {
		t.ring = append(t.ring, e)
		return
	}
	t.ring[t.next] = e
	t.next = (t.next + 1) % traceSize
}

// eventsFor returns the events that concern the keys, the world or the platform, and the most recent ones, oldest first.
func (t *trace) eventsFor(keys []string) []string {
	all := append(slices.Clone(t.ring[t.next:]), t.ring[:t.next]...)
	var out []string
	for i, e := range all {
		if i >= len(all)-contextSize || slices.Contains(keys, e.key) || slices.Contains(keys, e.who) || e.who == "world" || e.who == "platform" {
			out = append(out, fmt.Sprintf("step %6d %10.3f ms %-10s %-14s %s", e.step, float64(e.at), e.who, e.key, e.text))
		}
	}
	return out[max(0, len(out)-reportSize-contextSize):]
}
