package chaos

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/origin"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/store"
)

const (
	// readServices is the number of services that successive configurations assign to the read route in turn.
	readServices = 3
	// attempts is the largest number of searchers of a shard that may run a request.
	attempts          = 2
	heartbeatInterval = 400 * time.Millisecond
	// drainTime is how long a searcher keeps serving after it has announced that it drains.
	drainTime = 3 * time.Second
)

// environment is the platform and the searchers, which run in this process and not in that of a host.
type environment struct {
	load  Load
	shape Shape

	store     store.Store
	storeAddr string
	// storeDisruptions holds when the store was away.
	storeDisruptions disruptions
	runs             origin.RunLog
	crashes          origin.CrashLog
	// onlySilent is set if the addresses of all searchers that requests have ended are silent.
	onlySilent bool
	odd        oddEntries
	version    atomic.Int64
	lastID     atomic.Int64

	mu        sync.Mutex
	searchers []*searcher
	removed   []*searcher
	// evacuations holds what the operator has asked for.
	evacuations []evacuation
}

// searcher is a searcher instance behind a link that injects network faults.
type searcher struct {
	server origin.Server
	domain string
	link   link.Link
	stop   context.CancelFunc
	// stopServer ends the searcher alone: its link accepts connections and closes them.
	stopServer context.CancelFunc
	// draining is also set for a crashed searcher, so that pickSearcher skips it. A crashed one writes nothing any more.
	draining  atomic.Bool
	crashed   atomic.Bool
	startedMs int64
	// leavingSince is when the store acknowledged that the searcher leaves, in a series that checks it; guarded by the environment.
	leavingSince time.Time

	disruptions disruptions

	ratesMu     sync.Mutex
	ratePeriods []ratePeriod
}

func newEnvironment(ctx context.Context, load Load, shape Shape) (*environment, error) {
	e := &environment{load: load, shape: shape}
	e.crashes.FailEvery = crashFailEvery
	if err := e.odd.listen(ctx); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.storeAddr = l.Addr().String()
	server := &http.Server{Handler: e.store.Handler()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }() // returns when ctx ends
	e.publishConfig()
	for i, name := range shape.services() {
		for _, domain := range shape.replicaDomains(i) {
			if _, err := e.startSearcher(ctx, name, domain); err != nil {
				return nil, err
			}
		}
	}
	go e.sendHeartbeats(ctx)
	return e, nil
}

// slots returns the number of slots of each searcher of a service.
func (e *environment) slots(service string) int {
	if service == longRead || service == longPay {
		return longSlots
	}
	return e.load.slots()
}

// publishConfig writes the next configuration, which assigns the next service to the read route.
func (e *environment) publishConfig() {
	n := e.version.Add(1)
	route := func(name string) store.Route {
		return store.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Service: name, TimeoutMs: int(timeoutOf(name).Milliseconds()),
			ObjectiveMs: 200, Attempts: attempts,
		}
	}
	wide, read, pay, order := route("wide"), route("read"), route("pay"), route(longPay)
	wide.Service, wide.Shards, wide.TopK, wide.MinCoverage = "", e.shape.services()[:e.shape.shards()], topRecords, 0.5
	read.Service = readService(n)
	pay.AtMostOnce, order.AtMostOnce = true, true
	e.store.PutConfig(n, []store.Route{wide, read, pay, route(longRead), order}, e.shape.services(), 40, 10_000)
}

// startSearcher starts a searcher behind a link, registers it and returns it.
func (e *environment) startSearcher(ctx context.Context, service, domain string) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{domain: domain, startedMs: time.Now().UnixMilli()}
	s.server.ID = fmt.Sprint("i-", e.lastID.Add(1))
	s.server.Service, s.server.Slots, s.server.ServiceTime, s.server.RunLog = service, e.slots(service), e.load.serviceTime(), &e.runs
	s.link.ListenAddr, s.link.Target = "127.0.0.1:0", l.Addr().String()
	if err := s.link.Listen(); err != nil {
		return nil, err
	}
	serveCtx, stop := context.WithCancel(ctx)
	s.stop = stop
	s.server.CrashLog, s.server.OnCrash = &e.crashes, func() { e.restartCrashed(ctx, s) }
	serverCtx, stopServer := context.WithCancel(serveCtx)
	s.stopServer = stopServer
	go s.server.Serve(serverCtx, l)
	go func() { _ = s.link.Run(serveCtx) }() // returns when stop is called or ctx ends
	e.mu.Lock()
	defer e.mu.Unlock()
	e.searchers = append(e.searchers, s)
	e.register(s)
	return s, nil
}

func (e *environment) register(s *searcher) {
	e.store.PutSearcher(s.server.ID, store.Searcher{
		Service: s.server.Service, Addr: s.link.Addr(), Domain: s.domain, Slots: s.server.Slots,
		Draining: s.draining.Load(), Sequence: time.Now().UnixMilli(), Generation: s.startedMs,
	})
}

// sendHeartbeats registers all searchers again at each heartbeat interval until ctx ends.
func (e *environment) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		for _, s := range e.searchers {
			if !s.crashed.Load() {
				e.register(s)
			}
		}
		e.mu.Unlock()
		sleep(ctx, heartbeatInterval)
	}
}

// removeSearcher stops a searcher and deletes its registration.
func (e *environment) removeSearcher(s *searcher) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.stop()
	s.disruptions.addForever()
	for i, other := range e.searchers {
		if other == s {
			e.searchers = append(e.searchers[:i], e.searchers[i+1:]...)
			e.removed = append(e.removed, s)
			s.setMaxRate("")
			e.store.DeleteSearcher(s.server.ID)
			return
		}
	}
}

// pickSearcher returns the first searcher from index n on, modulo their number, that is not draining. If all drain, it
// returns the first.
func (e *environment) pickSearcher(n int) *searcher {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.searchers {
		if s := e.searchers[(n+i)%len(e.searchers)]; !s.draining.Load() {
			return s
		}
	}
	return e.searchers[0]
}

// checkRates reports the searchers that got more requests than the maximum rates that they named.
func (e *environment) checkRates(c *checker) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range [][]*searcher{e.searchers, e.removed} {
		for _, s := range list {
			for _, v := range s.rateViolations() {
				c.addViolation(v)
			}
		}
	}
}

// clearFaults ends the faults of the platform and of all searchers.
func (e *environment) clearFaults() {
	e.store.SetDown(false)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.searchers {
		s.clearFaults()
	}
}

func (s *searcher) clearFaults() {
	s.setMaxRate("")
	s.server.SetSlowFactor(1)
	s.server.SetShedEvery(0)
	s.server.SetNoReply(false)
	s.server.SetRetryAfter("")
	s.server.SetCutEvery(0)
	s.link.SetFaults(link.Faults{Cut: link.CutNone})
	s.closeConns()
}

// closeConns resets the connections to the searcher.
func (s *searcher) closeConns() {
	s.disruptions.add(0)
	s.link.CloseConns()
}
