package assign

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/coord"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/internal/front/flight"
	"github.com/yuccahinge/yuccahinge/internal/front/query"
	"github.com/yuccahinge/yuccahinge/internal/peers/frame"
)

// partEngine is an engine that answers parts and records the requests.
type partEngine struct {
	requests []*query.ForwardRequest
	losses   []*query.PartLoss
	err      error
}

func (p *partEngine) Forward(_ context.Context, f *query.ForwardRequest) (*query.ForwardAnswer, error) {
	p.requests = append(p.requests, f)
	return &query.ForwardAnswer{
		Records: []byte("records"), Signatures: []string{"s"}, Missing: 1,
		PartResult: &gather.PartResult{Lacking: []gather.LackingShard{{Shard: 1, Tried: []yuccahinge.SearcherID{"x"}}}, StragglerWaitMs: 3},
	}, p.err
}

func (p *partEngine) AnswerBy(f *query.ForwardRequest) yuccahinge.Millis { return f.Arrived + 80 }

func (p *partEngine) MayReportLoss(_ context.Context, l *query.PartLoss) (bool, error) {
	p.losses = append(p.losses, l)
	return true, nil
}

// newTwoDomainNetwork returns a network with host "ha" in failure domain "a" and host "hb" in "b", the Assigner and the
// engine of "ha", and a request. The searchers of all shards but the first are in "b".
func newTwoDomainNetwork() (*fakeNetwork, *Assigner, *partEngine, *query.ForwardRequest) {
	f := newScatteredForward(servicesHash)
	f.Index.Searchers = map[yuccahinge.SearcherID]*yuccahinge.Searcher{"here": {Domain: "a"}, "there": {Domain: "b"}}
	for i := range f.Index.Shards {
		f.Index.Shards[i] = yuccahinge.Shard{ID: yuccahinge.ShardID(i), Searchers: []yuccahinge.SearcherID{"there"}}
	}
	f.Index.Shards[0].Searchers = []yuccahinge.SearcherID{"here"}
	n := &fakeNetwork{hosts: map[string]*Assigner{}, fail: func(string) error { return nil }}
	eng := &partEngine{}
	for _, m := range []yuccahinge.Member{{ID: "ha", Domain: "a"}, {ID: "hb", Domain: "b"}} {
		m.PeerAddr = m.ID
		m.Status = yuccahinge.StatusLive
		n.members = append(n.members, m)
		n.hosts[m.ID] = &Assigner{
			Flights: new(flight.Tracker),
			Engine:  eng, Selector: &coord.Selector{Self: m}, Membership: n, Peers: n, Clock: clock.Clock{}, Recorder: n,
			Index: func(hash uint64) *yuccahinge.Index {
				if hash == servicesHash {
					return f.Index
				}
				return nil
			},
		}
	}
	return n, n.hosts["ha"], eng, f
}

// TestHostOfAPartAsksAboutALoss guards against a loss by a part that the host which delegated it never hears of.
func TestHostOfAPartAsksAboutALoss(t *testing.T) {
	n, a, eng, f := newTwoDomainNetwork()
	parts := a.Split(f)
	if _, err := a.Query(t.Context(), f, &parts[0]); err != nil {
		t.Fatal(err)
	}
	part, sent := eng.requests[0], a.Clock.Now()-50
	loss := &query.PartLoss{Request: f.Request, Fingerprints: [2]yuccahinge.Fingerprint{1, 1 << 63}, Services: 1 << 63, SentAt: sent}
	permitted, err := n.hosts["hb"].MayReportLoss(t.Context(), part.DelegatedBy, loss)
	if !permitted || err != nil || n.calls[len(n.calls)-1] != "ha" {
		t.Fatalf("%t, %v after calls to %v", permitted, err, n.calls)
	}
	got := *eng.losses[0]
	if late := got.SentAt - sent; late < 0 || late > 1000 {
		t.Errorf("the searcher got the part %g ms later than sent", late)
	}
	if got.SentAt = sent; got != *loss {
		t.Errorf("got %+v, want %+v", got, *loss)
	}
	if _, err := n.hosts["hb"].MayReportLoss(t.Context(), "", loss); err == nil {
		t.Error("no error although the part names no host")
	}
}

func TestPartRunsInOtherFailureDomain(t *testing.T) {
	_, a, eng, f := newTwoDomainNetwork()
	parts := a.Split(f)
	if len(parts) != 1 || parts[0].Host.ID != "hb" || len(parts[0].Shards) != 89 || parts[0].Shards[0] != 1 {
		t.Fatalf("%+v", parts)
	}
	answer, err := a.Query(t.Context(), f, &parts[0])
	if err != nil || string(answer.Records) != "records" || answer.PartResult == nil || answer.PartResult.StragglerWaitMs != 3 || answer.PartResult.Lacking[0].Tried[0] != "x" {
		t.Fatalf("%+v, %v", answer, err)
	}
	got := eng.requests[0]
	if !got.IsPart || len(got.Index.Shards) != 89 || got.Index.Shards[0].ID != 1 || got.Index.ServicesHash != f.Index.ServicesHash {
		t.Errorf("the part is %+v", got)
	}
	if left := got.AnswerBy - got.Arrived; left > 80-partReturnMs {
		t.Errorf("the answer of the part is due in %g ms", left)
	}
	// 9 of the 90 shards may be missing, so the part needs at least 80 of its 89.
	if need := got.Route.MinCoverage * 89; need < 79.9 || need > 80.1 {
		t.Errorf("the part needs %g shards", need)
	}
}

// TestPartOfLeavingHostIsNotRun guards against parts that a leaving host takes from other hosts and cuts off when its process
// ends.
func TestPartOfLeavingHostIsNotRun(t *testing.T) {
	n, a, eng, f := newTwoDomainNetwork()
	n.hosts["hb"].Flights.SetLatestEnd(clock.Clock{}.Now() + 100)
	part := a.Split(f)[0]
	_, got := a.Query(t.Context(), f, &part)
	var e *yuccahinge.Error
	if !errors.As(got, &e) || e.Outcome != yuccahinge.NotRun || len(eng.requests) != 0 {
		t.Errorf("%v after %d runs", got, len(eng.requests))
	}
}

func TestPartsOfUnreachableHosts(t *testing.T) {
	n, a, eng, f := newTwoDomainNetwork()
	part := a.Split(f)[0]
	for name, err := range map[string]error{
		"unreachable":         errors.Mark(errors.New("refused"), frame.ErrNeverSent),
		"other configuration": &yuccahinge.Error{Code: yuccahinge.CodeNotFound},
	} {
		n.fail = func(string) error { return err }
		_, got := a.Query(t.Context(), f, &part)
		var e *yuccahinge.Error
		if !errors.As(got, &e) || e.Outcome != yuccahinge.NotRun {
			t.Errorf("%s: %v", name, got)
		}
	}
	n.fail = func(string) error { return errors.New("connection reset") }
	_, got := a.Query(t.Context(), f, &part)
	var e *yuccahinge.Error
	if !errors.As(got, &e) || e.Outcome == yuccahinge.NotRun || len(eng.requests) != 0 {
		t.Errorf("a part that may have run: %v, want an outcome other than notRun", got)
	}
	if parts := a.Split(f); len(parts) != 0 {
		t.Errorf("a part is assigned to the host that just failed: %+v", parts)
	}
	_, other, _, f := newTwoDomainNetwork()
	other.IsCut = func(_ yuccahinge.Millis, d yuccahinge.DomainID) bool { return d == "b" }
	if parts := other.Split(f); len(parts) != 0 {
		t.Errorf("a part is assigned to a failure domain that is cut off: %+v", parts)
	}
}

func TestPartWithUnknownShardsIsRefused(t *testing.T) {
	n, _, eng, f := newTwoDomainNetwork()
	r := newRequest(f, 0, 50)
	for _, shards := range [][]int{{90}, {-1}} {
		r.Shards = shards
		if _, err := n.hosts["hb"].runForPeer(t.Context(), r); yuccahinge.CodeOf(err) != yuccahinge.CodeInvalid || len(eng.requests) != 0 {
			t.Errorf("%v: %v", shards, err)
		}
	}
	r.Shards = []int{3}
	if _, err := n.hosts["hb"].runForPeer(t.Context(), r); err != nil || len(eng.requests[0].Index.Shards) != 1 || eng.requests[0].Index.Shards[0].ID != 3 {
		t.Errorf("%v", err)
	}
}

// TestCallerIsKnownToTheOtherHost guards against retries that a host does not recognize because it runs them for others.
func TestCallerIsKnownToTheOtherHost(t *testing.T) {
	n, _, eng, f := newTwoDomainNetwork()
	f.Caller = "10.0.0.1"
	r := newRequest(f, 0, 50)
	if _, err := n.hosts["hb"].runForPeer(t.Context(), r); err != nil || eng.requests[0].Caller != f.Caller {
		t.Errorf("%v, %+v", err, eng.requests)
	}
}
