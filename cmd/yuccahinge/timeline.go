package main

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/causal"
	"github.com/yuccahinge/yuccahinge/fetch"
)

// maxConcurrentFetches is the maximum number of hosts whose events are fetched at the same time.
const maxConcurrentFetches = 32

type timelineCommand struct {
	sub     *flaggy.Subcommand
	targets targets
	request string
	claim   string
	host    string
	ticket  uint64
	json    bool
}

// timelineResult is the merged timeline, with the hosts whose events are missing from it.
type timelineResult struct {
	Events []yuccahinge.Event `json:"events"`
	// Unreachable lists the operators' addresses of the hosts whose events could not be fetched.
	Unreachable []string `json:"unreachable"`
}

func (c *timelineCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("timeline")
	c.sub.Description = "print the events of all hosts in causal order"
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
	g.SetLimit(maxConcurrentFetches)
	for _, m := range members {
		g.Go(func() error {
			ring, err := fetchRing(ctx, m.AdminAddr)
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
	_ = g.Wait() // No function returns an error.
	res.Events = c.filter().Merge(rings...)
	return res
}

func (c *timelineCommand) filter() causal.Filter {
	return causal.Filter{
		Request: yuccahinge.RequestID(c.request),
		Claim:   yuccahinge.ClaimID(c.claim),
		Host:    yuccahinge.HostID(c.host),
		Ticket:  yuccahinge.TicketNumber(c.ticket),
	}
}

// fetchRing reads the events in the ring buffer of one host, page by page.
func fetchRing(ctx context.Context, addr string) ([]yuccahinge.Event, error) {
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
		fmt.Println(formatEvent(e))
	}
	for _, addr := range r.Unreachable {
		fmt.Println("unreachable:", addr)
	}
}

// formatEvent returns an event as one line of text, without empty fields.
func formatEvent(e yuccahinge.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d.%06d+%d %-10s %d %s", e.Stamp.Wall/1e6, e.Stamp.Wall%1e6, e.Stamp.Count, e.Host, e.Code, e.Name)
	appendField(&b, "request", string(e.Request))
	if e.Ticket != 0 {
		appendField(&b, "ticket", fmt.Sprint(e.Ticket))
	}
	appendField(&b, "service", string(e.Service))
	if e.Shard != nil {
		appendField(&b, "shard", fmt.Sprint(*e.Shard))
	}
	if e.Attempt != 0 {
		appendField(&b, "attempt", fmt.Sprint(e.Attempt))
	}
	appendField(&b, "searcher", string(e.Searcher))
	appendField(&b, "claim", string(e.Claim))
	appendField(&b, "peer", e.Peer)
	appendField(&b, "detail", e.Detail)
	return b.String()
}

func appendField(b *strings.Builder, name, value string) {
	if value != "" {
		fmt.Fprintf(b, " %s=%s", name, value)
	}
}
