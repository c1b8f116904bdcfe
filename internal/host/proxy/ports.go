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
		{Setting: "callersAddr", Addr: s.CallersAddr, Listener: &l.callers},
		{Setting: "forward.readyAddr", Addr: s.Forward.ReadyAddr, Listener: &l.ready},
		{Setting: "peersAddr", Addr: s.PeersAddr, Listener: &l.peers},
		{Setting: "operatorsAddr", Addr: s.OperatorsAddr, Listener: &l.operators},
	}
}
