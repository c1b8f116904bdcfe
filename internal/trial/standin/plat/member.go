package plat

import (
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// Members is the membership list, as readers get it and as operators put it.
type Members struct {
	Members []yuccahinge.Member `json:"members"`
	// LagMs delays this change for readers.
	LagMs yuccahinge.Millis `json:"lagMs,omitempty"`
}

// memberList is a membership list and the time from which readers see it.
type memberList struct {
	visible time.Time
	members []yuccahinge.Member
}

// PutMembers replaces the membership list.
func (p *Platform) PutMembers(m Members) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := max(m.LagMs, p.faults.MemberLagMs)
	visible := time.Now().Add(lag.Duration())
	p.lists = append(p.lists, memberList{visible: visible, members: m.Members})
}

// members returns the newest list that is visible.
func (p *Platform) members(now time.Time) []yuccahinge.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := -1
	for i, l := range p.lists {
		if !l.visible.After(now) {
			newest = i
		}
	}
	if newest < 0 {
		return []yuccahinge.Member{}
	}
	p.lists = p.lists[newest:]
	return p.lists[0].members
}
