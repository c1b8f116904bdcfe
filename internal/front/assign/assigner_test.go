package assign

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/coord"
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
)

// countingEngine is an engine that counts the requests that it runs.
type countingEngine struct {
	count int
	err   error
}

func (e *countingEngine) Forward(context.Context, *query.ForwardRequest) (*query.ForwardAnswer, error) {
	e.count++
	return &query.ForwardAnswer{Records: []byte("records"), Signatures: []string{"s"}, Missing: 1}, e.err
}

func (e *countingEngine) AnswerBy(f *query.ForwardRequest) yuccahinge.Millis { return f.Arrived + 50 }

func (e *countingEngine) MayReportLoss(context.Context, *query.PartLoss) (bool, error) {
	return false, nil
}

// fakeNetwork passes calls between hosts, by default one weak and two strong ones. The function fail can make calls fail.
type fakeNetwork struct {
	members []yuccahinge.Member
	hosts   map[string]*Assigner
	engines map[string]*countingEngine
	fail    func(addr string) error
	calls   []string
}

func (n *fakeNetwork) Members() []yuccahinge.Member { return n.members }

func (n *fakeNetwork) Find(id yuccahinge.HostID) (yuccahinge.Member, bool) {
	for _, m := range n.members {
		if m.ID == string(id) {
			return m, true
		}
	}
	return yuccahinge.Member{}, false
}

func (n *fakeNetwork) Record(yuccahinge.Event) {}

func (n *fakeNetwork) Call(ctx context.Context, addr string, method yuccahinge.PeerMethod, in, out any) error {
	n.calls = append(n.calls, addr)
	if err := n.fail(addr); err != nil {
		return err
	}
	if method == MethodReach {
		*out.(*reachReply) = reachReply{Serves: n.hosts[addr].CanServe()}
		return nil
	}
	if method == MethodLoss {
		v, err := n.hosts[addr].answerLoss(ctx, in.(*lossQuestion))
		*out.(*lossReply) = *v
		return err
	}
	v, err := n.hosts[addr].runForPeer(ctx, in.(*Request))
	if err != nil {
		return err
	}
	*out.(*Reply) = *v.(*Reply)
	return nil
}

const servicesHash = 77

func newNetwork() *fakeNetwork {
	n := &fakeNetwork{hosts: make(map[string]*Assigner), engines: make(map[string]*countingEngine), fail: func(string) error { return nil }}
	ix := &yuccahinge.Index{ServicesHash: servicesHash, Shards: make([]yuccahinge.Shard, 90)}
	for _, m := range []yuccahinge.Member{
		{ID: "weak", Cores: 0.2, LinkMbps: 17}, {ID: "strong1", Cores: 0.8, LinkMbps: 140}, {ID: "strong2", Cores: 0.8, LinkMbps: 140},
	} {
		m.PeerAddr = m.ID
		m.Status = yuccahinge.StatusLive
		n.members = append(n.members, m)
		e := &countingEngine{}
		n.engines[m.ID] = e
		n.hosts[m.ID] = &Assigner{
			Flights: new(flight.Tracker),
			Engine:  e, Selector: &coord.Selector{Self: m}, Membership: n, Peers: n, Clock: clock.Clock{}, Recorder: n,
			Index: func(hash uint64) *yuccahinge.Index {
				if hash == servicesHash {
					return ix
				}
				return nil
			},
		}
	}
	return n
}

func newScatteredForward(hash uint64) *query.ForwardRequest {
	now := clock.Clock{}.Now()
	return &query.ForwardRequest{
		Request: "r", Arrived: now, Deadline: now + 200,
		Route: &yuccahinge.Route{Name: "wide", Shards: make([]yuccahinge.ServiceName, 90), MinCoverage: 0.9},
		Index: &yuccahinge.Index{ServicesHash: hash, Shards: make([]yuccahinge.Shard, 90)},
	}
}

func TestScatteredRequestRunsOnOneStrongerHost(t *testing.T) {
	n := newNetwork()
	a, err := n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash))
	if err != nil || string(a.Records) != "records" || a.Missing != 1 || len(a.Signatures) != 1 {
		t.Fatalf("%+v, %v", a, err)
	}
	if n.engines["weak"].count != 0 || n.engines["strong1"].count+n.engines["strong2"].count != 1 {
		t.Fatalf("runs: weak %d, strong %d and %d", n.engines["weak"].count, n.engines["strong1"].count, n.engines["strong2"].count)
	}
}

func TestHelperReportsRouteOfRequest(t *testing.T) {
	n := newNetwork()
	var routes []yuccahinge.RouteName
	for _, h := range n.hosts {
		h.OnRequest = func(name yuccahinge.RouteName) { routes = append(routes, name) }
	}
	if _, err := n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash)); err != nil || len(routes) != 1 || routes[0] != "wide" {
		t.Fatalf("%v, %v", routes, err)
	}
}

func TestHelpersWithoutIndexDoNotRunRequest(t *testing.T) {
	n := newNetwork()
	if _, err := n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash+1)); err != nil {
		t.Fatal(err)
	}
	if n.engines["weak"].count != 1 || len(n.calls) != 2 || n.engines["strong1"].count+n.engines["strong2"].count != 0 {
		t.Fatalf("%d local runs after calls to %v", n.engines["weak"].count, n.calls)
	}
}

func TestRequestRunsLocallyIfHelpersAreUnreachable(t *testing.T) {
	n := newNetwork()
	n.fail = func(string) error { return errors.Mark(errors.New("refused"), frame.ErrNeverSent) }
	if _, err := n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash)); err != nil || n.engines["weak"].count != 1 {
		t.Fatalf("%v after %d local runs", err, n.engines["weak"].count)
	}
	n.calls = nil
	if _, err := n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash)); err != nil || len(n.calls) != 0 {
		t.Fatalf("%v after calls to %v, which failed before", err, n.calls)
	}
}

// TestLeavingHelperProvesThatItDidNotRunRequest guards against requests that a leaving host takes from other hosts and cuts
// off when its process ends.
func TestLeavingHelperProvesThatItDidNotRunRequest(t *testing.T) {
	n := newNetwork()
	now := clock.Clock{}.Now()
	for _, id := range []string{"strong1", "strong2"} {
		n.hosts[id].Flights.SetLatestEnd(now + 100)
	}
	if _, err := n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash)); err != nil {
		t.Fatal(err)
	}
	if n.engines["weak"].count != 1 || len(n.calls) != 2 || n.engines["strong1"].count+n.engines["strong2"].count != 0 {
		t.Errorf("%d local runs after calls to %v", n.engines["weak"].count, n.calls)
	}
	n.calls = nil
	f := newScatteredForward(servicesHash)
	if _, err := n.hosts["weak"].Forward(t.Context(), f); err != nil || len(n.calls) != 0 {
		t.Errorf("%v after calls to %v, which are leaving", err, n.calls)
	}
}

// TestRequestIsNotRepeatedIfItMayHaveRun loses the answer of a host. The host may have used up the attempts at every shard.
func TestRequestIsNotRepeatedIfItMayHaveRun(t *testing.T) {
	n := newNetwork()
	n.fail = func(string) error { return errors.New("connection reset") }
	_, err := n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash))
	var e *yuccahinge.Error
	if !errors.As(err, &e) || e.Outcome == yuccahinge.NotRun || n.engines["weak"].count != 0 || len(n.calls) != 1 {
		t.Fatalf("%v after %d local runs and calls to %v", err, n.engines["weak"].count, n.calls)
	}
}

func TestSilentHostIsAvoidedUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		weak := n.hosts["weak"]
		chosen := func() string {
			m, _ := weak.Selector.Choose(weak.Clock.Now(), n.members, 90, "r")
			return m.ID
		}
		first := chosen()
		n.fail = func(string) error {
			time.Sleep(100 * time.Millisecond)
			return nil
		}
		done := make(chan error)
		go func() {
			_, err := weak.Forward(context.Background(), newScatteredForward(servicesHash))
			done <- err
		}()
		time.Sleep(90 * time.Millisecond)
		if got := chosen(); got == first {
			t.Errorf("%s is chosen while it is silent", got)
		}
		if err := <-done; err != nil {
			t.Errorf("the late answer was lost: %v", err)
		}
		if got := chosen(); got != first {
			t.Errorf("%s is chosen, want %s, which has answered", got, first)
		}
	})
}

func TestHelperErrorIsReturnedUnchanged(t *testing.T) {
	n := newNetwork()
	refusal := &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPin, Message: "m", Outcome: yuccahinge.NotRun, RetryAfterMs: 9}
	n.engines["strong1"].err, n.engines["strong2"].err = refusal, refusal
	_, err := n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash))
	var e *yuccahinge.Error
	if !errors.As(err, &e) || *e != *refusal {
		t.Fatalf("got %+v, want %+v", e, refusal)
	}
}

func TestHelperCanServe(t *testing.T) {
	n := newNetwork()
	serves := true
	for _, h := range n.hosts {
		h.CanServe = func() bool { return serves }
	}
	weak := n.hosts["weak"]
	if got, known := weak.HelperCanServe(t.Context(), 90); !got || !known {
		t.Errorf("can serve %t, known %t", got, known)
	}
	serves = false
	if got, known := weak.HelperCanServe(t.Context(), 90); got || !known {
		t.Errorf("can serve %t, known %t after the helper lost its searchers", got, known)
	}
	if _, known := n.hosts["strong1"].HelperCanServe(t.Context(), 90); known {
		t.Error("HelperCanServe is known at a strong host, which runs its requests itself")
	}
	n.fail = func(string) error { return errors.New("unreachable") }
	if _, known := weak.HelperCanServe(t.Context(), 90); known {
		t.Error("HelperCanServe is known although the helper is unreachable")
	}
}

// TestReplyOfAHelperTellsWhetherItServes guards against a weak host that keeps taking requests, for up to half a second until
// it next queries its helper, although the helper has refused some because its failure domain is cut off.
func TestReplyOfAHelperTellsWhetherItServes(t *testing.T) {
	n := newNetwork()
	serves := true
	var heard []bool
	for _, h := range n.hosts {
		h.CanServe = func() bool { return serves }
		h.OnHelperReply = func(canServe bool) { heard = append(heard, canServe) }
	}
	refusal := &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPin, Outcome: yuccahinge.NotRun}
	for _, serves = range []bool{true, false} {
		_, _ = n.hosts["weak"].Forward(t.Context(), newScatteredForward(servicesHash))
		n.engines["strong1"].err, n.engines["strong2"].err = refusal, refusal
	}
	if len(heard) != 2 || !heard[0] || heard[1] {
		t.Errorf("heard that the helper can serve: %v, want true and then false", heard)
	}
}
