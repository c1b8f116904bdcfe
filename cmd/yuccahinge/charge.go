package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/fetch"
)

var errKeyMissing = errors.New("--key is missing: the business key, such as an invoice number")

type chargeCommand struct {
	sub       *flaggy.Subcommand
	host      string
	service   string
	key       string
	body      string
	claim     string
	requestID string
	json      bool
}

// chargeReply is the reply to a charge: an outcome, or an error.
type chargeReply struct {
	yuccahinge.ChargeAnswer
	Error *replyError `json:"error,omitempty"`
}

func (c *chargeCommand) attach(p *flaggy.Parser) {
	c.sub = flaggy.NewSubcommand("charge")
	c.sub.Description = "obtain a claim and run a charge under it, at most once"
	c.sub.String(&c.host, "", "host", "callers' address of an entry host")
	c.sub.String(&c.service, "", "service", "service to charge")
	c.sub.String(&c.key, "", "key", "business key, such as an invoice number")
	c.sub.String(&c.body, "", "body", "body as JSON; empty sends only the key")
	c.sub.String(&c.claim, "", "claim", "claim of an earlier attempt; empty obtains a new one")
	c.sub.String(&c.requestID, "", "requestId", "id of the request in the timeline")
	c.sub.Bool(&c.json, "", "json", "print JSON")
	p.AttachSubcommand(c.sub, 1)
}

func (c *chargeCommand) used() bool { return c.sub.Used }

func (c *chargeCommand) run(ctx context.Context) int {
	if err := requireHostAndService(c.host, c.service); err != nil {
		return fail(exitUsage, err)
	}
	if c.key == "" {
		return fail(exitUsage, errKeyMissing)
	}
	if err := c.obtainClaim(ctx); err != nil {
		return fail(exitFailed, err)
	}
	client := fetch.Client{Header: requestHeader(c.requestID)}
	client.Header.Set("Claim", c.claim)
	var reply chargeReply
	if _, err := client.Post(ctx, "http://"+c.host+"/v1/charge/"+c.service, c.requestBody(), &reply); err != nil {
		// The charge may have run. A lookup of the claim returns its outcome.
		fmt.Println("unknown: the charge may have run; look up the outcome of claim", c.claim)
		return fail(exitUnknown, err)
	}
	return c.print(&reply)
}

// obtainClaim sets c.claim, unless a claim was given on the command line.
func (c *chargeCommand) obtainClaim(ctx context.Context) error {
	if c.claim != "" {
		return nil
	}
	body, err := json.Marshal(yuccahinge.ClaimRequest{Service: yuccahinge.ServiceName(c.service), Key: c.key})
	if err != nil {
		return err
	}
	var grant struct {
		yuccahinge.ClaimGrant
		Error *replyError `json:"error"`
	}
	var client fetch.Client
	if _, err := client.Post(ctx, "http://"+c.host+"/v1/claims", body, &grant); err != nil {
		return err
	}
	if grant.Error != nil {
		return fmt.Errorf("host did not grant a claim: %s", grant.Error.Message)
	}
	c.claim = string(grant.Claim)
	return nil
}

func (c *chargeCommand) requestBody() []byte {
	if c.body != "" {
		return asJSON(c.body)
	}
	body, _ := json.Marshal(struct {
		Key string `json:"key"`
	}{c.key}) // Marshal does not fail for a string.
	return body
}

func (c *chargeCommand) print(r *chargeReply) int {
	switch {
	case c.json && r.Error != nil:
		printJSON(r)
	case c.json:
		printJSON(r.ChargeAnswer)
	case r.Error != nil:
		fmt.Printf("%s: %s\n", r.Outcome, r.Error)
	default:
		fmt.Printf("%s: claim %s %s %s\n", r.Outcome, r.Claim, r.Reason, r.Reply)
	}
	return exitCode(r.Outcome)
}
