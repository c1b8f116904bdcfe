package submit

import (
	"net/http/httptrace"
	"sync"
)

// connTrace records the connections that one call obtained.
type connTrace struct {
	mu    sync.Mutex
	conns []*conn
	// foreign is set if a connection is not a *conn, so that writes to it were not recorded.
	foreign bool
}

func (t *connTrace) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.addConn}
}

func (t *connTrace) addConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.foreign = true
		return
	}
	t.conns = append(t.conns, c)
}

// neverSent seals the connections and reports whether no byte of the call was written. After that none can be.
func (t *connTrace) neverSent() bool {
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
