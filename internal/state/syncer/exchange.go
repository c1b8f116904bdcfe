package syncer

import (
	"context"
	"fmt"
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
	// seedPeriods is the number of periods between two comparisons with a seed. It should not be a multiple of the
	// number of seeds, so that each seed gets its turn.
	seedPeriods = 7
	// compareRows bounds the rows of one comparison.
	compareRows = 4096
	// comparePausePerRow delays the next comparison for each row that the last one received. A row takes about 200
	// bytes, so that without the delay a network partition that changes many rows would saturate the links.
	comparePausePerRow = yuccahinge.Millis(100)
)

// runExchanges exchanges messages with a few peers every period.
func (k *Syncer) runExchanges(ctx context.Context) error {
	for turn := 0; k.sleep(ctx, k.period()); turn++ {
		k.compareWithSeed(ctx, turn)
		now := k.Clock.Now()
		k.mu.Lock()
		k.recordChanges(k.roster.Tick(now))
		k.expireNotices(now)
		k.spread.SetMembers(now, k.roster.Members())
		peers := k.roster.PickPeers(now)
		for _, peer := range peers {
			k.startCall(func() { _ = k.exchange(ctx, peer, nil) })
		}
		k.mu.Unlock()
	}
	return nil
}

// compareWithSeed compares rosters with a seed: every turn while no other host is known, since the seeds may have
// been down when this host started, and every seedPeriods turns later, so that separate groups of hosts merge.
func (k *Syncer) compareWithSeed(ctx context.Context, turn int) {
	seeds := k.seeds()
	if len(seeds) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.roster.Members()) > 1 && turn%seedPeriods != 0 {
		return
	}
	addr := seeds[turn%len(seeds)]
	if addr == k.Self.PeerAddr {
		return
	}
	// A failure is ignored because the next turn tries another seed.
	k.startCall(func() { _ = k.compare(ctx, yuccahinge.Member{PeerAddr: addr}, true, false) })
}

// startCall runs f in the group unless maxCalls calls are in flight. A skipped call is not retried: later exchanges
// transfer the same data. The caller holds the lock.
func (k *Syncer) startCall(f func()) {
	if k.group == nil || k.ctx.Err() != nil {
		return
	}
	select {
	case k.callSlots <- struct{}{}:
	default:
		return
	}
	calls := k.callSlots
	k.group.Go(func() error {
		defer func() { <-calls }()
		f()
		return nil
	})
}

// exchange makes one exchange with a peer and applies the reply.
func (k *Syncer) exchange(ctx context.Context, peer yuccahinge.Member, parcel *spread.Update) error {
	return k.sendExchange(ctx, peer, parcel, false)
}

func (k *Syncer) sendExchange(ctx context.Context, peer yuccahinge.Member, parcel *spread.Update, quiet bool) error {
	if peer.PeerAddr == "" {
		return nil
	}
	request := k.newRequest(yuccahinge.HostID(peer.ID), parcel, quiet)
	var reply exchangeReply
	callCtx, cancel := context.WithTimeout(ctx, orDefault(k.CallTimeoutMs, DefaultCallTimeout).Duration())
	defer cancel()
	err := k.Peers.Call(callCtx, peer.PeerAddr, MethodExchange, &request, &reply)
	if err != nil && ctx.Err() != nil {
		// The caller's context ended, which is no sign of a failed peer.
		return err
	}
	k.handleReply(peer, &request, &reply, err)
	return err
}

func (k *Syncer) newRequest(to yuccahinge.HostID, parcel *spread.Update, quiet bool) exchangeRequest {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initialize()
	ask := k.spread.NewRequest(now)
	ask.Update = parcel
	ask.SummaryOnly = quiet
	return exchangeRequest{Gossip: k.newGossip(now, to), Ask: ask}
}

func (k *Syncer) newGossip(now yuccahinge.Millis, to yuccahinge.HostID) gossip {
	return gossip{
		From:      k.roster.OwnRow(now),
		Rows:      k.roster.Delta(to, deltaRows),
		Sum:       k.roster.Checksum(),
		Notices:   k.notices.Delta(now, maxMessageNotices),
		NoticeSum: k.notices.Checksum(now),
	}
}

func (k *Syncer) handleReply(peer yuccahinge.Member, request *exchangeRequest, reply *exchangeReply, err error) {
	now := k.Clock.Now()
	k.mu.Lock()
	if err == nil && peer.ID != "" && reply.Gossip.From.Member.ID != peer.ID {
		// Another host now uses the peer's address.
		k.recordChanges(k.roster.RecordFailure(now, yuccahinge.HostID(peer.ID)))
	}
	if err != nil {
		k.recordLimited(event.SpreadPullFailed, &spread.Decision{Peer: yuccahinge.HostID(peer.ID), Reason: err.Error()})
		k.recordChanges(k.roster.RecordFailure(now, yuccahinge.HostID(peer.ID)))
		k.mu.Unlock()
		return
	}
	calls := k.mergeGossip(now, &reply.Gossip)
	reply.Answer.Summary.Host = yuccahinge.HostID(reply.Gossip.From.Member.ID)
	k.apply(k.spread.HandleReply(now, request.Ask, reply.Answer))
	k.compareIfDifferent(now, &reply.Gossip)
	k.mu.Unlock()
	runAll(calls)
}

func (k *Syncer) mergeGossip(now yuccahinge.Millis, g *gossip) []func() {
	k.recordChanges(k.roster.MergeDirect(now, g.From))
	k.recordChanges(k.roster.Merge(now, g.Rows[:min(len(g.Rows), 2*deltaRows)]))
	return k.mergeNotices(now, g.Notices)
}

func runAll(calls []func()) {
	for _, call := range calls {
		call()
	}
}

// handleExchange serves MethodExchange.
func (k *Syncer) handleExchange(_ context.Context, decode func(any) error) (any, error) {
	var request exchangeRequest
	if err := decode(&request); err != nil {
		return nil, malformedError(err)
	}
	if request.Gossip.From.Member.ID == "" {
		return nil, malformedError(fmt.Errorf("the requesting host has no id"))
	}
	now := k.Clock.Now()
	k.mu.Lock()
	k.initialize()
	calls := k.mergeGossip(now, &request.Gossip)
	from := yuccahinge.HostID(request.Gossip.From.Member.ID)
	request.Ask.Summary.Host = from
	answer, decisions := k.spread.HandleRequest(now, request.Ask)
	k.apply(decisions)
	reply := &exchangeReply{Gossip: k.newGossip(now, from), Answer: answer}
	k.mu.Unlock()
	runAll(calls)
	return reply, nil
}

// compareIfDifferent starts a comparison with a peer whose roster or notices differ from those of this host. Messages
// carry a notice a few times only, so a host that was cut off during that time has missed it. The caller holds the
// lock.
func (k *Syncer) compareIfDifferent(now yuccahinge.Millis, g *gossip) {
	rows := g.Sum != k.roster.Checksum() && now >= k.nextCompare
	notices := g.NoticeSum != k.notices.Checksum(now) && now-k.lastNoticeFetch >= noticeFetchEvery
	if !rows && !notices {
		return
	}
	if rows {
		k.nextCompare = now + compareEvery
	}
	if notices {
		k.lastNoticeFetch = now
	}
	peer := g.From.Member
	k.startCall(func() { _ = k.compare(k.ctx, peer, rows, notices) })
}

// compare fetches the rows that differ from a peer's and sends it those of this host, or fetches the notices that
// have not expired, or both.
func (k *Syncer) compare(ctx context.Context, peer yuccahinge.Member, rows, notices bool) error {
	now := k.Clock.Now()
	k.mu.Lock()
	k.initialize()
	request := compareRequest{From: k.roster.OwnRow(now), Sums: k.roster.BucketSums(), NoRows: !rows, Notices: notices}
	k.mu.Unlock()
	reply, err := k.callCompare(ctx, peer, &request)
	if err != nil {
		return err
	}
	now = k.Clock.Now()
	k.mu.Lock()
	k.recordChanges(k.roster.MergeDirect(now, reply.From))
	k.recordChanges(k.roster.MergeSync(now, reply.Rows))
	calls := k.mergeNotices(now, reply.Notices)
	if rows {
		k.nextCompare = now + max(compareEvery, comparePausePerRow*yuccahinge.Millis(len(reply.Rows)))
	}
	missing := compareRequest{From: k.roster.OwnRow(now), Sums: k.roster.BucketSums(), Rows: k.roster.DiffRows(reply.Sums)}
	k.mu.Unlock()
	runAll(calls)
	if !rows || len(missing.Rows) == 0 || missing.Sums == reply.Sums {
		return nil
	}
	_, err = k.callCompare(ctx, peer, &missing)
	return err
}

func (k *Syncer) callCompare(ctx context.Context, peer yuccahinge.Member, request *compareRequest) (*compareReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, orDefault(k.CallTimeoutMs, DefaultCallTimeout).Duration())
	defer cancel()
	var reply compareReply
	if err := k.Peers.Call(callCtx, peer.PeerAddr, MethodCompare, request, &reply); err != nil {
		return nil, err
	}
	reply.Rows = reply.Rows[:min(len(reply.Rows), compareRows)]
	return &reply, nil
}

// handleCompare serves MethodCompare.
func (k *Syncer) handleCompare(_ context.Context, decode func(any) error) (any, error) {
	var request compareRequest
	if err := decode(&request); err != nil {
		return nil, malformedError(err)
	}
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initialize()
	k.recordChanges(k.roster.MergeDirect(now, request.From))
	reply := &compareReply{From: k.roster.OwnRow(now), Sums: k.roster.BucketSums()}
	if len(request.Rows) > 0 {
		k.recordChanges(k.roster.MergeSync(now, request.Rows[:min(len(request.Rows), compareRows)]))
		return reply, nil
	}
	if !request.NoRows {
		reply.Rows = k.roster.DiffRows(request.Sums)
	}
	if request.Notices {
		reply.Notices = k.notices.All(now)
	}
	return reply, nil
}

// exchangeAll makes an exchange with each peer in parallel and returns the number that succeeded.
func (k *Syncer) exchangeAll(ctx context.Context, peers []yuccahinge.Member) int {
	var wait sync.WaitGroup
	answered := make([]bool, len(peers))
	for i, peer := range peers {
		wait.Go(func() { answered[i] = k.exchange(ctx, peer, nil) == nil })
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
func (k *Syncer) randomPeers(n int) []yuccahinge.Member {
	var out []yuccahinge.Member
	for _, id := range k.spread.SamplePeers(n) {
		if m, ok := k.roster.Find(id); ok {
			out = append(out, m)
		}
	}
	return out
}

func (k *Syncer) recordChanges(changes []roster.Change) {
	for _, c := range changes {
		k.record(yuccahinge.Event{Code: c.Code, Peer: c.Member.ID, Detail: string(c.Member.Status)})
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
func (k *Syncer) apply(decisions []spread.Decision) {
	k.updateConfirmed(k.Clock.Now())
	for i := range decisions {
		k.applyOne(&decisions[i])
	}
}

func (k *Syncer) applyOne(d *spread.Decision) {
	switch d.Kind {
	case spread.Adopt:
		k.adopt(d)
	case spread.Exchange, spread.SendUpdate:
		peer, ok := k.roster.Find(d.Peer)
		if !ok {
			return
		}
		if d.Update != nil {
			k.record(yuccahinge.Event{Code: event.SpreadPushed, Ticket: k.spread.Number(), Peer: string(d.Peer)})
		}
		k.startCall(func() { _ = k.exchange(k.ctx, peer, d.Update) })
	case spread.Ignored:
		k.recordLimited(event.TicketIgnored, d)
	case spread.Conflict:
		k.recordLimited(event.TicketConflict, d)
	case spread.Gap:
		k.recordLimited(event.TicketGap, d)
	case spread.Refused:
		k.recordLimited(event.TicketRefused, d)
	}
}

func (k *Syncer) adopt(d *spread.Decision) {
	if old := k.state.Load(); old != nil && old.Ticket >= d.Number {
		k.record(yuccahinge.Event{
			Code: event.InvariantBroken, Ticket: d.Number,
			Detail: fmt.Sprintf("ticket %d would follow %d", d.Number, old.Ticket),
		})
		return
	}
	if d.Whole {
		k.record(yuccahinge.Event{Code: event.StateAdopted, Ticket: d.Number, Peer: string(d.Peer)})
	}
	k.state.Store(d.State)
	if k.OnAdopt != nil {
		k.OnAdopt(d.State)
	}
	k.history.add(d.Number, d.Digest)
	k.record(yuccahinge.Event{Code: event.TicketInForce, Ticket: d.Number, Peer: string(d.Peer), Detail: string(d.Digest)})
}

// reportEvery is the minimum time between two events with the same code, ticket number and peer.
const reportEvery = 10 * yuccahinge.Second

func (k *Syncer) recordLimited(code yuccahinge.EventCode, d *spread.Decision) {
	key := fmt.Sprint(code, "/", d.Number, "/", d.Peer)
	now := k.Clock.Now()
	if last, ok := k.lastReported[key]; ok && now-last < reportEvery {
		return
	}
	if k.lastReported == nil || len(k.lastReported) > 1024 {
		k.lastReported = make(map[string]yuccahinge.Millis)
	}
	k.lastReported[key] = now
	k.record(yuccahinge.Event{Code: code, Ticket: d.Number, Peer: string(d.Peer), Detail: d.Reason})
}
