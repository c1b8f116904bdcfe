// Package multi reads the platform from several replicas, with failover.
package multi

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

// errNone is returned when Replicas is empty.
var errNone = errors.New("no platform replica is configured")

// Source calls the replica that answered last, and the others in turn when it fails. Set Replicas before the first
// use. Its methods are safe for concurrent use.
type Source struct {
	Replicas []yuccahinge.ConfigSource

	lastGood atomic.Uint32
}

var _ yuccahinge.ConfigSource = (*Source)(nil)

// Head implements yuccahinge.Source.
func (m *Source) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	return firstAnswer(ctx, m, func(s yuccahinge.ConfigSource) (yuccahinge.TicketNumber, error) { return s.Head(ctx, after, wait) })
}

// Ticket implements yuccahinge.Source.
func (m *Source) Ticket(ctx context.Context, n yuccahinge.TicketNumber) (*yuccahinge.Ticket, error) {
	return firstAnswer(ctx, m, func(s yuccahinge.ConfigSource) (*yuccahinge.Ticket, error) { return s.Ticket(ctx, n) })
}

// State implements yuccahinge.Source.
func (m *Source) State(ctx context.Context) (*yuccahinge.State, error) {
	return firstAnswer(ctx, m, func(s yuccahinge.ConfigSource) (*yuccahinge.State, error) { return s.State(ctx) })
}

// Members implements yuccahinge.Source.
func (m *Source) Members(ctx context.Context) ([]yuccahinge.Member, error) {
	return firstAnswer(ctx, m, func(s yuccahinge.ConfigSource) ([]yuccahinge.Member, error) { return s.Members(ctx) })
}

// firstAnswer returns the first answer, starting with the replica that answered last. If all fail, their errors are
// joined.
func firstAnswer[T any](ctx context.Context, m *Source, read func(yuccahinge.ConfigSource) (T, error)) (T, error) {
	var zero T
	if len(m.Replicas) == 0 {
		return zero, errNone
	}
	start := int(m.lastGood.Load())
	var errs []error
	for i := range m.Replicas {
		at := (start + i) % len(m.Replicas)
		v, err := read(m.Replicas[at])
		if err == nil {
			m.lastGood.Store(uint32(at))
			return v, nil
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return zero, errors.Join(errs...)
}
