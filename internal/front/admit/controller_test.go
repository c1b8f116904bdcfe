package admit

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func steady(load float64) func(yuccahinge.Millis) float64 {
	return func(yuccahinge.Millis) float64 { return load * capacity }
}

// TestGoodputHoldsUnderOverload covers eight seconds of more requests than the searchers can serve, with many requests a
// second on each of a few hosts and with few on each of many hosts.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	for _, hosts := range []int{7, 195} {
		most := 0
		goodput := map[float64]int{}
		loads := []float64{0.5, 0.75, 1, 1.5, 2, 3, 5}
		for _, load := range loads {
			m := (&model{hosts: hosts, arrivalRate: steady(load)}).run(3)
			// The seconds before burstFrom are left out: the hosts have not adapted yet.
			goodput[load] = sum(m.onTime, burstFrom, burstTo)
			most = max(most, goodput[load])
			refused := float64(sum(m.refused, 0, simulatedSeconds)) / float64(m.requests)
			unlimited := (&model{hosts: hosts, arrivalRate: steady(load), admitAll: true}).run(3)
			t.Logf("%d hosts, load %.2f: %d on time of %d, refused %.2f, failed %d; all admitted: %d on time, failed %d",
				hosts, load, goodput[load], sum(m.arrivals, burstFrom, burstTo), refused, m.failed, sum(unlimited.onTime, burstFrom, burstTo), unlimited.failed)
			if load <= 0.5 && refused > 0.01 {
				t.Errorf("%d hosts refuse %.3f at half load", hosts, refused)
			}
		}
		for _, load := range loads[3:] {
			if float64(goodput[load]) < 0.9*float64(most) {
				t.Errorf("%d hosts, load %.2f: %d requests on time, want 90%% of the %d at the best load", hosts, load, goodput[load], most)
			}
		}
	}
}

// TestEverythingIsServedAfterABurst checks recovery from a burst of three times the capacity, on hosts that get many
// requests a second.
func TestEverythingIsServedAfterABurst(t *testing.T) { checkAfterBurst(t, 7) }

// TestEverythingIsServedAfterABurstByManyHosts checks it on hosts that get less than one request a second afterwards.
func TestEverythingIsServedAfterABurstByManyHosts(t *testing.T) { checkAfterBurst(t, 195) }

func checkAfterBurst(t *testing.T, hosts int) {
	t.Helper()
	m := (&model{hosts: hosts, arrivalRate: func(now yuccahinge.Millis) float64 {
		if s := second(now); s >= burstFrom && s < burstTo {
			return 3 * capacity
		}
		return 0.4 * capacity
	}}).run(5)
	if n := sum(m.refused, burstTo+2, simulatedSeconds); n > 0 {
		t.Errorf("%d hosts refuse %d requests two seconds after the burst", hosts, n)
	}
	onTime, arrivals := sum(m.onTime, burstTo+2, simulatedSeconds), sum(m.arrivals, burstTo+2, simulatedSeconds)
	if float64(onTime) < 0.98*float64(arrivals) {
		t.Errorf("%d hosts: %d of %d are on time two seconds after the burst", hosts, onTime, arrivals)
	}
}

// TestSlowShardCausesNoRefusals slows down one shard of ten. A partial result without it is good enough.
func TestSlowShardCausesNoRefusals(t *testing.T) {
	m := (&model{hosts: 7, arrivalRate: steady(0.3), slowShards: 1}).run(7)
	if n := sum(m.refused, 0, simulatedSeconds); n > m.requests/100 {
		t.Errorf("%d of %d requests were refused", n, m.requests)
	}
}

// TestLateRequestsWithoutQueuesCauseNoRefusals covers requests that are all late although few of their attempts are queued.
func TestLateRequestsWithoutQueuesCauseNoRefusals(t *testing.T) {
	var c Controller
	for now := yuccahinge.Millis(1); now < 5000; now += 20 {
		c.RecordLoad(now, 1, yuccahinge.RequestLoad{TimeUsed: 1.5, QueuedShare: 0.1})
	}
	if v := c.Admit(5000, 1, "r", 0); !v.Admitted || v.AdmittedShare < 1 {
		t.Errorf("decision is %+v, want admitted with share 1", v)
	}
}

// TestIndexesHaveSeparateShares overloads the searchers of one index only.
func TestIndexesHaveSeparateShares(t *testing.T) {
	var c Controller
	for now := yuccahinge.Millis(1); now < 2000; now += 20 {
		c.RecordLoad(now, 1, yuccahinge.RequestLoad{TimeUsed: 1.5, QueuedShare: 1})
	}
	busy, idle := c.Admit(2000, 1, "r", 0), c.Admit(2000, 2, "r", 0)
	if busy.AdmittedShare > 0.3 || idle.AdmittedShare < 1 {
		t.Errorf("shares are %.2f for the overloaded index and %.2f for the other, want at most 0.30 and 1", busy.AdmittedShare, idle.AdmittedShare)
	}
	if got := c.MinShare(2000); got != busy.AdmittedShare {
		t.Errorf("the smallest share is %.2f, want %.2f", got, busy.AdmittedShare)
	}
	if v := c.Admit(10_000, 1, "r", 0); v.AdmittedShare < admitAllShare {
		t.Errorf("the share is %.2f after eight seconds without an ended request", v.AdmittedShare)
	}
}

// TestUrgentRequestsAreAdmittedMoreOften compares ranks while half of the requests are refused. The least urgent one
// must still be admitted at least half as often as the most urgent one.
func TestUrgentRequestsAreAdmittedMoreOften(t *testing.T) {
	var c Controller
	now := yuccahinge.Millis(1)
	for c.Admit(now, 1, "r", 0).AdmittedShare > 0.5 {
		now += 20
		c.RecordLoad(now, 1, yuccahinge.RequestLoad{TimeUsed: 1.5, QueuedShare: 1})
	}
	admitted := map[int]int{}
	for i := range 4000 {
		id := yuccahinge.RequestID(string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)))
		for _, priority := range []int{0, 1, 2, 9} {
			if c.Admit(now, 1, id, priority).Admitted {
				admitted[priority]++
			}
		}
	}
	if admitted[1] <= admitted[2] || admitted[2] <= admitted[9] || 2*admitted[9] < admitted[1] {
		t.Errorf("admitted by priority: %v, want fewer for a less urgent one, but at least half as many", admitted)
	}
}
