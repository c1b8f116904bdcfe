package gate

import (
	"context"
	"net"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
)

// ports are the listeners of a gate.
type ports struct {
	callers   net.Listener
	ready     net.Listener
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
		{"forward.readyAddr", s.Forward.ReadyAddr, &p.ready},
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
	for _, l := range []net.Listener{p.callers, p.ready, p.peers, p.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}
