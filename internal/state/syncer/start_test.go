package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/roster"
)

// unlistedHosts is a platform that does not list the entry hosts.
type unlistedHosts struct{ yuccahinge.ConfigSource }

func (unlistedHosts) Members(context.Context) ([]yuccahinge.Member, error) { return nil, nil }

// startTogether starts hosts in three failure domains within 300 ms, as after a power loss of all. The first two of each domain
// are strong, and the seeds are three weak ones. It returns when all have started.
func startTogether(ctx context.Context, t *testing.T, wait *sync.WaitGroup, hosts int) *testFleet {
	f := &testFleet{t: t, bytesOf: make(map[string]int)}
	f.publish()
	for _, i := range rand.New(rand.NewPCG(1, uint64(hosts))).Perm(hosts) {
		time.Sleep(300 * time.Millisecond / time.Duration(hosts))
		run(ctx, wait, f.add(i, yuccahinge.DomainID(fmt.Sprint("d", i%3)), func(h *Syncer) {
			h.Source = unlistedHosts{f}
			h.Seed = uint64(i)
			h.Self.Cores = 0.2
			if i < 6 {
				h.Self.Cores = 0.8
			}
			h.Seeds = []string{"127.0.0.1:7010", "127.0.0.1:7011", "127.0.0.1:7012"}
		}))
	}
	return f
}

// knowsStrongHost reports whether a host knows another one of its failure domain that is strong.
func knowsStrongHost(h *Syncer) bool {
	return slices.ContainsFunc(h.Roster().Members(), func(m yuccahinge.Member) bool {
		return m.ID != h.Self.ID && m.Domain == h.Self.Domain && m.Cores > 0.5
	})
}

// TestWeakHostsSoonKnowStrongOnesAfterAStartOfAll guards against wide requests that weak hosts run themselves, with a new
// connection to each shard, because they know no strong host of their failure domain for a second or two after all
// hosts have started at once.
func TestWeakHostsSoonKnowStrongOnesAfterAStartOfAll(t *testing.T) {
	for _, hosts := range []int{63, 300} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var wait sync.WaitGroup
			f := startTogether(ctx, t, &wait, hosts)
			time.Sleep(600 * time.Millisecond)
			n := 0
			for _, h := range f.syncers {
				if knowsStrongHost(h) {
					n++
				}
			}
			if n < hosts*99/100 {
				t.Errorf("%d of %d hosts know a strong host of their failure domain 600 ms after the start", n, hosts)
			}
			time.Sleep(7 * time.Second)
			for _, h := range f.syncers {
				if n := len(h.Roster().Members()); n != hosts {
					t.Errorf("host %s knows %d of %d hosts after 7.6 s", h.Self.ID, n, hosts)
				}
			}
			cancel()
			wait.Wait()
		})
	}
}

// TestNoHostCarriesTheStartOfAll guards against seeds that send the whole membership to every host when all start at
// once, which fills the link of a small host for seconds.
func TestNoHostCarriesTheStartOfAll(t *testing.T) {
	for _, hosts := range []int{63, 300} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var wait sync.WaitGroup
			f := startTogether(ctx, t, &wait, hosts)
			time.Sleep(5 * time.Second)
			f.mu.Lock()
			var bytes []int
			for _, n := range f.bytesOf {
				bytes = append(bytes, n)
			}
			f.mu.Unlock()
			slices.Sort(bytes)
			median, most := bytes[len(bytes)/2], bytes[len(bytes)-1]
			t.Logf("%d hosts, first 5 s: median %d kB, busiest %d kB", hosts, median/1000, most/1000)
			if most > 5*median {
				t.Errorf("%d hosts: the busiest host sends and receives %d kB in the first 5 s, the median is %d kB", hosts, most/1000, median/1000)
			}
			cancel()
			wait.Wait()
		})
	}
}

// TestNoticesOfRejectingSearchersAreNotFetched guards against hosts that send each other hundreds of short-lived notices in every
// comparison of notices, which crosses the links between failure domains once a second.
func TestNoticesOfRejectingSearchersAreNotFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t}
		h := f.add(1, "d1")
		for _, kind := range []yuccahinge.NoticeKind{yuccahinge.NoticeRejecting, yuccahinge.NoticeDraining} {
			h.Broadcast(yuccahinge.Notice{Kind: kind, Key: "s1", TTLMs: 60 * yuccahinge.Second})
		}
		var reply compareReply
		request := compareRequest{From: roster.Row{Member: yuccahinge.Member{ID: "h2", Incarnation: "i", Status: yuccahinge.StatusLive}, Epoch: 1}, Notices: true, NoRows: true}
		if err := (peerCaller{f: f, from: "127.0.0.1:7002"}).Call(t.Context(), h.Self.PeerAddr, MethodCompare, &request, &reply); err != nil {
			t.Fatal(err)
		}
		if len(reply.Notices) != 1 || reply.Notices[0].Kind != yuccahinge.NoticeDraining {
			t.Errorf("the notices in the reply are %+v, want the one of the draining searcher", reply.Notices)
		}
	})
}
