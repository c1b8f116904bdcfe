package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
)

const (
	// chunkBytes bounds what is read at once, chunksHeld what a delayed direction holds.
	chunkBytes = 32 << 10
	chunksHeld = 256
)

// chunk is a piece of the stream and the time at which it leaves.
type chunk struct {
	due  time.Time
	data []byte
}

// relay joins one accepted connection with the target until either side closes.
func (l *Link) relay(ctx context.Context, near net.Conn) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	l.track(near)
	defer l.drop(near)
	if !l.there.Wait(ctx.Done()) {
		return
	}
	far, err := new(net.Dialer).DialContext(ctx, "tcp", l.Target)
	if err != nil {
		return
	}
	l.track(far)
	defer l.drop(far)
	stop := context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	defer stop()
	var ways sync.WaitGroup
	ways.Go(func() { defer end(); l.pump(ctx, far, near, &l.there, &l.count.BytesThere) })
	ways.Go(func() { defer end(); l.pump(ctx, near, far, &l.back, &l.count.BytesBack) })
	ways.Wait()
}

// pump carries one direction.
func (l *Link) pump(ctx context.Context, to, from net.Conn, g *gate.Gate, count *int64) {
	chunks := make(chan chunk, chunksHeld)
	var reader sync.WaitGroup
	defer reader.Wait()
	defer func() { _ = from.Close() }()
	reader.Go(func() { defer close(chunks); l.read(ctx, from, chunks) })
	for c := range chunks {
		if !sleepUntil(ctx, c.due) || !g.Wait(ctx.Done()) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
		l.carried(count, len(c.data))
	}
}

func (l *Link) read(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{due: time.Now().Add(l.delay()), data: buf[:n]}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.DelayMs.Duration()
}

func (l *Link) carried(count *int64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*count += int64(n)
}

func (l *Link) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	l.count.ConnectionsNow++
	l.count.Connects++
}

func (l *Link) drop(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.count.ConnectionsNow--
}

func shut(g *gate.Gate, closed bool) {
	if closed {
		g.Shut()
		return
	}
	g.Open()
}
