package charge

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

const billing yuccahinge.ServiceName = "billing"

var errCut = errors.New("cut")

// site is a few entry hosts in one process with the faults that a test sets.
type site struct {
	mu       sync.Mutex
	members  []yuccahinge.Member
	handlers map[string]map[yuccahinge.PeerMethod]yuccahinge.PeerHandler
	// down holds the addresses that can't be called, mute those whose replies get lost.
	down, mute map[string]bool
	// broken is the number of calls that fail before calls succeed again.
	broken int
	events []yuccahinge.Event
	state  yuccahinge.State

	// run answers the call to a searcher; calls keeps the searchers called.
	run   func(context.Context, yuccahinge.SearcherID) yuccahinge.Outcome
	calls []yuccahinge.SearcherID
}

func newSite(ids ...string) *site {
	s := &site{
		handlers: make(map[string]map[yuccahinge.PeerMethod]yuccahinge.PeerHandler),
		down:     make(map[string]bool), mute: make(map[string]bool),
	}
	s.run = func(context.Context, yuccahinge.SearcherID) yuccahinge.Outcome { return yuccahinge.Ran }
	for _, id := range ids {
		s.members = append(s.members, yuccahinge.Member{ID: id, Status: yuccahinge.StatusLive, PeerAddr: "addr-" + id, Incarnation: "i1"})
	}
	replicas := []yuccahinge.SearcherID{"s1", "s2", "s3"}
	ix := yuccahinge.Index{
		Shards:    []yuccahinge.Shard{{To: yuccahinge.KeySpace, Searchers: replicas}},
		Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{"s1": {}, "s2": {}, "s3": {}},
	}
	s.state.Services = map[yuccahinge.ServiceName]*yuccahinge.Service{
		billing:  {Kind: yuccahinge.KindCharge, DeadlineMs: 1000, Index: ix},
		"search": {Kind: yuccahinge.KindSearch},
	}
	return s
}

// desk starts a life of the host.
func (s *site) desk(id string, life yuccahinge.Incarnation) *Desk {
	m, _ := s.Find(yuccahinge.HostID(id))
	m.Incarnation = life
	d := &Desk{Self: m, States: s, Roster: s, Peers: s, Caller: s, Picker: s, Clock: s, Recorder: s}
	s.handlers[m.PeerAddr] = make(map[yuccahinge.PeerMethod]yuccahinge.PeerHandler)
	d.Register(func(method yuccahinge.PeerMethod, h yuccahinge.PeerHandler) { s.handlers[m.PeerAddr][method] = h })
	return d
}

func (s *site) Now() yuccahinge.Millis { return yuccahinge.Millis(time.Now().UnixMicro()) / 1000 }

func (s *site) State() (*yuccahinge.State, yuccahinge.Millis) { return &s.state, 0 }

func (s *site) Members() []yuccahinge.Member { return s.members }

func (s *site) Find(id yuccahinge.HostID) (yuccahinge.Member, bool) {
	i := slices.IndexFunc(s.members, func(m yuccahinge.Member) bool { return m.ID == string(id) })
	if i < 0 {
		return yuccahinge.Member{}, false
	}
	return s.members[i], true
}

func (s *site) Record(e yuccahinge.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

func (s *site) Pick(_ yuccahinge.Millis, _ *yuccahinge.Index, shard *yuccahinge.Shard, tried []yuccahinge.SearcherID) (yuccahinge.SearcherID, bool) {
	for _, id := range shard.Searchers {
		if !slices.Contains(tried, id) {
			return id, true
		}
	}
	return "", false
}

func (s *site) Call(ctx context.Context, addr string, method yuccahinge.PeerMethod, in, out any) error {
	s.mu.Lock()
	h, down, mute := s.handlers[addr][method], s.down[addr], s.mute[addr]
	if s.broken > 0 {
		s.broken--
		down = true
	}
	s.mu.Unlock()
	if down || h == nil {
		return errCut
	}
	body, _ := json.Marshal(in)
	reply, err := h(ctx, func(v any) error { return json.Unmarshal(body, v) })
	if mute {
		return errCut
	}
	if err != nil {
		return err
	}
	text, _ := json.Marshal(reply)
	return json.Unmarshal(text, out)
}

func (s *site) Charge(ctx context.Context, id yuccahinge.SearcherID, _ *yuccahinge.Searcher, c *yuccahinge.ChargeCall) yuccahinge.ChargeResult {
	s.mu.Lock()
	s.calls = append(s.calls, id)
	s.mu.Unlock()
	o := s.run(ctx, id)
	reply := &yuccahinge.ChargeReply{RequestID: c.RequestID, Claim: c.Claim, Outcome: o, Result: json.RawMessage(`"receipt"`)}
	return yuccahinge.ChargeResult{Outcome: o, Reply: reply}
}

func (s *site) set(m map[string]bool, addr string, v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m[addr] = v
}

func mustGrant(t *testing.T, d *Desk, key string) yuccahinge.ClaimID {
	t.Helper()
	g, err := d.Grant(t.Context(), yuccahinge.ClaimRequest{Service: billing, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	return g.Claim
}

func request(claim yuccahinge.ClaimID) *yuccahinge.ChargeRequest {
	return &yuccahinge.ChargeRequest{RequestID: "r1", Service: billing, Claim: claim, Body: json.RawMessage(`{"n": 1}`)}
}

func mustCharge(t *testing.T, d *Desk, claim yuccahinge.ClaimID, o yuccahinge.Outcome, reason yuccahinge.Reason) {
	t.Helper()
	a, err := d.Charge(t.Context(), request(claim))
	if err != nil {
		t.Fatal(err)
	}
	if a.Outcome != o || a.Reason != reason {
		t.Fatalf("answer is %+v, want %s %q", a, o, reason)
	}
}

func (s *site) mustCall(t *testing.T, want ...yuccahinge.SearcherID) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.calls, want) {
		t.Fatalf("searchers called are %v, want %v", s.calls, want)
	}
}
