// Package limit bounds the requests in flight of each service by an adaptive limit that follows the service's latency.
package limit

import (
	"sync"

	"github.com/yuccahinge/yuccahinge"
)

// Limiter bounds the requests in flight of each service. It implements yuccahinge.Limiter. The zero value is ready to use.
type Limiter struct {
	// Min and Max are the limits of a service's bound; zero means 2 and 4096.
	Min, Max int
	// MinBound returns the number of a service's requests that this host's share of the searchers' slots can run at once.
	// The bound never falls below it, since high latency can also come from a busy host instead of a full queue. Nil
	// means that only Min bounds it.
	MinBound func(service yuccahinge.ServiceName) int
	// Tolerance is the multiple of the uncongested latency above which a request counts as slow. Values up to 1 mean 2.
	Tolerance float64

	services sync.Map // of yuccahinge.ServiceName to *serviceLimit
}

const (
	defaultMin       = 2
	defaultMax       = 4096
	defaultTolerance = 2.0
)

// Admit reports whether a request may start now.
func (l *Limiter) Admit(_ yuccahinge.Millis, service yuccahinge.ServiceName) bool {
	return l.limitOf(service).admit()
}

// Release ends an admitted request and adapts the bound.
func (l *Limiter) Release(now yuccahinge.Millis, service yuccahinge.ServiceName, took yuccahinge.Millis, ok bool) {
	l.limitOf(service).release(now, took, ok, l)
}

// Bound returns the current bound on the service's requests in flight.
func (l *Limiter) Bound(service yuccahinge.ServiceName) int {
	return int(l.limitOf(service).bound.Load())
}

func (l *Limiter) limitOf(service yuccahinge.ServiceName) *serviceLimit {
	if v, ok := l.services.Load(service); ok {
		return v.(*serviceLimit)
	}
	s := &serviceLimit{service: service}
	s.bound.Store(int64(min(initialBound, l.maximum())))
	v, _ := l.services.LoadOrStore(service, s)
	return v.(*serviceLimit)
}

// minimum returns the lowest bound of a service.
func (l *Limiter) minimum(service yuccahinge.ServiceName) int {
	least := defaultMin
	if l.Min > 0 {
		least = l.Min
	}
	if l.MinBound != nil {
		least = max(least, l.MinBound(service))
	}
	return least
}

func (l *Limiter) maximum() int {
	if l.Max > 0 {
		return l.Max
	}
	return defaultMax
}

func (l *Limiter) tolerance() float64 {
	if l.Tolerance > 1 {
		return l.Tolerance
	}
	return defaultTolerance
}
