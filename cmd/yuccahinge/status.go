package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge/internal/view/poll"
)

type statusCommand struct {
	sub     *flaggy.Subcommand
	targets targets
	json    bool
}

func (c *statusCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("status")
	c.sub.Description = "show the status of all entry hosts"
	c.targets.attach(c.sub)
	c.sub.Bool(&c.json, "", "json", "print JSON")
	p.AttachSubcommand(c.sub, 1)
}

func (c *statusCommand) used() bool { return c.sub.Used }

func (c *statusCommand) run(ctx context.Context) int {
	if err := c.targets.check(); err != nil {
		return fail(exitUsage, err)
	}
	fleet := poll.Fleet{Members: c.targets.members}
	hosts, err := fleet.Status(ctx)
	if err != nil {
		return fail(exitFailed, err)
	}
	if c.json {
		printJSON(hosts)
	}
	code := exitDone
	for _, h := range hosts {
		if h.Status == nil {
			code = exitUnknown
		}
		if !c.json {
			printHostStatus(h)
		}
	}
	return code
}

func printHostStatus(h poll.HostResult) {
	if h.Status == nil {
		fmt.Printf("%-22s unknown: %s\n", h.Addr, h.Error)
		return
	}
	s := h.Status
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	if len(s.Evacuated) > 0 {
		ready += fmt.Sprintf(", evacuated %s", s.Evacuated)
	}
	fmt.Printf("%-22s %-10s %-10s ticket %d (%.12s, %.0f ms old), %d in flight, %d members, %s\n",
		h.Addr, s.Host, s.Domain, s.Ticket, s.Digest, float64(s.StateAgeMs), s.InFlight, len(s.Members), ready)
}
