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

var errConnection = errors.New("cut")

// fakeCluster runs entry hosts in one process, with fault injection. It implements the interfaces that a Coordinator uses.
type fakeCluster struct {
	mu       sync.Mutex
	members  []yuccahinge.Member
	handlers map[string]map[yuccahinge.PeerMethod]yuccahinge.PeerHandler
	// unreachable has the addresses to which calls fail, dropReply those whose handlers run but whose replies are lost.
	unreachable, dropReply map[string]bool
	// failCalls is the number of calls that still fail, to any address.
	failCalls int
	events    []yuccahinge.Event
	state     yuccahinge.State

	// run returns the outcome of a call to a searcher; calls has the searchers called, in order.
	run   func(context.Context, yuccahinge.SearcherID) yuccahinge.Outcome
	calls []yuccahinge.SearcherID
}

func newFakeCluster(ids ...string) *fakeCluster {
	c := &fakeCluster{
		handlers:    make(map[string]map[yuccahinge.PeerMethod]yuccahinge.PeerHandler),
		unreachable: make(map[string]bool), dropReply: make(map[string]bool),
	}
	c.run = func(context.Context, yuccahinge.SearcherID) yuccahinge.Outcome { return yuccahinge.Ran }
	for _, id := range ids {
		c.members = append(c.members, yuccahinge.Member{ID: id, Status: yuccahinge.StatusLive, PeerAddr: "addr-" + id, Incarnation: "i1"})
	}
	replicas := []yuccahinge.SearcherID{"s1", "s2", "s3"}
	ix := yuccahinge.Index{
		Shards:    []yuccahinge.Shard{{To: yuccahinge.HashSlots, Searchers: replicas}},
		Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{"s1": {}, "s2": {}, "s3": {}},
	}
	c.state.Services = map[yuccahinge.ServiceName]*yuccahinge.Service{
		billing:  {Kind: yuccahinge.KindCharge, DeadlineMs: 1000, Index: ix},
		"search": {Kind: yuccahinge.KindSearch},
	}
	return c
}

// startHost starts an incarnation of the host.
func (c *fakeCluster) startHost(id string, incarnation yuccahinge.Incarnation) *Coordinator {
	m, _ := c.Find(yuccahinge.HostID(id))
	m.Incarnation = incarnation
	co := &Coordinator{Self: m, States: c, Membership: c, Peers: c, Caller: c, Picker: c, Clock: c, Recorder: c}
	c.handlers[m.PeerAddr] = make(map[yuccahinge.PeerMethod]yuccahinge.PeerHandler)
	co.Register(func(method yuccahinge.PeerMethod, h yuccahinge.PeerHandler) { c.handlers[m.PeerAddr][method] = h })
	return co
}

func (c *fakeCluster) Now() yuccahinge.Millis {
	return yuccahinge.Millis(time.Now().UnixMicro()) / 1000
}

func (c *fakeCluster) State() (*yuccahinge.State, yuccahinge.Millis) { return &c.state, 0 }

func (c *fakeCluster) Members() []yuccahinge.Member { return c.members }

func (c *fakeCluster) Find(id yuccahinge.HostID) (yuccahinge.Member, bool) {
	i := slices.IndexFunc(c.members, func(m yuccahinge.Member) bool { return m.ID == string(id) })
	if i < 0 {
		return yuccahinge.Member{}, false
	}
	return c.members[i], true
}

func (c *fakeCluster) Record(e yuccahinge.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

func (c *fakeCluster) Pick(_ yuccahinge.Millis, _ *yuccahinge.Index, shard *yuccahinge.Shard, tried []yuccahinge.SearcherID) (yuccahinge.SearcherID, bool) {
	for _, id := range shard.Searchers {
		if !slices.Contains(tried, id) {
			return id, true
		}
	}
	return "", false
}

func (c *fakeCluster) Call(ctx context.Context, addr string, method yuccahinge.PeerMethod, in, out any) error {
	c.mu.Lock()
	h, unreachable, dropReply := c.handlers[addr][method], c.unreachable[addr], c.dropReply[addr]
	if c.failCalls > 0 {
		c.failCalls--
		unreachable = true
	}
	c.mu.Unlock()
	if unreachable || h == nil {
		return errConnection
	}
	body, _ := json.Marshal(in)
	reply, err := h(ctx, func(v any) error { return json.Unmarshal(body, v) })
	if dropReply {
		return errConnection
	}
	if err != nil {
		return err
	}
	text, _ := json.Marshal(reply)
	return json.Unmarshal(text, out)
}

func (c *fakeCluster) Charge(ctx context.Context, id yuccahinge.SearcherID, _ *yuccahinge.Searcher, call *yuccahinge.ChargeCall) yuccahinge.ChargeResult {
	c.mu.Lock()
	c.calls = append(c.calls, id)
	c.mu.Unlock()
	o := c.run(ctx, id)
	reply := &yuccahinge.ChargeReply{RequestID: call.RequestID, Claim: call.Claim, Outcome: o, Result: json.RawMessage(`"receipt"`)}
	return yuccahinge.ChargeResult{Outcome: o, Reply: reply}
}

func (c *fakeCluster) setFault(m map[string]bool, addr string, v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m[addr] = v
}

func mustGrant(t *testing.T, co *Coordinator, key string) yuccahinge.ClaimID {
	t.Helper()
	g, err := co.Grant(t.Context(), yuccahinge.ClaimRequest{Service: billing, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	return g.Claim
}

func newRequest(claim yuccahinge.ClaimID) *yuccahinge.ChargeRequest {
	return &yuccahinge.ChargeRequest{RequestID: "r1", Service: billing, Claim: claim, Body: json.RawMessage(`{"n": 1}`)}
}

func checkCharge(t *testing.T, co *Coordinator, claim yuccahinge.ClaimID, o yuccahinge.Outcome, reason yuccahinge.Reason) {
	t.Helper()
	a, err := co.Charge(t.Context(), newRequest(claim))
	if err != nil {
		t.Fatal(err)
	}
	if a.Outcome != o || a.Reason != reason {
		t.Fatalf("answer is %+v, want outcome %s, reason %q", a, o, reason)
	}
}

func (c *fakeCluster) checkCalls(t *testing.T, want ...yuccahinge.SearcherID) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.calls, want) {
		t.Fatalf("called searchers %v, want %v", c.calls, want)
	}
}
