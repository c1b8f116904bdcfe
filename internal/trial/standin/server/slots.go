package server

import (
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue full")

// slots is a semaphore with a bounded FIFO queue of waiters.
type slots struct {
	mu        sync.Mutex
	free      int
	maxQueued int
	running   int
	queue     []chan struct{}
}

// acquire waits for a slot. It returns errQueueFull if the queue is full, or the cause of ctx if ctx ends first.
// onQueued is called with the length of the queue, under the lock, if the caller has to wait.
func (s *slots) acquire(ctx context.Context, onQueued func(int)) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.maxQueued {
		s.mu.Unlock()
		return errQueueFull
	}
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	onQueued(len(s.queue))
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return s.dequeue(ctx, granted)
	}
}

// dequeue removes a waiter whose ctx has ended from the queue. A waiter that was granted a slot in the meantime keeps
// it, and dequeue returns nil.
func (s *slots) dequeue(ctx context.Context, granted chan struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, waiter := range s.queue {
		if waiter == granted {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return context.Cause(ctx)
		}
	}
	return nil
}

// release frees a slot, or grants it to the first waiter if there is one.
func (s *slots) release() {
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

func (s *slots) usage() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
