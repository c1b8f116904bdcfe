// Package pace spreads calls over time so that a host stays within its share of a shared budget.
package pace

import "github.com/yuccahinge/yuccahinge"

// Defaults of a Pacer.
const (
	DefaultPerSecond = 4.0
	DefaultBurst     = 16.0
)

// Pacer grants calls at a steady rate after a burst. The zero value uses the defaults.
// It is not safe for concurrent use.
type Pacer struct {
	// PerSecond is the number of calls a second.
	PerSecond float64
	// Burst is the number of calls that may start at once after a rest.
	Burst float64

	started bool
	last    yuccahinge.Millis
	tokens  float64
}

// Take books one call and returns how long it has to wait. Later calls wait behind it.
func (p *Pacer) Take(now yuccahinge.Millis) yuccahinge.Millis {
	p.refill(now)
	p.tokens--
	if p.tokens >= 0 {
		return 0
	}
	return yuccahinge.Millis(-p.tokens / p.perSecond() * float64(yuccahinge.Second))
}

func (p *Pacer) refill(now yuccahinge.Millis) {
	if !p.started {
		p.started = true
		p.last = now
		p.tokens = p.burst()
		return
	}
	if now <= p.last {
		return
	}
	earned := float64((now-p.last)/yuccahinge.Second) * p.perSecond()
	p.tokens = min(p.tokens+earned, p.burst())
	p.last = now
}

func (p *Pacer) perSecond() float64 {
	if p.PerSecond > 0 {
		return p.PerSecond
	}
	return DefaultPerSecond
}

func (p *Pacer) burst() float64 {
	if p.Burst > 0 {
		return p.Burst
	}
	return DefaultBurst
}
