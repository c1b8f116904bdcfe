package roster

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
)

// simHost is a simulated host.
type simHost struct {
	roster  *Roster
	running bool
	starts  int
	// leaving holds the last incarnation of each host that this one has seen leaving.
	leaving map[string]yuccahinge.Incarnation
}

// sim exchanges rows between hosts as the running system does, with a platform list that is outdated or wrong.
type sim struct {
	t     *rapid.T
	now   yuccahinge.Millis
	hosts []*simHost
	cut   int
	list  []yuccahinge.Member
}

func (s *sim) member(i int) yuccahinge.Member {
	m := member(fmt.Sprint("h", i), yuccahinge.Incarnation(fmt.Sprint(i, "/", s.hosts[i].starts)))
	m.Domain = yuccahinge.DomainID(fmt.Sprint("d", i%2))
	return m
}

func (s *sim) start(i int) {
	h := s.hosts[i]
	h.starts++
	h.running = true
	h.leaving = map[string]yuccahinge.Incarnation{}
	h.roster = &Roster{Self: s.member(i), Seed: uint64(i)}
	h.roster.MergeList(s.now, s.list)
}

func (s *sim) index(id string) int {
	for i := range s.hosts {
		if id == fmt.Sprint("h", i) {
			return i
		}
	}
	return -1
}

// exchange simulates one call from i to j: each sends its own row and a delta, and differing sums are compared.
func (s *sim) exchange(i, j int) {
	a, b := s.hosts[i].roster, s.hosts[j].roster
	ida, idb := yuccahinge.HostID(a.Self.ID), yuccahinge.HostID(b.Self.ID)
	if !s.hosts[j].running || (s.cut >= 0 && (i%2 == s.cut) != (j%2 == s.cut)) {
		a.RecordFailure(s.now, idb)
		return
	}
	own, rows := a.OwnRow(s.now), a.Delta(idb, 16)
	b.MergeDirect(s.now, own)
	b.Merge(s.now, rows)
	own, rows = b.OwnRow(s.now), b.Delta(ida, 16)
	a.MergeDirect(s.now, own)
	a.Merge(s.now, rows)
	if a.Checksum() != b.Checksum() {
		a.Merge(s.now, b.DiffRows(a.BucketSums()))
		b.Merge(s.now, a.DiffRows(b.BucketSums()))
	}
	if m, ok := a.Find(idb); !ok || !isAlive(m.Status) {
		s.t.Fatalf("at %v %s has %s, which just answered, as %s", s.now, ida, idb, m.Status)
	}
}

func (s *sim) run(seconds int) {
	for range seconds {
		s.now += yuccahinge.Second
		for i, h := range s.hosts {
			if !h.running {
				continue
			}
			h.roster.Tick(s.now)
			for _, m := range h.roster.PickPeers(s.now) {
				s.exchange(i, s.index(m.ID))
			}
			s.check(h)
		}
	}
}

// check asserts at every step that an incarnation seen leaving is never live again.
func (s *sim) check(h *simHost) {
	for _, m := range h.roster.Members() {
		if h.leaving[m.ID] == m.Incarnation && m.Status == yuccahinge.StatusLive {
			s.t.Fatalf("at %v %s has %s live again in an incarnation that was leaving", s.now, h.roster.Self.ID, m.ID)
		}
		if m.Status == yuccahinge.StatusLeaving {
			h.leaving[m.ID] = m.Incarnation
		}
	}
}

// mustAgree asserts that every running host has exactly the running hosts alive, in their current incarnations.
func (s *sim) mustAgree() {
	for _, h := range s.hosts {
		if !h.running {
			continue
		}
		for j, other := range s.hosts {
			m, ok := h.roster.Find(yuccahinge.HostID(fmt.Sprint("h", j)))
			if other.running && (!ok || !isAlive(m.Status) || m.Incarnation != other.roster.Self.Incarnation) {
				s.t.Fatalf("at %v %s has the running h%d with status %q, incarnation %q", s.now, h.roster.Self.ID, j, m.Status, m.Incarnation)
			}
			if !other.running && ok && isAlive(m.Status) {
				s.t.Fatalf("at %v %s has the stopped h%d as %s", s.now, h.roster.Self.ID, j, m.Status)
			}
		}
	}
}

// TestRosterUnderFaults stops, restarts and partitions hosts while the list is wrong. After 40 s without faults all
// running hosts must agree on which hosts run.
func TestRosterUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{t: t, now: 1e6, cut: -1}
		for i := range 6 {
			s.hosts = append(s.hosts, &simHost{})
			s.list = append(s.list, s.member(i))
		}
		for i := range s.hosts {
			s.start(i)
		}
		host := rapid.IntRange(0, len(s.hosts)-1)
		t.Repeat(map[string]func(*rapid.T){
			"run":  func(t *rapid.T) { s.run(rapid.IntRange(1, 15).Draw(t, "seconds")) },
			"stop": func(t *rapid.T) { s.hosts[host.Draw(t, "host")].running = false },
			"start": func(t *rapid.T) {
				if i := host.Draw(t, "host"); !s.hosts[i].running {
					s.start(i)
				}
			},
			"leave": func(t *rapid.T) {
				if h := s.hosts[host.Draw(t, "host")]; h.running {
					h.roster.MarkLeaving(s.now)
				}
			},
			"cut":  func(t *rapid.T) { s.cut = rapid.IntRange(-1, 1).Draw(t, "cut") },
			"list": func(t *rapid.T) { s.sendWrongList(t) },
		})
		s.cut = -1
		s.run(40)
		s.mustAgree()
	})
}

// sendWrongList gives every running host a list in which one row is missing or has another status.
func (s *sim) sendWrongList(t *rapid.T) {
	i := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "row")
	status := rapid.SampledFrom([]yuccahinge.MemberStatus{
		yuccahinge.StatusLive, yuccahinge.StatusDead, yuccahinge.StatusSuspect, "", "odd",
	}).Draw(t, "status")
	list := append([]yuccahinge.Member(nil), s.list...)
	list[i].Status = status
	if status == "" {
		list = append(list[:i], list[i+1:]...)
	}
	for _, h := range s.hosts {
		if h.running {
			h.roster.MergeList(s.now, list)
		}
	}
}
