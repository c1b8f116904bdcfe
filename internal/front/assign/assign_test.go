package assign

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
	"github.com/yuccahinge/yuccahinge/place"
)

// runner is an engine that counts what it runs.
type runner struct {
	runs int
	err  error
}

func (r *runner) Forward(context.Context, *query.Forward) (*query.Forwarded, error) {
	r.runs++
	return &query.Forwarded{Records: []byte("records"), Signatures: []string{"s"}, Missing: 1}, r.err
}

func (r *runner) AnswerBy(f *query.Forward) yuccahinge.Millis { return f.Arrived + 50 }

// network is a weak host, two strong ones, and what happens to calls between them.
type network struct {
	members []yuccahinge.Member
	hosts   map[string]*Assign
	runs    map[string]*runner
	fail    func(addr string) error
	calls   []string
}

func (n *network) Members() []yuccahinge.Member { return n.members }

func (n *network) Find(yuccahinge.HostID) (yuccahinge.Member, bool) {
	return yuccahinge.Member{}, false
}

func (n *network) Record(yuccahinge.Event) {}

func (n *network) Call(ctx context.Context, addr string, method yuccahinge.PeerMethod, in, out any) error {
	n.calls = append(n.calls, addr)
	if err := n.fail(addr); err != nil {
		return err
	}
	if method == MethodReach {
		*out.(*reach) = reach{Serves: n.hosts[addr].Serves()}
		return nil
	}
	v, err := n.hosts[addr].run(ctx, in.(*Request))
	if err != nil {
		return err
	}
	*out.(*Reply) = *v.(*Reply)
	return nil
}

const key = 77

func newNetwork() *network {
	n := &network{hosts: make(map[string]*Assign), runs: make(map[string]*runner), fail: func(string) error { return nil }}
	ix := &yuccahinge.Index{Key: key, Shards: make([]yuccahinge.Shard, 90)}
	for _, m := range []yuccahinge.Member{
		{ID: "weak", Cores: 0.2, LinkMbps: 17}, {ID: "strong1", Cores: 0.8, LinkMbps: 140}, {ID: "strong2", Cores: 0.8, LinkMbps: 140},
	} {
		m.PeerAddr = m.ID
		m.Status = yuccahinge.StatusLive
		n.members = append(n.members, m)
		r := &runner{}
		n.runs[m.ID] = r
		n.hosts[m.ID] = &Assign{
			Engine: r, Place: &place.Place{Self: m}, Roster: n, Peers: n, Clock: clock.Clock{}, Recorder: n,
			Index: func(k uint64) *yuccahinge.Index {
				if k == key {
					return ix
				}
				return nil
			},
		}
	}
	return n
}

func wide(index uint64) *query.Forward {
	now := clock.Clock{}.Now()
	return &query.Forward{
		Request: "r", Arrived: now, Deadline: now + 200,
		Route: &yuccahinge.Route{Name: "wide", Shards: make([]yuccahinge.ServiceName, 90), LeastShare: 0.9},
		Index: &yuccahinge.Index{Key: index, Shards: make([]yuccahinge.Shard, 90)},
	}
}

func TestWideRequestRunsOnOneStrongHost(t *testing.T) {
	n := newNetwork()
	a, err := n.hosts["weak"].Forward(t.Context(), wide(key))
	if err != nil || string(a.Records) != "records" || a.Missing != 1 || len(a.Signatures) != 1 {
		t.Fatalf("%+v, %v", a, err)
	}
	if n.runs["weak"].runs != 0 || n.runs["strong1"].runs+n.runs["strong2"].runs != 1 {
		t.Fatalf("runs: weak %d, strong %d and %d", n.runs["weak"].runs, n.runs["strong1"].runs, n.runs["strong2"].runs)
	}
}

func TestHelperHearsWhatItIsAskedFor(t *testing.T) {
	n := newNetwork()
	var asked []yuccahinge.RouteName
	for _, h := range n.hosts {
		h.Asked = func(name yuccahinge.RouteName) { asked = append(asked, name) }
	}
	if _, err := n.hosts["weak"].Forward(t.Context(), wide(key)); err != nil || len(asked) != 1 || asked[0] != "wide" {
		t.Fatalf("%v, %v", asked, err)
	}
}

func TestHostWithoutTheConfigurationRunsNothing(t *testing.T) {
	n := newNetwork()
	if _, err := n.hosts["weak"].Forward(t.Context(), wide(key+1)); err != nil {
		t.Fatal(err)
	}
	if n.runs["weak"].runs != 1 || len(n.calls) != 2 || n.runs["strong1"].runs+n.runs["strong2"].runs != 0 {
		t.Fatalf("%d runs here after calls to %v", n.runs["weak"].runs, n.calls)
	}
}

func TestUnreachableHostsAreReplacedByThisOne(t *testing.T) {
	n := newNetwork()
	n.fail = func(string) error { return errors.Mark(errors.New("refused"), frame.ErrNeverSent) }
	if _, err := n.hosts["weak"].Forward(t.Context(), wide(key)); err != nil || n.runs["weak"].runs != 1 {
		t.Fatalf("%v after %d runs here", err, n.runs["weak"].runs)
	}
	n.calls = nil
	if _, err := n.hosts["weak"].Forward(t.Context(), wide(key)); err != nil || len(n.calls) != 0 {
		t.Fatalf("%v after calls to %v, which have just failed", err, n.calls)
	}
}

// TestRequestThatWasTakenIsNotRunAgain loses the answer of a host that may have used up the attempts of every shard.
func TestRequestThatWasTakenIsNotRunAgain(t *testing.T) {
	n := newNetwork()
	n.fail = func(string) error { return errors.New("connection reset") }
	_, err := n.hosts["weak"].Forward(t.Context(), wide(key))
	var e *yuccahinge.Error
	if !errors.As(err, &e) || e.Outcome == yuccahinge.NotRun || n.runs["weak"].runs != 0 || len(n.calls) != 1 {
		t.Fatalf("%v after %d runs here and calls to %v", err, n.runs["weak"].runs, n.calls)
	}
}

func TestSilentHostIsAvoidedWhileItsAnswerIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		weak := n.hosts["weak"]
		chosen := func() string {
			m, _ := weak.Place.Choose(weak.Clock.Now(), n.members, 90, "r")
			return m.ID
		}
		first := chosen()
		n.fail = func(string) error {
			time.Sleep(100 * time.Millisecond)
			return nil
		}
		done := make(chan error)
		go func() {
			_, err := weak.Forward(context.Background(), wide(key))
			done <- err
		}()
		time.Sleep(90 * time.Millisecond)
		if got := chosen(); got == first {
			t.Errorf("%s is chosen again while it is silent", got)
		}
		if err := <-done; err != nil {
			t.Errorf("the late answer was lost: %v", err)
		}
		if got := chosen(); got != first {
			t.Errorf("%s is chosen after %s has answered", got, first)
		}
	})
}

func TestRefusalsKeepTheirPromise(t *testing.T) {
	n := newNetwork()
	refusal := &yuccahinge.Error{Code: yuccahinge.CodeUnavailable, Step: yuccahinge.StepPin, Message: "m", Outcome: yuccahinge.NotRun, RetryAfterMs: 9}
	n.runs["strong1"].err, n.runs["strong2"].err = refusal, refusal
	_, err := n.hosts["weak"].Forward(t.Context(), wide(key))
	var e *yuccahinge.Error
	if !errors.As(err, &e) || *e != *refusal {
		t.Fatalf("got %+v, want %+v", e, refusal)
	}
}

func TestWeakHostFollowsTheReachOfItsHelper(t *testing.T) {
	n := newNetwork()
	serves := true
	for _, h := range n.hosts {
		h.Serves = func() bool { return serves }
	}
	weak := n.hosts["weak"]
	if got, known := weak.HelperServes(t.Context(), 90); !got || !known {
		t.Errorf("serves %t, known %t", got, known)
	}
	serves = false
	if got, known := weak.HelperServes(t.Context(), 90); got || !known {
		t.Errorf("serves %t, known %t after the helper was cut off", got, known)
	}
	if _, known := n.hosts["strong1"].HelperServes(t.Context(), 90); known {
		t.Error("a strong host follows another one")
	}
	n.fail = func(string) error { return errors.New("unreachable") }
	if _, known := weak.HelperServes(t.Context(), 90); known {
		t.Error("the reach of an unreachable helper is known")
	}
}
