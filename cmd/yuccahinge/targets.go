package main

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/fetch"
)

var errTargetsMissing = errors.New("hosts are missing: use --hosts ADDRESSES, or --platform URL for all hosts of the membership list")

// targets selects the entry hosts that a command sends its requests to.
type targets struct {
	hosts    string
	platform string
}

func (t *targets) attach(s *flaggy.Subcommand) {
	s.String(&t.hosts, "", "hosts", "operators' addresses of entry hosts, separated by commas")
	s.String(&t.platform, "", "platform", "base URL of the platform whose membership list contains the hosts")
}

func (t *targets) check() error {
	if t.hosts == "" && t.platform == "" {
		return errTargetsMissing
	}
	return nil
}

// members returns the selected entry hosts. Hosts that were selected by address have no ID until they reply.
func (t *targets) members(ctx context.Context) ([]yuccahinge.Member, error) {
	if t.hosts != "" {
		return t.membersByAddr(), nil
	}
	var list struct {
		Members []yuccahinge.Member `json:"members"`
	}
	var client fetch.Client
	if _, err := client.Get(ctx, t.platform+"/v1/members", &list); err != nil {
		return nil, err
	}
	return slices.DeleteFunc(list.Members, func(m yuccahinge.Member) bool {
		return m.Role != yuccahinge.RoleEntry || m.AdminAddr == ""
	}), nil
}

func (t *targets) membersByAddr() []yuccahinge.Member {
	var out []yuccahinge.Member
	for addr := range strings.SplitSeq(t.hosts, ",") {
		out = append(out, yuccahinge.Member{Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive, AdminAddr: addr})
	}
	return out
}
