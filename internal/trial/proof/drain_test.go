package proof

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// keptConnections is the number of callers that keep a connection to the host that leaves.
const keptConnections = 12

func TestTermUnderLoadCutsNothing(t *testing.T) {
	s := newSite(t, 4)
	l := startLoad(s)
	l.progress(200, 50)
	leaving := s.hosts[1]
	leaving.signal(t, syscall.SIGTERM)
	if code := leaving.exit(t); code != 0 {
		t.Errorf("the host ended with %d, want 0", code)
	}
	l.progress(200, 50)
	l.end(t, false)
}

func TestEveryHostRestartedInTurnUnderLoad(t *testing.T) {
	s := newSite(t, 4)
	l := startLoad(s)
	for _, h := range s.hosts {
		l.progress(100, 20)
		h.signal(t, syscall.SIGTERM)
		if code := h.exit(t); code != 0 {
			t.Errorf("%s ended with %d, want 0", h.member.ID, code)
		}
		s.restart(h)
	}
	l.progress(100, 20)
	l.end(t, false)
}

func TestHostsKilledInTurnUnderLoad(t *testing.T) {
	s := newSite(t, 4)
	l := startLoad(s)
	for range 2 {
		for _, h := range s.hosts {
			l.progress(50, 10)
			h.kill()
			s.restart(h)
		}
	}
	l.progress(50, 10)
	l.end(t, true)
}

// TestTermCutsNothingOnKeptConnections sends without a pause on kept connections to one host, as a balancer does, until
// the host says that it is not ready.
func TestTermCutsNothingOnKeptConnections(t *testing.T) {
	s := newSite(t, 3)
	leaving := s.hosts[1]
	var ready atomic.Bool
	ready.Store(true)
	var answered atomic.Int64
	var group sync.WaitGroup
	for range keptConnections {
		group.Go(func() {
			kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: limit}
			defer kept.CloseIdleConnections()
			for ready.Load() {
				r := leaving.search(t.Context(), kept)
				if r.Err != nil || r.Outcome != yuccahinge.Complete {
					t.Errorf("search got %+v", r)
					continue
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "the searches are under way", func() bool { return answered.Load() > 20*keptConnections })
	leaving.signal(t, syscall.SIGTERM)
	eventually(t, "the host is not ready", func() bool { return !isReady(leaving) })
	before := answered.Load()
	eventually(t, "the searches go on", func() bool { return answered.Load() > before+5*keptConnections })
	ready.Store(false)
	group.Wait()
	t.Logf("%d searches were complete", answered.Load())
	if code := leaving.exit(t); code != 0 {
		t.Errorf("the host ended with %d, want 0", code)
	}
}

// TestTermServesWhatWaitsInItsConnections writes requests on kept connections while the host is stopped, so that the
// signal and the requests reach it at once.
func TestTermServesWhatWaitsInItsConnections(t *testing.T) {
	s := newSite(t, 3)
	leaving := s.hosts[1]
	var kept []*rawCaller
	for range keptConnections {
		c := dial(t, leaving.member.CallerAddr)
		c.write(t, dispatch)
		if r := c.read(); r.Outcome != yuccahinge.Complete {
			t.Fatalf("search got %+v", r)
		}
		kept = append(kept, c)
	}
	leaving.signal(t, syscall.SIGSTOP)
	for _, c := range kept {
		c.write(t, dispatch)
	}
	leaving.signal(t, syscall.SIGTERM)
	leaving.signal(t, syscall.SIGCONT)
	for _, c := range kept {
		if r := c.read(); r.Err != nil || r.Outcome != yuccahinge.Complete {
			t.Errorf("search got %+v", r)
		}
	}
	if code := leaving.exit(t); code != 0 {
		t.Errorf("the host ended with %d, want 0", code)
	}
}
