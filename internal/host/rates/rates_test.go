package rates

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/ration"
)

// host is a host whose announcements reach the other one at once.
type host struct {
	other   *host
	notify  func(yuccahinge.Notice)
	limiter ration.Limiter
	events  []string
}

func (h *host) Broadcast(n yuccahinge.Notice)              { h.other.notify(n) }
func (h *host) Subscribe(notify func(n yuccahinge.Notice)) { h.notify = notify }

func (h *host) Record(e yuccahinge.Event) {
	h.events = append(h.events, fmt.Sprintf("%s %s %s", event.Name(e.Code), e.Searcher, e.Detail))
}

// now is the time on both hosts.
type now struct{ at yuccahinge.Millis }

func (n *now) Now() yuccahinge.Millis { return n.at }

// TestHostsShareWhatOneOfThemSees guards against a maximum rate, or its end, that a host learns only from its own calls.
func TestHostsShareWhatOneOfThemSees(t *testing.T) {
	clock := &now{1000}
	a, b := &host{}, &host{}
	a.other, b.other = b, a
	for _, h := range []*host{a, b} {
		(&Rates{Limiter: &h.limiter, Gossip: h, Recorder: h, Stamps: &hybrid.Clock{}, Clock: clock}).Wire()
	}
	rate := yuccahinge.RequestRate(12.5)
	a.limiter.Observe(clock.at, clock.at, "s1", &yuccahinge.LoadReport{MaxRate: &rate})
	clock.at += 5000
	a.limiter.Observe(clock.at, clock.at, "s1", &yuccahinge.LoadReport{MalformedMaxRate: `"x"`})
	if a.limiter.Limited() != 1 || b.limiter.Limited() != 1 {
		t.Fatalf("%d and %d searchers are limited, want one each", a.limiter.Limited(), b.limiter.Limited())
	}
	b.limiter.Observe(clock.at, clock.at, "s1", &yuccahinge.LoadReport{})
	if a.limiter.Limited() != 0 || b.limiter.Limited() != 0 {
		t.Fatalf("%d and %d searchers are limited after the end, want none", a.limiter.Limited(), b.limiter.Limited())
	}
	want := "[searcherLimited s1 12.5 requests/s searcherLimitInvalid s1 \"x\" searcherUnlimited s1 calls map[], announced by another host]"
	if got := fmt.Sprint(a.events); got != want {
		t.Errorf("events %s, want %s", got, want)
	}
	want = "[searcherLimited s1 12.5 requests/s, announced by another host searcherUnlimited s1 calls map[]]"
	if got := fmt.Sprint(b.events); got != want {
		t.Errorf("events %s, want %s", got, want)
	}
}
