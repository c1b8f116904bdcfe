package syncer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// testClock returns the time of the synctest bubble.
type testClock struct{}

func (testClock) Now() yuccahinge.Millis {
	return yuccahinge.Millis(time.Now().UnixMicro()) / 1000
}

// testFleet is a set of Syncers that call each other in memory, and a platform that may be down.
type testFleet struct {
	t        *testing.T
	mu       sync.Mutex
	handlers map[string]map[yuccahinge.PeerMethod]yuccahinge.PeerHandler
	cut      func(from, to string) bool
	bytes    int
	calls    int
	// bytesOf counts the bytes that each address sends and receives; nil counts none.
	bytesOf map[string]int

	tickets []*yuccahinge.Ticket
	state   *yuccahinge.State
	down    bool
	// deadUntil ends the reads that began before it and get no answer, since their connections are dead.
	deadUntil time.Time
	reads     int
	syncers   []*Syncer
	events    []yuccahinge.Event
}

type peerCaller struct {
	f    *testFleet
	from string
}

var errCut = errors.New("cut")

func (c peerCaller) Call(ctx context.Context, addr string, method yuccahinge.PeerMethod, in, out any) error {
	time.Sleep(time.Millisecond)
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	c.f.mu.Lock()
	handler := c.f.handlers[addr][method]
	cut := c.f.cut != nil && c.f.cut(c.from, addr)
	c.f.countBytes(c.from, addr, len(body))
	c.f.calls++
	c.f.mu.Unlock()
	if handler == nil || cut {
		return errCut
	}
	reply, err := handler(ctx, func(v any) error { return cbor.Unmarshal(body, v) })
	if err != nil {
		return err
	}
	body, err = cbor.Marshal(reply)
	if err != nil {
		return err
	}
	c.f.mu.Lock()
	c.f.countBytes(c.from, addr, len(body))
	c.f.mu.Unlock()
	return cbor.Unmarshal(body, out)
}

// countBytes counts a message between two addresses. The caller holds the lock.
func (f *testFleet) countBytes(from, to string, n int) {
	f.bytes += n
	if f.bytesOf != nil {
		f.bytesOf[from] += n
		f.bytesOf[to] += n
	}
}

func (f *testFleet) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	start := time.Now()
	end := start.Add(wait.Duration())
	for {
		f.mu.Lock()
		head, down, isDead := yuccahinge.TicketNumber(len(f.tickets)), f.down, start.Before(f.deadUntil)
		f.reads++
		f.mu.Unlock()
		if isDead {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		if down {
			return 0, &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPlatform}
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		if head > after || !time.Now().Before(end) {
			return head, nil
		}
		waitFor(ctx, 10)
	}
}

func (f *testFleet) Ticket(_ context.Context, n yuccahinge.TicketNumber) (*yuccahinge.Ticket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPlatform}
	}
	return f.tickets[n-1], nil
}

func (f *testFleet) State(context.Context) (*yuccahinge.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPlatform}
	}
	return f.state, nil
}

func (f *testFleet) Members(context.Context) ([]yuccahinge.Member, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errCut
	}
	out := []yuccahinge.Member{{ID: "s9", Role: yuccahinge.RoleSearcher, Status: yuccahinge.StatusLeaving, Incarnation: "l1"}}
	for _, h := range f.syncers {
		out = append(out, h.Self)
	}
	return out, nil
}

func (f *testFleet) Record(e yuccahinge.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
	if e.Code == event.InvariantBroken {
		f.t.Errorf("invariant broken: %s", e.Detail)
	}
}

// publish adds a ticket with one more holiday and returns its number.
func (f *testFleet) publish() yuccahinge.TicketNumber {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := yuccahinge.TicketNumber(len(f.tickets) + 1)
	day := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).AddDate(0, 0, int(n)).Format(time.DateOnly)
	t := &yuccahinge.Ticket{
		Number:    n,
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{"et": {Holidays: []string{day}}},
	}
	next, err := ticket.Apply(f.state, t)
	if err != nil {
		f.t.Fatal(err)
	}
	f.tickets = append(f.tickets, t)
	f.state = next
	return n
}

// add creates a Syncer in a failure domain; run starts it. The functions in prepare change it before other hosts can call it.
func (f *testFleet) add(i int, domain yuccahinge.DomainID, prepare ...func(h *Syncer)) *Syncer {
	id := fmt.Sprintf("h%02d", i)
	addr := fmt.Sprintf("127.0.0.1:%d", 7000+i)
	h := &Syncer{
		Self:   yuccahinge.Member{ID: id, Domain: domain, Incarnation: "l1", PeerAddr: addr, Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive},
		Source: f, Peers: peerCaller{f: f, from: addr}, Clock: testClock{}, Recorder: f, Seed: 7,
	}
	for _, p := range prepare {
		p(h)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handlers == nil {
		f.handlers = make(map[string]map[yuccahinge.PeerMethod]yuccahinge.PeerHandler)
	}
	methods := make(map[yuccahinge.PeerMethod]yuccahinge.PeerHandler)
	h.Register(func(m yuccahinge.PeerMethod, handler yuccahinge.PeerHandler) { methods[m] = handler })
	f.handlers[addr] = methods
	f.syncers = append(f.syncers, h)
	return h
}

func run(ctx context.Context, wait *sync.WaitGroup, h *Syncer) {
	wait.Go(func() { _ = h.Run(ctx) })
}

// inForce returns the number of Syncers that have ticket n or a later one in force.
func (f *testFleet) inForce(n yuccahinge.TicketNumber) int {
	count := 0
	for _, h := range f.syncers {
		if s, _ := h.State(); s != nil && s.Ticket >= n {
			count++
		}
	}
	return count
}

func TestTicketIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t}
		f.publish()
		var wait sync.WaitGroup
		for i := range 9 {
			run(ctx, &wait, f.add(i, yuccahinge.DomainID(fmt.Sprint("d", i%3))))
		}
		time.Sleep(5 * time.Second)
		for _, h := range f.syncers {
			if ok, why := h.Ready(); !ok {
				t.Errorf("%s is not ready: %s", h.Self.ID, why)
			}
			if !h.Draining("s9") {
				t.Errorf("%s does not know that s9 is draining", h.Self.ID)
			}
			if n := len(h.Roster().Members()); n != 9 {
				t.Errorf("%s knows %d members, want 9", h.Self.ID, n)
			}
		}
		for n := yuccahinge.TicketNumber(2); n < 12; n++ {
			f.publish()
			time.Sleep(4 * time.Second)
			if got := f.inForce(n); got != 9 {
				t.Errorf("ticket %d is in force on %d of 9 hosts", n, got)
			}
		}
		cancel()
		wait.Wait()
	})
}

func TestFreshHostGetsStateFromPeerWhilePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t}
		f.publish()
		var wait sync.WaitGroup
		run(ctx, &wait, f.add(0, "d0"))
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.down = true
		f.mu.Unlock()
		isolated := f.add(1, "d1")
		run(ctx, &wait, isolated)
		time.Sleep(5 * time.Second)
		if ok, why := isolated.Ready(); ok || why == "" {
			t.Errorf("a host that reaches neither peers nor the platform has ready %v and reason %q", ok, why)
		}
		fresh := f.add(2, "d1", func(h *Syncer) { h.Seeds = []string{"127.0.0.1:7000"} })
		run(ctx, &wait, fresh)
		time.Sleep(5 * time.Second)
		if ok, why := fresh.Ready(); !ok {
			t.Errorf("not ready: %s", why)
		}
		s, age := fresh.State()
		if s == nil || s.Ticket != 1 || age < 5*yuccahinge.Second {
			t.Errorf("state %v of age %v, want ticket 1 of age 5 s or more", s, age)
		}
		cancel()
		wait.Wait()
	})
}

// invalidOnce is a platform whose newest state can't be used at the first read.
type invalidOnce struct {
	*testFleet
	reads int
}

func (p *invalidOnce) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	if p.reads++; p.reads == 1 {
		return 0, fmt.Errorf("malformed: %w", yuccahinge.ErrInvalidState)
	}
	return p.testFleet.Head(ctx, after, wait)
}

// TestInvalidStateIsRefusedOnce guards against a host that takes the platform for unavailable, or stays silent, because of
// a published state that can't be used.
func TestInvalidStateIsRefusedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t}
		f.publish()
		h := f.add(0, "d0")
		h.Source = &invalidOnce{testFleet: f}
		var wait sync.WaitGroup
		run(ctx, &wait, h)
		time.Sleep(5 * time.Second)
		if f.inForce(1) != 1 {
			t.Error("the later state is not in force")
		}
		refused := 0
		f.mu.Lock()
		for _, e := range f.events {
			switch e.Code {
			case event.TicketRefused:
				refused++
			case event.PlatformDown:
				t.Errorf("platform down: %s", e.Detail)
			}
		}
		f.mu.Unlock()
		if refused != 1 {
			t.Errorf("%d refusals, want 1", refused)
		}
		cancel()
		wait.Wait()
	})
}
