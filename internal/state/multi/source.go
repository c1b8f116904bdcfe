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

	lastAnswered atomic.Uint32
}

var _ yuccahinge.ConfigSource = (*Source)(nil)

// Head implements yuccahinge.ConfigSource.
func (s *Source) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	return firstAnswer(ctx, s, func(r yuccahinge.ConfigSource) (yuccahinge.TicketNumber, error) { return r.Head(ctx, after, wait) })
}

// Ticket implements yuccahinge.ConfigSource.
func (s *Source) Ticket(ctx context.Context, n yuccahinge.TicketNumber) (*yuccahinge.Ticket, error) {
	return firstAnswer(ctx, s, func(r yuccahinge.ConfigSource) (*yuccahinge.Ticket, error) { return r.Ticket(ctx, n) })
}

// State implements yuccahinge.ConfigSource.
func (s *Source) State(ctx context.Context) (*yuccahinge.State, error) {
	return firstAnswer(ctx, s, func(r yuccahinge.ConfigSource) (*yuccahinge.State, error) { return r.State(ctx) })
}

// Members implements yuccahinge.ConfigSource.
func (s *Source) Members(ctx context.Context) ([]yuccahinge.Member, error) {
	return firstAnswer(ctx, s, func(r yuccahinge.ConfigSource) ([]yuccahinge.Member, error) { return r.Members(ctx) })
}

// firstAnswer returns the first answer, starting with the replica that answered last. If all fail, their errors are
// joined.
func firstAnswer[T any](ctx context.Context, s *Source, read func(yuccahinge.ConfigSource) (T, error)) (T, error) {
	var zero T
	if len(s.Replicas) == 0 {
		return zero, errNone
	}
	start := int(s.lastAnswered.Load())
	var errs []error
	for i := range s.Replicas {
		at := (start + i) % len(s.Replicas)
		v, err := read(s.Replicas[at])
		if err == nil {
			s.lastAnswered.Store(uint32(at))
			return v, nil
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return zero, errors.Join(errs...)
}
