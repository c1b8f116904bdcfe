package node

import (
	"hash/fnv"
	"net/http"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/internal/front/admin"
	"github.com/yuccahinge/yuccahinge/internal/host/rates"
	"github.com/yuccahinge/yuccahinge/internal/state/source"
	"github.com/yuccahinge/yuccahinge/ration"
)

// wire sets up the components of the host from the settings. It opens no socket and starts no goroutine.
func (n *Node) wire() error {
	n.current.Store(n.Settings)
	if err := n.wireEvents(); err != nil {
		return err
	}
	n.wirePeers()
	n.wireSyncer()
	n.wireSearch()
	n.wireCharges()
	n.wireEntry()
	n.wireOperators()
	n.wireCaps()
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

func (n *Node) wireSyncer() {
	p := &n.parts
	for _, base := range n.Settings.Platform {
		p.source.Replicas = append(p.source.Replicas, &source.Client{
			BaseURL:   base,
			PerSecond: n.Settings.Limits.PlatformCallsPerSecond,
		})
	}
	s := &p.syncer
	s.Self = n.self
	s.Seeds = n.Settings.Seeds
	s.Source = &p.source
	s.Peers = &p.pool
	s.Clock = n.clock
	s.Recorder = &n.events
	s.Seed = n.seed()
	s.PauseThresholdMs = n.Settings.Limits.PauseThresholdMs
	s.Register(p.peers.Handle)
	s.Subscribe(p.fanout.Engine.ApplyNotice)
}

func (n *Node) wireSearch() {
	f := &n.parts.fanout
	s := &n.parts.syncer
	f.Domain = n.self.Domain
	f.Seed = n.seed()
	f.HostCount = func() int { return len(s.Roster().Members()) }
	f.Draining = s.Draining
	f.OnReport = func(id yuccahinge.SearcherID, r *yuccahinge.LoadReport) { s.SetIncarnation(id, r.Incarnation) }
	f.Searchers.MaxReplyBytes = n.Settings.Limits.ReplyBytes
	f.Searchers.LimitReplies(n.Settings.Limits.AllReplyBytes())
	f.Engine.States = s
	f.Engine.Gossip = s
	f.Engine.Clock = n.clock
	f.Engine.Recorder = &n.events
	f.Engine.Flights = &n.flights
	f.Engine.CatchUp = s.CatchUp
	f.Engine.Refresh = s.Refresh
	f.Engine.MaxDeadlineMs = n.Settings.Limits.MaxDeadlineMs
	f.Limits.Self = yuccahinge.HostID(n.self.ID)
	f.Hosts = func() []ration.Host {
		var out []ration.Host
		for _, m := range s.Roster().Members() {
			out = append(out, ration.Host{ID: yuccahinge.HostID(m.ID), Domain: m.Domain})
		}
		return out
	}
	r := rates.Rates{Limiter: &f.Limits, Gossip: s, Recorder: &n.events, Stamps: &n.stamps, Clock: n.clock}
	r.Wire()
	f.Wire()
}

func (n *Node) wireCharges() {
	p := &n.parts
	c := &p.charges
	c.Self = n.self
	c.States = &p.syncer
	c.Membership = p.syncer.Roster()
	c.Peers = &p.pool
	c.Caller = &p.submitter
	c.Picker = &p.fanout.Balancer
	p.submitter.MaySend = p.fanout.MaySend
	c.Observer = &p.fanout
	c.Clock = n.clock
	c.Recorder = &n.events
	c.Flights = &n.flights
	c.Register(p.peers.Handle)
}

func (n *Node) wireEntry() {
	p := &n.parts
	l := n.Settings.Limits
	p.entry.Searcher = &p.fanout.Engine
	p.entry.Charger = &p.charges
	p.entry.Ready = n.ready
	p.entry.Draining = n.isDraining
	p.entry.MaxBodyBytes = l.RequestBytes
	p.entry.ReadTimeout = l.ReadTimeoutMs
	p.entry.MaxDeadline = l.MaxDeadlineMs
	p.entry.MaxInFlight = l.MaxInFlight
	p.callers = newServer(n.meter.Instrument(p.entry.Handler()), l.ReadTimeoutMs)
	p.callers.ConnState = p.callerConns.Track
}

func (n *Node) wireOperators() {
	operators := &admin.Server{
		Status:       n.status,
		Confirmation: n.confirmation,
		States:       &n.parts.syncer,
		Events:       &n.events,
		Metrics:      n.meter.Handler(),
	}
	n.parts.operators = newServer(operators.Handler(), n.Settings.Limits.ReadTimeoutMs)
}

// wireCaps bounds what clients take. A head over maxHeaderBytes is refused by the bound then, since net/http keeps the connection of such
// a head open for a time.
func (n *Node) wireCaps() {
	p := &n.parts
	l := &n.Settings.Limits
	if !l.BoundsClients() {
		return
	}
	p.caps.SetUp(l, n.clock, func() yuccahinge.CallerLimits {
		return yuccahinge.CallerLimits{HeaderBytes: maxHeaderBytes, HeaderMs: l.ReadTimeoutMs}
	})
	for _, s := range []*http.Server{p.callers, p.operators} {
		s.MaxHeaderBytes = 2 * maxHeaderBytes
		p.caps.Prepare(s)
	}
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
