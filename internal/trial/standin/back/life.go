package back

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/wire"
)

// crashCode is the exit code of a process that a marked query crashed.
const crashCode = 3

// life is one life of a searcher, from its start to a crash.
type life struct {
	s           *Searcher
	incarnation yuccahinge.Incarnation
	began       time.Time
	warm        bool
	slots       slots
	killed      atomic.Bool
	ctx         context.Context
	end         context.CancelFunc
	once        sync.Once

	laterMu sync.Mutex
	later   []timedReport
}

// timedReport is a load report and the time that it was true.
type timedReport struct {
	at     time.Time
	report yuccahinge.LoadReport
}

func newLife(s *Searcher) *life {
	l := &life{s: s, incarnation: incarnation(), began: time.Now()}
	l.slots.free, l.slots.room = s.cfg.Slots, s.cfg.Queue
	l.ctx, l.end = context.WithCancel(context.Background())
	return l
}

// serve answers until ctx or the life ends, then drops all connections.
func (l *life) serve(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, l.end)
	defer stop()
	capped := &listener{
		Listener: ln,
		most:     l.s.cfg.Connections,
		connect:  l.s.cfg.ConnectMs.Duration(),
		gate:     &l.s.gate,
		tally:    &l.s.tally,
	}
	capped.start()
	_ = wire.Serve(l.ctx, capped, l.handler())
	_ = capped.Close()
}

// crash ends the life as the death of the process would.
func (l *life) crash(killed bool) {
	l.once.Do(func() {
		l.killed.Store(killed)
		l.s.tally.add(func(c *Counters) { c.Crashes++ })
		if l.s.cfg.ExitOnCrash {
			os.Exit(crashCode)
		}
		l.end()
	})
}

func (l *life) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", l.query)
	mux.HandleFunc("POST /v1/charge", l.charge)
	mux.HandleFunc("GET /v1/load", l.load)
	return mux
}
