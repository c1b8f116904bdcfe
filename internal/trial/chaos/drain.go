package chaos

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

const (
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// lossSlack is how long a request may have been on its way when its connection is closed without an answer.
	lossSlack = 200 * time.Millisecond
	// earlyTime is the time after SIGTERM until when requests may be sent that are cut in the last sixth of the grace.
	earlyTime = 3 * time.Second
	// disruptionTime is how long a kill or a pause excuses lost requests.
	disruptionTime = time.Second
	// drainCallers is the number of connections to a host that are idle when it gets SIGTERM. Each is used once more, at
	// its own time in the grace.
	drainCallers = 24
)

// loss is a request whose connection ended without a complete answer.
type loss struct {
	host, attempt, route string
	// terminated is when the process got SIGTERM; zero if it did not.
	terminated           time.Time
	sent, written, ended time.Time
	isKept               bool
	err                  error
}

// recordEnd counts requests that a draining process took, and records requests whose connection ended without an answer
// though the process was neither killed nor paused.
func (c *checker) recordEnd(a *answer, h *host, p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var terminated time.Time
	if t := p.terminatedAt.Load(); t > 0 {
		terminated = time.Unix(0, t)
	}
	isDraining := !terminated.IsZero() && a.sent.After(terminated)
	switch {
	case a.err == nil && isDraining:
		c.total.Draining++
		if a.status == http.StatusServiceUnavailable {
			c.total.DrainingRefused++
		}
	case a.err == nil || a.written.IsZero() || a.ended.Sub(a.sent) >= a.limit():
	case h.disruptedAt.Load() < a.sent.Add(-disruptionTime).UnixNano():
		c.losses = append(c.losses, loss{h.name, a.attempt, a.route, terminated, a.sent, a.written, a.ended, a.isKept, a.err})
	}
}

// violation returns the rule that the loss violates, or an empty text if it is allowed. The argument wasSent reports whether
// the request arrived at a searcher.
func (l *loss) violation(wasSent bool) string {
	isPlanned := !l.terminated.IsZero()
	switch {
	case wasSent && isPlanned && l.sent.Before(l.terminated.Add(earlyTime)) && l.ended.After(l.terminated.Add(grace*5/6)):
		return ""
	case wasSent && (isPlanned || l.isKept):
		return "was sent to a searcher and its connection closed without an answer"
	case !wasSent && isPlanned && isReadFully(l.err) && l.ended.Sub(l.written) > lossSlack:
		return "was read and its connection closed without an answer"
	}
	return ""
}

// isReadFully reports whether the host had read all bytes of the connection that it closed. The system resets a connection
// that is closed with unread bytes.
func isReadFully(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

func (l *loss) String() string {
	at := "outside of a drain"
	if !l.terminated.IsZero() {
		at = fmt.Sprintf("sent %v and cut %v after SIGTERM", l.sent.Sub(l.terminated).Round(time.Millisecond), l.ended.Sub(l.terminated).Round(time.Millisecond))
	}
	return fmt.Sprintf("host %s: %s request %s, %s (%v),", l.host, l.route, l.attempt, at, l.err)
}

// terminate restarts a host with SIGTERM, while callers send requests on connections that were idle before and on new
// ones, from SIGTERM until the end of the process.
func (x *Experiment) terminate(ctx context.Context, h *host, pause time.Duration) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	idle := make([]*caller, drainCallers)
	for i := range idle {
		idle[i] = newCaller(x, x.nextProbe())
		idle[i].call(ctx, h, "read")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.restart(ctx, syscall.SIGTERM, pause)
	}()
	for i, c := range idle {
		go func() {
			defer c.client.CloseIdleConnections()
			sleep(ctx, time.Duration(i)*x.Shape.drainDeadline()/drainCallers)
			c.callLong(ctx, h)
		}()
	}
	<-ended
}
