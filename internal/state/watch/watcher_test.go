package watch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/clock"
)

var errDown = errors.New("the platform is down")

// testPlatform is a Publisher with fault injection, and the state of the peers that follow it.
type testPlatform struct {
	mu            sync.Mutex
	down          bool
	historyGone   bool // the change history, for one read
	peersServe    bool // peers have a list
	reads         bool // this host is a reader
	calls         int
	lists         int
	readersRefuse bool          // readers cannot read the platform; watches get no reply
	peerDelay     time.Duration // how much longer readers take to reply
	fresh         bool          // the last fresh value that the feed passed to SetList
	revision      yuccahinge.Revision
	ids           []string
}

func (p *testPlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.revision++
}

func (p *testPlatform) whole() *yuccahinge.ChangeBatch {
	b := &yuccahinge.ChangeBatch{Snapshot: true, Revision: p.revision}
	for _, id := range p.ids {
		b.Changes = append(b.Changes, yuccahinge.Change{Key: id, Revision: 1, Registration: &yuccahinge.Registration{ID: yuccahinge.SearcherID(id), Service: "s"}})
	}
	return b
}

func (p *testPlatform) read(after yuccahinge.Revision) (*yuccahinge.ChangeBatch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		return nil, errDown
	}
	if after > 0 && p.historyGone {
		p.historyGone = false
		return nil, yuccahinge.ErrCompacted
	}
	return p.whole(), nil
}

func (p *testPlatform) List(context.Context) (*yuccahinge.ChangeBatch, error) {
	p.mu.Lock()
	p.lists++
	p.mu.Unlock()
	return p.read(0)
}

func (p *testPlatform) Watch(_ context.Context, after yuccahinge.Revision, wait yuccahinge.Millis) (*yuccahinge.ChangeBatch, error) {
	p.mu.Lock()
	refuses := p.readersRefuse
	p.mu.Unlock()
	if refuses {
		// The reply is lost; the caller notices some time after the end of the watch.
		wait = 10*wait + 12*yuccahinge.Second
	}
	time.Sleep((wait / 10).Duration())
	return p.read(after)
}

// testPeers implements Peers for the other hosts.
type testPeers struct{ *testPlatform }

func (o testPeers) IsReader() bool { return o.reads }

func (o testPeers) List(ctx context.Context) (*yuccahinge.ChangeBatch, error) {
	return o.Watch(ctx, 0, 0)
}

func (o testPeers) Watch(ctx context.Context, _ yuccahinge.Revision, wait yuccahinge.Millis) (*yuccahinge.ChangeBatch, error) {
	o.mu.Lock()
	delay, refuses := o.peerDelay, o.readersRefuse
	o.mu.Unlock()
	if refuses {
		return nil, yuccahinge.ErrPlatformUnavailable
	}
	select {
	case <-time.After((wait / 10).Duration() + delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return o.AnyPeer(context.Background(), 0)
}

func (o testPeers) AnyPeer(context.Context, yuccahinge.Revision) (*yuccahinge.ChangeBatch, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.peersServe {
		return nil, errors.New("no host has a list")
	}
	return o.whole(), nil
}

func (o testPeers) SetList(_ yuccahinge.Revision, _, fresh bool, _ func(yuccahinge.Revision) *yuccahinge.ChangeBatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fresh = fresh
}

func (o testPeers) WithLock(f func()) { f() }

// runFeed runs a feed while steps runs. The function passed to steps returns the searchers that the feed currently
// lists.
func runFeed(t *testing.T, p *testPlatform, steps func(listed func() string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var now []string
		f := &Watcher{Publisher: p, Peers: testPeers{p}, Clock: clock.Clock{}, OnChange: func(s map[yuccahinge.ServiceName][]*yuccahinge.Registration) {
			mu.Lock()
			defer mu.Unlock()
			now = nil
			for _, l := range s["s"] {
				now = append(now, string(l.ID))
			}
			slices.Sort(now)
		}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- f.Run(ctx) }()
		steps(func() string {
			mu.Lock()
			defer mu.Unlock()
			return fmt.Sprint(now)
		})
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func wantListed(t *testing.T, listed func() string, want string) {
	t.Helper()
	if got := listed(); got != want {
		t.Errorf("listed searchers are %s, want %s", got, want)
	}
}

func TestChangesArriveAndLostHistoryIsRelisted(t *testing.T) {
	p := &testPlatform{reads: true, revision: 1, ids: []string{"a"}}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(time.Second)
		wantListed(t, listed, "[a]")
		p.set(func() { p.ids = []string{"a", "b"} })
		time.Sleep(time.Second)
		wantListed(t, listed, "[a b]")
		p.set(func() { p.ids, p.historyGone = []string{"b"}, true })
		time.Sleep(time.Second)
		wantListed(t, listed, "[b]")
	})
}

func TestListComesFromPeersWhileThePlatformIsDown(t *testing.T) {
	p := &testPlatform{reads: true, peersServe: true, revision: 1, ids: []string{"a"}}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(time.Second)
		p.set(func() { p.down, p.ids = true, []string{"c"} })
		time.Sleep(2 * time.Second)
		wantListed(t, listed, "[c]")
		p.set(func() { p.peersServe = false })
		time.Sleep(2 * time.Second)
		wantListed(t, listed, "[c]")
	})
}

// TestLapsedSearchersStayForTheirGrace simulates an outage of the platform in which all entries expire, on a host
// without peers.
func TestLapsedSearchersStayForTheirGrace(t *testing.T) {
	p := &testPlatform{reads: true, revision: 1, ids: []string{"a", "b"}}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(time.Second)
		p.set(func() { p.down = true })
		time.Sleep(3 * time.Second)
		p.set(func() { p.down, p.ids = false, nil })
		time.Sleep(1500 * time.Millisecond)
		wantListed(t, listed, "[a b]")
		time.Sleep(3 * time.Second)
		wantListed(t, listed, "[]")
	})
}

func TestFollowerReadsThePlatformOnlyWhenItsReadersFail(t *testing.T) {
	p := &testPlatform{peersServe: true, revision: 1, ids: []string{"a"}}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(10 * time.Second)
		p.set(func() {
			if p.calls != 0 {
				t.Errorf("%d calls to the platform although the readers answer, want 0", p.calls)
			}
		})
		p.set(func() { p.peersServe, p.ids = false, []string{"d"} })
		time.Sleep(2 * time.Second)
		wantListed(t, listed, "[d]")
	})
}

// TestFollowerThatMissedAnOutageKeepsLapsedSearchers lets entries expire while a follower gets no reply from readers;
// then the follower reads the platform directly.
func TestFollowerThatMissedAnOutageKeepsLapsedSearchers(t *testing.T) {
	p := &testPlatform{peersServe: true, revision: 1, ids: []string{"a", "b"}}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(5 * time.Second)
		p.set(func() { p.peerDelay = 4 * time.Second })
		time.Sleep(3 * time.Second)
		p.set(func() { p.peersServe, p.ids = false, nil })
		time.Sleep(2500 * time.Millisecond)
		wantListed(t, listed, "[a b]")
		p.set(func() { p.ids = []string{"a"} })
		time.Sleep(5 * time.Second)
		wantListed(t, listed, "[a]")
	})
}

// TestFollowerGetsChangesWhileReadersLackThePlatform has readers that refuse and a platform that answers nobody,
// while some other host knows of a change.
func TestFollowerGetsChangesWhileReadersLackThePlatform(t *testing.T) {
	p := &testPlatform{peersServe: true, revision: 1, ids: []string{"a", "b"}}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(2 * time.Second)
		p.set(func() { p.down, p.readersRefuse = true, true })
		time.Sleep(100 * time.Millisecond)
		p.set(func() { p.ids = []string{"a"} })
		time.Sleep(1800 * time.Millisecond)
		wantListed(t, listed, "[a]")
	})
}

// TestHostsThatStartTogetherReadThePlatformAtOnce has readers that do not reply in time, as when they are still
// starting.
func TestHostsThatStartTogetherReadThePlatformAtOnce(t *testing.T) {
	p := &testPlatform{peersServe: true, revision: 1, ids: []string{"a"}, peerDelay: time.Second}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(150 * time.Millisecond)
		wantListed(t, listed, "[a]")
	})
}

// TestFollowersRarelyCallAPlatformThatIsDown counts the platform calls of a host whose readers retry for it.
func TestFollowersRarelyCallAPlatformThatIsDown(t *testing.T) {
	p := &testPlatform{peersServe: true, revision: 1, ids: []string{"a"}}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(2 * time.Second)
		before := 0
		p.set(func() { p.down, p.peersServe, before = true, false, p.calls })
		time.Sleep(12 * time.Second)
		p.set(func() {
			if n := p.calls - before; n < 4 || n > 12 {
				t.Errorf("%d calls in 12 s to a platform that is down, want 4 to 12", n)
			}
			p.down, p.peersServe = false, true
		})
		time.Sleep(time.Second)
		p.set(func() { before, p.ids = p.calls, []string{"a", "c"} })
		time.Sleep(10 * time.Second)
		wantListed(t, listed, "[a c]")
		p.set(func() {
			if n := p.calls - before; n > 0 {
				t.Errorf("%d calls to the platform after the readers answered again, want 0", n)
			}
		})
	})
}

// TestListInItsGraceIsNotFresh checks that a list with removed entries in their grace period is not offered as fresh:
// hosts that continued from its revision would never receive the removals.
func TestListInItsGraceIsNotFresh(t *testing.T) {
	p := &testPlatform{reads: true, peersServe: true, revision: 1, ids: []string{"a", "b"}}
	fresh := func() (is bool) {
		p.set(func() { is = p.fresh })
		return is
	}
	lists := func() (n int) {
		p.set(func() { n = p.lists })
		return n
	}
	runFeed(t, p, func(listed func() string) {
		time.Sleep(time.Second)
		if !fresh() {
			t.Error("a list that was just read is not fresh")
		}
		p.set(func() { p.down = true })
		time.Sleep(2 * time.Second)
		before := lists()
		p.set(func() { p.down, p.ids = false, []string{"a"} })
		time.Sleep(time.Second)
		if lists() == before {
			t.Error("the whole list was not read again after a merge of another host's list")
		}
		wantListed(t, listed, "[a b]")
		if fresh() {
			t.Error("a list is fresh while a removed entry is in its grace period")
		}
		time.Sleep(2 * time.Second)
		wantListed(t, listed, "[a]")
		if !fresh() {
			t.Error("a list is not fresh after the grace period of its entries")
		}
	})
}

// TestWatchEndsWithTheGracePeriod checks that a watch without changes ends when the grace period of an entry does.
func TestWatchEndsWithTheGracePeriod(t *testing.T) {
	f := &Watcher{Clock: clock.Clock{}}
	now := f.Clock.Now()
	f.census.Apply(now, &yuccahinge.ChangeBatch{Snapshot: true, Revision: 1, Changes: []yuccahinge.Change{{Key: "a", Revision: 1, Registration: &yuccahinge.Registration{}}}})
	if got := f.watchWait(watchWaitMs); got != watchWaitMs {
		t.Fatalf("wait is %g ms, want the whole watchWaitMs", got)
	}
	f.census.RecordOutage()
	f.census.Apply(now-1900, &yuccahinge.ChangeBatch{Revision: 2, Changes: []yuccahinge.Change{{Key: "a", Revision: 2}}})
	if got := f.watchWait(watchWaitMs); got > 400 {
		t.Fatalf("wait is %g ms, want at most 400: the grace period of an entry ends in 300 ms", got)
	}
}
