// Package guard counts what clients' connections take and ends those that package usage names.
package guard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/front/usage"
)

// checkInterval is the time between two checks for connections that take too long.
const checkInterval = 250 * time.Millisecond

// Guard bounds the connections of the listeners that it wraps. Set the fields before Listen. One without Clock bounds nothing.
type Guard struct {
	Tracker usage.Tracker
	Clock   yuccahinge.Clock
}

// listener wraps the connections of a listener.
type listener struct {
	net.Listener
	guard      *Guard
	port       *usage.Port
	isMessages bool
}

// Listen returns a listener for HTTP whose connections are bounded. The server needs Track and NewContext, and its handler Handler.
func (g *Guard) Listen(l net.Listener, p *usage.Port) net.Listener {
	if g.Clock == nil {
		return l
	}
	return &listener{Listener: l, guard: g, port: p}
}

// ListenMessages is like Listen for connections that carry messages between hosts.
func (g *Guard) ListenMessages(l net.Listener, p *usage.Port) net.Listener {
	if g.Clock == nil {
		return l
	}
	return &listener{Listener: l, guard: g, port: p, isMessages: true}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		t := &l.guard.Tracker
		await(maxAcceptWait, func() bool { return t.MustWaitToOpen(l.port) })
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l)
		l.guard.end(t.Open(l.guard.Clock.Now(), &c.client), true)
		if !c.hasEnded.Load() {
			return c, nil
		}
		_ = c.Close()
	}
}

// Track records the state of a connection. It is part of http.Server.ConnState.
func (g *Guard) Track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.isInHead.Store(true)
		g.Tracker.Enter(g.Clock.Now(), &c.client, usage.Idle)
	case http.StateActive:
		c.isInHead.Store(false)
		g.Tracker.Enter(g.Clock.Now(), &c.client, usage.Body)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Run ends the connections that take too long, until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	if g.Clock == nil {
		return nil
	}
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.endExpired()
		case <-ctx.Done():
			return nil
		}
	}
}

// endExpired ends the connections that take too long. One with unread bytes is spared, since the host is late and not its client.
func (g *Guard) endExpired() {
	for client, reason := range g.Tracker.Expired(g.Clock.Now()) {
		if reason != usage.AnswerRate && client.HasUnread() {
			continue
		}
		if g.Tracker.EndExpired(g.Clock.Now(), client, reason) {
			client.Owner.(*trackedConn).end(reason == usage.AnswerRate)
		}
	}
}

// end ends connections. With isForced they are closed at once.
func (g *Guard) end(clients []*usage.Client, isForced bool) {
	for _, c := range clients {
		c.Owner.(*trackedConn).end(isForced)
	}
}
