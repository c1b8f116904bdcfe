package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/fetch"
)

var (
	errHostMissing    = errors.New("--host is missing: the callers' address of an entry host")
	errServiceMissing = errors.New("--service is missing")
)

type searchCommand struct {
	sub       *flaggy.Subcommand
	host      string
	service   string
	query     string
	requestID string
	deadline  float64
	minTicket uint64
	json      bool
}

// searchReply is the reply to a search: an answer, or an error.
type searchReply struct {
	yuccahinge.SearchAnswer
	Error *replyError `json:"error,omitempty"`
}

// replyError is the error in a reply.
type replyError struct {
	Code    yuccahinge.Code `json:"code"`
	Message string          `json:"message"`
	Step    yuccahinge.Step `json:"step"`
	Peer    string          `json:"peer"`
}

// String returns the error as text.
func (e *replyError) String() string {
	if e.Peer != "" {
		return fmt.Sprintf("%s (%s at step %s, peer %s)", e.Message, e.Code, e.Step, e.Peer)
	}
	return fmt.Sprintf("%s (%s at step %s)", e.Message, e.Code, e.Step)
}

func (c *searchCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("search")
	c.sub.Description = "send a search to an entry host"
	c.sub.String(&c.host, "", "host", "callers' address of an entry host")
	c.sub.String(&c.service, "", "service", "service to search")
	c.sub.String(&c.query, "", "query", "query as JSON; other text is sent as a JSON string")
	c.sub.String(&c.requestID, "", "requestId", "id of the request in the timeline")
	c.sub.Float64(&c.deadline, "", "deadlineMs", "deadline in ms; 0 selects the deadline of the service")
	c.sub.UInt64(&c.minTicket, "", "minTicket", "lowest ticket number to accept")
	c.sub.Bool(&c.json, "", "json", "print JSON")
	p.AttachSubcommand(c.sub, 1)
}

func (c *searchCommand) used() bool { return c.sub.Used }

func (c *searchCommand) run(ctx context.Context) int {
	if err := requireHostAndService(c.host, c.service); err != nil {
		return fail(exitUsage, err)
	}
	body, err := json.Marshal(yuccahinge.SearchRequest{
		Query:      asJSON(c.query),
		DeadlineMs: yuccahinge.Millis(c.deadline),
		MinTicket:  yuccahinge.TicketNumber(c.minTicket),
	})
	if err != nil {
		return fail(exitUsage, err)
	}
	client := fetch.Client{Header: requestHeader(c.requestID)}
	var reply searchReply
	if _, err := client.Post(ctx, "http://"+c.host+"/v1/search/"+c.service, body, &reply); err != nil {
		return fail(exitFailed, err)
	}
	return c.print(&reply)
}

func (c *searchCommand) print(r *searchReply) int {
	switch {
	case c.json && r.Error != nil:
		printJSON(struct {
			Error     *replyError          `json:"error"`
			RequestID yuccahinge.RequestID `json:"requestId"`
			Outcome   yuccahinge.Outcome   `json:"outcome"`
		}{r.Error, r.RequestID, r.Outcome})
	case c.json:
		printJSON(r.SearchAnswer)
	case r.Error != nil:
		fmt.Printf("%s: %s\n", r.Outcome, r.Error)
	default:
		printAnswer(&r.SearchAnswer)
	}
	return exitCode(r.Outcome)
}

func printAnswer(a *yuccahinge.SearchAnswer) {
	covered := a.Coverage.Total - len(a.Coverage.Lacking)
	fmt.Printf("%s: %d hits, coverage %d/%d, ticket %d, index version %d, request %s\n",
		a.Outcome, len(a.Hits), covered, a.Coverage.Total, a.Ticket, a.IndexVersion, a.RequestID)
	for _, l := range a.Coverage.Lacking {
		fmt.Printf("  lacking shard %d: %s\n", l.Shard, l.Reason)
	}
}

func exitCode(o yuccahinge.Outcome) int {
	switch o {
	case yuccahinge.Complete, yuccahinge.Partial, yuccahinge.Ran:
		return exitDone
	case yuccahinge.NotRun:
		return exitFailed
	default:
		return exitUnknown
	}
}

func requireHostAndService(host, service string) error {
	if host == "" {
		return errHostMissing
	}
	if service == "" {
		return errServiceMissing
	}
	return nil
}

func requestHeader(id string) http.Header {
	h := http.Header{}
	if id != "" {
		h.Set("Request-Id", id)
	}
	return h
}

// asJSON returns text unchanged if it is valid JSON, and encodes it as a JSON string otherwise.
func asJSON(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, _ := json.Marshal(text) // Marshal does not fail for a string.
	return quoted
}
