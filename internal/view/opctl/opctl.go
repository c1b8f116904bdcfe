// Package opctl provides what operators ask of all entry hosts at once.
package opctl

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/fetch"
)

const (
	// pollInterval is the time between two rounds of Wait.
	pollInterval = 200 * time.Millisecond
	// askTimeout bounds one host's answer.
	askTimeout = 2 * yuccahinge.Second
	// asksAtOnce bounds the hosts asked side by side.
	asksAtOnce = 64
)

// Fleet asks entry hosts at their operators' addresses. Set Members before the first use.
type Fleet struct {
	// Members returns the entry hosts to ask.
	Members func(ctx context.Context) ([]yuccahinge.Member, error)

	client fetch.Client
}

// Wait asks every host for the ticket until it is in force everywhere, the hosts disagree, or timeout has
// passed, and returns the last report.
func (f *Fleet) Wait(ctx context.Context, n yuccahinge.TicketNumber, timeout yuccahinge.Millis) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	for {
		r, err := f.Ask(context.WithoutCancel(ctx), n)
		if err == nil && (r.Verdict == InForce || r.Verdict == Conflict) {
			return r, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return r, err
		}
	}
}

// Ask asks every host once for the ticket.
func (f *Fleet) Ask(ctx context.Context, n yuccahinge.TicketNumber) (Report, error) {
	members, err := f.Members(ctx)
	if err != nil {
		return Report{Number: n, Verdict: Unknown}, err
	}
	answers := make([]answer, len(members))
	each(members, func(i int, m yuccahinge.Member) {
		answers[i] = f.confirm(ctx, m, n)
	})
	return judge(n, answers), nil
}

func (f *Fleet) confirm(ctx context.Context, m yuccahinge.Member, n yuccahinge.TicketNumber) answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	var c yuccahinge.Confirmation
	status, err := f.client.Get(ctx, fmt.Sprintf("http://%s/v1/tickets/%d", m.AdminAddr, n), &c)
	if err == nil && (status != 200 || c.Number != n) {
		err = fmt.Errorf("%s answered %d for ticket %d", m.AdminAddr, status, c.Number)
	}
	if err != nil {
		return answer{member: m, err: err}
	}
	if m.ID == "" {
		m.ID = string(c.Host)
		m.Domain = c.Domain
	}
	if m.ID != string(c.Host) {
		return answer{member: m, err: fmt.Errorf("%s is host %s", m.AdminAddr, c.Host)}
	}
	return answer{member: m, said: &c}
}

// HostState is a host's status, or the error that stood in its place.
type HostState struct {
	Addr   string                 `json:"addr"`
	Status *yuccahinge.HostStatus `json:"status,omitempty"`
	Error  string                 `json:"error,omitempty"`
}

// Status asks every host once for its status.
func (f *Fleet) Status(ctx context.Context) ([]HostState, error) {
	members, err := f.Members(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]HostState, len(members))
	each(members, func(i int, m yuccahinge.Member) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		defer cancel()
		var st yuccahinge.HostStatus
		out[i].Addr = m.AdminAddr
		if _, err := f.client.Get(ctx, "http://"+m.AdminAddr+"/v1/status", &st); err != nil {
			out[i].Error = err.Error()
			return
		}
		out[i].Status = &st
	})
	return out, nil
}

// each calls do for every member, some side by side, and returns when all are done.
func each(members []yuccahinge.Member, do func(i int, m yuccahinge.Member)) {
	var g errgroup.Group
	g.SetLimit(asksAtOnce)
	for i, m := range members {
		g.Go(func() error {
			do(i, m)
			return nil
		})
	}
	_ = g.Wait() // The functions report through their results.
}
