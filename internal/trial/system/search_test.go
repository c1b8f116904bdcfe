package system

import (
	"syscall"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
)

// publishEverywhere publishes the services as the next ticket and waits until every host has put it in force.
func (s *system) publishEverywhere() {
	s.t.Helper()
	s.publish()
	s.waitForTicket(s.hosts, s.ticket)
}

func (s *system) waitForTicket(hosts []*host, n yuccahinge.TicketNumber) {
	s.t.Helper()
	for _, h := range hosts {
		eventually(s.t, h.member.ID+" has the ticket in force", func() bool {
			return h.search(s.t.Context(), client).Ticket >= n
		})
	}
}

// mustCover fails the test unless a search was answered from all shards.
func mustCover(t *testing.T, r reply) {
	t.Helper()
	if r.Err != nil || r.Outcome != yuccahinge.Complete || r.Coverage.Total != shardCount || len(r.Coverage.Lacking) > 0 {
		t.Fatalf("reply is %+v, want all shards covered", r)
	}
}

func TestResumedHostAnswersFromNewestTicket(t *testing.T) {
	s := newSystem(t, 4)
	stopped := s.hosts[1]
	began := time.Now()
	stopped.signal(t, syscall.SIGSTOP)
	s.services[dispatch].MaxHits = 5
	s.publish()
	s.waitForTicket(s.others(stopped), s.ticket)
	eventually(t, "the host has been stopped for longer than pauseLimit", func() bool { return time.Since(began) > pauseLimit })
	stopped.signal(t, syscall.SIGCONT)
	r := stopped.search(t.Context(), client)
	mustCover(t, r)
	if r.Ticket < s.ticket {
		t.Errorf("the resumed host answers from ticket %d, want %d", r.Ticket, s.ticket)
	}
}

func TestHostStartsWhilePlatformIsDown(t *testing.T) {
	for name, fault := range map[string]any{
		"refusing": map[string]any{"down": true},
		"silent":   map[string]any{"cut": true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 4)
			s.publishEverywhere()
			mustSend(t, "POST", "http://"+s.platformControl+"/control", fault, nil)
			restarted := s.hosts[2]
			restarted.kill()
			for _, h := range []*host{restarted, s.addHost(4)} {
				s.restart(h)
				r := h.search(t.Context(), client)
				mustCover(t, r)
				if r.Ticket != s.ticket {
					t.Errorf("the new host answers from ticket %d, want %d", r.Ticket, s.ticket)
				}
				key := "key of " + h.member.ID
				claim, _ := s.mustClaim(h, key)
				mustOutcome(t, h.charge(t.Context(), claim, key), yuccahinge.Ran)
				s.mustRun(key, 1)
			}
		})
	}
}
