package back

import (
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue full")

// slots is a semaphore with a bounded first-in first-out queue.
type slots struct {
	mu      sync.Mutex
	free    int
	room    int
	running int
	queue   []chan struct{}
}

// take waits for a slot. It returns errQueueFull or the context's cause when it got none.
func (s *slots) take(ctx context.Context, queued func(int)) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.room {
		s.mu.Unlock()
		return errQueueFull
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	queued(len(s.queue))
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return s.leave(ctx, turn)
	}
}

// leave takes a waiter out of the queue. A waiter whose turn has just come keeps its slot.
func (s *slots) leave(ctx context.Context, turn chan struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range s.queue {
		if t == turn {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return context.Cause(ctx)
		}
	}
	return nil
}

// give returns a slot, to the first waiter if there is one.
func (s *slots) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.free++
		s.running--
		return
	}
	close(s.queue[0])
	s.queue = s.queue[1:]
}

func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
