package query

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
	"github.com/yuccahinge/yuccahinge/internal/front/split"
)

// oneWay is the time that a message between two hosts takes.
const oneWay = 2 * time.Millisecond

// slowHedger hedges after 10 ms.
type slowHedger struct{}

func (slowHedger) Delay(yuccahinge.Millis, yuccahinge.ServiceName, yuccahinge.ShardID) (yuccahinge.Millis, bool) {
	return 10, true
}

// clusterDelegator has the two hosts after the delegating ones of a cluster run a half of the shards each.
type clusterDelegator struct {
	cluster *cluster
	from    int
}

func (d *clusterDelegator) Split(f *ForwardRequest) []split.Part {
	if d.from >= d.cluster.delegating {
		return nil
	}
	parts := make([]split.Part, 2)
	for i := range f.Index.Shards {
		p := &parts[2*i/len(f.Index.Shards)]
		p.Shards = append(p.Shards, i)
	}
	for i := range parts {
		parts[i].Host.ID = strconv.Itoa(d.cluster.delegating + i)
	}
	return parts
}

func (d *clusterDelegator) Query(ctx context.Context, f *ForwardRequest, p *split.Part) (*ForwardAnswer, error) {
	part, ix := *f, *f.Index
	ix.Shards = ix.Shards[p.Shards[0] : p.Shards[len(p.Shards)-1]+1]
	part.Index, part.IsPart, part.DelegatedBy = &ix, true, yuccahinge.HostID(strconv.Itoa(d.from))
	part.AnswerBy = d.cluster.host(d.from).AnswerBy(f) - 8
	time.Sleep(oneWay)
	defer time.Sleep(oneWay)
	return d.cluster.host(hostIndex(yuccahinge.HostID(p.Host.ID))).Forward(ctx, &part)
}

func (d *clusterDelegator) MayReportLoss(ctx context.Context, delegatedBy yuccahinge.HostID, l *PartLoss) (bool, error) {
	if delegatedBy == d.cluster.unreachable {
		return false, errors.New("unreachable")
	}
	time.Sleep(oneWay)
	defer time.Sleep(oneWay)
	return d.cluster.host(hostIndex(delegatedBy)).MayReportLoss(ctx, l)
}

func hostIndex(id yuccahinge.HostID) int {
	i, _ := strconv.Atoi(string(id)) // the ids are numbers
	return i
}

// delegate makes the first n hosts delegate all shards. Hosts hedge then.
func (c *cluster) delegate(n int) {
	c.delegating = n
	for i := range c.hosts {
		c.hosts[i] = c.newHost(i)
	}
}

// newDelegatingCluster returns a cluster with two delegating hosts, of searchers that crash a while after they begin to run the request
// with crashTarget.
func newDelegatingCluster(crashAfter time.Duration) *cluster {
	c := newCluster(8)
	c.crashAfter = crashAfter
	c.delegate(2)
	return c
}

// newWideCrash returns a request over 20 shards that crashes the searchers that run it.
func (c *cluster) newWideCrash(n int) *ForwardRequest {
	return c.newRequest(fmt.Sprint("r", n), "10.0.0.1", crashTarget, 20)
}

// checkLateRetries repeats a wide request that crashes searchers a while after they begin, and checks that it is refused soon.
func checkLateRetries(t *testing.T, crashAfter, every []time.Duration, delegating int) {
	for _, after := range crashAfter {
		for _, every := range every {
			t.Run(fmt.Sprintf("after %d ms, every %d ms, %d delegating hosts", after, every, delegating), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newDelegatingCluster(after * time.Millisecond)
					cl.delegate(delegating)
					for n := range 16 {
						_, _ = cl.host(n%2).Forward(t.Context(), cl.newWideCrash(n))
						time.Sleep(every * time.Millisecond)
					}
					if late := cl.lateRetries(); late > maxLateRetries {
						t.Errorf("%d late retries, want at most %d; %d searchers crashed", late, maxLateRetries, cl.crashes)
					}
					time.Sleep(10 * time.Second)
				})
			})
		}
	}
}

// TestCrashesAfterTheAnswerToAPartAreCounted guards against a request that crashes searchers for good because each does so after the
// host that ran a part has answered the host that delegated it.
func TestCrashesAfterTheAnswerToAPartAreCounted(t *testing.T) {
	checkLateRetries(t, []time.Duration{5, 60, 100, 150, 300, 450}, []time.Duration{700, 1500, 2500, 5000}, 2)
}

// TestCrashesAfterTheEndOfACallAreCounted guards against a request that crashes searchers for good because each does so after the calls
// have ended, which their hosts end a while after the deadline of 400 ms.
func TestCrashesAfterTheEndOfACallAreCounted(t *testing.T) {
	for _, delegating := range []int{0, 2} {
		checkLateRetries(t, []time.Duration{498, 502, 600, 1000, 2000}, []time.Duration{700, 1500, 2500, 5000}, delegating)
	}
}

// TestOneRunOfARequestMakesOneReport guards against a request that is accused by each host that ran a part of it, or though another part was
// run to its end, and against a loss that is reported by none because the host that delegated the part has ended or can't be reached.
func TestOneRunOfARequestMakesOneReport(t *testing.T) {
	for name, c := range map[string]struct {
		crashShards int
		restarts    bool
		unreachable yuccahinge.HostID
		least, most int
	}{
		"both parts lose searchers":               {least: 1, most: 1},
		"one part is run to its end":              {crashShards: 10},
		"the delegating host starts anew":         {restarts: true, least: 1, most: 2},
		"the delegating host can't be reached":    {unreachable: "0", least: 1, most: 2},
		"one shard of a part, the other host ran": {crashShards: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newDelegatingCluster(150 * time.Millisecond)
				cl.crashShards, cl.unreachable = c.crashShards, c.unreachable
				_, _ = cl.host(0).Forward(t.Context(), cl.newWideCrash(0))
				if c.restarts {
					cl.restart(0)
				}
				time.Sleep(10 * time.Second)
				reports := make(map[string]int)
				cl.mu.Lock()
				defer cl.mu.Unlock()
				for _, n := range cl.notices.All(clock.Clock{}.Now()) {
					if n.Kind == yuccahinge.NoticeCrash {
						fingerprint, _, _ := strings.Cut(n.Key, "/")
						reports[fingerprint]++
					}
				}
				most := 0
				for _, n := range reports {
					most = max(most, n)
				}
				if most < c.least || most > c.most {
					t.Errorf("%d reports, want %d to %d", most, c.least, c.most)
				}
			})
		})
	}
}
