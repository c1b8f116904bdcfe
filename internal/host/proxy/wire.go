package proxy

import (
	"hash/fnv"
	"net/http"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/front/admin"
	"github.com/yuccahinge/yuccahinge/internal/front/conn"
)

const (
	// membershipSettleMs is the time after a start until a host knows the other entry hosts.
	membershipSettleMs = 5 * yuccahinge.Second
	// hostExpiryMs is how long unreachable hosts still count as members when limits are divided: during a network
	// partition both sides send, and their attempts and connections add up at the searchers.
	hostExpiryMs = 30 * yuccahinge.Second
	// slackShare is the share of the extra attempts of ExtraSlack that the known hosts divide among themselves. The
	// rest covers hosts that are not in the other hosts' membership lists yet.
	slackShare = 0.75
	// strongSlackShare is the share of ExtraSlack that strong hosts divide for services that are shards, if there are
	// weak hosts too.
	strongSlackShare = 0.65
	// extraRatioShare is the share of ExtraRatio that hosts use. Hosts also count requests that never reached a
	// searcher, which the searchers' operators may leave out of the ratio.
	extraRatioShare = 0.9
	// errorCostMs is the latency that a refused or failed call adds to a request: about that of a whole retry with its
	// connection setup.
	errorCostMs yuccahinge.Millis = 60
	// crossDomainShare is the latency penalty of a call to another failure domain, as a share of the shortest latency
	// objective. A reply from the own domain that is later by less than the penalty is still on time.
	crossDomainShare = 0.5
	// crossDomainMs is the penalty while no latency objective is known.
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

// wire sets up the parts from the settings. It opens no socket and starts no goroutine.
func (g *Server) wire() error {
	g.started = g.clock.Now()
	g.current.Store(g.Settings)
	if err := g.wireEvents(); err != nil {
		return err
	}
	g.wirePeers()
	g.wireState()
	g.wireSearchers()
	g.wireAssign()
	g.wireFronts()
	return nil
}

func (g *Server) wireEvents() error {
	g.events.Host = g.Settings.Host
	g.events.Clock = g.clock
	g.events.Stamps = &g.stamps
	g.events.Capacity = g.Settings.Limits.Events
	g.logs.Out = g.Log
	g.logs.LinesPerSecond = g.Settings.Forward.LogLines
	g.logs.Start()
	g.events.Sink = g.observe
	if err := g.meter.Start(); err != nil {
		return err
	}
	return g.registerGauges()
}

func (g *Server) wirePeers() {
	p := &g.parts
	p.pool.Cluster = g.Settings.Cluster
	p.pool.Self = g.self
	p.pool.Clock = g.clock
	p.pool.Stamps = &g.stamps
	p.pool.MaxPerAddr = g.Settings.Limits.PeerConnections
	p.pool.DialMs = peerDialMs
	p.peers.Cluster = g.Settings.Cluster
	p.peers.Self = g.self
	p.peers.Clock = g.clock
	p.peers.Stamps = &g.stamps
	p.peers.Recorder = &g.events
}

func (g *Server) wireState() {
	p := &g.parts
	k := &p.keeper
	k.Self = g.self
	k.Seeds = g.Settings.Seeds
	k.Source = g.Adapters.TicketSource
	k.Peers = &p.pool
	k.Clock = g.clock
	k.Recorder = &g.events
	k.Seed = g.seed()
	k.PauseThresholdMs = g.Settings.Limits.PauseThresholdMs
	k.WatchWaitMs = ticketWatchMs
	k.OnAdopt = func(s *yuccahinge.State) { p.chart.SetRouting(s.Routing) }
	k.Register(p.peers.Handle)

	p.relay.Self = yuccahinge.HostID(g.self.ID)
	p.relay.Domain = g.self.Domain
	p.relay.Peers = &p.pool
	p.relay.Roster = k.Roster()
	p.relay.Clock = g.clock
	p.relay.Register(p.peers.Handle)

	f := &p.feed
	f.Publisher = g.Adapters.SearcherSource
	f.OnChange = p.chart.SetSearchers
	f.AwaitPeers = k.AwaitPeers
	f.Peers = &p.relay
	f.Recorder = &g.events
	f.Clock = g.clock
	f.PauseMs = g.Settings.Forward.ListPollMs
	f.Seed = g.seed()
}

// ticketWatchMs is the long-poll timeout of a watch for tickets. A connection that stays silent for longer is closed soon
// after.
const ticketWatchMs = 4 * yuccahinge.Second

func (g *Server) wireSearchers() {
	p := &g.parts
	s := g.Settings.Forward
	p.conns.Clock = g.clock
	p.conns.MaxReplyBytes = g.Settings.Limits.ReplyBytes
	p.route.Domain = g.self.Domain
	p.route.Seed = g.seed()
	p.route.WatchDomains = true
	p.route.MaxEjectMs = maxEjectMs
	p.route.ErrorCostMs = errorCostMs
	p.route.CrossDomainMs = g.crossDomainCost
	p.quota.Ratio = func() float64 { return extraRatioShare * g.current.Load().Forward.ExtraRatio }
	p.quota.Slack = g.slack
	p.share.SettleMs = hostExpiryMs
	p.share.Incarnations = 2
	p.strongHosts.SettleMs = hostExpiryMs
	p.quota.WindowMs = s.ExtraWindowMs
	e := &p.engine
	client := g.Adapters.NewSearcherClient(&p.conns, g.connections, g.clock)
	g.prober = client
	e.Caller = client
	e.ReachableShards = p.route.ReachableShards
	e.Picker = &p.route
	e.Estimator = &p.route
	e.Admission = &p.admit
	e.HasRoom = p.route.HasRoom
	e.Observer = &p.route
	e.Hedger = &p.hedge
	e.Learner = &p.hedge
	e.RetryBudget = &p.quota
	e.HedgeBudget = &p.quota
	e.Domain = g.self.Domain
	e.Clock = g.clock
	e.Recorder = &g.events
	e.FinishHTTP1 = true
	e.OmitAttemptEvents = true
	e.CallerOneWayMs = s.CallerOneWayMs
}

// crossDomainCost returns the latency penalty of a call to another failure domain.
func (g *Server) crossDomainCost() yuccahinge.Millis {
	if plan := g.Plan(); plan != nil && plan.MinObjectiveMs > 0 {
		return crossDomainShare * plan.MinObjectiveMs
	}
	return crossDomainMs
}

func (g *Server) wireAssign() {
	p := &g.parts
	p.place.Self = g.self
	a := &p.assign
	a.Engine = &p.engine
	a.Place = &p.place
	a.Roster = p.keeper.Roster()
	a.Peers = &p.pool
	a.Clock = g.clock
	a.Recorder = &g.events
	a.Index = func(key uint64) *yuccahinge.Index {
		if plan := p.chart.Plan(); plan != nil {
			return plan.Index(key)
		}
		return nil
	}
	a.OnRequest = func(name yuccahinge.RouteName) {
		if plan := p.chart.Plan(); plan != nil {
			plan.CountForwarded(name)
		}
	}
	a.IsCut = p.route.IsDomainCut
	a.CanServe = func() bool { return !g.isImpaired.Load() }
	a.Register(p.peers.Handle)
	p.engine.Delegator = a
}

func (g *Server) wireFronts() {
	p := &g.parts
	p.callers = &http.Server{ConnContext: conn.NewContext, Handler: g.trackRequests(g.Adapters.NewCallerHandler(g)), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	port := &admin.Server{Status: g.status, Confirmation: g.confirm, States: &p.keeper, Events: &g.events, Metrics: g.meter.Handler()}
	p.operators = &http.Server{Handler: port.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	p.ready = &http.Server{Handler: g.Adapters.NewReadyHandler(g.ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
}

// seed returns a random seed that differs between hosts and between restarts of a host.
func (g *Server) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(g.self.ID))
	_, _ = h.Write([]byte(g.self.Incarnation))
	return h.Sum64()
}
