package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/fetch"
	"github.com/yuccahinge/yuccahinge/internal/view/poll"
	"github.com/yuccahinge/yuccahinge/ticket"
)

// defaultWaitMs is the default timeout of ticket wait: the time within which a ticket must be in force on all hosts.
const defaultWaitMs = 8000

var errTicketUsage = errors.New("use ticket check FILE or ticket wait N")

type ticketCommand struct {
	sub     *flaggy.Subcommand
	check   *flaggy.Subcommand
	wait    *flaggy.Subcommand
	file    string
	host    string
	number  string
	timeout float64
	targets targets
	json    bool
}

// checkResult is the output of ticket check.
type checkResult struct {
	Number yuccahinge.TicketNumber `json:"number"`
	// InForce is the ticket number in force on the host, and Digest the digest of the state after the checked ticket.
	InForce yuccahinge.TicketNumber `json:"inForce,omitempty"`
	Digest  yuccahinge.Digest       `json:"digest,omitempty"`
}

func (c *ticketCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("ticket")
	c.sub.Description = "check a ticket before it is published, or wait until it is in force"
	c.check = flaggy.NewSubcommand("check")
	c.check.Description = "check a ticket by itself, or against the state in force on a host"
	c.check.AddPositionalValue(&c.file, "file", 1, false, "file with the ticket")
	c.check.String(&c.host, "", "host", "operators' address of an entry host to check against")
	c.check.Bool(&c.json, "", "json", "print JSON")
	c.wait = flaggy.NewSubcommand("wait")
	c.wait.Description = "wait until a ticket is in force on every live entry host"
	c.wait.AddPositionalValue(&c.number, "number", 1, false, "number of the ticket")
	c.wait.Float64(&c.timeout, "", "timeoutMs", "timeout in ms")
	c.wait.Bool(&c.json, "", "json", "print JSON")
	c.targets.attach(c.wait)
	c.timeout = defaultWaitMs
	c.sub.AttachSubcommand(c.check, 1)
	c.sub.AttachSubcommand(c.wait, 1)
	p.AttachSubcommand(c.sub, 1)
}

func (c *ticketCommand) used() bool { return c.sub.Used }

func (c *ticketCommand) run(ctx context.Context) int {
	switch {
	case c.check.Used && c.file != "":
		return c.runCheck(ctx)
	case c.wait.Used && c.number != "":
		return c.runWait(ctx)
	}
	return fail(exitUsage, errTicketUsage)
}

func (c *ticketCommand) runCheck(ctx context.Context) int {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return fail(exitUsage, err)
	}
	t, err := ticket.Decode(data)
	if err == nil {
		err = ticket.Check(t)
	}
	if err != nil {
		return fail(exitFailed, err)
	}
	res := checkResult{Number: t.Number}
	if c.host != "" {
		if res, err = c.checkAgainstHost(ctx, t); err != nil {
			return fail(exitFailed, err)
		}
	}
	if c.json {
		return printJSON(res)
	}
	fmt.Printf("ticket %d is valid\n", t.Number)
	return exitDone
}

// checkAgainstHost applies the ticket to a copy of the state in force on the host.
func (c *ticketCommand) checkAgainstHost(ctx context.Context, t *yuccahinge.Ticket) (checkResult, error) {
	var state yuccahinge.State
	var client fetch.Client
	status, err := client.Get(ctx, "http://"+c.host+"/v1/state", &state)
	if err != nil {
		return checkResult{}, err
	}
	if status != 200 {
		return checkResult{}, fmt.Errorf("host %s replied with status %d to the request for its state", c.host, status)
	}
	next, err := ticket.Apply(&state, t)
	if err != nil {
		return checkResult{}, err
	}
	return checkResult{Number: t.Number, InForce: state.Ticket, Digest: next.Digest}, nil
}

func (c *ticketCommand) runWait(ctx context.Context) int {
	n, err := strconv.ParseUint(c.number, 10, 64)
	if err != nil || n == 0 {
		return fail(exitUsage, fmt.Errorf("ticket number %q is not a positive whole number", c.number))
	}
	if err := c.targets.check(); err != nil {
		return fail(exitUsage, err)
	}
	fleet := poll.Fleet{Members: c.targets.members}
	r, err := fleet.Wait(ctx, yuccahinge.TicketNumber(n), yuccahinge.Millis(c.timeout))
	if err != nil {
		return fail(exitUnknown, err)
	}
	if c.json {
		printJSON(r)
	} else {
		r.Print(os.Stdout)
	}
	switch r.Status {
	case poll.InForce:
		return exitDone
	case poll.Unknown:
		return exitUnknown
	}
	return exitFailed
}
