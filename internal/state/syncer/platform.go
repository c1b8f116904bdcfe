package syncer

import (
	"context"
	"errors"
	"fmt"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/spread"
)

const (
	// stepPollEvery is the interval at which awaitStep polls a step of the join.
	stepPollEvery = yuccahinge.Millis(5)
	// membershipSettleMs is how long hosts that start together take to discover each other; before that too many
	// would consider themselves readers. Since the join reads the platform first, the wait delays only a ticket that
	// is published during it.
	membershipSettleMs = yuccahinge.Millis(700)
	// readerCheckEvery is the interval at which a host that is not a reader checks whether it has become one.
	readerCheckEvery = yuccahinge.Millis(250)
	// readTimeout is the timeout of a platform read, in addition to the wait that it requests.
	readTimeout = 3 * yuccahinge.Second
	// readTimeoutShare bounds the timeout of a read as a share of BoundMs.
	readTimeoutShare = 0.4
	// firstReadWait is the wait of the first read of a host that reads because it knows of no recent read. It returns at once, so that
	// other hosts soon know of a read.
	firstReadWait = yuccahinge.Millis(1)
	// firstBackoff and maxBackoff bound the wait after a failed read.
	firstBackoff = yuccahinge.Millis(250)
	maxBackoff   = 3 * yuccahinge.Second
	// listedMemberBytes is the approximate size of a row of the membership list, and listBytesPerSecond the rate at
	// which a host reads the list, so that a long list is read less often.
	listedMemberBytes  = 150
	listBytesPerSecond = 4096
)

// runReader watches the platform's head while this host is a reader: one of the hosts that read the platform directly.
func (s *Syncer) runReader(ctx context.Context) error {
	backoff := firstBackoff
	wasReader := false
	platformDown := false
	// The first round of the join also reads the platform and may find other readers. The wait is bounded, so that
	// unreachable seeds do not delay the first ticket.
	s.awaitStep(ctx, &s.firstRoundDone)
	if s.firstRoundDone.Load() {
		s.sleep(ctx, membershipSettleMs)
	}
	for ctx.Err() == nil {
		after, isReader := s.watchTarget()
		s.recordReaderChange(wasReader, isReader)
		wait := s.watchWait(wasReader)
		wasReader = isReader
		s.watchingHead.Store(isReader && !platformDown)
		s.askForRead()
		if !isReader {
			s.sleep(ctx, readerCheckEvery)
			continue
		}
		err := s.readHead(ctx, after, wait)
		if ctx.Err() != nil {
			break
		}
		s.recordPlatformChange(platformDown, err)
		platformDown = err != nil
		if err == nil {
			backoff = firstBackoff
			// The wait limits the call rate if the platform answers a long poll at once.
			s.sleep(ctx, minReadInterval)
			continue
		}
		s.sleep(ctx, backoff)
		backoff = min(2*backoff, s.maxRetryDelay())
	}
	return nil
}

// watchWait returns how long the next read of the head waits for a change.
func (s *Syncer) watchWait(wasReader bool) yuccahinge.Millis {
	wait := orDefault(s.WatchWaitMs, DefaultWatchWait)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.BoundMs <= 0:
		return wait
	case !wasReader && !s.node.IsElected():
		return firstReadWait
	default:
		return min(wait, s.node.WatchWait())
	}
}

// maxRetryDelay returns the longest delay of a read after a failed one.
func (s *Syncer) maxRetryDelay() yuccahinge.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return orDefault(s.node.MaxRetryDelay(), maxBackoff)
}

// askForRead asks a host that may know of a newer read than this one, if the last read that this one knows of is old.
func (s *Syncer) askForRead() {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer, ok := s.roster.Find(s.node.HostToAsk(now)); ok && peer.PeerAddr != "" {
		request := &exchangeRequest{Gossip: s.newGossip(now, yuccahinge.HostID(peer.ID)), Ask: s.node.NewQuestion(now)}
		s.startCall(func() { _ = s.callExchange(s.ctx, peer, request) })
	}
}

// minReadInterval is the minimum time between two reads of the head.
const minReadInterval = yuccahinge.Millis(20)

func (s *Syncer) watchTarget() (yuccahinge.TicketNumber, bool) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.WatchAfter(now), s.node.ShouldRead(now)
}

func (s *Syncer) recordReaderChange(wasReader, isReader bool) {
	switch {
	case isReader && !wasReader:
		s.record(yuccahinge.Event{Code: event.ReaderElected, Ticket: s.numberInForce(), Detail: s.readerReason()})
	case wasReader && !isReader:
		s.record(yuccahinge.Event{Code: event.ReaderStoodDown, Detail: "configuration"})
	}
}

// readerReason returns why this host reads the platform's head.
func (s *Syncer) readerReason() string {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.node.LastKnownRead(now)
	switch {
	case s.node.IsElected():
		return "configuration: elected"
	case !known:
		return "configuration: no other host is known to have read it"
	default:
		return fmt.Sprintf("configuration: %.0f ms since the last known read, by %s", last.AgeMs, last.Reader)
	}
}

func (s *Syncer) recordPlatformChange(wasDown bool, err error) {
	switch {
	case err != nil && !wasDown:
		s.record(yuccahinge.Event{Code: event.PlatformDown, Detail: err.Error()})
	case err == nil && wasDown:
		s.record(yuccahinge.Event{Code: event.PlatformBack})
	}
}

func (s *Syncer) readHead(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) error {
	callCtx, cancel := context.WithTimeout(ctx, (wait + s.readTimeout()).Duration())
	defer cancel()
	head, err := s.Source.Head(callCtx, after, wait)
	if errors.Is(err, yuccahinge.ErrInvalidState) {
		s.record(yuccahinge.Event{Code: event.TicketRefused, Detail: err.Error()})
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	now := s.Clock.Now()
	decisions := s.node.HandleHead(now, head)
	s.updateConfirmed(now)
	s.mu.Unlock()
	return s.runReads(ctx, decisions)
}

// readTimeout returns the timeout of a read, in addition to the wait that it requests.
func (s *Syncer) readTimeout() yuccahinge.Millis {
	if s.BoundMs > 0 {
		return min(readTimeout, readTimeoutShare*s.BoundMs)
	}
	return readTimeout
}

// runReads carries out platform reads one after another, including those that follow from them, and applies all other
// decisions.
func (s *Syncer) runReads(ctx context.Context, decisions []spread.Decision) error {
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		var more []spread.Decision
		var err error
		switch d.Kind {
		case spread.ReadTicket:
			more, err = s.readTicket(ctx, d.Number)
		case spread.ReadState:
			more, err = s.readState(ctx)
		default:
			s.mu.Lock()
			s.apply([]spread.Decision{d})
			s.mu.Unlock()
		}
		if err != nil {
			return err
		}
		decisions = append(decisions, more...)
	}
	return nil
}

func (s *Syncer) readTicket(ctx context.Context, n yuccahinge.TicketNumber) ([]spread.Decision, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.readTimeout().Duration())
	defer cancel()
	t, err := s.Source.Ticket(callCtx, n)
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.record(yuccahinge.Event{Code: event.TicketRead, Ticket: n})
		return s.node.HandleTicket(now, t), nil
	}
	var typed *yuccahinge.Error
	if !errors.As(err, &typed) || typed.Code == yuccahinge.CodeUnavailable || typed.Code == yuccahinge.CodeDeadline {
		return nil, err
	}
	missing := typed.Code == yuccahinge.CodeNotFound
	return s.node.HandleTicketError(now, n, missing, err.Error()), nil
}

func (s *Syncer) readState(ctx context.Context) ([]spread.Decision, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.readTimeout().Duration())
	defer cancel()
	state, err := s.Source.State(callCtx)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.HandleState(s.Clock.Now(), state), nil
}

// runLister reads the platform's membership list repeatedly while this host is a reader, that is, reads the platform
// directly.
func (s *Syncer) runLister(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, isReader := s.watchTarget(); !isReader {
			s.sleep(ctx, readerCheckEvery)
			continue
		}
		rows := s.readMembers(ctx)
		s.sleep(ctx, s.listInterval(rows))
	}
	return nil
}

// listInterval returns the time between two reads of a list with the given number of rows.
func (s *Syncer) listInterval(rows int) yuccahinge.Millis {
	cost := yuccahinge.Millis(rows*listedMemberBytes) / listBytesPerSecond * yuccahinge.Second
	return max(orDefault(s.ListIntervalMs, DefaultListInterval), cost)
}

// readMembers reads the membership list and returns the number of rows; 0 if the read failed.
func (s *Syncer) readMembers(ctx context.Context) int {
	callCtx, cancel := context.WithTimeout(ctx, s.readTimeout().Duration())
	defer cancel()
	list, err := s.Source.Members(callCtx)
	if err != nil {
		return 0
	}
	now := s.Clock.Now()
	s.mu.Lock()
	s.recordChanges(s.roster.MergeList(now, list))
	s.node.SetMembers(now, s.roster.Members())
	calls := s.mergeNotices(now, s.listedDrains(list))
	s.mu.Unlock()
	runAll(calls)
	return len(list)
}

// listedDrains returns a draining notice for each searcher that the list shows as leaving. The TTL exceeds the time
// to the next read of the list.
func (s *Syncer) listedDrains(list []yuccahinge.Member) []yuccahinge.Notice {
	ttl := max(minListedDrainTTL, 3*s.listInterval(len(list)))
	var out []yuccahinge.Notice
	for _, m := range list {
		if m.Role != yuccahinge.RoleSearcher || m.Status != yuccahinge.StatusLeaving {
			continue
		}
		out = append(out, yuccahinge.Notice{
			Kind: yuccahinge.NoticeDraining, Key: m.ID, Incarnation: m.Incarnation, TTLMs: ttl,
		})
	}
	return out
}
