package syncer

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
)

const (
	// deltaRows bounds the membership rows in one exchange message.
	deltaRows = 6
	// compareEvery is the minimum time between two comparisons of whole rosters.
	compareEvery = 5 * yuccahinge.Second
	// noticeFetchEvery is the minimum time between two requests for all notices.
	noticeFetchEvery = 1 * yuccahinge.Second
	// seedPeriods is the number of exchange intervals between two comparisons with a seed address. It should not be a
	// multiple of the number of seeds, so that each seed gets its turn.
	seedPeriods = 7
	// startupMs is the time after the start in which a host compares rosters in nearly each exchange, at most once in
	// startupCompareEvery, until it knows all hosts.
	startupMs           = 5 * yuccahinge.Second
	startupCompareEvery = yuccahinge.Millis(700)
	// compareRows bounds the rows of one comparison.
	compareRows = 4096
	// compareDelayPerRow delays the next comparison for each row that the last one received. A row takes about 200
	// bytes, so that without the delay a network partition that changes many rows would saturate the links.
	compareDelayPerRow = yuccahinge.Millis(100)
)

// runExchanges exchanges messages with a few peers every exchangeInterval.
func (s *Syncer) runExchanges(ctx context.Context) error {
	for turn := 0; s.sleep(ctx, s.exchangeInterval()); turn++ {
		s.compareWithSeed(ctx, turn)
		now := s.Clock.Now()
		s.mu.Lock()
		s.recordChanges(s.roster.Tick(now))
		s.expireNotices(now)
		s.node.SetMembers(now, s.roster.Members())
		peers := s.roster.PickPeers(now)
		for _, peer := range peers {
			s.startCall(func() { _ = s.exchange(ctx, peer, nil) })
		}
		s.mu.Unlock()
	}
	return nil
}

// compareWithSeed compares rosters with a seed: in every exchange interval while no other host is known, since the
// seeds may have been down when this host started, and every seedPeriods intervals later, so that separate groups
// of hosts merge.
func (s *Syncer) compareWithSeed(ctx context.Context, turn int) {
	seeds := s.seeds()
	if len(seeds) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isAlone := len(s.roster.Members()) < 2
	if !isAlone && turn%seedPeriods != seedPeriods-1 {
		return
	}
	addr := seeds[turn%len(seeds)]
	if addr == s.Self.PeerAddr {
		return
	}
	// A failure is ignored because the next comparison tries another seed.
	s.startCall(func() {
		if isAlone {
			_ = s.askSeed(ctx, addr)
			return
		}
		_ = s.compare(ctx, yuccahinge.Member{PeerAddr: addr}, true, false)
	})
}

// startCall runs f in the group unless maxCalls calls are in flight. A skipped call is not retried: later exchanges
// transfer the same data. The caller holds the lock.
func (s *Syncer) startCall(f func()) {
	if s.group == nil || s.ctx.Err() != nil {
		return
	}
	select {
	case s.callSlots <- struct{}{}:
	default:
		return
	}
	calls := s.callSlots
	s.group.Go(func() error {
		defer func() { <-calls }()
		f()
		return nil
	})
}

// exchange makes one exchange with a peer and applies the reply.
func (s *Syncer) exchange(ctx context.Context, peer yuccahinge.Member, update *spread.Update) error {
	return s.sendExchange(ctx, peer, update, false)
}

func (s *Syncer) sendExchange(ctx context.Context, peer yuccahinge.Member, update *spread.Update, summaryOnly bool) error {
	if peer.PeerAddr == "" {
		return nil
	}
	request := s.newRequest(yuccahinge.HostID(peer.ID), update, summaryOnly)
	return s.callExchange(ctx, peer, &request)
}

// callExchange sends a request to a peer and applies the reply.
func (s *Syncer) callExchange(ctx context.Context, peer yuccahinge.Member, request *exchangeRequest) error {
	var reply exchangeReply
	callCtx, cancel := context.WithTimeout(ctx, orDefault(s.CallTimeoutMs, DefaultCallTimeout).Duration())
	defer cancel()
	err := s.Peers.Call(callCtx, peer.PeerAddr, MethodExchange, request, &reply)
	if err != nil && ctx.Err() != nil {
		// The caller's context ended, which is no sign of a failed peer.
		return err
	}
	s.handleReply(peer, request, &reply, err)
	return err
}

func (s *Syncer) newRequest(to yuccahinge.HostID, update *spread.Update, summaryOnly bool) exchangeRequest {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	spreadRequest := s.node.NewRequest(now)
	spreadRequest.Update = update
	spreadRequest.SummaryOnly = summaryOnly
	return exchangeRequest{Gossip: s.newGossip(now, to), Ask: spreadRequest}
}

func (s *Syncer) newGossip(now yuccahinge.Millis, to yuccahinge.HostID) gossip {
	return gossip{
		From:      s.roster.OwnRow(now),
		Rows:      s.roster.Delta(to, deltaRows),
		Sum:       s.roster.Checksum(),
		Notices:   s.notices.Delta(now, maxMessageNotices),
		NoticeSum: s.notices.Checksum(now),

		Evacuations: s.evacuationsForPeers(now),
	}
}

func (s *Syncer) handleReply(peer yuccahinge.Member, request *exchangeRequest, reply *exchangeReply, err error) {
	now := s.Clock.Now()
	s.mu.Lock()
	if err == nil && peer.ID != "" && reply.Gossip.From.Member.ID != peer.ID {
		// Another host now uses the peer's address.
		s.recordChanges(s.roster.RecordFailure(now, yuccahinge.HostID(peer.ID)))
	}
	if err != nil {
		s.recordLimited(event.SpreadPullFailed, &spread.Decision{Peer: yuccahinge.HostID(peer.ID), Reason: err.Error()})
		s.recordChanges(s.roster.RecordFailure(now, yuccahinge.HostID(peer.ID)))
		s.mu.Unlock()
		return
	}
	calls := s.mergeGossip(now, &reply.Gossip)
	reply.Answer.Summary.Host = yuccahinge.HostID(reply.Gossip.From.Member.ID)
	s.apply(s.node.HandleReply(now, request.Ask, reply.Answer))
	s.compareIfDifferent(now, &reply.Gossip)
	s.mu.Unlock()
	runAll(calls)
}

// mergeGossip merges the gossip of another host and returns the subscriber calls to make after the lock is released. It must be called
// before the state in the same message is put in force, which may be newer than the evacuations that this host knows. The caller holds
// the lock.
func (s *Syncer) mergeGossip(now yuccahinge.Millis, g *gossip) []func() {
	s.mergeEvacuations(now, g.Evacuations)
	s.recordChanges(s.roster.MergeDirect(now, g.From))
	s.recordChanges(s.roster.Merge(now, g.Rows[:min(len(g.Rows), 2*deltaRows)]))
	return s.mergeNotices(now, g.Notices)
}

func runAll(calls []func()) {
	for _, call := range calls {
		call()
	}
}

// handleExchange serves MethodExchange.
func (s *Syncer) handleExchange(_ context.Context, decode func(any) error) (any, error) {
	var request exchangeRequest
	if err := decode(&request); err != nil {
		return nil, malformedError(err)
	}
	if request.Gossip.From.Member.ID == "" {
		return nil, malformedError(fmt.Errorf("the requesting host has no id"))
	}
	now := s.Clock.Now()
	s.mu.Lock()
	s.initialize()
	calls := s.mergeGossip(now, &request.Gossip)
	from := yuccahinge.HostID(request.Gossip.From.Member.ID)
	request.Ask.Summary.Host = from
	answer, decisions := s.node.HandleRequest(now, request.Ask)
	s.apply(decisions)
	reply := &exchangeReply{Gossip: s.newGossip(now, from), Answer: answer}
	s.mu.Unlock()
	runAll(calls)
	return reply, nil
}

// compareIfDifferent starts a comparison with a peer whose roster or notices differ from those of this host. Messages
// carry a notice a few times only, so a host that was cut off during that time has missed it. The caller holds the
// lock.
func (s *Syncer) compareIfDifferent(now yuccahinge.Millis, g *gossip) {
	rows := g.Sum != s.roster.Checksum() && now >= s.nextCompare
	if m := &g.From.Member; now < s.startedAt+startupMs && (m.Cores > s.Self.Cores || slices.Contains(s.seeds(), m.PeerAddr)) {
		rows = false // after a start of all hosts each of them knows the seeds and the strong ones first
	}
	notices := g.NoticeSum != s.notices.Checksum(now) && now-s.lastNoticeFetch >= noticeFetchEvery
	if !rows && !notices {
		return
	}
	if rows {
		s.nextCompare = now + s.compareInterval(now, 0)
	}
	if notices {
		s.lastNoticeFetch = now
	}
	peer := g.From.Member
	s.startCall(func() { _ = s.compare(s.ctx, peer, rows, notices) })
}

// compare fetches the rows that differ from a peer's and sends it those of this host, or fetches the notices that
// have not expired, or both.
func (s *Syncer) compare(ctx context.Context, peer yuccahinge.Member, rows, notices bool) error {
	now := s.Clock.Now()
	s.mu.Lock()
	s.initialize()
	request := compareRequest{From: s.roster.OwnRow(now), Sums: s.roster.BucketSums(), NoRows: !rows, Notices: notices}
	s.mu.Unlock()
	reply, err := s.callCompare(ctx, peer, &request)
	if err != nil {
		return err
	}
	now = s.Clock.Now()
	s.mu.Lock()
	s.recordChanges(s.roster.MergeDirect(now, reply.From))
	s.recordChanges(s.roster.MergeSync(now, reply.Rows))
	calls := s.mergeNotices(now, reply.Notices)
	if rows {
		s.nextCompare = now + s.compareInterval(now, len(reply.Rows))
	}
	missing := compareRequest{From: s.roster.OwnRow(now), Sums: s.roster.BucketSums(), Rows: s.roster.DiffRows(reply.Sums)}
	s.mu.Unlock()
	runAll(calls)
	if !rows || len(missing.Rows) == 0 || missing.Sums == reply.Sums {
		return nil
	}
	_, err = s.callCompare(ctx, peer, &missing)
	return err
}

// compareInterval returns the time from a comparison that received some rows to the next one. A host that has just started
// compares with each peer that it calls, because its seeds have sent it few rows. The caller holds the lock.
func (s *Syncer) compareInterval(now yuccahinge.Millis, rows int) yuccahinge.Millis {
	if now < s.startedAt+startupMs {
		return startupCompareEvery
	}
	return max(compareEvery, compareDelayPerRow*yuccahinge.Millis(rows))
}

func (s *Syncer) callCompare(ctx context.Context, peer yuccahinge.Member, request *compareRequest) (*compareReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, orDefault(s.CallTimeoutMs, DefaultCallTimeout).Duration())
	defer cancel()
	var reply compareReply
	if err := s.Peers.Call(callCtx, peer.PeerAddr, MethodCompare, request, &reply); err != nil {
		return nil, err
	}
	reply.Rows = reply.Rows[:min(len(reply.Rows), compareRows)]
	return &reply, nil
}

// handleCompare serves MethodCompare.
func (s *Syncer) handleCompare(_ context.Context, decode func(any) error) (any, error) {
	var request compareRequest
	if err := decode(&request); err != nil {
		return nil, malformedError(err)
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	s.recordChanges(s.roster.MergeDirect(now, request.From))
	reply := &compareReply{From: s.roster.OwnRow(now)}
	if !request.Joining {
		reply.Sums = s.roster.BucketSums()
	}
	if len(request.Rows) > 0 {
		s.recordChanges(s.roster.MergeSync(now, request.Rows[:min(len(request.Rows), compareRows)]))
		return reply, nil
	}
	switch {
	case request.NoRows:
	case request.Joining:
		reply.Rows = s.roster.JoinRows(&request.From.Member)
	default:
		reply.Rows = s.roster.DiffRows(request.Sums)
	}
	if request.Notices {
		// Notices of searchers that reject live for some seconds only. There may be hundreds, and hosts request all notices once a
		// second while any differ.
		reply.Notices = slices.DeleteFunc(s.notices.All(now), func(n yuccahinge.Notice) bool { return n.Kind == yuccahinge.NoticeRejecting })
	}
	return reply, nil
}

// exchangeAll makes an exchange with each peer in parallel and returns the number that succeeded.
func (s *Syncer) exchangeAll(ctx context.Context, peers []yuccahinge.Member) int {
	var wait sync.WaitGroup
	answered := make([]bool, len(peers))
	for i, peer := range peers {
		wait.Go(func() { answered[i] = s.exchange(ctx, peer, nil) == nil })
	}
	wait.Wait()
	n := 0
	for _, ok := range answered {
		if ok {
			n++
		}
	}
	return n
}

// randomPeers returns random peers of every failure domain, n of them from this host's own. The caller holds the
// lock.
func (s *Syncer) randomPeers(n int) []yuccahinge.Member {
	var out []yuccahinge.Member
	for _, id := range s.node.SamplePeers(n) {
		if m, ok := s.roster.Find(id); ok {
			out = append(out, m)
		}
	}
	return out
}

func (s *Syncer) recordChanges(changes []roster.Change) {
	for _, c := range changes {
		s.record(yuccahinge.Event{Code: c.Code, Peer: c.Member.ID, Detail: string(c.Member.Status)})
	}
}

func malformedError(err error) error {
	return &yuccahinge.Error{
		Code:    yuccahinge.CodeInvalid,
		Step:    yuccahinge.StepSpread,
		Message: "the message is malformed",
		Err:     err,
	}
}

// apply carries out the decisions of package spread. The caller holds the lock.
func (s *Syncer) apply(decisions []spread.Decision) {
	s.updateConfirmed(s.Clock.Now())
	for i := range decisions {
		s.applyOne(&decisions[i])
	}
}

func (s *Syncer) applyOne(d *spread.Decision) {
	switch d.Kind {
	case spread.Adopt:
		s.adopt(d)
	case spread.Exchange, spread.SendUpdate:
		peer, ok := s.roster.Find(d.Peer)
		if !ok {
			return
		}
		if d.Update != nil {
			s.record(yuccahinge.Event{Code: event.SpreadPushed, Ticket: s.node.Number(), Peer: string(d.Peer)})
		}
		s.startCall(func() { _ = s.exchange(s.ctx, peer, d.Update) })
	case spread.Ignored:
		s.recordLimited(event.TicketIgnored, d)
	case spread.Conflict:
		s.recordLimited(event.TicketConflict, d)
	case spread.Gap:
		s.recordLimited(event.TicketGap, d)
	case spread.Refused:
		s.recordLimited(event.TicketRefused, d)
	}
}

func (s *Syncer) adopt(d *spread.Decision) {
	if old := s.state.Load(); old != nil && old.Ticket >= d.Number {
		s.record(yuccahinge.Event{
			Code: event.InvariantBroken, Ticket: d.Number,
			Detail: fmt.Sprintf("ticket %d would follow %d", d.Number, old.Ticket),
		})
		return
	}
	if d.Whole {
		s.record(yuccahinge.Event{Code: event.StateAdopted, Ticket: d.Number, Peer: string(d.Peer)})
	}
	s.state.Store(d.State)
	if s.OnAdopt != nil {
		s.OnAdopt(d.State)
	}
	s.history.add(d.Number, d.Digest)
	s.record(yuccahinge.Event{Code: event.TicketInForce, Ticket: d.Number, Peer: string(d.Peer), Detail: string(d.Digest)})
}

// reportEvery is the minimum time between two events with the same code, ticket number and peer.
const reportEvery = 10 * yuccahinge.Second

func (s *Syncer) recordLimited(code yuccahinge.EventCode, d *spread.Decision) {
	key := fmt.Sprint(code, "/", d.Number, "/", d.Peer)
	now := s.Clock.Now()
	if last, ok := s.lastReported[key]; ok && now-last < reportEvery {
		return
	}
	if s.lastReported == nil || len(s.lastReported) > 1024 {
		s.lastReported = make(map[string]yuccahinge.Millis)
	}
	s.lastReported[key] = now
	s.record(yuccahinge.Event{Code: code, Ticket: d.Number, Peer: string(d.Peer), Detail: d.Reason})
}
