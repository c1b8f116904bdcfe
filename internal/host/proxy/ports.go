package proxy

import (
	"net"

	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

// listeners are the bound ports of the host.
type listeners struct {
	callers   net.Listener
	ready     net.Listener
	peers     net.Listener
	operators net.Listener
}

func (l *listeners) all(s *config.Settings) []ports.Port {
	return []ports.Port{
		{Field: "callersAddr", Addr: s.CallersAddr, To: &l.callers},
		{Field: "forward.readyAddr", Addr: s.Forward.ReadyAddr, To: &l.ready},
		{Field: "peersAddr", Addr: s.PeersAddr, To: &l.peers},
		{Field: "operatorsAddr", Addr: s.OperatorsAddr, To: &l.operators},
	}
}
