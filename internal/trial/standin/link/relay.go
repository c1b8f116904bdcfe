package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/gate"
)

const (
	// chunkBytes is the maximum size of one read, maxQueuedChunks the maximum number of chunks that wait for the delay
	// of a direction.
	chunkBytes      = 32 << 10
	maxQueuedChunks = 256
)

// chunk is a part of the stream and the time at which it is sent.
type chunk struct {
	sendAt time.Time
	data   []byte
}

// relay connects to the target and copies bytes between it and one accepted connection until either side closes. A link
// that is cut towards the target delays the connect as well.
func (l *Link) relay(ctx context.Context, client net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.track(client)
	defer l.closeConn(client)
	if !l.toTarget.Wait(ctx.Done()) {
		return
	}
	target, err := new(net.Dialer).DialContext(ctx, "tcp", l.Target)
	if err != nil {
		return
	}
	l.track(target)
	defer l.closeConn(target)
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = target.Close()
	})
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { defer cancel(); l.pump(ctx, target, client, &l.toTarget, &l.counters.BytesToTarget) })
	directions.Go(func() { defer cancel(); l.pump(ctx, client, target, &l.fromTarget, &l.counters.BytesFromTarget) })
	directions.Wait()
}

// pump copies one direction, each chunk after its delay and while the gate is open.
func (l *Link) pump(ctx context.Context, to, from net.Conn, g *gate.Gate, count *int64) {
	chunks := make(chan chunk, maxQueuedChunks)
	var reader sync.WaitGroup
	defer reader.Wait()
	defer func() { _ = from.Close() }()
	reader.Go(func() { defer close(chunks); l.readChunks(ctx, from, chunks) })
	for c := range chunks {
		if !sleepUntil(ctx, c.sendAt) || !g.Wait(ctx.Done()) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
		l.addBytes(count, len(c.data))
	}
}

func (l *Link) readChunks(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{sendAt: time.Now().Add(l.delay()), data: buf[:n]}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// sleepUntil reports whether due was reached before ctx ended.
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

func (l *Link) addBytes(count *int64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*count += int64(n)
}

func (l *Link) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	l.counters.OpenConnections++
	l.counters.TotalConnections++
}

// closeConn closes a tracked connection and removes it.
func (l *Link) closeConn(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.counters.OpenConnections--
}

func setGate(g *gate.Gate, isClosed bool) {
	if isClosed {
		g.Close()
		return
	}
	g.Open()
}
