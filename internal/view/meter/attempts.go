package meter

import (
	"context"
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Attempt is what calls to searchers are counted by.
type Attempt struct {
	// Cause is the cause of an attempt, or probe for a health check.
	Cause string
	// Limited reports whether the searcher names a maximum request rate.
	Limited bool
}

// CauseProbe is the cause of a health check.
const CauseProbe = "probe"

// attemptCounts holds an *atomic.Int64 for each Attempt. It is a map that rarely grows, so that counting takes no lock.
type attemptCounts struct{ counts sync.Map }

// CountAttempt counts a call to a searcher.
func (m *Meter) CountAttempt(a Attempt) {
	v, ok := m.attemptCounts.counts.Load(a)
	if !ok {
		v, _ = m.attemptCounts.counts.LoadOrStore(a, new(atomic.Int64))
	}
	v.(*atomic.Int64).Add(1)
}

// registerAttemptCounts creates a counter that reads the counts at each scrape.
func (m *Meter) registerAttemptCounts() error {
	_, err := m.instruments.Int64ObservableCounter("yuccahinge.attempts",
		metric.WithDescription("Calls to searchers by cause, and by whether the searcher names a maximum request rate."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			m.attemptCounts.counts.Range(func(key, n any) bool {
				a := key.(Attempt)
				o.Observe(n.(*atomic.Int64).Load(), metric.WithAttributes(
					attribute.String("cause", a.Cause), attribute.Bool("limited", a.Limited)))
				return true
			})
			return nil
		}))
	return err
}
