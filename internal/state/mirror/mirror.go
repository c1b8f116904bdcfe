// Package mirror reads several replicas of the platform in order of preference.
package mirror

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// errNone is returned when no replica is set.
var errNone = errors.New("no replica of the platform is set")

// Mirror asks the replica that answered last, and the others in turn when it fails. Set Replicas before
// the first use.
type Mirror struct {
	Replicas []yuccahinge.Source

	last atomic.Uint32
}

var _ yuccahinge.Source = (*Mirror)(nil)

// Head implements yuccahinge.Source.
func (m *Mirror) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	return first(ctx, m, func(s yuccahinge.Source) (yuccahinge.TicketNumber, error) { return s.Head(ctx, after, wait) })
}

// Ticket implements yuccahinge.Source.
func (m *Mirror) Ticket(ctx context.Context, n yuccahinge.TicketNumber) (*yuccahinge.Ticket, error) {
	return first(ctx, m, func(s yuccahinge.Source) (*yuccahinge.Ticket, error) { return s.Ticket(ctx, n) })
}

// State implements yuccahinge.Source.
func (m *Mirror) State(ctx context.Context) (*yuccahinge.State, error) {
	return first(ctx, m, func(s yuccahinge.Source) (*yuccahinge.State, error) { return s.State(ctx) })
}

// Members implements yuccahinge.Source.
func (m *Mirror) Members(ctx context.Context) ([]yuccahinge.Member, error) {
	return first(ctx, m, func(s yuccahinge.Source) ([]yuccahinge.Member, error) { return s.Members(ctx) })
}

// first returns the first answer, beginning with the replica that answered last. The errors of all are joined.
func first[T any](ctx context.Context, m *Mirror, ask func(yuccahinge.Source) (T, error)) (T, error) {
	var zero T
	if len(m.Replicas) == 0 {
		return zero, errNone
	}
	start := int(m.last.Load())
	var errs []error
	for i := range m.Replicas {
		at := (start + i) % len(m.Replicas)
		v, err := ask(m.Replicas[at])
		if err == nil {
			m.last.Store(uint32(at))
			return v, nil
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return zero, errors.Join(errs...)
}
