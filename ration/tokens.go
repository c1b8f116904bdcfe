package ration

import "github.com/yuccahinge/yuccahinge"

const (
	// minRate is the rate at which searchers with a lower maximum are called, all hosts together, in requests per second.
	// Without any call, no host would learn that the maximum has ended.
	minRate = 0.25
	// roundingError is the difference up to which a token counts as whole.
	roundingError = 1e-9
)

// part is one host's part of a maximum rate.
type part struct {
	perSecond float64 // tokens added per second
	burst     float64 // the size of the bucket
}

// tokens is a token bucket that starts empty. A call may start if there is a whole token. Calls that start at the same
// time may make the number negative, and the following calls then wait for longer.
type tokens struct {
	part       part
	tokens     float64
	refilledAt yuccahinge.Millis
}

// refill adds the tokens earned since the last call.
func (t *tokens) refill(now yuccahinge.Millis) {
	if elapsed := now - t.refilledAt; elapsed > 0 {
		t.tokens = min(t.tokens+t.part.perSecond*float64(elapsed/yuccahinge.Second), t.part.burst)
		t.refilledAt = now
	}
}

// setPart sets the rate and the size from now on.
func (t *tokens) setPart(p part) {
	t.part = p
	t.tokens = min(t.tokens, p.burst)
}

// roomIn returns the delay until there is a whole token. Without a part of its own, it is the mean time between two calls
// of all hosts.
func (t *tokens) roomIn(total yuccahinge.RequestRate) yuccahinge.Millis {
	missing := 1 - t.tokens
	switch {
	case missing <= roundingError:
		return 0
	case t.part.perSecond == 0:
		return yuccahinge.Second / yuccahinge.Millis(max(float64(total), minRate))
	default:
		return yuccahinge.Millis(missing/t.part.perSecond) * yuccahinge.Second
	}
}
