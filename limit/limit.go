// Package limit provides adaptive admission: a bound on a service's requests in flight that follows its latency.
package limit

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// Limit admits requests per service. It implements yuccahinge.Limiter. The zero value is ready to use.
type Limit struct {
	// Min and Max bound the requests in flight of one service.
	Min, Max int
	// Least returns the requests of a service that this host's share of the searchers' slots can run at once.
	// The bound never falls below it: latency alone can't tell a full queue from a busy host. Nil for none.
	Least func(service yuccahinge.ServiceName) int
	// Tolerance is the latency, as a multiple of the uncongested one, from which a request counts as slow.
	Tolerance float64

	services sync.Map // of yuccahinge.ServiceName to *gate
}

const (
	defaultMin       = 2
	defaultMax       = 4096
	defaultTolerance = 2.0
)

// Admit reports whether a request may start now.
func (l *Limit) Admit(_ yuccahinge.Millis, service yuccahinge.ServiceName) bool {
	return l.gate(service).admit()
}

// Release ends an admitted request and adapts the bound.
func (l *Limit) Release(now yuccahinge.Millis, service yuccahinge.ServiceName, took yuccahinge.Millis, ok bool) {
	l.gate(service).release(now, took, ok, l)
}

// Bound returns the present bound on the service's requests in flight.
func (l *Limit) Bound(service yuccahinge.ServiceName) int {
	return int(l.gate(service).bound.Load())
}

func (l *Limit) gate(service yuccahinge.ServiceName) *gate {
	if v, ok := l.services.Load(service); ok {
		return v.(*gate)
	}
	g := &gate{service: service}
	g.bound.Store(int64(min(initialBound, l.maximum())))
	v, _ := l.services.LoadOrStore(service, g)
	return v.(*gate)
}

// minimum returns the least bound of a service.
func (l *Limit) minimum(service yuccahinge.ServiceName) int {
	least := defaultMin
	if l.Min > 0 {
		least = l.Min
	}
	if l.Least != nil {
		least = max(least, l.Least(service))
	}
	return least
}

func (l *Limit) maximum() int {
	if l.Max > 0 {
		return l.Max
	}
	return defaultMax
}

func (l *Limit) tolerance() float64 {
	if l.Tolerance > 1 {
		return l.Tolerance
	}
	return defaultTolerance
}
