package node

import (
	"net"

	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/host/ports"
)

// listeners are the bound ports of a host.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

func (l *listeners) all(s *config.Settings) []ports.Port {
	return []ports.Port{
		{Setting: "callersAddr", Addr: s.CallersAddr, Listener: &l.callers},
		{Setting: "peersAddr", Addr: s.PeersAddr, Listener: &l.peers},
		{Setting: "operatorsAddr", Addr: s.OperatorsAddr, Listener: &l.operators},
	}
}
