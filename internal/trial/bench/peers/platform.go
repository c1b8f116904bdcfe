package peers

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// platform is the configuration service in memory. A long poll counts as one read.
type platform struct {
	reads atomic.Int64

	mu      sync.Mutex
	tickets []*yuccahinge.Ticket
	state   *yuccahinge.State
	// changed is closed and replaced when a ticket is added.
	changed chan struct{}
	members []yuccahinge.Member
}

// publish adds a ticket that replaces one calendar with one of about size bytes in JSON.
func (p *platform) publish(size int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &yuccahinge.Ticket{
		Number:    yuccahinge.TicketNumber(len(p.tickets) + 1),
		Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{"c0": calendar(size)},
	}
	return p.add(t)
}

// publishInitial adds the first ticket, with a service whose searchers make up most of the state.
func (p *platform) publishInitial(searchers, shards int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.add(&yuccahinge.Ticket{
		Number:   1,
		Services: map[yuccahinge.ServiceName]*yuccahinge.Service{"search": service(searchers, shards)},
	})
}

func (p *platform) add(t *yuccahinge.Ticket) error {
	next, err := ticket.Apply(p.state, t)
	if err != nil {
		return err
	}
	p.tickets = append(p.tickets, t)
	p.state = next
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
	return nil
}

// dateBytes is the size of a date in a JSON list, with quotes and comma.
const dateBytes = 13

func calendar(size int) *yuccahinge.Calendar {
	c := &yuccahinge.Calendar{Holidays: []string{}}
	day := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range size / dateBytes {
		c.Holidays = append(c.Holidays, day.Format(time.DateOnly))
		day = day.AddDate(0, 0, 1)
	}
	return c
}

func service(searchers, shards int) *yuccahinge.Service {
	s := &yuccahinge.Service{
		Kind:  yuccahinge.KindSearch,
		Index: yuccahinge.Index{Version: 1, Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}},
	}
	for i := range shards {
		s.Index.Shards = append(s.Index.Shards, yuccahinge.Shard{
			ID:   yuccahinge.ShardID(i),
			From: uint32(i * yuccahinge.HashSlots / shards),
			To:   uint32((i + 1) * yuccahinge.HashSlots / shards),
		})
	}
	for i := range max(searchers, shards) {
		id := yuccahinge.SearcherID(fmt.Sprintf("searcher-%05d", i))
		s.Index.Searchers[id] = &yuccahinge.Searcher{
			Addr:   fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			Domain: yuccahinge.DomainID(fmt.Sprint("domain-", i%10)), Slots: 2, Connections: 25, ConnectMs: 6,
		}
		shard := &s.Index.Shards[i%shards]
		shard.Searchers = append(shard.Searchers, id)
	}
	return s
}

// Head implements yuccahinge.ConfigSource.
func (p *platform) Head(ctx context.Context, after yuccahinge.TicketNumber, wait yuccahinge.Millis) (yuccahinge.TicketNumber, error) {
	p.reads.Add(1)
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		p.mu.Lock()
		head, changed := yuccahinge.TicketNumber(len(p.tickets)), p.changed
		p.mu.Unlock()
		if head > after {
			return head, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return head, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// Ticket implements yuccahinge.ConfigSource.
func (p *platform) Ticket(_ context.Context, n yuccahinge.TicketNumber) (*yuccahinge.Ticket, error) {
	p.reads.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tickets[n-1], nil
}

// State implements yuccahinge.ConfigSource.
func (p *platform) State(context.Context) (*yuccahinge.State, error) {
	p.reads.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, nil
}

// Members implements yuccahinge.ConfigSource.
func (p *platform) Members(context.Context) ([]yuccahinge.Member, error) {
	p.reads.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members, nil
}
