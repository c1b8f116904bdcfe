package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// publishEverywhere puts the services out as the next ticket and waits until every host has it in force.
func (s *site) publishEverywhere() {
	s.t.Helper()
	s.publish()
	s.waitTicket(s.hosts, s.ticket)
}

func (s *site) waitTicket(hosts []*host, n yuccahinge.TicketNumber) {
	s.t.Helper()
	for _, h := range hosts {
		eventually(s.t, h.member.ID+" has the ticket in force", func() bool {
			return h.search(s.t.Context(), client).Ticket >= n
		})
	}
}

// mustCover checks that a search was answered from all shards.
func mustCover(t *testing.T, r reply) {
	t.Helper()
	if r.Err != nil || r.Outcome != yuccahinge.Complete || r.Coverage.Asked != shards || len(r.Coverage.Lacking) > 0 {
		t.Fatalf("reply is %+v, want all shards covered", r)
	}
}

func TestAHostStoppedBeforeASearchWakesWithTheNewTicket(t *testing.T) {
	s := newSite(t, 4)
	stopped := s.hosts[1]
	began := time.Now()
	stopped.signal(t, syscall.SIGSTOP)
	s.services[dispatch].MaxHits = 5
	s.publish()
	s.waitTicket(s.others(stopped), s.ticket)
	eventually(t, "the stop has lasted longer than what counts as a pause", func() bool { return time.Since(began) > pause })
	stopped.signal(t, syscall.SIGCONT)
	r := stopped.search(t.Context(), client)
	mustCover(t, r)
	if r.Ticket < s.ticket {
		t.Errorf("the woken host answers from ticket %d, want %d", r.Ticket, s.ticket)
	}
}

func TestAHostStartsWhileThePlatformIsDown(t *testing.T) {
	for name, fault := range map[string]any{
		"refusing": map[string]any{"down": true},
		"silent":   map[string]any{"cut": true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 4)
			s.publishEverywhere()
			send(t, "POST", "http://"+s.platformControl+"/control", fault, nil)
			again := s.hosts[2]
			again.kill()
			for _, h := range []*host{again, s.addHost(4)} {
				s.restart(h)
				r := h.search(t.Context(), client)
				mustCover(t, r)
				if r.Ticket != s.ticket {
					t.Errorf("the new host answers from ticket %d, want %d", r.Ticket, s.ticket)
				}
				key := "key of " + h.member.ID
				claim, _ := s.mustClaim(h, key)
				mustAnswer(t, h.charge(t.Context(), claim, key), yuccahinge.Ran)
				s.mustRun(key, 1)
			}
		})
	}
}
