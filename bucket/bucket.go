// Package bucket provides a token bucket that delays calls, so that a host stays within its share of a common rate limit.
package bucket

import "github.com/yuccahinge/yuccahinge"

// Defaults of a Pacer: the rate in calls a second, and the burst in calls.
const (
	DefaultPerSecond = 4.0
	DefaultBurst     = 16.0
)

// Bucket is a token bucket. The zero value uses the defaults. It is not safe for concurrent use.
type Bucket struct {
	// PerSecond is the rate at which tokens are added, one for each call; zero means DefaultPerSecond.
	PerSecond float64
	// Burst is the capacity of the bucket, the number of calls that may start at once; zero means DefaultBurst.
	Burst float64

	started    bool
	lastRefill yuccahinge.Millis
	tokens     float64
}

// Reserve reserves a token for one call and returns how long the call must wait for it. Later calls wait longer.
func (p *Bucket) Reserve(now yuccahinge.Millis) yuccahinge.Millis {
	p.refill(now)
	p.tokens--
	if p.tokens >= 0 {
		return 0
	}
	return yuccahinge.Millis(-p.tokens / p.perSecond() * float64(yuccahinge.Second))
}

func (p *Bucket) refill(now yuccahinge.Millis) {
	if !p.started {
		p.started = true
		p.lastRefill = now
		p.tokens = p.burst()
		return
	}
	if now <= p.lastRefill {
		return
	}
	added := float64((now-p.lastRefill)/yuccahinge.Second) * p.perSecond()
	p.tokens = min(p.tokens+added, p.burst())
	p.lastRefill = now
}

func (p *Bucket) perSecond() float64 {
	if p.PerSecond > 0 {
		return p.PerSecond
	}
	return DefaultPerSecond
}

func (p *Bucket) burst() float64 {
	if p.Burst > 0 {
		return p.Burst
	}
	return DefaultBurst
}
