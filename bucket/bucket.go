// Package bucket provides a token bucket that delays calls, so that a host stays within its share of a common rate limit.
package bucket

import "github.com/yuccahinge/yuccahinge"

// Defaults of a Bucket: the rate in calls a second, and the burst in calls.
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
func (b *Bucket) Reserve(now yuccahinge.Millis) yuccahinge.Millis {
	b.refill(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return yuccahinge.Millis(-b.tokens / b.perSecond() * float64(yuccahinge.Second))
}

func (b *Bucket) refill(now yuccahinge.Millis) {
	if !b.started {
		b.started = true
		b.lastRefill = now
		b.tokens = b.burst()
		return
	}
	if now <= b.lastRefill {
		return
	}
	added := float64((now-b.lastRefill)/yuccahinge.Second) * b.perSecond()
	b.tokens = min(b.tokens+added, b.burst())
	b.lastRefill = now
}

func (b *Bucket) perSecond() float64 {
	if b.PerSecond > 0 {
		return b.PerSecond
	}
	return DefaultPerSecond
}

func (b *Bucket) burst() float64 {
	if b.Burst > 0 {
		return b.Burst
	}
	return DefaultBurst
}
