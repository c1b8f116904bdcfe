package gate

import "net"

type listener struct {
	net.Listener
	gate *Gate
}

// NewListener returns ln with its connections behind the gate.
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
