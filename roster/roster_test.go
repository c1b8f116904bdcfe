package roster

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

var _ yuccahinge.Membership = (*Roster)(nil)

func member(id string, incarnation yuccahinge.Incarnation) yuccahinge.Member {
	return yuccahinge.Member{
		ID: id, Domain: "a", Role: yuccahinge.RoleEntry, Status: yuccahinge.StatusLive,
		Incarnation: incarnation, PeerAddr: "127.0.0.1:1",
	}
}

func status(r *Roster, id yuccahinge.HostID) yuccahinge.MemberStatus {
	m, ok := r.Find(id)
	if !ok {
		return yuccahinge.StatusDead
	}
	return m.Status
}

func TestListNeverRemovesHost(t *testing.T) {
	r := &Roster{Self: member("h1", "x")}
	r.MergeDirect(1000, Row{Member: member("h2", "y"), Epoch: 5})
	r.MergeList(2000, nil)
	dead := member("h2", "y")
	dead.Status = yuccahinge.StatusDead
	r.MergeList(3000, []yuccahinge.Member{dead})
	r.Tick(60000)
	if got := status(r, "h2"); got != yuccahinge.StatusLive {
		t.Fatalf("status is %s", got)
	}
}

func TestLeavingIsFinalForIncarnation(t *testing.T) {
	r := &Roster{Self: member("h1", "x")}
	r.MergeDirect(1000, Row{Member: member("h2", "y"), Epoch: 5})
	leaving := member("h2", "y")
	leaving.Status = yuccahinge.StatusLeaving
	r.MergeList(2000, []yuccahinge.Member{leaving})
	r.MergeDirect(3000, Row{Member: member("h2", "y"), Epoch: 9})
	if got := status(r, "h2"); got != yuccahinge.StatusLeaving {
		t.Fatalf("status is %s", got)
	}
	r.MergeDirect(4000, Row{Member: member("h2", "z"), Epoch: 10})
	r.MergeList(5000, []yuccahinge.Member{leaving})
	if got := status(r, "h2"); got != yuccahinge.StatusLive {
		t.Fatalf("status of the next incarnation is %s", got)
	}
}

func TestFailedCallsMakeHostSuspectThenDead(t *testing.T) {
	r := &Roster{Self: member("h1", "x")}
	r.MergeDirect(1000, Row{Member: member("h2", "y"), Epoch: 5})
	r.RecordFailure(2000, "h2")
	if got := status(r, "h2"); got != yuccahinge.StatusLive {
		t.Fatalf("status after one failure is %s", got)
	}
	r.RecordFailure(3000, "h2")
	if got := status(r, "h2"); got != yuccahinge.StatusSuspect {
		t.Fatalf("status after two failures is %s", got)
	}
	r.Tick(3000 + DefaultDeadAfter)
	if got := status(r, "h2"); got != yuccahinge.StatusDead {
		t.Fatalf("status after DefaultDeadAfter is %s", got)
	}
	r.MergeDirect(20000, Row{Member: member("h2", "y"), Epoch: 5})
	if got := status(r, "h2"); got != yuccahinge.StatusLive {
		t.Fatalf("status of a host that answers again is %s", got)
	}
}

func TestHostRefutesSuspicion(t *testing.T) {
	h1 := &Roster{Self: member("h1", "x")}
	h2 := &Roster{Self: member("h2", "y")}
	h1.MergeDirect(1000, h2.OwnRow(1000))
	h1.RecordFailure(2000, "h2")
	h1.RecordFailure(2001, "h2")
	h2.Merge(3000, h1.Delta("h2", 8))
	h1.Merge(3001, h2.Delta("h1", 8))
	if got := status(h1, "h2"); got != yuccahinge.StatusLive {
		t.Fatalf("status is %s", got)
	}
}

func TestSumsAgreeAfterOneComparison(t *testing.T) {
	a := &Roster{Self: member("a", "x")}
	b := &Roster{Self: member("b", "y")}
	for i := range 300 {
		row := Row{Member: member(fmt.Sprint("h", i), "z"), Epoch: 1}
		a.Merge(1000, []Row{row})
	}
	b.MergeDirect(1000, a.OwnRow(1000))
	a.MergeDirect(1000, b.OwnRow(1000))
	rows := a.DiffRows(b.BucketSums())
	b.Merge(2000, rows)
	if a.Checksum() != b.Checksum() {
		t.Fatal("sums differ after the merge")
	}
	if rows := a.DiffRows(b.BucketSums()); len(rows) != 0 {
		t.Fatalf("%d rows still differ after the merge", len(rows))
	}
}

// TestPickPeersFindsOnlyReachableHost fails all calls but those to one host of another domain. After the warm-up every
// round must call that host.
func TestPickPeersFindsOnlyReachableHost(t *testing.T) {
	const hosts, warmUp, rounds = 9, 12, 5
	r := &Roster{Self: member("h0", "x")}
	for i := 1; i < hosts; i++ {
		m := member(fmt.Sprintf("h%d", i), "y")
		m.Domain = yuccahinge.DomainID(fmt.Sprint(i % 3))
		if i < 3 {
			m.Domain = r.Self.Domain
		}
		r.MergeDirect(1000, Row{Member: m, Epoch: 5})
	}
	const reachable = "h8"
	called := 0
	for round := range warmUp + rounds {
		now := yuccahinge.Millis(2000 + 100*round)
		for _, m := range r.PickPeers(now) {
			if m.ID != reachable {
				r.RecordFailure(now, yuccahinge.HostID(m.ID))
			} else if round >= warmUp {
				called++
			}
		}
	}
	if called < rounds {
		t.Fatalf("%s was called in %d of the last %d rounds", reachable, called, rounds)
	}
}

// TestPickPeersTriesDeadHostsAfterPartition counts the rounds that call a dead host, with few and with many dead hosts.
func TestPickPeersTriesDeadHostsAfterPartition(t *testing.T) {
	const hosts, rounds = 21, 20
	for _, c := range []struct{ dead, most, least int }{{1, 4, 1}, {hosts - 1, rounds, rounds}} {
		r := &Roster{Self: member("h0", "x")}
		for i := 1; i < hosts; i++ {
			r.MergeDirect(1000, Row{Member: member(fmt.Sprintf("h%d", i), "y"), Epoch: 5})
		}
		for i := 1; i <= c.dead; i++ {
			row := Row{Member: member(fmt.Sprintf("h%d", i), "y"), Epoch: 6}
			row.Member.Status = yuccahinge.StatusDead
			r.Merge(2000, []Row{row})
		}
		tried := 0
		for range rounds {
			for _, m := range r.PickPeers(3000) {
				if m.Status == yuccahinge.StatusDead {
					tried++
				}
			}
		}
		if tried > c.most || tried < c.least {
			t.Errorf("with %d dead hosts, %d of %d rounds called one, want %d to %d", c.dead, tried, rounds, c.least, c.most)
		}
	}
}
