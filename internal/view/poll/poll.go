// Package poll queries all entry hosts for the status of a ticket and for their own status.
package poll

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/fetch"
)

const (
	// pollInterval is the pause between two polls of all hosts in Wait.
	pollInterval = 200 * time.Millisecond
	// requestTimeout is the timeout of a request to one host.
	requestTimeout = 2 * yuccahinge.Second
	// maxConcurrent is the maximum number of concurrent requests.
	maxConcurrent = 64
)

// Fleet sends requests to the operators' addresses of all entry hosts. Set Members before the first use.
type Fleet struct {
	// Members returns the entry hosts.
	Members func(ctx context.Context) ([]yuccahinge.Member, error)

	client fetch.Client
}

// Wait polls every host until the ticket is in force on all of them, their digests conflict, or the timeout
// expires, and returns the last report.
func (f *Fleet) Wait(ctx context.Context, n yuccahinge.TicketNumber, timeout yuccahinge.Millis) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	for {
		r, err := f.Poll(context.WithoutCancel(ctx), n)
		if err == nil && (r.Status == InForce || r.Status == Conflict) {
			return r, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return r, err
		}
	}
}

// Poll requests the status of the ticket from every host once.
func (f *Fleet) Poll(ctx context.Context, n yuccahinge.TicketNumber) (Report, error) {
	members, err := f.Members(ctx)
	if err != nil {
		return Report{Number: n, Status: Unknown}, err
	}
	replies := make([]reply, len(members))
	forEach(members, func(i int, m yuccahinge.Member) {
		replies[i] = f.fetchConfirmation(ctx, m, n)
	})
	return buildReport(n, replies), nil
}

func (f *Fleet) fetchConfirmation(ctx context.Context, m yuccahinge.Member, n yuccahinge.TicketNumber) reply {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	var c yuccahinge.Confirmation
	status, err := f.client.Get(ctx, fmt.Sprintf("http://%s/v1/tickets/%d", m.AdminAddr, n), &c)
	if err == nil && (status != 200 || c.Number != n) {
		err = fmt.Errorf("%s replied with status %d and ticket %d", m.AdminAddr, status, c.Number)
	}
	if err != nil {
		return reply{member: m, err: err}
	}
	if m.ID == "" {
		m.ID = string(c.Host)
		m.Domain = c.Domain
	}
	if m.ID != string(c.Host) {
		return reply{member: m, err: fmt.Errorf("%s is the address of another host, %s", m.AdminAddr, c.Host)}
	}
	return reply{member: m, confirmation: &c}
}

// HostResult is a host's status, or the error of the request for it.
type HostResult struct {
	Addr   string                 `json:"addr"`
	Status *yuccahinge.HostStatus `json:"status,omitempty"`
	Error  string                 `json:"error,omitempty"`
}

// Status requests every host's status once. The error of a single host is in its HostResult.
func (f *Fleet) Status(ctx context.Context) ([]HostResult, error) {
	members, err := f.Members(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]HostResult, len(members))
	forEach(members, func(i int, m yuccahinge.Member) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
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

// forEach calls do for every member, up to maxConcurrent at a time, and returns when all calls have returned.
func forEach(members []yuccahinge.Member, do func(i int, m yuccahinge.Member)) {
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for i, m := range members {
		g.Go(func() error {
			do(i, m)
			return nil
		})
	}
	_ = g.Wait() // No function returns an error.
}
