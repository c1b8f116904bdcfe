package server

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/httpio"
)

// crashCode is the exit code of a stand-in process that exits on an injected crash.
const crashCode = 3

// instance is one run of a searcher, from a start to the next crash, with its own incarnation.
type instance struct {
	searcher    *Searcher
	incarnation yuccahinge.Incarnation
	startedAt   time.Time
	skipsWarmup bool
	slots       slots
	killed      atomic.Bool
	ctx         context.Context
	cancel      context.CancelFunc
	crashOnce   sync.Once

	reportsMu sync.Mutex
	// reports are the past load reports, oldest first.
	reports []timedReport
}

// timedReport is a load report and the time at which it was measured.
type timedReport struct {
	takenAt time.Time
	report  yuccahinge.LoadReport
}

func newInstance(s *Searcher) *instance {
	i := &instance{searcher: s, incarnation: newIncarnation(), startedAt: time.Now()}
	i.slots.free, i.slots.maxQueued = s.cfg.Slots, s.cfg.MaxQueued
	i.ctx, i.cancel = context.WithCancel(context.Background())
	return i
}

// serve answers requests until ctx ends or the instance crashes, then closes all connections.
func (i *instance) serve(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, i.cancel)
	defer stop()
	limited := &listener{
		Listener:     ln,
		maxConns:     i.searcher.cfg.MaxConnections,
		connectDelay: i.searcher.cfg.ConnectMs.Duration(),
		gate:         &i.searcher.gate,
		counters:     &i.searcher.counters,
	}
	limited.start()
	_ = httpio.Serve(i.ctx, limited, i.handler())
	_ = limited.Close()
}

// crash ends the instance as a process crash does: all connections close without a reply. If killed is true, the
// searcher restarts on a start request only.
func (i *instance) crash(killed bool) {
	i.crashOnce.Do(func() {
		i.killed.Store(killed)
		i.searcher.counters.update(func(c *Counters) { c.Crashes++ })
		if i.searcher.cfg.ExitOnCrash {
			os.Exit(crashCode)
		}
		i.cancel()
	})
}

func (i *instance) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", i.handleQuery)
	mux.HandleFunc("POST /v1/charge", i.handleCharge)
	mux.HandleFunc("GET /v1/load", i.handleLoad)
	return mux
}
