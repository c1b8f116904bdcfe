package once

import (
	"net/http/httptrace"
	"sync"
)

// trail keeps the connections that one call obtained.
type trail struct {
	mu    sync.Mutex
	conns []*conn
	// foreign is set when a connection came from elsewhere, so that nothing can be proved.
	foreign bool
}

func (t *trail) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.got}
}

func (t *trail) got(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.foreign = true
		return
	}
	t.conns = append(t.conns, c)
}

// neverSent seals the connections and reports whether no byte of the call left this process, and none will.
func (t *trail) neverSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	unwritten := !t.foreign
	for _, c := range t.conns {
		if !c.seal() {
			unwritten = false
		}
	}
	return unwritten
}
