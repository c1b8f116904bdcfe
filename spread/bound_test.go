package spread

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// fleets are numbers of hosts with the bounds that deployments of their size have.
var fleets = []struct {
	domains, each int
	bound         yuccahinge.Millis
}{{3, 3, 3000}, {3, 20, 5000}, {4, 24, 5000}, {5, 39, 6000}}

// eachFleet runs a test with a fleet of each size that has been running for a while and has a first ticket in force.
func eachFleet(t *testing.T, seeds uint64, f func(t *testing.T, s *sim)) {
	for _, fleet := range fleets {
		t.Run(fmt.Sprintf("%d hosts, %.0f ms", fleet.domains*fleet.each, fleet.bound), func(t *testing.T) {
			for seed := range seeds {
				s := newSim(t, fleet.domains, fleet.each, seed)
				s.bound = fleet.bound
				for i := range s.hosts {
					s.restart(i)
				}
				s.publish(false)
				s.run(fleet.bound + 5*yuccahinge.Second)
				s.mustReach(1, "at rest")
				f(t, s)
			}
		})
	}
}

// elected returns the hosts that are elected to read the platform.
func (s *sim) elected() map[int]bool {
	out := make(map[int]bool)
	for i, h := range s.hosts {
		if h.node.IsElected() {
			out[i] = true
		}
	}
	return out
}

// readNow makes every elected host read at once, as long polls do that return with the same change.
func (s *sim) readNow() {
	for i := range s.elected() {
		s.read(i, s.hosts[i])
	}
}

// TestTicketIsInForceInTimeWithoutElectedReaders guards against a ticket that comes too late where all elected readers lose the
// platform right after a ticket and just before the next one: the others must read it in time, however long they could rely on the
// elected ones before.
func TestTicketIsInForceInTimeWithoutElectedReaders(t *testing.T) {
	eachFleet(t, 5, func(_ *testing.T, s *sim) {
		s.publish(false)
		s.readNow()
		s.noPlatform = s.elected()
		s.publish(false)
		s.run(s.bound)
		s.mustReach(3, "without elected readers")
	})
}

// TestTicketIsInForceInTimeWithoutOtherHosts guards against a ticket that comes too late at hosts that reach the platform, but no other
// host: they must read it themselves in time.
func TestTicketIsInForceInTimeWithoutOtherHosts(t *testing.T) {
	eachFleet(t, 5, func(_ *testing.T, s *sim) {
		s.publish(false)
		s.readNow()
		s.run(200)
		s.cut = func(int, int) bool { return true }
		s.publish(false)
		s.run(s.bound)
		s.mustReach(3, "without other hosts")
	})
}

// TestLateReportsOfReadsDoNotDelayATicket guards against reads that seem newer than they are because the messages that report them
// are on their way for long.
func TestLateReportsOfReadsDoNotDelayATicket(t *testing.T) {
	eachFleet(t, 3, func(_ *testing.T, s *sim) {
		s.publish(false)
		s.readNow()
		s.noPlatform = s.elected()
		s.maxDelay = 2000
		s.publish(false)
		s.run(s.bound)
		for i, h := range s.hosts {
			if n := h.node.Number(); n < 3 && !s.noPlatform[i] {
				s.t.Fatalf("at %v %s has ticket %d, want 3", s.now, s.members[i].ID, n)
			}
		}
	})
}

// TestOnlyElectedHostsReadAtRest guards against reads that nothing calls for: while the elected hosts read, the others know of it in
// time, also after a ticket, which makes all long polls begin anew at the same moment.
func TestOnlyElectedHostsReadAtRest(t *testing.T) {
	eachFleet(t, 3, func(t *testing.T, s *sim) {
		s.reads = 0
		for range 3 {
			s.publish(false)
			s.readNow()
			s.run(4 * s.bound)
		}
		if s.reads > 0 {
			t.Errorf("%d reads by hosts that aren't elected, want none", s.reads)
		}
	})
}

// TestSubstitutesReadInPlaceOfAll guards against a load on the platform that grows with the number of hosts where all elected readers
// lose it: a few others must read in their place.
func TestSubstitutesReadInPlaceOfAll(t *testing.T) {
	eachFleet(t, 3, func(t *testing.T, s *sim) {
		s.noPlatform = s.elected()
		s.reads = 0
		span := 4 * s.bound
		s.run(span)
		node := s.hosts[0].node
		most := int(span/node.WatchWait()) * substitutesPerDomain * len(node.domains())
		if s.reads > most {
			t.Errorf("%d reads in %.0f ms by hosts that aren't elected, at most %d wanted", s.reads, span, most)
		}
	})
}

// TestLargeTicketIsSentOnceToEachHost guards against a large ticket that all hosts which have it send to the same hosts at the same time:
// the copies fill the links, so that hosts lose each other and the ticket is late.
func TestLargeTicketIsSentOnceToEachHost(t *testing.T) {
	eachFleet(t, 3, func(t *testing.T, s *sim) {
		s.isLarge, s.transferMs, s.transfers = true, 300, 0
		s.publish(false)
		s.readNow()
		s.run(s.bound)
		s.mustReach(2, "a large ticket")
		if most := len(s.hosts) * 3 / 2; s.transfers > most {
			t.Errorf("%d transfers to %d hosts, at most %d wanted", s.transfers, len(s.hosts), most)
		}
	})
}
