package gate

import "net"

type listener struct {
	net.Listener
	gate *Gate
}

// NewListener returns a listener whose connections block while g is closed. Connections are accepted at all times.
func NewListener(ln net.Listener, g *Gate) net.Listener {
	return &listener{Listener: ln, gate: g}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c, l.gate, l.gate, nil), nil
}
