package node

import (
	"context"
	"net"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
)

// ports are the three listeners of a host.
type ports struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

func (p *ports) listen(ctx context.Context, s *config.Settings) error {
	for _, b := range []struct {
		field string
		addr  string
		to    *net.Listener
	}{
		{"callersAddr", s.CallersAddr, &p.callers},
		{"peersAddr", s.PeersAddr, &p.peers},
		{"operatorsAddr", s.OperatorsAddr, &p.operators},
	} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", b.addr)
		if err != nil {
			p.close()
			return &yuccahinge.Error{
				Code:    yuccahinge.CodeInvalid,
				Step:    yuccahinge.StepSettings,
				Message: b.field + " " + b.addr + " can't be bound",
				Err:     err,
			}
		}
		*b.to = l
	}
	return nil
}

func (p *ports) close() {
	for _, l := range []net.Listener{p.callers, p.peers, p.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}
