package roster

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahinge/yuccahinge"
)

// simHost is a host of the simulation and what it has seen of leaving.
type simHost struct {
	roster *Roster
	up     bool
	life   int
	// leaving holds the lives of each host that this one has seen leave.
	leaving map[string]yuccahinge.Incarnation
}

// sim exchanges rows between hosts as the shell does, with the platform's list lagging and lying.
type sim struct {
	t     *rapid.T
	now   yuccahinge.Millis
	hosts []*simHost
	cut   int
	list  []yuccahinge.Member
}

func (s *sim) member(i int) yuccahinge.Member {
	m := member(fmt.Sprint("h", i), yuccahinge.Incarnation(fmt.Sprint(i, "/", s.hosts[i].life)))
	m.Domain = yuccahinge.DomainID(fmt.Sprint("d", i%2))
	return m
}

func (s *sim) start(i int) {
	h := s.hosts[i]
	h.life++
	h.up = true
	h.leaving = map[string]yuccahinge.Incarnation{}
	h.roster = &Roster{Self: s.member(i), Seed: uint64(i)}
	h.roster.Listed(s.now, s.list)
}

func (s *sim) index(id string) int {
	for i := range s.hosts {
		if id == fmt.Sprint("h", i) {
			return i
		}
	}
	return -1
}

// exchange is one call from i to j, as the keeper makes it.
func (s *sim) exchange(i, j int) {
	a, b := s.hosts[i].roster, s.hosts[j].roster
	ida, idb := yuccahinge.HostID(a.Self.ID), yuccahinge.HostID(b.Self.ID)
	if !s.hosts[j].up || (s.cut >= 0 && (i%2 == s.cut) != (j%2 == s.cut)) {
		a.Failed(s.now, idb)
		return
	}
	own, rows := a.Own(s.now), a.Delta(idb, 16)
	b.Heard(s.now, own)
	b.Merge(s.now, rows)
	own, rows = b.Own(s.now), b.Delta(ida, 16)
	a.Heard(s.now, own)
	a.Merge(s.now, rows)
	if a.Sum() != b.Sum() {
		a.Merge(s.now, b.Rows(a.Sums()))
		b.Merge(s.now, a.Rows(b.Sums()))
	}
	if m, ok := a.Find(idb); !ok || !alive(m.Status) {
		s.t.Fatalf("at %v %s holds %s, which just answered, for %s", s.now, ida, idb, m.Status)
	}
}

func (s *sim) run(seconds int) {
	for range seconds {
		s.now += yuccahinge.Second
		for i, h := range s.hosts {
			if !h.up {
				continue
			}
			h.roster.Tick(s.now)
			for _, m := range h.roster.Next(s.now) {
				s.exchange(i, s.index(m.ID))
			}
			s.check(h)
		}
	}
}

// check holds at every step: leaving is never taken back within a life.
func (s *sim) check(h *simHost) {
	for _, m := range h.roster.Members() {
		if h.leaving[m.ID] == m.Incarnation && m.Status == yuccahinge.StatusLive {
			s.t.Fatalf("at %v %s sees %s live again in a life that was leaving", s.now, h.roster.Self.ID, m.ID)
		}
		if m.Status == yuccahinge.StatusLeaving {
			h.leaving[m.ID] = m.Incarnation
		}
	}
}

// mustAgree asks that every host that runs sees exactly the hosts that run, in their present lives.
func (s *sim) mustAgree() {
	for _, h := range s.hosts {
		if !h.up {
			continue
		}
		for j, other := range s.hosts {
			m, ok := h.roster.Find(yuccahinge.HostID(fmt.Sprint("h", j)))
			if other.up && (!ok || !alive(m.Status) || m.Incarnation != other.roster.Self.Incarnation) {
				s.t.Fatalf("at %v %s sees the running h%d as %q %q", s.now, h.roster.Self.ID, j, m.Status, m.Incarnation)
			}
			if !other.up && ok && alive(m.Status) {
				s.t.Fatalf("at %v %s sees the stopped h%d as %s", s.now, h.roster.Self.ID, j, m.Status)
			}
		}
	}
}

// TestRosterUnderFaults stops, restarts and cuts off hosts while the list lies, then asks that all hosts
// that run agree on who runs.
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
			"stop": func(t *rapid.T) { s.hosts[host.Draw(t, "host")].up = false },
			"start": func(t *rapid.T) {
				if i := host.Draw(t, "host"); !s.hosts[i].up {
					s.start(i)
				}
			},
			"leave": func(t *rapid.T) {
				if h := s.hosts[host.Draw(t, "host")]; h.up {
					h.roster.Leave(s.now)
				}
			},
			"cut":  func(t *rapid.T) { s.cut = rapid.IntRange(-1, 1).Draw(t, "cut") },
			"list": func(t *rapid.T) { s.lie(t) },
		})
		s.cut = -1
		s.run(40)
		s.mustAgree()
	})
}

// lie shows every host a list in which one row is missing or has another status.
func (s *sim) lie(t *rapid.T) {
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
		if h.up {
			h.roster.Listed(s.now, list)
		}
	}
}
