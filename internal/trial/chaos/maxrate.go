package chaos

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// contactTime is how long hosts may take to learn a new maximum rate.
	contactTime = 4 * time.Second
	// rateWindow is the time over which requests to a searcher with a maximum rate are counted.
	rateWindow = 4 * time.Second
	// A searcher may get rateTolerance times what its maximum rate allows in a rateWindow, and rateSlack requests more.
	rateTolerance = 1.5
	rateSlack     = 5
)

// ratePeriod is the time during which a searcher names one maximum rate, in requests per second. The end is zero while it
// does.
type ratePeriod struct {
	from, to time.Time
	rate     float64
}

// setMaxRate lets a searcher name a maximum rate from now on, or none if text is empty. A text that is no decimal number
// does not count as a rate.
func (s *searcher) setMaxRate(text string) {
	s.ratesMu.Lock()
	defer s.ratesMu.Unlock()
	now := time.Now()
	if n := len(s.ratePeriods); n > 0 && s.ratePeriods[n-1].to.IsZero() {
		s.ratePeriods[n-1].to = now
	}
	if rate, err := strconv.ParseFloat(text, 64); err == nil && rate >= 0 {
		s.ratePeriods = append(s.ratePeriods, ratePeriod{from: now, rate: rate})
	}
	s.server.SetMaxRate(text)
}

// rateViolations compares the requests that arrived with the maximum rates that the searcher named.
func (s *searcher) rateViolations() []string {
	s.ratesMu.Lock()
	defer s.ratesMu.Unlock()
	var out []string
	arrivals := s.server.Arrivals()
	for _, p := range s.ratePeriods {
		allowed := rateTolerance*p.rate*rateWindow.Seconds() + rateSlack
		if n, at := busiestWindow(arrivals, p.from.Add(contactTime), p.to); float64(n) > allowed {
			out = append(out, fmt.Sprintf("searcher %s of %s named a maximum rate of %g/s and got %d requests in %v, %.1f s later; allowed are %.0f",
				s.server.ID, s.server.Service, p.rate, n, rateWindow, at.Sub(p.from).Seconds(), allowed))
		}
	}
	return out
}

// busiestWindow returns the largest number of arrivals in a rateWindow within the given time, and the end of that window.
func busiestWindow(arrivals []time.Time, from, to time.Time) (most int, end time.Time) {
	first := 0
	for last, at := range arrivals {
		if at.Before(from) {
			first = last + 1
			continue
		}
		if at.After(to) {
			break
		}
		for at.Sub(arrivals[first]) >= rateWindow {
			first++
		}
		if n := last - first + 1; n > most {
			most, end = n, at
		}
	}
	return most, end
}
