package cfgsvc

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// Members is the membership list, both the body of PUT /members and the answer of GET /v1/members.
type Members struct {
	Members []yuccahinge.Member `json:"members"`
	// LagMs is the delay until hosts that read the list get this change, if it is longer than Faults.MemberLagMs.
	LagMs yuccahinge.Millis `json:"lagMs,omitempty"`
}

// memberList is a membership list and the time from which it is served to hosts.
type memberList struct {
	visibleFrom time.Time
	members     []yuccahinge.Member
}

// PutMembers replaces the membership list; hosts get the change after its delay (LagMs or Faults.MemberLagMs).
func (p *Platform) PutMembers(m Members) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := max(m.LagMs, p.faults.MemberLagMs)
	visibleFrom := time.Now().Add(lag.Duration())
	p.memberLists = append(p.memberLists, memberList{visibleFrom: visibleFrom, members: m.Members})
}

// visibleMembers returns the newest membership list whose delay has passed.
func (p *Platform) visibleMembers(now time.Time) []yuccahinge.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := -1
	for i, list := range p.memberLists {
		if !list.visibleFrom.After(now) {
			newest = i
		}
	}
	if newest < 0 {
		return []yuccahinge.Member{}
	}
	p.memberLists = p.memberLists[newest:]
	return p.memberLists[0].members
}
