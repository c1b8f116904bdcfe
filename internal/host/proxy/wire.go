package proxy

import (
	"hash/fnv"
	"net/http"
	"slices"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/front/admin"
	"github.com/yuccahinge/yuccahinge/internal/front/conn"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
	"github.com/yuccahinge/yuccahinge/internal/state/delays"
)

const (
	// hostExpiryMs is how long unreachable hosts still count as members when limits are divided: during a network
	// partition both sides send, and their attempts and connections add up at the searchers.
	hostExpiryMs = 30 * yuccahinge.Second
	// errorCostMs is the latency that a refused or failed call adds to a request: about that of a whole retry with its
	// connection setup.
	errorCostMs yuccahinge.Millis = 60
	// crossDomainShare is the latency penalty of a call to another failure domain, as a share of the shortest latency
	// objective. A reply from the own domain that is later by less than the penalty is still on time.
	crossDomainShare = 0.5
	// crossDomainMs is the latency penalty of a call to another failure domain while no latency objective is known.
	crossDomainMs yuccahinge.Millis = 9
	// peerDialMs bounds the connection setup to another host. It allows several round trips between regions and leaves
	// time to run a request here if the host chosen for it is unreachable.
	peerDialMs yuccahinge.Millis = 200
	// headerTimeout and callerIdleTimeout are above the bounds that the routing sets for callers, so that no caller
	// within them is cut off.
	headerTimeout     = 30 * time.Second
	callerIdleTimeout = 10 * time.Minute
	// maxEjectMs bounds how long a searcher stays ejected. Probes detect earlier than that whether it answers, and an
	// ejection that outlasts the crash loads the other replica needlessly.
	maxEjectMs = 4 * yuccahinge.Second
)

// wire sets up the components of the host from the settings. It opens no socket and starts no goroutine.
func (srv *Server) wire() error {
	srv.started = srv.clock.Now()
	srv.current.Store(srv.Settings)
	if err := srv.wireEvents(); err != nil {
		return err
	}
	srv.wirePeers()
	srv.wireState()
	srv.wireSearchers()
	srv.wireAssign()
	srv.wireHTTP()
	return nil
}

func (srv *Server) wireEvents() error {
	srv.events.Host = srv.Settings.Host
	srv.events.Clock = srv.clock
	srv.events.Stamps = &srv.stamps
	srv.events.Capacity = srv.Settings.Limits.Events
	srv.logs.Out = srv.Log
	srv.logs.LinesPerSecond = srv.Settings.Forward.LogLines
	srv.logs.Start()
	srv.events.Sink = srv.observe
	if err := srv.meter.Start(); err != nil {
		return err
	}
	return srv.registerGauges()
}

func (srv *Server) wirePeers() {
	p := &srv.parts
	p.pool.Cluster = srv.Settings.Cluster
	p.pool.Self = srv.self
	p.pool.Clock = srv.clock
	p.pool.Stamps = &srv.stamps
	p.pool.MaxPerAddr = srv.Settings.Limits.PeerConnections
	p.pool.DialMs = peerDialMs
	p.peers.Cluster = srv.Settings.Cluster
	p.peers.Self = srv.self
	p.peers.Clock = srv.clock
	p.peers.Stamps = &srv.stamps
	p.peers.Recorder = &srv.events
}

func (srv *Server) wireState() {
	p := &srv.parts
	sy := &p.syncer
	sy.Self = srv.self
	sy.Seeds = srv.Settings.Seeds
	sy.Source = srv.Adapters.TicketSource
	sy.Peers = &p.pool
	sy.Clock = srv.clock
	sy.Recorder = &srv.events
	sy.Seed = srv.seed()
	sy.PauseThresholdMs = srv.Settings.Limits.PauseThresholdMs
	sy.WatchWaitMs = ticketWatchMs
	sy.BoundMs = ticketBound(&srv.Settings.Forward)
	sy.OnAdopt = func(s *yuccahinge.State) { p.routeTable.SetRouting(s.Routing) }
	sy.Register(p.peers.Handle)
	srv.wireEvacuations()

	p.relay.Self = yuccahinge.HostID(srv.self.ID)
	p.relay.Domain = srv.self.Domain
	p.relay.Peers = &p.pool
	p.relay.Membership = sy.Roster()
	p.relay.Clock = srv.clock
	p.relay.Bound = listBound(&srv.Settings.Forward)
	p.relay.Register(p.peers.Handle)

	w := &p.watcher
	w.ListWatcher = srv.Adapters.SearcherSource
	w.OnChange = srv.setSearchers
	w.AwaitPeers = sy.AwaitPeers
	w.Peers = &p.relay
	w.Recorder = &srv.events
	w.Clock = srv.clock
	w.PauseMs = srv.Settings.Forward.ListPollMs
	w.Bound = listBound(&srv.Settings.Forward)
	w.Seed = srv.seed()
}

// ticketBound returns the time within which what the operator writes must be in force on every host, or zero. Evacuations are read and
// sent with the tickets.
func ticketBound(s *config.Forward) yuccahinge.Millis {
	if s.TicketMs > 0 && s.EvacuateMs > 0 {
		return min(s.TicketMs, s.EvacuateMs)
	}
	return max(s.TicketMs, s.EvacuateMs)
}

// listBound returns the bound on the delays of reads of the list of searchers.
func listBound(s *config.Forward) delays.Bound {
	return delays.Bound{DrainMs: s.SearcherDrainMs, HeartbeatMs: s.HeartbeatMs}
}

// ticketWatchMs is the long-poll timeout of a watch for tickets. A call without a response is abandoned soon after it, so
// it also bounds how long a dead connection stays undetected.
const ticketWatchMs = 4 * yuccahinge.Second

func (srv *Server) wireSearchers() {
	p := &srv.parts
	s := srv.Settings.Forward
	p.conns.Clock = srv.clock
	p.conns.MaxReplyBytes = srv.Settings.Limits.ReplyBytes
	p.conns.LimitReplies(srv.Settings.Limits.AllReplyBytes())
	p.balancer.Domain = srv.self.Domain
	p.balancer.Seed = srv.seed()
	p.balancer.WatchDomains = true
	p.balancer.MaxEjectMs = maxEjectMs
	p.balancer.ErrorCostMs = errorCostMs
	p.balancer.CrossDomainMs = srv.crossDomainCost
	p.balancer.Limits = &p.limits
	p.balancer.Troubles = &p.troubles
	srv.wireLimits()
	srv.wireDepartures()
	srv.wireHolds()
	srv.wireCapacity()
	p.quota.Ratio = func() float64 { return srv.current.Load().Forward.ExtraRatio }
	p.quota.Slack = srv.slack
	p.share.SettleMs = hostExpiryMs
	p.share.Incarnations = 2
	p.slack.SettleMs = s.ExtraWindowMs
	p.slack.HasSeeds = slices.ContainsFunc(srv.Settings.Seeds, func(addr string) bool { return addr != srv.self.PeerAddr })
	srv.wireWarmups()
	p.quota.WindowMs = s.ExtraWindowMs
	e := &p.engine
	client := srv.Adapters.NewSearcherClient(srv)
	srv.prober = client
	e.Caller = client
	e.ReachableShards = p.balancer.ReachableShards
	e.Picker = &p.balancer
	e.Estimator = &p.balancer
	e.Admission = &p.admit
	e.Room = &p.balancer
	e.HasRoom = p.balancer.HasRoom
	e.Observer = &p.balancer
	e.OnAttempt = srv.countAttempt
	e.Hedger = &p.hedge
	e.LatencyRecorder = &p.hedge
	e.RetryBudget = &p.quota
	e.HedgeBudget = &p.quota
	e.Crashes = &p.crashes
	e.IsGone = srv.unlessEvacuated(client.IsGone)
	e.IsAlive = srv.responds
	e.Troubles = &p.troubles
	e.Gossip = &p.syncer
	p.syncer.Subscribe(e.ApplyNotice)
	e.Domain = srv.self.Domain
	e.Clock = srv.clock
	e.Recorder = &srv.events
	e.FinishHTTP1 = true
	e.OmitAttemptEvents = true
	e.CallerOneWayMs = s.CallerOneWayMs
}

// crossDomainCost returns the latency penalty of a call to another failure domain.
func (srv *Server) crossDomainCost() yuccahinge.Millis {
	if plan := srv.Plan(); plan != nil && plan.MinObjectiveMs > 0 {
		return crossDomainShare * plan.MinObjectiveMs
	}
	return crossDomainMs
}

func (srv *Server) wireAssign() {
	p := &srv.parts
	p.selector.Self = srv.self
	a := &p.assign
	a.Engine = &p.engine
	a.Flights = &srv.flights
	a.Selector = &p.selector
	a.Membership = p.syncer.Roster()
	a.Peers = &p.pool
	a.Clock = srv.clock
	a.Recorder = &srv.events
	a.Index = func(key uint64) *yuccahinge.Index {
		if plan := p.routeTable.Plan(); plan != nil {
			return plan.Index(key)
		}
		return nil
	}
	a.OnRequest = func(name yuccahinge.RouteName) {
		if plan := p.routeTable.Plan(); plan != nil {
			plan.CountForwarded(name)
		}
	}
	a.IsCut = p.balancer.IsDomainCut
	a.CanServe = srv.canServe
	a.OnHelperReply = srv.handleHelperReply
	a.Register(p.peers.Handle)
	p.engine.Delegator = a
}

func (srv *Server) wireHTTP() {
	p := &srv.parts
	p.callers = &http.Server{ConnContext: conn.NewContext, ConnState: p.callerConns.Track, Handler: srv.trackRequests(srv.Adapters.NewCallerHandler(srv)), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	operators := &admin.Server{Status: srv.status, Confirmation: srv.confirmation, States: &p.syncer, Events: &srv.events, Metrics: srv.meter.Handler()}
	p.operators = &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	p.ready = &http.Server{Handler: srv.Adapters.NewReadyHandler(srv.ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	p.caps.SetUp(&srv.Settings.Limits, srv.clock, srv.callerLimits)
	for _, s := range []*http.Server{p.callers, p.operators, p.ready} {
		p.caps.Prepare(s)
	}
}

// callerLimits returns the limits on callers in force; the zero value while they aren't known.
func (srv *Server) callerLimits() yuccahinge.CallerLimits {
	if plan := srv.Plan(); plan != nil {
		return plan.Routing.CallerLimits
	}
	return yuccahinge.CallerLimits{}
}

// seed returns a random seed that differs between hosts and between restarts of a host.
func (srv *Server) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(srv.self.ID))
	_, _ = h.Write([]byte(srv.self.Incarnation))
	return h.Sum64()
}
