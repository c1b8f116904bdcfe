package node

import (
	"hash/fnv"
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/front/admin"
	"github.com/yuccahinge/yuccahinge/internal/state/source"
)

// wire sets up the parts from the settings. It opens no socket and starts no goroutine.
func (n *Node) wire() error {
	n.current.Store(n.Settings)
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
	return n.registerGauges()
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
			BaseURL:   base,
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
	k.PauseThresholdMs = n.Settings.Limits.PauseThresholdMs
	k.Register(p.peers.Handle)
	k.Subscribe(p.tier.Engine.ApplyNotice)
}

func (n *Node) wireSearch() {
	t := &n.parts.tier
	k := &n.parts.keeper
	t.Domain = n.self.Domain
	t.Seed = n.seed()
	t.HostCount = func() int { return len(k.Roster().Members()) }
	t.Draining = k.Draining
	t.OnReport = func(id yuccahinge.SearcherID, r *yuccahinge.LoadReport) { k.SetIncarnation(id, r.Incarnation) }
	t.Searchers.MaxReplyBytes = n.Settings.Limits.ReplyBytes
	t.Engine.States = k
	t.Engine.Gossip = k
	t.Engine.Clock = n.clock
	t.Engine.Recorder = &n.events
	t.Engine.CatchUp = k.CatchUp
	t.Engine.Refresh = k.Refresh
	t.Engine.MaxDeadlineMs = n.Settings.Limits.MaxDeadlineMs
	t.Wire()
}

func (n *Node) wireCharges() {
	p := &n.parts
	d := &p.desk
	d.Self = n.self
	d.States = &p.keeper
	d.Roster = p.keeper.Roster()
	d.Peers = &p.pool
	d.Caller = &p.once
	d.Picker = &p.tier.Route
	d.Observer = &p.tier
	d.Clock = n.clock
	d.Recorder = &n.events
	d.Register(p.peers.Handle)
}

func (n *Node) wireFront() {
	p := &n.parts
	l := n.Settings.Limits
	p.front.Searcher = &p.tier.Engine
	p.front.Charger = &p.desk
	p.front.Ready = n.ready
	p.front.Draining = n.isDraining
	p.front.MaxBodyBytes = l.RequestBytes
	p.front.ReadTimeout = l.ReadTimeoutMs
	p.front.MaxDeadline = l.MaxDeadlineMs
	p.front.MaxInFlight = l.MaxInFlight
	p.callers = newServer(n.meter.Instrument(p.front.Handler()), l.ReadTimeoutMs)
}

func (n *Node) wireOperators() {
	adminPort := &admin.Server{
		Status:       n.status,
		Confirmation: n.confirm,
		States:       &n.parts.keeper,
		Events:       &n.events,
		Metrics:      n.meter.Handler(),
	}
	n.parts.operators = newServer(adminPort.Handler(), n.Settings.Limits.ReadTimeoutMs)
}

// newServer returns a server with timeouts for reading headers and for idle connections.
func newServer(h http.Handler, readTimeout yuccahinge.Millis) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout.Duration(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// seed returns a random seed that differs between hosts and between restarts of a host.
func (n *Node) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.self.ID))
	_, _ = h.Write([]byte(n.self.Incarnation))
	return h.Sum64()
}
