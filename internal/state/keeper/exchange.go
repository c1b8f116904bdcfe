package keeper

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
	// deltaRows bounds the roster rows that ride along on one message.
	deltaRows = 6
	// compareEvery is the least time between two comparisons of whole rosters.
	compareEvery = 5 * yuccahinge.Second
	// catchUpEvery is the least time between two requests for all notices.
	catchUpEvery = 1 * yuccahinge.Second
	// seedEvery is the number of periods between two comparisons with a seed. It is no multiple of the number of
	// seeds, so that all have their turn.
	seedEvery = 7
	// compareRows bounds the rows of one comparison.
	compareRows = 4096
	// comparePause is the wait before the next comparison for each row that one moved, so that a cut which
	// changes many rows does not fill the links: a row takes about 200 bytes.
	comparePause = yuccahinge.Millis(100)
)

// exchanges talks to a few peers every period.
func (k *Keeper) exchanges(ctx context.Context) error {
	for turn := 0; k.sleep(ctx, k.period()); turn++ {
		k.askSeed(ctx, turn)
		now := k.Clock.Now()
		k.mu.Lock()
		k.recordChanges(k.roster.Tick(now))
		k.dropNotices(now)
		k.spread.Tick(now, k.roster.Members())
		peers := k.roster.Next(now)
		for _, peer := range peers {
			k.start(func() { _ = k.ask(ctx, peer, nil) })
		}
		k.mu.Unlock()
	}
	return nil
}

// askSeed compares rosters with a seed: at every turn while no other host is known, since the seeds may have been down
// when this host started, and now and then later, so that groups of hosts which know nothing of each other meet.
func (k *Keeper) askSeed(ctx context.Context, turn int) {
	seeds := k.seeds()
	if len(seeds) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.roster.Members()) > 1 && turn%seedEvery != 0 {
		return
	}
	addr := seeds[turn%len(seeds)]
	if addr == k.Self.PeerAddr {
		return
	}
	// A seed that is gone tells nothing; the next turn asks another one.
	k.start(func() { _ = k.compare(ctx, yuccahinge.Member{PeerAddr: addr}, true, false) })
}

// start runs f in the group unless too many calls run already; what is left out is made up for by the next
// exchanges. The caller holds the lock.
func (k *Keeper) start(f func()) {
	if k.group == nil || k.ctx.Err() != nil {
		return
	}
	select {
	case k.calls <- struct{}{}:
	default:
		return
	}
	calls := k.calls
	k.group.Go(func() error {
		defer func() { <-calls }()
		f()
		return nil
	})
}

// ask makes one exchange with a peer and does what follows from it.
func (k *Keeper) ask(ctx context.Context, peer yuccahinge.Member, parcel *spread.Parcel) error {
	return k.askWith(ctx, peer, parcel, false)
}

func (k *Keeper) askWith(ctx context.Context, peer yuccahinge.Member, parcel *spread.Parcel, quiet bool) error {
	if peer.PeerAddr == "" {
		return nil
	}
	request := k.request(yuccahinge.HostID(peer.ID), parcel, quiet)
	var reply exchangeReply
	call, cancel := context.WithTimeout(ctx, orDefault(k.CallMs, DefaultCall).Duration())
	defer cancel()
	err := k.Peers.Call(call, peer.PeerAddr, MethodExchange, &request, &reply)
	if err != nil && ctx.Err() != nil {
		// The call was given up here, which says nothing of the peer.
		return err
	}
	k.takeReply(peer, &request, &reply, err)
	return err
}

func (k *Keeper) request(to yuccahinge.HostID, parcel *spread.Parcel, quiet bool) exchangeRequest {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begin()
	ask := k.spread.Ask(now)
	ask.Parcel = parcel
	ask.Quiet = quiet
	return exchangeRequest{Gossip: k.gossip(now, to), Ask: ask}
}

func (k *Keeper) gossip(now yuccahinge.Millis, to yuccahinge.HostID) gossip {
	return gossip{
		From:      k.roster.Own(now),
		Rows:      k.roster.Delta(to, deltaRows),
		Sum:       k.roster.Sum(),
		Notices:   k.book.Delta(now, noticeRows),
		NoticeSum: k.book.Sum(now),
	}
}

func (k *Keeper) takeReply(peer yuccahinge.Member, request *exchangeRequest, reply *exchangeReply, err error) {
	now := k.Clock.Now()
	k.mu.Lock()
	if err == nil && peer.ID != "" && reply.Gossip.From.Member.ID != peer.ID {
		// Another host has taken the address over.
		k.recordChanges(k.roster.Failed(now, yuccahinge.HostID(peer.ID)))
	}
	if err != nil {
		k.report(event.SpreadPullFailed, &spread.Decision{Peer: yuccahinge.HostID(peer.ID), Reason: err.Error()})
		k.recordChanges(k.roster.Failed(now, yuccahinge.HostID(peer.ID)))
		k.mu.Unlock()
		return
	}
	calls := k.takeGossip(now, &reply.Gossip)
	reply.Answer.Summary.Host = yuccahinge.HostID(reply.Gossip.From.Member.ID)
	k.decide(k.spread.Replied(now, request.Ask, reply.Answer))
	k.compareSoon(now, &reply.Gossip)
	k.mu.Unlock()
	runAll(calls)
}

func (k *Keeper) takeGossip(now yuccahinge.Millis, g *gossip) []func() {
	k.recordChanges(k.roster.Heard(now, g.From))
	k.recordChanges(k.roster.Merge(now, g.Rows[:min(len(g.Rows), 2*deltaRows)]))
	return k.takeNotices(now, g.Notices)
}

func runAll(calls []func()) {
	for _, call := range calls {
		call()
	}
}

// answerExchange serves MethodExchange.
func (k *Keeper) answerExchange(_ context.Context, decode func(any) error) (any, error) {
	var request exchangeRequest
	if err := decode(&request); err != nil {
		return nil, malformed(err)
	}
	if request.Gossip.From.Member.ID == "" {
		return nil, malformed(fmt.Errorf("the asking host has no id"))
	}
	now := k.Clock.Now()
	k.mu.Lock()
	k.begin()
	calls := k.takeGossip(now, &request.Gossip)
	from := yuccahinge.HostID(request.Gossip.From.Member.ID)
	request.Ask.Summary.Host = from
	answer, decisions := k.spread.Answer(now, request.Ask)
	k.decide(decisions)
	reply := &exchangeReply{Gossip: k.gossip(now, from), Answer: answer}
	k.mu.Unlock()
	runAll(calls)
	return reply, nil
}

// compareSoon starts a comparison with a peer that believes something else of the hosts or has heard other notices:
// notices ride along a few times only, and a host that was cut off meanwhile has missed them. The caller holds
// the lock.
func (k *Keeper) compareSoon(now yuccahinge.Millis, g *gossip) {
	rows := g.Sum != k.roster.Sum() && now >= k.compareAfter
	notices := g.NoticeSum != k.book.Sum(now) && now-k.caughtUp >= catchUpEvery
	if !rows && !notices {
		return
	}
	if rows {
		k.compareAfter = now + compareEvery
	}
	if notices {
		k.caughtUp = now
	}
	peer := g.From.Member
	k.start(func() { _ = k.compare(k.ctx, peer, rows, notices) })
}

// compare fetches the rows that differ from a peer's and sends it those of this host, or fetches the notices
// that stand, or both.
func (k *Keeper) compare(ctx context.Context, peer yuccahinge.Member, rows, notices bool) error {
	now := k.Clock.Now()
	k.mu.Lock()
	k.begin()
	request := compareRequest{From: k.roster.Own(now), Sums: k.roster.Sums(), NoRows: !rows, Notices: notices}
	k.mu.Unlock()
	reply, err := k.callCompare(ctx, peer, &request)
	if err != nil {
		return err
	}
	now = k.Clock.Now()
	k.mu.Lock()
	k.recordChanges(k.roster.Heard(now, reply.From))
	k.recordChanges(k.roster.Learn(now, reply.Rows))
	calls := k.takeNotices(now, reply.Notices)
	if rows {
		k.compareAfter = now + max(compareEvery, comparePause*yuccahinge.Millis(len(reply.Rows)))
	}
	back := compareRequest{From: k.roster.Own(now), Sums: k.roster.Sums(), Rows: k.roster.Rows(reply.Sums)}
	k.mu.Unlock()
	runAll(calls)
	if !rows || len(back.Rows) == 0 || back.Sums == reply.Sums {
		return nil
	}
	_, err = k.callCompare(ctx, peer, &back)
	return err
}

func (k *Keeper) callCompare(ctx context.Context, peer yuccahinge.Member, request *compareRequest) (*compareReply, error) {
	call, cancel := context.WithTimeout(ctx, orDefault(k.CallMs, DefaultCall).Duration())
	defer cancel()
	var reply compareReply
	if err := k.Peers.Call(call, peer.PeerAddr, MethodCompare, request, &reply); err != nil {
		return nil, err
	}
	reply.Rows = reply.Rows[:min(len(reply.Rows), compareRows)]
	return &reply, nil
}

// answerCompare serves MethodCompare.
func (k *Keeper) answerCompare(_ context.Context, decode func(any) error) (any, error) {
	var request compareRequest
	if err := decode(&request); err != nil {
		return nil, malformed(err)
	}
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begin()
	k.recordChanges(k.roster.Heard(now, request.From))
	reply := &compareReply{From: k.roster.Own(now), Sums: k.roster.Sums()}
	if len(request.Rows) > 0 {
		k.recordChanges(k.roster.Learn(now, request.Rows[:min(len(request.Rows), compareRows)]))
		return reply, nil
	}
	if !request.NoRows {
		reply.Rows = k.roster.Rows(request.Sums)
	}
	if request.Notices {
		reply.Notices = k.book.All(now)
	}
	return reply, nil
}

// askAll makes an exchange with each peer and returns when all have ended.
func (k *Keeper) askAll(ctx context.Context, peers []yuccahinge.Member) int {
	var wait sync.WaitGroup
	answered := make([]bool, len(peers))
	for i, peer := range peers {
		wait.Go(func() { answered[i] = k.ask(ctx, peer, nil) == nil })
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

// some returns random peers of every domain, n of the own one. The caller holds the lock.
func (k *Keeper) some(n int) []yuccahinge.Member {
	var out []yuccahinge.Member
	for _, id := range k.spread.Some(n) {
		if m, ok := k.roster.Find(id); ok {
			out = append(out, m)
		}
	}
	return out
}

func (k *Keeper) recordChanges(changes []roster.Change) {
	for _, c := range changes {
		k.record(yuccahinge.Event{Code: c.Code, Peer: c.Member.ID, Detail: string(c.Member.Status)})
	}
}

func malformed(err error) error {
	return &yuccahinge.Error{
		Code:    yuccahinge.CodeInvalid,
		Step:    yuccahinge.StepSpread,
		Message: "the message is malformed",
		Err:     err,
	}
}

// decide does what package spread decided. The caller holds the lock.
func (k *Keeper) decide(decisions []spread.Decision) {
	k.noteAge(k.Clock.Now())
	for i := range decisions {
		k.decideOne(&decisions[i])
	}
}

func (k *Keeper) decideOne(d *spread.Decision) {
	switch d.Kind {
	case spread.Adopt:
		k.adopt(d)
	case spread.Exchange, spread.Deliver:
		peer, ok := k.roster.Find(d.Peer)
		if !ok {
			return
		}
		if d.Parcel != nil {
			k.record(yuccahinge.Event{Code: event.SpreadPushed, Ticket: k.spread.Number(), Peer: string(d.Peer)})
		}
		k.start(func() { _ = k.ask(k.ctx, peer, d.Parcel) })
	case spread.Ignored:
		k.report(event.TicketIgnored, d)
	case spread.Conflict:
		k.report(event.TicketConflict, d)
	case spread.Gap:
		k.report(event.TicketGap, d)
	case spread.Refused:
		k.report(event.TicketRefused, d)
	}
}

func (k *Keeper) adopt(d *spread.Decision) {
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
	if k.Adopted != nil {
		k.Adopted(d.State)
	}
	k.history.add(d.Number, d.Digest)
	k.record(yuccahinge.Event{Code: event.TicketInForce, Ticket: d.Number, Peer: string(d.Peer), Detail: string(d.Digest)})
}

// reportEvery is the least time between two events of the same kind about the same number and peer.
const reportEvery = 10 * yuccahinge.Second

func (k *Keeper) report(code yuccahinge.EventCode, d *spread.Decision) {
	key := fmt.Sprint(code, "/", d.Number, "/", d.Peer)
	now := k.Clock.Now()
	if last, ok := k.reported[key]; ok && now-last < reportEvery {
		return
	}
	if k.reported == nil || len(k.reported) > 1024 {
		k.reported = make(map[string]yuccahinge.Millis)
	}
	k.reported[key] = now
	k.record(yuccahinge.Event{Code: code, Ticket: d.Number, Peer: string(d.Peer), Detail: d.Reason})
}
