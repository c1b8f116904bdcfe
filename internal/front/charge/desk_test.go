package charge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/token"
)

func codeOf(err error) yuccahinge.Code {
	var e *yuccahinge.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Code
}

func TestAChargeSentToEveryHostRunsOnce(t *testing.T) {
	s := newSite("a", "b", "c")
	desks := []*Desk{s.desk("a", "i1"), s.desk("b", "i1"), s.desk("c", "i1")}
	claim := mustGrant(t, desks[0], "k")
	var wg sync.WaitGroup
	for range 5 {
		for _, d := range desks {
			wg.Go(func() { mustCharge(t, d, claim, yuccahinge.Ran, "") })
		}
	}
	wg.Wait()
	s.mustCall(t, "s1")
	if _, err := desks[1].Grant(t.Context(), yuccahinge.ClaimRequest{Service: billing, Key: "k"}); codeOf(err) != yuccahinge.CodeConflict {
		t.Fatalf("a second claim for the key gives %v", err)
	}
}

func TestOnlyProofOfNotRunLeadsToAnotherSearcher(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcomes map[yuccahinge.SearcherID]yuccahinge.Outcome
		want     yuccahinge.Outcome
		calls    []yuccahinge.SearcherID
	}{
		{"second runs", map[yuccahinge.SearcherID]yuccahinge.Outcome{"s1": yuccahinge.NotRun, "s2": yuccahinge.Ran}, yuccahinge.Ran, []yuccahinge.SearcherID{"s1", "s2"}},
		{"unknown ends it", map[yuccahinge.SearcherID]yuccahinge.Outcome{"s1": yuccahinge.Unknown}, yuccahinge.Unknown, []yuccahinge.SearcherID{"s1"}},
		{"unknown after not run", map[yuccahinge.SearcherID]yuccahinge.Outcome{"s1": yuccahinge.NotRun, "s2": yuccahinge.Unknown}, yuccahinge.Unknown, []yuccahinge.SearcherID{"s1", "s2"}},
		{"none", map[yuccahinge.SearcherID]yuccahinge.Outcome{"s1": yuccahinge.NotRun, "s2": yuccahinge.NotRun, "s3": yuccahinge.NotRun}, yuccahinge.NotRun, []yuccahinge.SearcherID{"s1", "s2", "s3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite("a")
			s.run = func(_ context.Context, id yuccahinge.SearcherID) yuccahinge.Outcome { return c.outcomes[id] }
			d := s.desk("a", "i1")
			claim := mustGrant(t, d, "k")
			mustCharge(t, d, claim, c.want, "")
			mustCharge(t, d, claim, c.want, "")
			s.mustCall(t, c.calls...)
		})
	}
}

func TestAnOwnerThatCannotBeAskedLeavesTheOutcomeUnknown(t *testing.T) {
	s := newSite("a", "b")
	a, b := s.desk("a", "i1"), s.desk("b", "i1")
	claim := ownedBy(t, a, "b")
	s.set(s.down, "addr-b", true)
	mustCharge(t, a, claim, yuccahinge.Unknown, yuccahinge.ReasonUnreachable)
	s.mustCall(t)

	s.set(s.down, "addr-b", false)
	s.set(s.mute, "addr-b", true)
	mustCharge(t, a, claim, yuccahinge.Unknown, yuccahinge.ReasonUnreachable)
	s.set(s.mute, "addr-b", false)
	mustCharge(t, a, claim, yuccahinge.Ran, "")
	mustCharge(t, b, claim, yuccahinge.Ran, "")
	s.mustCall(t, "s1")

	b = s.desk("b", "i2")
	mustCharge(t, a, claim, yuccahinge.Unknown, yuccahinge.ReasonOwnerLost)
	mustCharge(t, b, claim, yuccahinge.Unknown, yuccahinge.ReasonOwnerLost)
	s.mustCall(t, "s1")

	s.handlers["addr-b"] = s.handlers["addr-a"]
	mustCharge(t, a, claim, yuccahinge.Unknown, yuccahinge.ReasonUnreachable)
	s.members = s.members[:1]
	mustCharge(t, a, claim, yuccahinge.Unknown, yuccahinge.ReasonOwnerLost)
	s.mustCall(t, "s1")
}

func TestAForwardOutlivesBrokenConnections(t *testing.T) {
	s := newSite("a", "b")
	a := s.desk("a", "i1")
	s.desk("b", "i1")
	claim := ownedBy(t, a, "b")
	s.broken = 4
	mustCharge(t, a, claim, yuccahinge.Ran, "")
	s.mustCall(t, "s1")
}

// ownedBy asks for claims until the host owns one.
func ownedBy(t *testing.T, d *Desk, host yuccahinge.HostID) yuccahinge.ClaimID {
	t.Helper()
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9"} {
		claim := mustGrant(t, d, key)
		if k, _ := token.Parse(claim); k.Owner == host {
			return claim
		}
	}
	t.Fatalf("host %s owns none of the keys", host)
	return ""
}

func TestAGrantPassesByHostsThatCannotBeAsked(t *testing.T) {
	s := newSite("a", "b", "c")
	a, b := s.desk("a", "i1"), s.desk("b", "i1")
	s.desk("c", "i1")
	s.set(s.down, "addr-c", true)
	b.Seal()
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		k, _ := token.Parse(mustGrant(t, a, key))
		if k.Owner != "a" {
			t.Errorf("claim for %s is owned by %s, want a", key, k.Owner)
		}
	}
}

func TestHostsThatDifferInWhomTheySuspectMeetAtOneOwner(t *testing.T) {
	s := newSite("a", "b", "c")
	s.desk("b", "i1")
	s.desk("c", "i1")
	a := s.desk("a", "i1")
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6"} {
		for i := range s.members {
			s.members[i].Status = yuccahinge.StatusLive
		}
		before, _ := token.Parse(mustGrant(t, a, key))
		for i := range s.members {
			if s.members[i].ID == string(before.Owner) {
				s.members[i].Status = yuccahinge.StatusSuspect
			}
		}
		if after, _ := token.Parse(mustGrant(t, a, key)); after.Owner != before.Owner {
			t.Errorf("the owner for %s moves from %s to %s on a suspicion", key, before.Owner, after.Owner)
		}
	}
}

func TestAHostThatGrantsNoMoreAsksOthers(t *testing.T) {
	s := newSite("a", "b")
	a := s.desk("a", "i1")
	s.desk("b", "i1")
	a.Seal()
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		if k, _ := token.Parse(mustGrant(t, a, key)); k.Owner != "b" {
			t.Errorf("claim for %s is owned by %s, want b", key, k.Owner)
		}
	}
}

func TestARunOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite("a")
		s.run = func(ctx context.Context, _ yuccahinge.SearcherID) yuccahinge.Outcome {
			select {
			case <-time.After(3 * time.Second):
				return yuccahinge.Ran
			case <-ctx.Done():
				return yuccahinge.Unknown
			}
		}
		d := s.desk("a", "i1")
		claim := mustGrant(t, d, "k")
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		got, err := d.Charge(ctx, request(claim))
		if err != nil || got.Outcome != yuccahinge.Unknown || got.State != "running" {
			t.Fatalf("answer to the gone caller is %+v, %v", got, err)
		}
		mustCharge(t, d, claim, yuccahinge.Unknown, yuccahinge.ReasonTimeout)
		d.Seal()
		if n := d.Running(); n != 1 {
			t.Fatalf("%d charges are running, want 1", n)
		}
		d.Wait()
		got, err = d.Lookup(t.Context(), claim)
		if err != nil || got.Outcome != yuccahinge.Ran || got.State != "done" || string(got.Reply) != `"receipt"` {
			t.Fatalf("stored answer is %+v, %v", got, err)
		}
		if n := d.Running(); n != 0 {
			t.Fatalf("%d charges are running, want none", n)
		}
		s.mustCall(t, "s1")
	})
}

func TestBadChargesStartNothing(t *testing.T) {
	s := newSite("a")
	d := s.desk("a", "i1")
	claim := mustGrant(t, d, "k")
	for _, c := range []struct {
		name   string
		change func(*yuccahinge.ChargeRequest)
		want   yuccahinge.Code
	}{
		{"no claim", func(r *yuccahinge.ChargeRequest) { r.Claim = "" }, yuccahinge.CodeClaimRequired},
		{"malformed claim", func(r *yuccahinge.ChargeRequest) { r.Claim = "10.0.0.1:80" }, yuccahinge.CodeInvalid},
		{"forged claim", func(r *yuccahinge.ChargeRequest) { r.Claim = r.Claim[:len(r.Claim)-4] + "0000" }, yuccahinge.CodeNotFound},
		{"other service", func(r *yuccahinge.ChargeRequest) { r.Service = "search" }, yuccahinge.CodeConflict},
		{"body is not JSON", func(r *yuccahinge.ChargeRequest) { r.Body = json.RawMessage(`{`) }, yuccahinge.CodeInvalid},
	} {
		r := request(claim)
		c.change(r)
		if _, err := d.Charge(t.Context(), r); codeOf(err) != c.want {
			t.Errorf("%s gives %v, want code %s", c.name, err, c.want)
		}
	}
	s.mustCall(t)
	mustCharge(t, d, claim, yuccahinge.Ran, "")
	r := request(claim)
	r.Body = json.RawMessage(`{"n":1}`)
	if _, err := d.Charge(t.Context(), r); err != nil {
		t.Errorf("the same body without white space gives %v", err)
	}
	r.Body = json.RawMessage(`{"n":2}`)
	if _, err := d.Charge(t.Context(), r); codeOf(err) != yuccahinge.CodeConflict {
		t.Errorf("another body gives %v", err)
	}
	s.mustCall(t, "s1")
	for _, service := range []yuccahinge.ServiceName{"none", "search"} {
		if _, err := d.Grant(t.Context(), yuccahinge.ClaimRequest{Service: service, Key: "k"}); err == nil {
			t.Errorf("a claim for service %q was granted", service)
		}
	}
}

func TestARunThatMayHaveRunIsNotAttemptedAgain(t *testing.T) {
	s := newSite("a")
	s.run = func(context.Context, yuccahinge.SearcherID) yuccahinge.Outcome { return yuccahinge.Unknown }
	d := s.desk("a", "i1")
	r := &run{request: request("c"), key: "k", deadline: s.Now() + yuccahinge.Second}
	for range 2 {
		if got := d.attempt(t.Context(), r, "s1", &yuccahinge.Searcher{}, 1); got.Outcome != yuccahinge.Unknown {
			t.Fatalf("attempt gives %+v, want unknown", got)
		}
	}
	s.mustCall(t, "s1")
	last := s.events[len(s.events)-1]
	if last.Code != event.InvariantBroken {
		t.Errorf("the last event is %+v, want a broken invariant", last)
	}
}
