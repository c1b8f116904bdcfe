package system

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// keepAliveConns is the number of callers that keep a connection to the draining host open.
const keepAliveConns = 12

func TestSIGTERMUnderLoadCutsOffNothing(t *testing.T) {
	s := newSystem(t, 4)
	l := startLoad(s)
	l.waitForProgress(200, 50)
	draining := s.hosts[1]
	draining.signal(t, syscall.SIGTERM)
	if code := draining.waitForExit(t); code != 0 {
		t.Errorf("the host ended with %d, want 0", code)
	}
	l.waitForProgress(200, 50)
	l.stopAndCheck(t, false)
}

func TestRollingRestartUnderLoad(t *testing.T) {
	s := newSystem(t, 4)
	l := startLoad(s)
	for _, h := range s.hosts {
		l.waitForProgress(100, 20)
		h.signal(t, syscall.SIGTERM)
		if code := h.waitForExit(t); code != 0 {
			t.Errorf("%s ended with %d, want 0", h.member.ID, code)
		}
		s.restart(h)
	}
	l.waitForProgress(100, 20)
	l.stopAndCheck(t, false)
}

func TestHostsKilledOneByOneUnderLoad(t *testing.T) {
	s := newSystem(t, 4)
	l := startLoad(s)
	for range 2 {
		for _, h := range s.hosts {
			l.waitForProgress(50, 10)
			h.kill()
			s.restart(h)
		}
	}
	l.waitForProgress(50, 10)
	l.stopAndCheck(t, true)
}

// TestSIGTERMCutsOffNothingOnKeepAliveConnections sends searches without a pause over keep-alive connections to one host,
// as a load balancer does, until some time after the host reports that it is not ready.
func TestSIGTERMCutsOffNothingOnKeepAliveConnections(t *testing.T) {
	s := newSystem(t, 3)
	draining := s.hosts[1]
	var ready atomic.Bool
	ready.Store(true)
	var answered atomic.Int64
	var group sync.WaitGroup
	for range keepAliveConns {
		group.Go(func() {
			keepAlive := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: waitLimit}
			defer keepAlive.CloseIdleConnections()
			for ready.Load() {
				r := draining.search(t.Context(), keepAlive)
				if r.Err != nil || r.Outcome != yuccahinge.Complete {
					t.Errorf("search got %+v", r)
					continue
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "searches are being answered", func() bool { return answered.Load() > 20*keepAliveConns })
	draining.signal(t, syscall.SIGTERM)
	eventually(t, "the host is not ready", func() bool { return !isReady(draining) })
	before := answered.Load()
	eventually(t, "further searches are answered", func() bool { return answered.Load() > before+5*keepAliveConns })
	ready.Store(false)
	group.Wait()
	t.Logf("%d searches were complete", answered.Load())
	if code := draining.waitForExit(t); code != 0 {
		t.Errorf("the host ended with %d, want 0", code)
	}
}

// TestSIGTERMServesRequestsBufferedInConnections writes requests to keep-alive connections while the host is paused, so
// that the signal and the requests reach it at the same time.
func TestSIGTERMServesRequestsBufferedInConnections(t *testing.T) {
	s := newSystem(t, 3)
	draining := s.hosts[1]
	var clients []*rawCaller
	for range keepAliveConns {
		c := dial(t, draining.member.CallerAddr)
		c.writeSearch(t, dispatch)
		if r := c.readAnswer(); r.Outcome != yuccahinge.Complete {
			t.Fatalf("search got %+v", r)
		}
		clients = append(clients, c)
	}
	draining.signal(t, syscall.SIGSTOP)
	for _, c := range clients {
		c.writeSearch(t, dispatch)
	}
	draining.signal(t, syscall.SIGTERM)
	draining.signal(t, syscall.SIGCONT)
	for _, c := range clients {
		if r := c.readAnswer(); r.Err != nil || r.Outcome != yuccahinge.Complete {
			t.Errorf("search got %+v", r)
		}
	}
	if code := draining.waitForExit(t); code != 0 {
		t.Errorf("the host ended with %d, want 0", code)
	}
}
