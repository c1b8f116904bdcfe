// Package drain provides the order of a host's own shutdown, so that it cuts off no request in flight.
package drain

import "github.com/yuccahinge/yuccahinge"

// The spans of a Drain whose fields are zero.
const (
	// DefaultGrace is the time that balancers and peers need to notice that the host is leaving.
	DefaultGrace = 5 * yuccahinge.Second
	// DefaultQuiet is the time without a request in flight after which the host is taken to be idle.
	DefaultQuiet = 250 * yuccahinge.Second / 1000
	// DefaultLimit bounds the whole shutdown.
	DefaultLimit = 60 * yuccahinge.Second
)

// Drain takes a host from serving to done. The zero value serves.
// A drain is not safe for concurrent use. Time must not step back.
type Drain struct {
	// Grace is the length of the phase Announced.
	Grace yuccahinge.Millis
	// Quiet is how long nothing may be in flight before Closing ends. A request that a caller sent on an open
	// connection may still be on its way when the last one ends.
	Quiet yuccahinge.Millis
	// Limit bounds the time from Start to Done.
	Limit yuccahinge.Millis

	started bool
	start   yuccahinge.Millis
	phase   Phase
	busy    yuccahinge.Millis
	cut     int
}

// Start begins the shutdown. A second start changes nothing.
func (d *Drain) Start(now yuccahinge.Millis) {
	if d.started {
		return
	}
	d.started = true
	d.start = now
	d.phase = Announced
}

// Step returns the phase at the instant, given the number of requests, forwarded work and charges in flight.
func (d *Drain) Step(now yuccahinge.Millis, inFlight int) Phase {
	if !d.started {
		return Serving
	}
	if d.phase == Announced && now >= d.start+d.grace() {
		d.phase = Closing
		d.busy = now
	}
	if d.phase == Closing {
		d.close(now, inFlight)
	}
	return d.phase
}

func (d *Drain) close(now yuccahinge.Millis, inFlight int) {
	if now >= d.start+d.limit() {
		d.cut = inFlight
		d.phase = Done
		return
	}
	if inFlight > 0 {
		d.busy = now
		return
	}
	if now >= d.busy+d.quiet() {
		d.phase = Done
	}
}

// Ready reports whether balancers may send new requests here.
func (d *Drain) Ready() bool { return !d.started }

// Cut returns the number of requests that were still in flight when the limit passed.
func (d *Drain) Cut() int { return d.cut }

// Next returns the instant at which Step should be called again, or false when the drain has not begun or is done.
func (d *Drain) Next(now yuccahinge.Millis) (yuccahinge.Millis, bool) {
	switch d.phase {
	case Announced:
		return d.start + d.grace(), true
	case Closing:
		return min(now+d.quiet()/2, d.start+d.limit()), true
	}
	return 0, false
}

func (d *Drain) grace() yuccahinge.Millis {
	grace := d.Grace
	if grace <= 0 {
		grace = DefaultGrace
	}
	return min(grace, d.limit())
}

func (d *Drain) quiet() yuccahinge.Millis {
	if d.Quiet > 0 {
		return d.Quiet
	}
	return DefaultQuiet
}

func (d *Drain) limit() yuccahinge.Millis {
	if d.Limit > 0 {
		return d.Limit
	}
	return DefaultLimit
}
