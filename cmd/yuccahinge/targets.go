package main

import (
	"context"
	"errors"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/fetch"
)

var errTargetsMissing = errors.New("name the hosts with --hosts or the membership list with --platform")

// targets names the operators' addresses that a command asks.
type targets struct {
	hosts    string
	platform string
}

func (t *targets) attach(s *flaggy.Subcommand) {
	s.String(&t.hosts, "", "hosts", "operators' addresses of entry hosts, separated by commas")
	s.String(&t.platform, "", "platform", "base URL of the platform, whose membership list names the hosts")
}

func (t *targets) resolve(ctx context.Context) ([]string, error) {
	if t.hosts != "" {
		return strings.Split(t.hosts, ","), nil
	}
	if t.platform == "" {
		return nil, errTargetsMissing
	}
	var list struct {
		Members []yuccahinge.Member `json:"members"`
	}
	var client fetch.Client
	if _, err := client.Get(ctx, t.platform+"/v1/members", &list); err != nil {
		return nil, err
	}
	var out []string
	for _, m := range list.Members {
		if m.Role == yuccahinge.RoleEntry && m.AdminAddr != "" {
			out = append(out, m.AdminAddr)
		}
	}
	return out, nil
}
