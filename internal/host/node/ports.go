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
		{Field: "callersAddr", Addr: s.CallersAddr, To: &l.callers},
		{Field: "peersAddr", Addr: s.PeersAddr, To: &l.peers},
		{Field: "operatorsAddr", Addr: s.OperatorsAddr, To: &l.operators},
	}
}
