package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/internal/state/delays"
	"github.com/yuccahinge/yuccahinge/internal/state/relay"
)

const (
	// fleetHeartbeat is the interval at which each searcher of a fleet writes its entry.
	fleetHeartbeat = 1200 * time.Millisecond
	// departureInForce is the time in which all undisturbed hosts must have dropped a searcher whose entry was removed, where the
	// settings don't name another.
	departureInForce = 3 * time.Second
	// storeTimeout is how long a call to a silent platform takes beyond its wait.
	storeTimeout = 1200 * time.Millisecond
)

var (
	errCut     = errors.New("the platform is unreachable")
	errRefused = errors.New("connection refused")
)

// fleetStore is a platform with searchers that write heartbeats.
type fleetStore struct {
	mu       sync.Mutex
	revision yuccahinge.Revision
	entries  map[string]yuccahinge.Revision
	removed  map[string]yuccahinge.Revision
	changed  chan struct{}
	// away is set while the platform answers no call, and silent if it does not refuse them either. If it is quiet, heartbeats are no
	// changes.
	away, silent, quiet bool
	// calls holds the time of each call since the last reset.
	calls []time.Time
}

func newFleetStore(searchers int) *fleetStore {
	s := &fleetStore{entries: make(map[string]yuccahinge.Revision), removed: make(map[string]yuccahinge.Revision), changed: make(chan struct{})}
	for i := range searchers {
		s.write(fmt.Sprintf("s%02d", i))
	}
	return s
}

func (s *fleetStore) change(key string, present bool) {
	s.revision++
	if present {
		s.entries[key] = s.revision
		delete(s.removed, key)
	} else {
		delete(s.entries, key)
		s.removed[key] = s.revision
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fleetStore) write(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(key, true)
}

func (s *fleetStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(key, false)
}

// beat writes the heartbeats of all listed searchers, one after the other, until the context ends.
func (s *fleetStore) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		keys := slices.Sorted(func(yield func(string) bool) {
			for key := range s.entries {
				if !yield(key) {
					return
				}
			}
		})
		s.mu.Unlock()
		for _, key := range keys {
			time.Sleep(fleetHeartbeat / time.Duration(len(keys)))
			s.mu.Lock()
			if _, ok := s.entries[key]; ok && !s.away && !s.quiet {
				s.change(key, true)
			}
			s.mu.Unlock()
		}
	}
}

func (s *fleetStore) read(ctx context.Context, after yuccahinge.Position, wait yuccahinge.Millis) (*yuccahinge.ChangeBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
	end := time.After(wait.Duration())
	for after.Revision > 0 && s.revision <= after.Revision && !s.away {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mu.Lock()
			return &yuccahinge.ChangeBatch{Revision: s.revision}, nil
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	if s.away {
		if s.silent {
			s.mu.Unlock()
			time.Sleep(wait.Duration() + storeTimeout)
			s.mu.Lock()
		}
		return nil, errCut
	}
	b := &yuccahinge.ChangeBatch{Revision: s.revision, Snapshot: after.Revision == 0}
	for key, r := range s.entries {
		if r > after.Revision {
			b.Changes = append(b.Changes, yuccahinge.Change{Key: key, Revision: r, Registration: fleetRegistration(key)})
		}
	}
	for key, r := range s.removed {
		if r > after.Revision && !b.Snapshot {
			b.Changes = append(b.Changes, yuccahinge.Change{Key: key, Revision: r})
		}
	}
	return b, nil
}

func fleetRegistration(key string) *yuccahinge.Registration {
	return &yuccahinge.Registration{ID: yuccahinge.SearcherID(key), Instance: key, Service: "s", Addr: "10.0.0.1:80", Slots: 1, Generation: 1}
}

// fleetHost is an entry host with its relay and watcher. Its store and peers answer as its faults say.
type fleetHost struct {
	fleet   *fleet
	member  yuccahinge.Member
	relay   relay.Relay
	watcher Watcher
	handle  yuccahinge.PeerHandler

	mu sync.Mutex
	// thawed is closed when the host is no longer frozen; nil if it is not frozen.
	thawed chan struct{}
	// refuses is set while the process is down, isCut while the host can't reach the platform, isRefused while the platform refuses its
	// calls, isLost while no call between it and another host is answered, and delay slows its answers.
	refuses, isCut, isRefused, isLost bool
	delay                             time.Duration
	// isDisturbed is set once the host itself was frozen or kept from the platform, so that the bound does not hold for it.
	isDisturbed bool
	// dropped holds when each searcher was last dropped.
	dropped map[yuccahinge.SearcherID]time.Time
	listed  map[yuccahinge.SearcherID]bool
}

// awaitThaw returns when the host is not frozen.
func (h *fleetHost) awaitThaw(ctx context.Context) {
	h.mu.Lock()
	thawed := h.thawed
	h.mu.Unlock()
	if thawed != nil {
		select {
		case <-thawed:
		case <-ctx.Done():
		}
	}
}

func (h *fleetHost) freeze(span time.Duration) {
	h.mu.Lock()
	h.thawed = make(chan struct{})
	h.isDisturbed = true
	h.mu.Unlock()
	time.AfterFunc(span, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		close(h.thawed)
		h.thawed = nil
	})
}

// cutOff separates the host from all others and from the platform for a time.
func (h *fleetHost) cutOff(span time.Duration) {
	h.during(span, func(on bool) { h.isLost, h.isCut, h.isDisturbed = on, on, true })
}

// turnAway makes the platform refuse the host's calls for a time.
func (h *fleetHost) turnAway(span time.Duration) {
	h.during(span, func(on bool) { h.isRefused, h.isDisturbed = on, true })
}

// during sets a fault for a time.
func (h *fleetHost) during(span time.Duration, set func(on bool)) {
	h.mu.Lock()
	set(true)
	h.mu.Unlock()
	time.AfterFunc(span, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		set(false)
	})
}

func (h *fleetHost) List(ctx context.Context) (*yuccahinge.ChangeBatch, error) {
	return h.Watch(ctx, yuccahinge.Position{}, 0)
}

func (h *fleetHost) Watch(ctx context.Context, after yuccahinge.Position, wait yuccahinge.Millis) (*yuccahinge.ChangeBatch, error) {
	h.awaitThaw(ctx)
	time.Sleep(2 * time.Millisecond)
	h.mu.Lock()
	isCut, isRefused := h.isCut, h.isRefused
	h.mu.Unlock()
	switch {
	case isCut:
		time.Sleep(wait.Duration() + storeTimeout)
		return nil, errCut
	case isRefused:
		return nil, errRefused
	}
	b, err := h.fleet.store.read(ctx, after, wait)
	time.Sleep(2 * time.Millisecond)
	h.awaitThaw(ctx)
	return b, err
}

// Call implements yuccahinge.PeerCaller.
func (h *fleetHost) Call(ctx context.Context, addr string, _ yuccahinge.PeerMethod, in, out any) error {
	h.awaitThaw(ctx)
	to := h.fleet.hosts[addr]
	time.Sleep(time.Millisecond)
	h.fleet.countPeerCall()
	to.mu.Lock()
	refuses, isLost, delay := to.refuses, to.isLost, to.delay
	to.mu.Unlock()
	h.mu.Lock()
	isLost = isLost || h.isLost
	h.mu.Unlock()
	switch {
	case refuses:
		return errRefused
	case isLost:
		<-ctx.Done()
		return ctx.Err()
	}
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	type answer struct {
		text []byte
		err  error
	}
	answered := make(chan answer, 1)
	go func() {
		to.awaitThaw(ctx)
		v, err := to.handle(ctx, func(v any) error { return json.Unmarshal(text, v) })
		to.awaitThaw(ctx)
		time.Sleep(time.Millisecond + delay)
		a := answer{err: err}
		if err == nil {
			a.text, a.err = json.Marshal(v)
		}
		answered <- a
	}()
	select {
	case a := <-answered:
		if a.err != nil {
			return a.err
		}
		return json.Unmarshal(a.text, out)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fleet is a number of entry hosts that share a platform. It is their membership, which notices nothing of their faults.
type fleet struct {
	store   *fleetStore
	hosts   map[string]*fleetHost
	members []yuccahinge.Member
	readers []*fleetHost
	// bound is the time in which departures must be in force.
	bound time.Duration

	mu        sync.Mutex
	peerCalls int
}

func (f *fleet) countPeerCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerCalls++
}

// takePeerCalls returns the number of calls between hosts since the last time.
func (f *fleet) takePeerCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.peerCalls
	f.peerCalls = 0
	return n
}

func (f *fleet) Members() []yuccahinge.Member { return f.members }

func (f *fleet) Find(id yuccahinge.HostID) (yuccahinge.Member, bool) {
	h, ok := f.hosts[string(id)]
	if !ok {
		return yuccahinge.Member{}, false
	}
	return h.member, true
}

// others returns the hosts that are none of the readers.
func (f *fleet) others() []*fleetHost {
	var out []*fleetHost
	for _, m := range f.members {
		if h := f.hosts[m.ID]; !slices.Contains(f.readers, h) {
			out = append(out, h)
		}
	}
	return out
}

// runFleet runs n hosts over three failure domains with 20 searchers for 10 seconds, and then steps. Departures must be in force in the
// time of bound.
func runFleet(t *testing.T, n int, bound time.Duration, steps func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{store: newFleetStore(20), hosts: make(map[string]*fleetHost), bound: bound}
		delayBound := delays.Bound{DrainMs: yuccahinge.Millis(bound.Milliseconds())}
		for i := range n {
			id := fmt.Sprint("e", i)
			m := yuccahinge.Member{ID: id, PeerAddr: id, Domain: yuccahinge.DomainID(fmt.Sprint("z", i%3)), Status: yuccahinge.StatusLive}
			f.members = append(f.members, m)
			f.hosts[id] = &fleetHost{fleet: f, member: m, dropped: make(map[yuccahinge.SearcherID]time.Time)}
		}
		var running sync.WaitGroup
		running.Go(func() { f.store.beat(ctx) })
		for i, m := range f.members {
			h := f.hosts[m.ID]
			h.relay = relay.Relay{Self: yuccahinge.HostID(m.ID), Domain: m.Domain, Peers: h, Membership: f, Clock: clock.Clock{}, Bound: delayBound}
			h.relay.Register(func(_ yuccahinge.PeerMethod, handle yuccahinge.PeerHandler) { h.handle = handle })
			h.watcher = Watcher{ListWatcher: h, Peers: &h.relay, Clock: clock.Clock{}, OnChange: h.setSearchers, Seed: uint64(i), Bound: delayBound}
			if h.relay.IsReader() {
				f.readers = append(f.readers, h)
			}
		}
		for _, m := range f.members {
			running.Go(func() { _ = f.hosts[m.ID].watcher.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		f.store.takeCalls()
		f.takePeerCalls()
		steps(t, f)
		cancel()
		running.Wait()
		time.Sleep(5 * time.Second) // calls in progress and faults end
	})
}

// setQuiet sets whether heartbeats change nothing, and returns when the long polls have settled.
func (f *fleet) setQuiet(quiet bool) {
	f.store.mu.Lock()
	f.store.quiet = quiet
	f.store.mu.Unlock()
	time.Sleep(5 * time.Second)
	f.store.takeCalls()
	f.takePeerCalls()
}

func (h *fleetHost) setSearchers(services map[yuccahinge.ServiceName][]*yuccahinge.Registration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.listed
	h.listed = make(map[yuccahinge.SearcherID]bool)
	for _, r := range services["s"] {
		h.listed[r.ID] = true
	}
	for id := range before {
		if !h.listed[id] {
			h.dropped[id] = time.Now()
		}
	}
}

// takeCalls returns the number of calls to the platform since the last time, and the most in one second.
func (s *fleetStore) takeCalls() (total, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, at := range s.calls {
		j := i
		for j < len(s.calls) && s.calls[j].Sub(at) < time.Second {
			j++
		}
		most = max(most, j-i)
	}
	total = len(s.calls)
	s.calls = nil
	return total, most
}

// TestDepartureIsInForceWhileReadersAreAway guards against requests to searchers that are gone, sent by hosts that nothing has
// disturbed, while the hosts that read the list of searchers for them are frozen, cut off, down or slow.
func TestDepartureIsInForceWhileReadersAreAway(t *testing.T) {
	faults := map[string]func(f *fleet){
		"none": func(*fleet) {},
		"all frozen": func(f *fleet) {
			for _, h := range f.readers {
				h.freeze(4 * time.Second)
			}
		},
		"one frozen": func(f *fleet) { f.readers[0].freeze(4 * time.Second) },
		"one frozen, the others cut off from the platform": func(f *fleet) {
			f.readers[0].freeze(4 * time.Second)
			for _, h := range f.readers[1:] {
				h.during(4*time.Second, func(on bool) { h.isCut = on })
			}
		},
		"all cut off from the platform": func(f *fleet) {
			for _, h := range f.readers {
				h.during(4*time.Second, func(on bool) { h.isCut = on })
			}
		},
		"all down": func(f *fleet) {
			for _, h := range f.readers {
				h.during(3500*time.Millisecond, func(on bool) { h.refuses = on })
			}
		},
		"down in turn": func(f *fleet) {
			for i, h := range f.readers {
				time.AfterFunc(time.Duration(i)*700*time.Millisecond, func() { h.during(time.Second, func(on bool) { h.refuses = on }) })
			}
		},
		"frozen in turn": func(f *fleet) {
			for i, h := range f.readers {
				time.AfterFunc(time.Duration(i)*900*time.Millisecond, func() { h.freeze(4 * time.Second) })
			}
		},
		"slow": func(f *fleet) {
			for _, h := range f.readers {
				h.mu.Lock()
				h.delay = 500 * time.Millisecond
				h.mu.Unlock()
			}
		},
		"frozen, and the first that take their place": func(f *fleet) {
			for _, h := range append(f.substitutes(), f.readers...) {
				h.freeze(4 * time.Second)
			}
		},
		"cut off or refused by the platform, and the first that take their place": func(f *fleet) {
			for _, hosts := range [][]*fleetHost{f.readers, f.substitutes()} {
				for i, h := range hosts {
					if i%2 == 0 {
						h.cutOff(5500 * time.Millisecond)
					} else {
						h.turnAway(5500 * time.Millisecond)
					}
				}
			}
		},
		"frozen, and the first that take their place refused by the platform": func(f *fleet) {
			for _, h := range f.readers {
				h.freeze(4 * time.Second)
			}
			for _, h := range f.substitutes() {
				h.turnAway(4 * time.Second)
			}
		},
		"cut off, and then the first that take their place frozen": func(f *fleet) {
			for _, h := range f.readers {
				h.cutOff(5 * time.Second)
			}
			for _, h := range f.substitutes() {
				time.AfterFunc(1200*time.Millisecond, func() { h.freeze(4 * time.Second) })
			}
		},
	}
	atManyHosts := []string{
		"none", "all frozen", "all cut off from the platform", "one frozen, the others cut off from the platform",
		"cut off or refused by the platform, and the first that take their place",
	}
	for name, begin := range faults {
		for _, hosts := range []int{8, 59, 195} {
			bound := map[int]time.Duration{8: departureInForce, 59: 5 * time.Second, 195: 6 * time.Second}[hosts]
			moments := []time.Duration{-700, -50, 50, 250, 450, 650, 850, 1050, 1500, 4500}
			switch {
			case hosts > 8 && testing.Short(), hosts > 59 && !slices.Contains(atManyHosts, name):
				continue
			case hosts > 8:
				moments = moments[2:4]
			case testing.Short():
				moments = moments[2:4]
			}
			for i, delay := range moments {
				quiet := i%2 == 1 // every other moment, so that each fault meets both kinds of platform
				t.Run(fmt.Sprintf("%s, %d hosts, removed after %d ms", name, hosts, delay), func(t *testing.T) {
					t.Parallel()
					runFleet(t, hosts, bound, func(t *testing.T, f *fleet) {
						f.setQuiet(quiet)
						checkDeparture(t, f, begin, delay*time.Millisecond)
					})
				})
			}
		}
	}
}

// checkDeparture removes a searcher some time after a fault begins, before it if the time is negative, and checks that all hosts that
// aren't frozen drop it in time.
func checkDeparture(t *testing.T, f *fleet, begin func(f *fleet), after time.Duration) {
	const leaver = "s07"
	time.Sleep(after) // another moment of the long polls
	if after >= 0 {
		begin(f)
		time.Sleep(after)
	}
	start := time.Now()
	f.store.remove(leaver)
	if after < 0 {
		time.Sleep(-after)
		begin(f)
	}
	time.Sleep(8 * time.Second)
	var worst time.Duration
	for _, h := range f.others() {
		h.mu.Lock()
		at, ok := h.dropped[leaver]
		isDisturbed := h.isDisturbed
		h.mu.Unlock()
		if isDisturbed {
			continue
		}
		took := at.Sub(start)
		worst = max(worst, took)
		if !ok || took > f.bound {
			t.Errorf("%s dropped the searcher after %v", h.member.ID, took)
		}
	}
	total, most := f.store.takeCalls()
	t.Logf("dropped in %v; %d calls to the platform, %d in one second, %d between hosts", worst, total, most, f.takePeerCalls())
}

// substitutes returns the two hosts that come next in the order of readers.
func (f *fleet) substitutes() []*fleetHost {
	var out []*fleetHost
	without := &fleet{hosts: f.hosts}
	for _, m := range f.members {
		if !slices.Contains(f.readers, f.hosts[m.ID]) {
			without.members = append(without.members, m)
		}
	}
	for _, m := range without.members {
		r := relay.Relay{Self: yuccahinge.HostID(m.ID), Domain: m.Domain, Membership: without}
		if r.IsReader() {
			out = append(out, f.hosts[m.ID])
		}
	}
	return out
}
