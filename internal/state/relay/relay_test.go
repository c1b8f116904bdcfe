package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/census"
	"github.com/yuccahinge/yuccahinge/clock"
)

// testHosts are relays that call each other within the process. It is also their membership.
type testHosts struct {
	relays  map[string]*Relay
	members []yuccahinge.Member
	cut     map[string]bool
}

func newHosts(n int) *testHosts {
	h := &testHosts{relays: make(map[string]*Relay), cut: make(map[string]bool)}
	for i := range n {
		id := fmt.Sprint("e", i)
		h.relays[id] = &Relay{Self: yuccahinge.HostID(id), Peers: h, Membership: h, Clock: clock.Clock{}}
		h.members = append(h.members, yuccahinge.Member{ID: id, PeerAddr: id, Status: yuccahinge.StatusLive})
	}
	return h
}

func (h *testHosts) Members() []yuccahinge.Member { return h.members }

func (h *testHosts) Find(id yuccahinge.HostID) (yuccahinge.Member, bool) {
	for _, m := range h.members {
		if m.ID == string(id) {
			return m, true
		}
	}
	return yuccahinge.Member{}, false
}

func (h *testHosts) Call(ctx context.Context, addr string, _ yuccahinge.PeerMethod, in, out any) error {
	if h.cut[addr] {
		return errors.New("unreachable")
	}
	v, err := h.relays[addr].answer(ctx, in.(*request))
	if err != nil {
		return err
	}
	*out.(*yuccahinge.ChangeBatch) = *v.(*yuccahinge.ChangeBatch)
	return nil
}

// readers returns the ids of the hosts that read the platform.
func (h *testHosts) readers() []string {
	var out []string
	for _, m := range h.members {
		if h.relays[m.ID].IsReader() {
			out = append(out, m.ID)
		}
	}
	return out
}

func addRegistration(l *census.SearcherList, r yuccahinge.Revision, id string) {
	l.Apply(0, &yuccahinge.ChangeBatch{Revision: r, Changes: []yuccahinge.Change{
		{Key: id, Revision: r, Registration: registration(id)},
	}})
}

func registration(id string) *yuccahinge.Registration {
	return &yuccahinge.Registration{ID: yuccahinge.SearcherID(id), Instance: id, Service: "s", Addr: "10.0.0.1:80", Slots: 1, Generation: 1}
}

// TestInvalidRegistrationIsNotTakenOver guards against an invalid registration that spreads from host to host.
func TestInvalidRegistrationIsNotTakenOver(t *testing.T) {
	h := newHosts(2)
	var list census.SearcherList
	list.Apply(0, &yuccahinge.ChangeBatch{Snapshot: true, Revision: 3, Changes: []yuccahinge.Change{
		{Key: "a", Revision: 1, Registration: registration("a")},
		{Key: "b", Revision: 2, Registration: &yuccahinge.Registration{ID: "b", Instance: "b", Service: "s", Addr: "10.0.0.1:99999", Slots: 1, Generation: 1}},
	}})
	h.relays["e1"].SetList(list.Position(), true, true, list.ChangesSince)
	b, err := h.relays["e0"].AnyPeer(t.Context(), yuccahinge.Position{})
	if err != nil {
		t.Fatal(err)
	}
	var next census.SearcherList
	next.Merge(0, b)
	if s := next.Services()["s"]; len(s) != 1 || s[0].ID != "a" || b.Changes[1].Problem == "" {
		t.Errorf("%+v, want searcher a only", s)
	}
}

func TestNumberOfReaders(t *testing.T) {
	for hosts, want := range map[int]int{1: 1, 2: 2, 7: 2, 59: 2, 86: 2, 300: 7} {
		if got := len(newHosts(hosts).readers()); got != want {
			t.Errorf("%d of %d hosts read, want %d", got, hosts, want)
		}
	}
}

// TestReadersAreInDifferentDomains guards against the loss of all readers with one failure domain.
func TestReadersAreInDifferentDomains(t *testing.T) {
	for hosts, want := range map[int]int{7: 2, 86: 2, 130: 3, 250: 3} {
		h := newHosts(hosts)
		for i := range h.members {
			h.members[i].Domain = yuccahinge.DomainID(fmt.Sprint(i % 3))
			h.relays[h.members[i].ID].Domain = h.members[i].Domain
		}
		domains := make(map[yuccahinge.DomainID]bool)
		for _, m := range h.members {
			if h.relays[m.ID].IsReader() {
				domains[m.Domain] = true
			}
		}
		if len(domains) != want {
			t.Errorf("the readers of %d hosts are in %d failure domains, want %d", hosts, len(domains), want)
		}
	}
}

func TestLongPollEndsWithAChangeOrItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(5)
		var list census.SearcherList
		addRegistration(&list, 4, "a")
		for _, id := range h.readers() {
			h.relays[id].SetList(list.Position(), true, true, list.ChangesSince)
		}
		var follower *Relay
		for _, r := range h.relays {
			if !r.IsReader() {
				follower = r
			}
		}
		b, err := follower.Watch(t.Context(), yuccahinge.Position{}, 0)
		if err != nil || b.Revision != 4 || len(b.Changes) != 1 {
			t.Fatalf("%+v, %v", b, err)
		}
		start := time.Now()
		if b, err = follower.Watch(t.Context(), yuccahinge.Position{Revision: 4}, 1000); err != nil || len(b.Changes) != 0 || time.Since(start) != time.Second {
			t.Fatalf("%+v, %v after %v", b, err, time.Since(start))
		}
		time.AfterFunc(300*time.Millisecond, func() {
			addRegistration(&list, 9, "b")
			for _, id := range h.readers() {
				h.relays[id].SetList(list.Position(), true, true, list.ChangesSince)
			}
		})
		start = time.Now()
		b, err = follower.Watch(t.Context(), yuccahinge.Position{Revision: 4}, 1000)
		if err != nil || len(b.Changes) != 1 || time.Since(start) != 300*time.Millisecond {
			t.Fatalf("%+v, %v after %v", b, err, time.Since(start))
		}
	})
}

func TestReaderWithoutARecentReadRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(4)
		var list census.SearcherList
		addRegistration(&list, 4, "a")
		for _, id := range h.readers() {
			h.relays[id].SetList(list.Position(), true, true, list.ChangesSince)
		}
		time.Sleep(3 * time.Second)
		for id, r := range h.relays {
			if r.IsReader() {
				continue
			}
			if b, err := r.Watch(t.Context(), yuccahinge.Position{}, 0); err == nil {
				t.Errorf("%s got %+v from readers that have not read for 3 s", id, b)
			}
			if b, err := r.AnyPeer(t.Context(), yuccahinge.Position{}); err != nil || b.Revision != 4 {
				t.Errorf("%s got %+v, %v from any host", id, b, err)
			}
		}
	})
}

func TestFollowerFailsOverToAnotherReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(4)
		var list census.SearcherList
		addRegistration(&list, 4, "a")
		readers := h.readers()
		for _, id := range readers {
			h.relays[id].SetList(list.Position(), true, true, list.ChangesSince)
		}
		h.cut[readers[0]] = true
		for _, r := range h.relays {
			if r.IsReader() {
				continue
			}
			for range 3 {
				if b, err := r.Watch(t.Context(), yuccahinge.Position{}, 0); err != nil || b.Revision != 4 {
					t.Errorf("%+v, %v", b, err)
				}
			}
		}
	})
}

// TestReaderThatCannotReadRefusesAtOnce checks that during an outage of the platform a follower does not wait at each
// reader in turn.
func TestReaderThatCannotReadRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(86)
		var list census.SearcherList
		addRegistration(&list, 4, "a")
		setList := func(fresh bool) {
			for _, id := range h.readers() {
				h.relays[id].SetList(list.Position(), false, fresh, list.ChangesSince)
			}
		}
		var follower *Relay
		for _, r := range h.relays {
			if !r.IsReader() {
				follower = r
			}
		}
		setList(true)
		time.AfterFunc(200*time.Millisecond, func() { setList(false) })
		start := time.Now()
		if b, err := follower.Watch(t.Context(), yuccahinge.Position{Revision: 4}, 1000); err == nil || time.Since(start) > 200*time.Millisecond {
			t.Errorf("%+v, %v after %v, want a refusal as soon as the readers cannot read the platform", b, err, time.Since(start))
		}
		start = time.Now()
		if b, err := follower.Watch(t.Context(), yuccahinge.Position{Revision: 4}, 1000); err == nil || time.Since(start) > 0 {
			t.Errorf("%+v, %v after %v, want refusals at once", b, err, time.Since(start))
		}
	})
}

// TestFollowersUseTheReaderOfTheirDomain guards against hundreds of hosts that all follow one reader, and against
// changes that cross between failure domains once for each host.
func TestFollowersUseTheReaderOfTheirDomain(t *testing.T) {
	h := newHosts(195)
	for i := range h.members {
		h.members[i].Domain = yuccahinge.DomainID(fmt.Sprint(i % 5))
		h.relays[h.members[i].ID].Domain = h.members[i].Domain
	}
	first := func(id string) yuccahinge.Member { return h.relays[id].readersInOrder()[0] }
	followers := make(map[string]int)
	for _, m := range h.members {
		if h.relays[m.ID].IsReader() {
			continue
		}
		reader := first(m.ID)
		followers[reader.ID]++
		if reader.Domain != m.Domain {
			t.Errorf("%s in domain %s calls reader %s in domain %s", m.ID, m.Domain, reader.ID, reader.Domain)
		}
	}
	if len(followers) != len(h.readers()) {
		t.Errorf("the followers per reader are %v, the readers are %v", followers, h.readers())
	}
	// A follower whose reader failed uses another one, and later returns to the reader of its own domain.
	const id = "e7"
	home := first(id)
	r := h.relays[id]
	other := r.readersInOrder()[1]
	r.recordAnswer(yuccahinge.HostID(home.ID), false)
	r.recordAnswer(yuccahinge.HostID(other.ID), true)
	if first(id).ID != other.ID {
		t.Errorf("first reader is %s, want %s which answered last", first(id).ID, other.ID)
	}
	for range homeRetryAnswers {
		r.recordAnswer(yuccahinge.HostID(other.ID), true)
	}
	if first(id).ID != home.ID {
		t.Errorf("first reader is %s, want %s of the host's own domain", first(id).ID, home.ID)
	}
}

// TestReaderEndsLongPollsWhenItsListIsOld guards against hosts that wait for a reader which has stopped reading the platform.
func TestReaderEndsLongPollsWhenItsListIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(4)
		var list census.SearcherList
		addRegistration(&list, 4, "a")
		read := func() {
			for _, id := range h.readers() {
				h.relays[id].SetList(list.Position(), false, true, list.ChangesSince)
			}
		}
		for id, r := range h.relays {
			if r.IsReader() {
				continue
			}
			read()
			time.Sleep(time.Second)
			b, err := r.Watch(t.Context(), list.Position(), 100)
			if err != nil || b.AgeMs != 1100 {
				t.Errorf("%s got %+v, %v, want a list of 1100 ms before", id, b, err)
			}
			start := time.Now()
			b, err = r.Watch(t.Context(), list.Position(), 1000)
			if waited := time.Since(start); err == nil || waited > (maxReadAgeMs-1100+100).Duration() {
				t.Errorf("%s got %+v, %v after %v, want a refusal when the list is %v old", id, b, err, waited, maxReadAgeMs.Duration())
			}
			time.AfterFunc(400*time.Millisecond, read)
			read()
			if b, err = r.Watch(t.Context(), list.Position(), 1000); err != nil || b.AgeMs != 600 {
				t.Errorf("%s got %+v, %v, want the list of a reader that goes on reading", id, b, err)
			}
		}
	})
}

// TestSubstitutesThatRefuseDelayNothing guards against a host that reaches no reader and still does not read the platform itself,
// because its substitutes say that they can't.
func TestSubstitutesThatRefuseDelayNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(8)
		for _, id := range h.readers() {
			h.cut[id] = true
		}
		for id, r := range h.relays {
			if r.IsReader() {
				continue
			}
			if b, err := r.Watch(t.Context(), yuccahinge.Position{}, 1000); err == nil || errors.Is(err, yuccahinge.ErrPlatformUnavailable) {
				t.Errorf("%s got %+v, %v, want an error that makes it read the platform", id, b, err)
			}
		}
	})
}
