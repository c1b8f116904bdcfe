package origin

import (
	"slices"
	"sync"
	"time"
)

// arrivals holds the instants at which requests arrived. The zero value is empty and ready to use.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, t)
}

// SetMaxRate names a maximum request rate in all responses from now on; an empty text names none.
func (s *Server) SetMaxRate(text string) {
	if text == "" {
		s.maxRate.Store(nil)
		return
	}
	s.maxRate.Store(&text)
}

// Arrivals returns the instants at which requests arrived, health checks and refused requests included, in order.
func (s *Server) Arrivals() []time.Time {
	s.arrivals.mu.Lock()
	defer s.arrivals.mu.Unlock()
	out := slices.Clone(s.arrivals.times)
	slices.SortFunc(out, time.Time.Compare)
	return out
}
