// Package drain sequences the graceful shutdown of a host, so that requests in flight can finish.
package drain

import "github.com/yuccahinge/yuccahinge"

// Defaults for the zero fields of a Drain.
const (
	// DefaultGrace is the time in which load balancers and peers detect that the host is shutting down.
	DefaultGrace = 5 * yuccahinge.Second
	// DefaultQuietPeriod is the time without requests in flight after which the host counts as idle.
	DefaultQuietPeriod = 250 * yuccahinge.Second / 1000
	// DefaultTimeout is the maximum duration of the whole shutdown.
	DefaultTimeout = 60 * yuccahinge.Second
	// DefaultMargin is the time to write the answers to the requests that end last.
	DefaultMargin = 250 * yuccahinge.Second / 1000
)

// maxMarginShare is the largest share of Timeout that DefaultMargin takes.
const maxMarginShare = 0.1

// Drain is the shutdown state machine of a host. The zero value is in the phase Serving.
// A Drain is not safe for concurrent use. The now arguments must not decrease.
type Drain struct {
	// Grace is the duration of the phase Announced, at most Timeout.
	Grace yuccahinge.Millis
	// QuietPeriod is how long nothing must be in flight before Closing ends. When the last request ends, the network may
	// still be carrying another request that a caller sent on an open connection.
	QuietPeriod yuccahinge.Millis
	// Timeout is the maximum time from Start to Done.
	Timeout yuccahinge.Millis

	started     bool
	start       yuccahinge.Millis
	phase       Phase
	lastBusy    yuccahinge.Millis
	requestsCut int
}

// Start begins the shutdown. Further calls have no effect.
func (d *Drain) Start(now yuccahinge.Millis) {
	if d.started {
		return
	}
	d.started = true
	d.start = now
	d.phase = Announced
}

// Step advances the drain to the time now and returns the phase. inFlight counts requests, forwarded work and charges.
func (d *Drain) Step(now yuccahinge.Millis, inFlight int) Phase {
	if !d.started {
		return Serving
	}
	if d.phase == Announced && now >= d.start+d.grace() {
		d.phase = Closing
		d.lastBusy = now
	}
	if d.phase == Closing {
		d.stepClosing(now, inFlight)
	}
	return d.phase
}

func (d *Drain) stepClosing(now yuccahinge.Millis, inFlight int) {
	if now >= d.start+d.timeout() {
		d.requestsCut = inFlight
		d.phase = Done
		return
	}
	if inFlight > 0 {
		d.lastBusy = now
		return
	}
	if now >= d.lastBusy+d.quietPeriod() {
		d.phase = Done
	}
}

// Ready reports whether load balancers may send new requests to this host.
func (d *Drain) Ready() bool { return !d.started }

// Cut returns the number of requests that were still in flight when Timeout ended the drain.
func (d *Drain) Cut() int { return d.requestsCut }

// LatestEnd returns the time at which a request that arrives after Start must have ended, so that its answer is sent before
// Timeout. A request that might end later is to be refused: it could be cut off after a searcher began to run it, whereas
// its caller can still send it to another host.
func (d *Drain) LatestEnd() yuccahinge.Millis {
	return d.start + d.timeout() - min(DefaultMargin, maxMarginShare*d.timeout())
}

// Next returns the time at which Step should be called again. It returns false before Start and in the phase Done.
func (d *Drain) Next(now yuccahinge.Millis) (yuccahinge.Millis, bool) {
	switch d.phase {
	case Announced:
		return d.start + d.grace(), true
	case Closing:
		return min(now+d.quietPeriod()/2, d.start+d.timeout()), true
	}
	return 0, false
}

func (d *Drain) grace() yuccahinge.Millis {
	grace := d.Grace
	if grace <= 0 {
		grace = DefaultGrace
	}
	return min(grace, d.timeout())
}

func (d *Drain) quietPeriod() yuccahinge.Millis {
	if d.QuietPeriod > 0 {
		return d.QuietPeriod
	}
	return DefaultQuietPeriod
}

func (d *Drain) timeout() yuccahinge.Millis {
	if d.Timeout > 0 {
		return d.Timeout
	}
	return DefaultTimeout
}
