package size

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/claim"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/gather"
	"github.com/yuccahinge/yuccahinge/hedge"
	"github.com/yuccahinge/yuccahinge/hybrid"
	"github.com/yuccahinge/yuccahinge/picker"
	"github.com/yuccahinge/yuccahinge/roster"
	"github.com/yuccahinge/yuccahinge/spread"
	"github.com/yuccahinge/yuccahinge/swap"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// replicas is the number of searchers that hold a shard.
const replicas = 2

// Components returns the components of an entry host with the sizes to measure.
func Components() []Component {
	return []Component{
		{"state in force", "searcher", []int{500, 1000, 2000, 4000, 8600}, buildState},
		{"spread with its ring", "ticket of one calendar", []int{50, 200, 800, 2300}, buildTickets},
		{"roster", "entry host", []int{100, 500, 1000, 2100}, buildRoster},
		{"spread's view of peers", "entry host", []int{100, 500, 1000, 2100}, buildPeers},
		{"searcher statistics", "searcher", []int{500, 1000, 2000, 4000, 8600}, buildBalancer},
		{"latency histograms", "shard", []int{100, 230, 460, 920}, buildHedge},
		{"known versions", "searcher", []int{500, 2000, 8600}, buildVersions},
		{"query in flight, fan-out 20", "query", []int{100, 400, 1600}, func(n int) any { return buildGather(n, 20) }},
		{"query in flight, fan-out 460", "query", []int{25, 100, 400}, func(n int) any { return buildGather(n, 460) }},
		{"claims", "claim", []int{1000, 4000, 16000}, buildClaims},
		{"time line", "event", []int{4096, 8192, 16384}, buildEvents},
	}
}

func index(searchers int) yuccahinge.Index {
	shards := max(1, searchers/replicas)
	ix := yuccahinge.Index{Version: 1, Searchers: make(map[yuccahinge.SearcherID]*yuccahinge.Searcher)}
	for i := range shards {
		s := yuccahinge.Shard{
			ID:   yuccahinge.ShardID(i),
			From: uint32(i * yuccahinge.HashSlots / shards),
			To:   uint32((i + 1) * yuccahinge.HashSlots / shards),
		}
		for r := range replicas {
			id := searcherID(i*replicas + r)
			s.Searchers = append(s.Searchers, id)
			ix.Searchers[id] = &yuccahinge.Searcher{
				Addr: fmt.Sprintf("10.0.%d.%d:8080", i/200, i%200+1), Domain: "domain-1", Slots: 2, Connections: 25,
			}
		}
		ix.Shards = append(ix.Shards, s)
	}
	return ix
}

// buildState decodes the state from a ticket in JSON, as a host does, since decoding determines what memory is shared.
func buildState(n int) any {
	body, err := json.Marshal(&yuccahinge.Ticket{Number: 1, Services: map[yuccahinge.ServiceName]*yuccahinge.Service{
		"search": {Kind: yuccahinge.KindSearch, Preference: yuccahinge.PreferCoverage, Index: index(n)},
	}})
	must(err)
	var t yuccahinge.Ticket
	must(json.Unmarshal(body, &t))
	s, err := ticket.Apply(nil, &t)
	must(err)
	return s
}

func calendarTicket(n int) *yuccahinge.Ticket {
	day := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).AddDate(0, 0, n)
	c := &yuccahinge.Calendar{}
	for i := range 20 {
		c.Holidays = append(c.Holidays, day.AddDate(0, 0, i).Format(time.DateOnly))
	}
	return &yuccahinge.Ticket{
		Number:    yuccahinge.TicketNumber(n),
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{"holidays": c},
	}
}

func buildTickets(n int) any {
	s := &spread.Node{Self: "e0", Domain: "domain-1"}
	s.SetMembers(0, []yuccahinge.Member{member(0)})
	s.HandleHead(0, yuccahinge.TicketNumber(n))
	for i := range n {
		s.HandleTicket(yuccahinge.Millis(i), calendarTicket(i+1))
	}
	return s
}

func member(i int) yuccahinge.Member {
	return yuccahinge.Member{
		ID: fmt.Sprintf("entry-%04d", i), Domain: yuccahinge.DomainID(fmt.Sprintf("domain-%d", i%10)),
		Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive, Incarnation: yuccahinge.Incarnation(fmt.Sprintf("%016x", i)),
		CallerAddr: fmt.Sprintf("10.1.%d.%d:80", i/200, i%200+1),
		PeerAddr:   fmt.Sprintf("10.1.%d.%d:81", i/200, i%200+1),
		AdminAddr:  fmt.Sprintf("10.1.%d.%d:82", i/200, i%200+1),
	}
}

func members(n int) []yuccahinge.Member {
	var out []yuccahinge.Member
	for i := range n {
		out = append(out, member(i))
	}
	return out
}

func buildRoster(n int) any {
	r := &roster.Roster{Self: member(0)}
	r.MergeList(0, members(n))
	return r
}

func buildPeers(n int) any {
	s := &spread.Node{Self: "entry-0000", Domain: "domain-0"}
	all := members(n)
	s.SetMembers(0, all)
	for i := 1; i < n; i++ {
		s.HandleReply(1, s.NewRequest(1), spread.Reply{Summary: spread.Summary{Host: yuccahinge.HostID(all[i].ID), Number: 1, Digest: "d"}})
	}
	return s
}

func buildBalancer(n int) any {
	b := &picker.Balancer{Domain: "domain-1"}
	for i := range n {
		id := searcherID(i)
		b.Started(0, id)
		b.Ended(1, id, &yuccahinge.ShardResult{Outcome: yuccahinge.Ran, Latency: 1})
	}
	return b
}

func buildHedge(n int) any {
	h := &hedge.Policy{}
	for i := range n {
		for j := range 50 {
			h.RecordLatency(0, "search", yuccahinge.ShardID(i), yuccahinge.Millis(j))
		}
	}
	return h
}

func buildVersions(n int) any {
	v := &swap.Versions{}
	for i := range n {
		v.RecordReport(searcherID(i), &yuccahinge.LoadReport{Versions: []yuccahinge.IndexVersion{1, 2}})
	}
	return v
}

// buildGather returns queries in flight that have a result with one hit from every shard but one.
func buildGather(n, fanOut int) any {
	ix := index(fanOut * replicas)
	var out []*gather.Gather
	for i := range n {
		id := yuccahinge.RequestID(fmt.Sprintf("query-%06d", i))
		g := &gather.Gather{Request: id, Service: "search", Index: &ix, Deadline: 1000}
		for _, a := range g.Start(0)[:fanOut-1] {
			g.HandleResult(1, a.Attempt, &yuccahinge.ShardResult{Outcome: yuccahinge.Ran, Reply: &yuccahinge.ShardReply{
				RequestID: id, Attempt: a.Attempt, Shard: a.Shard, IndexVersion: 1, Outcome: yuccahinge.Ran,
				Hits: []yuccahinge.Hit{{ID: yuccahinge.DocumentID(fmt.Sprint("doc-", i, a.Shard)), Doc: make(json.RawMessage, 200)}},
			}})
		}
		out = append(out, g)
	}
	return out
}

func buildClaims(n int) any {
	t := &claim.Table{Owner: "e0", Incarnation: "i"}
	for i := range n {
		g, err := t.Grant(0, yuccahinge.ClaimRequest{Service: "billing", Key: fmt.Sprintf("invoice-%07d", i)})
		must(err)
		t.Begin(1, g.Claim, "billing", "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef")
		must(t.End(2, g.Claim, yuccahinge.ChargeAnswer{Outcome: yuccahinge.Ran, Reply: make(json.RawMessage, 100)}))
	}
	return t
}

func buildEvents(n int) any {
	r := &event.Ring{Host: "e0", Clock: clock.Clock{}, Stamps: &hybrid.Clock{}, Capacity: n}
	for i := range n {
		r.Record(yuccahinge.Event{Code: event.AttemptEnded, Request: yuccahinge.RequestID(fmt.Sprint("query-", i)), Service: "search"})
	}
	return r
}

// must panics on an error. The inputs are built in this package, so that an error is a bug in it.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
