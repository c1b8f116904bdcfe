package coord

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func host(id string, domain yuccahinge.DomainID, cores, mbps float64) yuccahinge.Member {
	return yuccahinge.Member{ID: id, Domain: domain, Status: yuccahinge.StatusLive, Cores: cores, LinkMbps: mbps}
}

// fleet returns a failure domain with two strong hosts and many weak ones, and two strong hosts in another domain.
func fleet() []yuccahinge.Member {
	out := []yuccahinge.Member{
		host("big1", "a", 0.8, 140), host("big2", "a", 0.8, 140),
		host("far1", "b", 0.8, 140), host("far2", "b", 0.8, 140),
	}
	for i := range 19 {
		out = append(out, host(fmt.Sprint("small", i), "a", 0.192, 17.5))
	}
	return out
}

func TestWeakHostsForwardWideRequestsWithinTheirDomain(t *testing.T) {
	s := Selector{Self: host("small3", "a", 0.192, 17.5)}
	used := map[string]int{}
	for i := range 1000 {
		m, ok := s.Choose(0, fleet(), 90, fmt.Sprint(i))
		if !ok {
			t.Fatal("a weak host runs a request over 90 shards itself")
		}
		used[m.ID]++
	}
	if len(used) != 2 || used["big1"] < 400 || used["big2"] < 400 {
		t.Fatalf("requests by host: %v, want at least 400 at each of big1 and big2 only", used)
	}
	if m, ok := s.Choose(0, fleet(), 1, "k"); ok {
		t.Fatalf("a request over one shard is forwarded to %s", m.ID)
	}
}

func TestStrongAndEqualHostsDoNotForward(t *testing.T) {
	for _, self := range []yuccahinge.Member{host("big1", "a", 0.8, 140), host("x", "c", 0.192, 17.5), host("even", "a", 0, 0)} {
		s := Selector{Self: self}
		if m, ok := s.Choose(0, fleet(), 90, "k"); ok {
			t.Errorf("%s forwards a request to %s", self.ID, m.ID)
		}
	}
}

func TestFailedHostsAreNotChosen(t *testing.T) {
	s := Selector{Self: host("small3", "a", 0.192, 17.5)}
	s.RecordFailure(1000, "big1")
	for i := range 50 {
		if m, ok := s.Choose(1100, fleet(), 90, fmt.Sprint(i)); !ok || m.ID != "big2" {
			t.Fatalf("chose %+v, %t, want big2", m, ok)
		}
	}
	if m, ok := s.Choose(1100, fleet(), 90, "k", "big2"); ok {
		t.Fatalf("chose %s although one strong host failed and the other was tried", m.ID)
	}
	s.RecordAnswer("big1")
	if m, ok := s.Choose(1100, fleet(), 90, "k", "big2"); !ok || m.ID != "big1" {
		t.Fatalf("chose %+v, %t after big1 answered, want big1", m, ok)
	}
	members := fleet()
	members[0].Status, members[1].Status = yuccahinge.StatusSuspect, yuccahinge.StatusLeaving
	if m, ok := s.Choose(9000, members, 90, "k"); ok {
		t.Fatalf("chose %s although no strong host is live", m.ID)
	}
}

func TestStrongHostsAreCounted(t *testing.T) {
	for _, c := range []struct {
		self    yuccahinge.Member
		members []yuccahinge.Member
		n       int
		strong  bool
	}{
		{host("big1", "a", 0.8, 140), fleet(), 4, true},
		{host("small3", "a", 0.192, 17.5), fleet(), 4, false},
		{host("e1", "a", 0.4, 1000), []yuccahinge.Member{host("e1", "a", 0.4, 1000), host("e2", "b", 0.4, 1000)}, 2, true},
		{host("alone", "a", 0, 0), nil, 1, true},
	} {
		s := Selector{Self: c.self}
		if n, strong := s.CountStrong(c.members); n != c.n || strong != c.strong {
			t.Errorf("%s: %d strong hosts, this one %t, want %d, %t", c.self.ID, n, strong, c.n, c.strong)
		}
	}
}

// TestSilentFailureDomainIsNotChosen covers a failure domain that is cut off: after one request has timed out at a
// host there, no further request may wait for the other hosts.
func TestSilentFailureDomainIsNotChosen(t *testing.T) {
	s := Selector{Self: host("big1", "a", 0.8, 140)}
	members := fleet()
	for i := range members {
		members[i].PeerAddr = members[i].ID
	}
	remoteHost := func(now yuccahinge.Millis) bool {
		_, ok := s.RemoteHost(now, members, "b", "r")
		return ok
	}
	if !remoteHost(0) {
		t.Fatal("RemoteHost returns no host of a reachable domain")
	}
	s.RecordSilence(1000, "b")
	s.RecordSilence(1001, "b")
	if remoteHost(1100) || !remoteHost(1000+firstBackoffMs) {
		t.Errorf("RemoteHost returns a host during the backoff: %t, after it: %t, want false and true", remoteHost(1100), remoteHost(1000+firstBackoffMs))
	}
	s.RecordSilence(2000, "b")
	if remoteHost(2000 + firstBackoffMs) {
		t.Error("the second backoff is no longer than the first")
	}
	s.RecordReachable("b")
	if !remoteHost(2100) {
		t.Error("RemoteHost returns no host after RecordReachable")
	}
	if m, ok := s.RemoteHost(2100, members, "b", "r"); !ok || m.Domain != "b" || m.Cores < 0.8 {
		t.Errorf("RemoteHost returned %+v, want a strong host of domain b", m)
	}
}
