package share

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

func TestLimit(t *testing.T) {
	for _, c := range []struct{ total, hosts, want int }{
		{25, 8, 3},
		{25, 9, 2},
		{25, 7, 3},
		{100, 8, 12},
		{45, 8, 5},
		{4, 8, 1},
		{25, 1, 24},
	} {
		var a Allocator
		a.SetHosts(1, c.hosts)
		if got := a.Limit(1+defaultSettle, c.total); got != c.want {
			t.Errorf("%d hosts may hold %d of %d connections each, want %d", c.hosts, got, c.total, c.want)
		}
	}
}

// TestLimitLeavesRoomAfterPowerLossOfAllHosts covers a power loss of all hosts: searchers still hold the connections of
// the previous incarnations when the next ones open theirs.
func TestLimitLeavesRoomAfterPowerLossOfAllHosts(t *testing.T) {
	for _, c := range []struct{ total, hosts, want int }{
		{25, 6, 2},
		{26, 7, 2},
		{26, 8, 2},
		{96, 6, 8},
		{60, 76, 1},
		{120, 195, 1},
	} {
		a := Allocator{Incarnations: 2}
		a.SetHosts(1, c.hosts)
		got := a.Limit(1+defaultSettle, c.total)
		if got != c.want {
			t.Errorf("%d hosts may hold %d of %d connections each, want %d", c.hosts, got, c.total, c.want)
		}
		// Rounding up adds at most one connection for each host.
		if both := 2 * got * c.hosts; got > 1 && both > c.total+c.hosts {
			t.Errorf("%d hosts hold %d of %d in two incarnations", c.hosts, both, c.total)
		}
	}
}

// TestConnectionsStayWithinTotal lets hosts join and leave one at a time. The others detect it up to SettleMs late.
func TestConnectionsStayWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(12, 100).Draw(t, "total")
		now := yuccahinge.Millis(1)
		hosts := make([]*Allocator, 8)
		for i := range hosts {
			hosts[i] = &Allocator{}
			hosts[i].SetHosts(now, 8)
		}
		now += defaultSettle
		// held is the number of connections of a host that left, which may stay open until heldUntil.
		held, heldUntil := 0, yuccahinge.Millis(0)
		settledAt := now
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				if now < settledAt || len(hosts) == 10 {
					t.Skip("not settled, or at the limit of hosts")
				}
				hosts = append(hosts, &Allocator{})
				hosts[len(hosts)-1].SetHosts(now, len(hosts))
				settledAt = now + defaultSettle
			},
			"leave": func(t *rapid.T) {
				if now < settledAt || len(hosts) == 7 {
					t.Skip("not settled, or at the limit of hosts")
				}
				held, heldUntil = hosts[0].Limit(now, total), now+defaultSettle-1
				hosts = hosts[1:]
				settledAt = now + 2*defaultSettle
			},
			"learn": func(t *rapid.T) {
				now += yuccahinge.Millis(rapid.IntRange(1, int(defaultSettle)).Draw(t, "wait"))
				late := now < settledAt && rapid.Bool().Draw(t, "late")
				for _, h := range hosts {
					if !late {
						h.SetHosts(now, len(hosts))
					}
				}
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, h := range hosts {
					sum += h.Limit(now, total)
				}
				if now < heldUntil {
					sum += held
				}
				if sum > total {
					t.Fatalf("%d hosts hold %d connections, at most %d are accepted", len(hosts), sum, total)
				}
			},
		})
	})
}
