package syncer

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/state/evac"
)

// runEvacuations runs n hosts over three failure domains, which track evacuations, for 5 seconds, and then steps. The function prepare
// is called before a host starts. No host learns of an evacuation but by prepare, by steps and from other hosts.
func runEvacuations(t *testing.T, n int, prepare func(f *testFleet, h *Syncer), steps func(t *testing.T, f *testFleet, start func() *Syncer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &testFleet{t: t}
		f.publish()
		var wait sync.WaitGroup
		start := func() *Syncer {
			i := len(f.syncers)
			h := f.add(i, yuccahinge.DomainID(fmt.Sprint("d", i%3)), func(h *Syncer) {
				h.Evacuations = new(evac.Tracker)
				if i > 0 {
					h.Seeds = []string{"127.0.0.1:7000"}
				}
				if prepare != nil {
					prepare(f, h)
				}
			})
			run(ctx, &wait, h)
			return h
		}
		for range n {
			start()
		}
		time.Sleep(5 * time.Second)
		steps(t, f, start)
		cancel()
		wait.Wait()
	})
}

// evacuation returns what a reader reads when a domain is evacuated at a revision, or the evacuation ends.
func evacuation(epoch yuccahinge.Epoch, at yuccahinge.Revision, d yuccahinge.DomainID, ended bool) *evac.Batch {
	return &evac.Batch{Epoch: epoch, Revision: at, Changes: []evac.Change{{Domain: d, Revision: at, Ended: ended}}}
}

// evacuating returns the number of hosts at which a domain is evacuated.
func (f *testFleet) evacuating(d yuccahinge.DomainID) int {
	n := 0
	for _, h := range f.syncers {
		if h.Evacuations.IsEvacuated(d) {
			n++
		}
	}
	return n
}

func (f *testFleet) countEvents(code yuccahinge.EventCode, detail string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.events {
		if e.Code == code && strings.HasPrefix(e.Detail, detail) {
			n++
		}
	}
	return n
}

// TestEvacuationIsPushedAtOnce guards against a change of the evacuated domains that waits for the next periodic exchanges, and
// against one that is not recorded.
func TestEvacuationIsPushedAtOnce(t *testing.T) {
	runEvacuations(t, 63, nil, func(t *testing.T, f *testFleet, _ func() *Syncer) {
		for i, ended := range []bool{false, true, false} {
			f.syncers[7].ApplyEvacuations(evacuation(0, yuccahinge.Revision(100+i), "d1", ended))
			time.Sleep(100 * time.Millisecond)
			n := f.evacuating("d1")
			if ended {
				n = len(f.syncers) - n
			}
			if n < 58 {
				t.Errorf("change %d is in force at %d of 63 hosts after 100 ms", i, n)
			}
			time.Sleep(2400 * time.Millisecond)
			if n := f.evacuating("d1"); ended && n != 0 || !ended && n != 63 {
				t.Errorf("d1 is evacuated at %d of 63 hosts 2.5 s after change %d", n, i)
			}
		}
		began, ended := f.countEvents(event.DomainEvacuated, "d1"), f.countEvents(event.DomainRestored, "d1")
		if began != 2*63 || ended != 63 {
			t.Errorf("%d beginnings and %d ends were recorded, want one at each host and change", began, ended)
		}
	})
}

// TestStateIsInForceAfterItsEvacuations guards against a state that is in force at a host before the evacuations that were read with it,
// whether the host learns of both by a request or by a reply, or starts.
func TestStateIsInForceAfterItsEvacuations(t *testing.T) {
	prepare := func(f *testFleet, h *Syncer) {
		h.Source = &evacuatingPlatform{testFleet: f, host: h}
		h.OnAdopt = func(s *yuccahinge.State) {
			if s.Ticket > 1 && !h.Evacuations.IsEvacuated(yuccahinge.DomainID(fmt.Sprint("d", s.Ticket))) {
				t.Errorf("%s has ticket %d in force before its evacuation", h.Self.ID, s.Ticket)
			}
		}
	}
	runEvacuations(t, 9, prepare, func(t *testing.T, f *testFleet, start func() *Syncer) {
		for n := yuccahinge.TicketNumber(2); n < 12; n++ {
			f.publish()
			time.Sleep(3 * time.Second)
			if got := f.inForce(n); got != len(f.syncers) {
				t.Errorf("ticket %d is in force at %d of %d hosts", n, got, len(f.syncers))
			}
			start()
		}
	})
}

// evacuatingPlatform is a platform on which a failure domain is evacuated with each ticket, as one host reads it.
type evacuatingPlatform struct {
	*testFleet
	host *Syncer
}

func (p *evacuatingPlatform) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	head, err := p.testFleet.Head(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	b := &evac.Batch{Revision: yuccahinge.Revision(head), Snapshot: true}
	for n := yuccahinge.TicketNumber(2); n <= head; n++ {
		b.Changes = append(b.Changes, evac.Change{Domain: yuccahinge.DomainID(fmt.Sprint("d", n)), Revision: yuccahinge.Revision(n)})
	}
	p.host.ApplyEvacuations(b)
	return head, nil
}

// TestStartingHostLearnsOfEvacuations guards against a host that becomes ready without the evacuations that others know, while
// the platform is away.
func TestStartingHostLearnsOfEvacuations(t *testing.T) {
	runEvacuations(t, 5, nil, func(t *testing.T, f *testFleet, start func() *Syncer) {
		f.syncers[2].ApplyEvacuations(evacuation(0, 100, "d1", false))
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.down = true
		f.mu.Unlock()
		h := start()
		for range 3000 {
			time.Sleep(time.Millisecond)
			if ok, _ := h.Ready(); ok {
				break
			}
		}
		if ok, why := h.Ready(); !ok || !h.Evacuations.IsEvacuated("d1") {
			t.Errorf("ready %t (%s), d1 is evacuated: %t", ok, why, h.Evacuations.IsEvacuated("d1"))
		}
	})
}

// TestOutdatedHostLearnsOfTheEnd guards against an evacuation that a host which was cut off brings back after its end.
func TestOutdatedHostLearnsOfTheEnd(t *testing.T) {
	runEvacuations(t, 6, nil, func(t *testing.T, f *testFleet, _ func() *Syncer) {
		f.syncers[0].ApplyEvacuations(evacuation(0, 100, "d1", false))
		time.Sleep(3 * time.Second)
		alone := f.syncers[5].Self.PeerAddr
		f.mu.Lock()
		f.cut = func(from, to string) bool { return from == alone || to == alone }
		f.mu.Unlock()
		f.syncers[0].ApplyEvacuations(evacuation(0, 101, "d1", true))
		time.Sleep(5 * time.Second)
		if n := f.evacuating("d1"); n != 1 {
			t.Errorf("d1 is evacuated at %d hosts during the cut, want the one that is cut off", n)
		}
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if n := f.evacuating("d1"); n > 1 {
				t.Errorf("d1 is evacuated at %d hosts again", n)
			}
		}
		if n := f.evacuating("d1"); n != 0 {
			t.Errorf("d1 is evacuated at %d hosts 5 s after the cut", n)
		}
	})
}

// TestLostEvacuationEndsInTime guards against an evacuation that stays in force for more than 15 s after the platform has lost it.
func TestLostEvacuationEndsInTime(t *testing.T) {
	runEvacuations(t, 6, nil, func(t *testing.T, f *testFleet, _ func() *Syncer) {
		f.syncers[0].ApplyEvacuations(evacuation(3, 100, "d1", false))
		time.Sleep(3 * time.Second)
		f.syncers[1].ApplyEvacuations(&evac.Batch{Epoch: 4, Revision: 90, Snapshot: true})
		time.Sleep(14 * time.Second)
		if n := f.evacuating("d1"); n != 6 {
			t.Errorf("d1 is evacuated at %d of 6 hosts 14 s after the return", n)
		}
		time.Sleep(time.Second)
		if n := f.evacuating("d1"); n != 0 {
			t.Errorf("d1 is evacuated at %d of 6 hosts 15 s after the return", n)
		}
	})
}

// TestHostsWithoutEvacuationsSendNone guards against messages that change at hosts that don't track evacuations, and against such a host
// that fails because of another one's.
func TestHostsWithoutEvacuationsSendNone(t *testing.T) {
	switchOff := func(_ *testFleet, h *Syncer) {
		if h.Self.ID == "h03" {
			h.Evacuations = nil
		}
	}
	runEvacuations(t, 4, switchOff, func(t *testing.T, f *testFleet, _ func() *Syncer) {
		off := f.syncers[3]
		text := func() string {
			request := off.newRequest("h00", nil, false)
			body, err := json.Marshal(request)
			if err != nil {
				t.Fatal(err)
			}
			return string(body)
		}
		f.syncers[0].ApplyEvacuations(evacuation(0, 100, "d1", false))
		off.ApplyEvacuations(evacuation(0, 100, "d1", false))
		time.Sleep(3 * time.Second)
		if got := text(); strings.Contains(got, "evacuations") {
			t.Errorf("a host that tracks none sends %s", got)
		}
		f.publish()
		time.Sleep(3 * time.Second)
		if got := f.inForce(2); got != 4 {
			t.Errorf("ticket 2 is in force at %d of 4 hosts", got)
		}
	})
}
