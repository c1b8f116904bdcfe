package node

import (
	"hash/fnv"
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/admin"
	"github.com/yuccahinge/yuccahinge/source"
)

// wire fills the parts from the settings. It opens no socket and starts no goroutine.
func (n *Node) wire() error {
	if err := n.wireEvents(); err != nil {
		return err
	}
	n.wirePeers()
	n.wireKeeper()
	n.wireSearch()
	n.wireCharges()
	n.wireFront()
	n.wireOperators()
	return nil
}

func (n *Node) wireEvents() error {
	n.events.Host = n.Settings.Host
	n.events.Clock = n.clock
	n.events.Stamps = &n.stamps
	n.events.Capacity = n.Settings.Limits.Events
	n.events.Sink = n.observe
	if err := n.meter.Start(); err != nil {
		return err
	}
	return n.gauges()
}

func (n *Node) wirePeers() {
	p := &n.parts
	p.pool.Cluster = n.Settings.Cluster
	p.pool.Self = n.self
	p.pool.Clock = n.clock
	p.pool.Stamps = &n.stamps
	p.pool.MaxPerAddr = n.Settings.Limits.PeerConnections
	p.peers.Cluster = n.Settings.Cluster
	p.peers.Self = n.self
	p.peers.Clock = n.clock
	p.peers.Stamps = &n.stamps
	p.peers.Recorder = &n.events
}

func (n *Node) wireKeeper() {
	p := &n.parts
	for _, base := range n.Settings.Platform {
		p.source.Replicas = append(p.source.Replicas, &source.Client{
			Base:      base,
			PerSecond: n.Settings.Limits.PlatformCallsPerSecond,
		})
	}
	k := &p.keeper
	k.Self = n.self
	k.Seeds = n.Settings.Seeds
	k.Source = &p.source
	k.Peers = &p.pool
	k.Clock = n.clock
	k.Recorder = &n.events
	k.Seed = n.seed()
	k.PauseMs = n.Settings.Limits.PauseMs
	k.Register(p.peers.Handle)
	k.Subscribe(p.engine.Hear)
}

func (n *Node) wireSearch() {
	p := &n.parts
	p.route.Domain = n.self.Domain
	p.route.Seed = n.seed()
	p.route.Draining = p.draining
	p.route.Holds = p.ready.Holds
	p.retries.Share = retryShare
	p.hedges.Share = hedgeShare
	p.searchers.Limit = n.connections
	p.searchers.MaxReply = n.Settings.Limits.ReplyBytes
	p.searchers.Clock = n.clock
	e := &p.engine
	e.States = &p.keeper
	e.Caller = &p.searchers
	e.Picker = &p.route
	e.Observer = &p.route
	e.Hedger = &p.hedge
	e.Learner = &p.hedge
	e.RetryBudget = &p.retries
	e.HedgeBudget = &p.hedges
	e.Limiter = &p.limit
	e.Poison = &p.poison
	e.Ready = &p.ready
	e.Leave = &p.leave
	e.Gossip = &p.keeper
	e.Clock = n.clock
	e.Recorder = &n.events
	e.CatchUp = p.keeper.CatchUp
	e.Fresh = p.keeper.Fresh
	e.MaxDeadlineMs = n.Settings.Limits.MaxDeadlineMs
}

// connections returns this host's share of a searcher's connections.
func (n *Node) connections(_ yuccahinge.SearcherID, s *yuccahinge.Searcher) int {
	return n.parts.share.Limit(n.clock.Now(), s.Connections)
}

func (n *Node) wireCharges() {
	p := &n.parts
	d := &p.desk
	d.Self = n.self
	d.States = &p.keeper
	d.Roster = p.keeper.Roster()
	d.Peers = &p.pool
	d.Caller = &p.once
	d.Picker = &p.route
	d.Observer = &p.route
	d.Clock = n.clock
	d.Recorder = &n.events
	d.Register(p.peers.Handle)
}

func (n *Node) wireFront() {
	p := &n.parts
	l := n.Settings.Limits
	p.front.Searcher = &p.engine
	p.front.Charger = &p.desk
	p.front.Ready = n.ready
	p.front.MaxBodyBytes = l.RequestBytes
	p.front.ReadTimeout = l.ReadTimeoutMs
	p.front.MaxDeadline = l.MaxDeadlineMs
	p.front.MaxInFlight = l.MaxInFlight
	p.callers = newServer(n.meter.Wrap(p.front.Handler()), l.ReadTimeoutMs)
}

func (n *Node) wireOperators() {
	port := &admin.Port{
		Status:  n.status,
		Confirm: n.confirm,
		States:  &n.parts.keeper,
		Events:  &n.events,
		Metrics: n.meter.Handler(),
	}
	n.parts.operators = newServer(port.Handler(), n.Settings.Limits.ReadTimeoutMs)
}

// newServer returns a server that bounds the time of a slow caller's headers and of idle connections.
func newServer(h http.Handler, readTimeout yuccahinge.Millis) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout.Duration(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// seed differs between hosts and between lives of one host.
func (n *Node) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.self.ID))
	_, _ = h.Write([]byte(n.self.Incarnation))
	return h.Sum64()
}
