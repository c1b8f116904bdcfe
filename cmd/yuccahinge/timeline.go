package main

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/chrono"
	"github.com/yuccahinge/yuccahinge/fetch"
)

// fetchesAtOnce bounds the hosts that are asked side by side.
const fetchesAtOnce = 32

type timelineCommand struct {
	sub     *flaggy.Subcommand
	targets targets
	request string
	claim   string
	host    string
	ticket  uint64
	json    bool
}

// timelineResult is the merged time line and what is missing from it.
type timelineResult struct {
	Events []yuccahinge.Event `json:"events"`
	// Unreachable lists the operators' addresses that did not answer.
	Unreachable []string `json:"unreachable"`
}

func (c *timelineCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("timeline")
	c.sub.Description = "merge the time lines of all hosts in causal order"
	c.targets.attach(c.sub)
	c.sub.String(&c.request, "", "request", "only events of this request")
	c.sub.String(&c.claim, "", "claim", "only events of this claim")
	c.sub.String(&c.host, "", "of", "only events of this host")
	c.sub.UInt64(&c.ticket, "", "ticket", "only events of this ticket")
	c.sub.Bool(&c.json, "", "json", "print JSON")
	p.AttachSubcommand(c.sub, 1)
}

func (c *timelineCommand) used() bool { return c.sub.Used }

func (c *timelineCommand) run(ctx context.Context) int {
	if err := c.targets.check(); err != nil {
		return fail(exitUsage, err)
	}
	members, err := c.targets.members(ctx)
	if err != nil {
		return fail(exitFailed, err)
	}
	res := c.collect(ctx, members)
	c.print(res)
	switch {
	case len(res.Unreachable) == len(members):
		return exitFailed
	case len(res.Unreachable) > 0:
		return exitUnknown
	}
	return exitDone
}

func (c *timelineCommand) collect(ctx context.Context, members []yuccahinge.Member) timelineResult {
	var mu sync.Mutex
	var rings [][]yuccahinge.Event
	res := timelineResult{Unreachable: []string{}}
	var g errgroup.Group
	g.SetLimit(fetchesAtOnce)
	for _, m := range members {
		g.Go(func() error {
			ring, err := ringOf(ctx, m.AdminAddr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				res.Unreachable = append(res.Unreachable, m.AdminAddr)
				return nil
			}
			rings = append(rings, ring)
			return nil
		})
	}
	_ = g.Wait() // The functions report through res.
	res.Events = c.filter().Merge(rings...)
	return res
}

func (c *timelineCommand) filter() chrono.Filter {
	return chrono.Filter{
		Request: yuccahinge.RequestID(c.request),
		Claim:   yuccahinge.ClaimID(c.claim),
		Host:    yuccahinge.HostID(c.host),
		Ticket:  yuccahinge.TicketNumber(c.ticket),
	}
}

// ringOf reads the whole ring of one host, page by page.
func ringOf(ctx context.Context, addr string) ([]yuccahinge.Event, error) {
	var all []yuccahinge.Event
	var since uint64
	var client fetch.Client
	for {
		var page yuccahinge.EventPage
		if _, err := client.Get(ctx, fmt.Sprintf("http://%s/v1/events?since=%d", addr, since), &page); err != nil {
			return nil, err
		}
		if len(page.Events) == 0 {
			return all, nil
		}
		all = append(all, page.Events...)
		since = page.Next
	}
}

func (c *timelineCommand) print(r timelineResult) {
	if c.json {
		printJSON(r)
		return
	}
	for _, e := range r.Events {
		fmt.Println(line(e))
	}
	for _, addr := range r.Unreachable {
		fmt.Println("unreachable:", addr)
	}
}

// line renders one event.
func line(e yuccahinge.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d.%06d+%d %-10s %d %s", e.Stamp.Wall/1e6, e.Stamp.Wall%1e6, e.Stamp.Count, e.Host, e.Code, e.Name)
	field(&b, "request", string(e.Request))
	if e.Ticket != 0 {
		field(&b, "ticket", fmt.Sprint(e.Ticket))
	}
	field(&b, "service", string(e.Service))
	if e.Shard != nil {
		field(&b, "shard", fmt.Sprint(*e.Shard))
	}
	if e.Attempt != 0 {
		field(&b, "attempt", fmt.Sprint(e.Attempt))
	}
	field(&b, "searcher", string(e.Searcher))
	field(&b, "claim", string(e.Claim))
	field(&b, "peer", e.Peer)
	field(&b, "detail", e.Detail)
	return b.String()
}

func field(b *strings.Builder, name, value string) {
	if value != "" {
		fmt.Fprintf(b, " %s=%s", name, value)
	}
}
