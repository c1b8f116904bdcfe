package feed

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

// platform is a Publisher and other hosts that follow it, with faults.
type platform struct {
	mu       sync.Mutex
	down     bool
	gone     bool // the history
	peers    bool // some host can read the platform
	reads    bool // this host is to read it
	calls    int
	lists    int
	refuses  bool          // readers say that they lack the platform
	stuck    time.Duration // how long readers leave a question without an answer
	fresh    bool          // the last word of the feed on its own list
	revision yuccahinge.Revision
	ids      []string
}

func (p *platform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.revision++
}

func (p *platform) whole() *yuccahinge.Batch {
	b := &yuccahinge.Batch{Whole: true, Revision: p.revision}
	for _, id := range p.ids {
		b.Changes = append(b.Changes, yuccahinge.Change{Key: id, Revision: 1, Listing: &yuccahinge.Listing{ID: yuccahinge.SearcherID(id), Service: "s"}})
	}
	return b
}

func (p *platform) read(after yuccahinge.Revision) (*yuccahinge.Batch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		return nil, errDown
	}
	if after > 0 && p.gone {
		p.gone = false
		return nil, yuccahinge.ErrHistoryGone
	}
	return p.whole(), nil
}

func (p *platform) List(context.Context) (*yuccahinge.Batch, error) {
	p.mu.Lock()
	p.lists++
	p.mu.Unlock()
	return p.read(0)
}

func (p *platform) Changes(_ context.Context, after yuccahinge.Revision, wait yuccahinge.Millis) (*yuccahinge.Batch, error) {
	p.mu.Lock()
	refuses := p.refuses
	p.mu.Unlock()
	if refuses {
		// The answer is lost, which shows some time after the watch was due.
		wait = 10*wait + 12*yuccahinge.Second
	}
	time.Sleep((wait / 10).Duration())
	return p.read(after)
}

// others are the other hosts.
type others struct{ *platform }

func (o others) Reads() bool { return o.reads }

func (o others) List(ctx context.Context) (*yuccahinge.Batch, error) { return o.Changes(ctx, 0, 0) }

func (o others) Changes(ctx context.Context, _ yuccahinge.Revision, wait yuccahinge.Millis) (*yuccahinge.Batch, error) {
	o.mu.Lock()
	stuck, refuses := o.stuck, o.refuses
	o.mu.Unlock()
	if refuses {
		return nil, yuccahinge.ErrPlatformAway
	}
	select {
	case <-time.After((wait / 10).Duration() + stuck):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return o.Any(context.Background(), 0)
}

func (o others) Any(context.Context, yuccahinge.Revision) (*yuccahinge.Batch, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.peers {
		return nil, errors.New("no host has a list")
	}
	return o.whole(), nil
}

func (o others) Keep(_ yuccahinge.Revision, _, fresh bool, _ func(yuccahinge.Revision) *yuccahinge.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fresh = fresh
}

func (o others) Do(f func()) { f() }

// follow runs a feed until the test's steps are over and returns how it lists the searchers at any time.
func follow(t *testing.T, p *platform, steps func(listed func() string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var now []string
		f := &Feed{Publisher: p, Peers: others{p}, Clock: clock.Clock{}, Changed: func(s map[yuccahinge.ServiceName][]*yuccahinge.Listing) {
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

func want(t *testing.T, listed func() string, text string) {
	t.Helper()
	if got := listed(); got != text {
		t.Errorf("listed are %s, want %s", got, text)
	}
}

func TestChangesArriveAndHistoryIsReadAnew(t *testing.T) {
	p := &platform{reads: true, revision: 1, ids: []string{"a"}}
	follow(t, p, func(listed func() string) {
		time.Sleep(time.Second)
		want(t, listed, "[a]")
		p.set(func() { p.ids = []string{"a", "b"} })
		time.Sleep(time.Second)
		want(t, listed, "[a b]")
		p.set(func() { p.ids, p.gone = []string{"b"}, true })
		time.Sleep(time.Second)
		want(t, listed, "[b]")
	})
}

func TestListComesFromPeersWhileThePlatformIsAway(t *testing.T) {
	p := &platform{reads: true, peers: true, revision: 1, ids: []string{"a"}}
	follow(t, p, func(listed func() string) {
		time.Sleep(time.Second)
		p.set(func() { p.down, p.ids = true, []string{"c"} })
		time.Sleep(2 * time.Second)
		want(t, listed, "[c]")
		p.set(func() { p.peers = false })
		time.Sleep(2 * time.Second)
		want(t, listed, "[c]")
	})
}

// TestLapsedSearchersStayForTheirGrace plays an outage in which all entries lapse, as seen by a host without peers.
func TestLapsedSearchersStayForTheirGrace(t *testing.T) {
	p := &platform{reads: true, revision: 1, ids: []string{"a", "b"}}
	follow(t, p, func(listed func() string) {
		time.Sleep(time.Second)
		p.set(func() { p.down = true })
		time.Sleep(3 * time.Second)
		p.set(func() { p.down, p.ids = false, nil })
		time.Sleep(1500 * time.Millisecond)
		want(t, listed, "[a b]")
		time.Sleep(3 * time.Second)
		want(t, listed, "[]")
	})
}

func TestFollowerReadsThePlatformOnlyWhenItsReadersFail(t *testing.T) {
	p := &platform{peers: true, revision: 1, ids: []string{"a"}}
	follow(t, p, func(listed func() string) {
		time.Sleep(10 * time.Second)
		p.set(func() {
			if p.calls != 0 {
				t.Errorf("%d calls to the platform beside readers that answer", p.calls)
			}
		})
		p.set(func() { p.peers, p.ids = false, []string{"d"} })
		time.Sleep(2 * time.Second)
		want(t, listed, "[d]")
	})
}

// TestFollowerThatMissedAnOutageKeepsLapsedSearchers lets entries lapse while a follower hears nothing from readers, and
// has it read the platform itself afterwards.
func TestFollowerThatMissedAnOutageKeepsLapsedSearchers(t *testing.T) {
	p := &platform{peers: true, revision: 1, ids: []string{"a", "b"}}
	follow(t, p, func(listed func() string) {
		time.Sleep(5 * time.Second)
		p.set(func() { p.stuck = 4 * time.Second })
		time.Sleep(3 * time.Second)
		p.set(func() { p.peers, p.ids = false, nil })
		time.Sleep(2500 * time.Millisecond)
		want(t, listed, "[a b]")
		p.set(func() { p.ids = []string{"a"} })
		time.Sleep(5 * time.Second)
		want(t, listed, "[a]")
	})
}

// TestFollowerHearsOfChangesWhileReadersLackThePlatform has readers that refuse and a platform that answers no one, while
// some host has heard of a change.
func TestFollowerHearsOfChangesWhileReadersLackThePlatform(t *testing.T) {
	p := &platform{peers: true, revision: 1, ids: []string{"a", "b"}}
	follow(t, p, func(listed func() string) {
		time.Sleep(2 * time.Second)
		p.set(func() { p.down, p.refuses = true, true })
		time.Sleep(100 * time.Millisecond)
		p.set(func() { p.ids = []string{"a"} })
		time.Sleep(1800 * time.Millisecond)
		want(t, listed, "[a]")
	})
}

// TestHostsThatStartTogetherReadThePlatformAtOnce has readers that hang, as they do while they start as well.
func TestHostsThatStartTogetherReadThePlatformAtOnce(t *testing.T) {
	p := &platform{peers: true, revision: 1, ids: []string{"a"}, stuck: time.Second}
	follow(t, p, func(listed func() string) {
		time.Sleep(150 * time.Millisecond)
		want(t, listed, "[a]")
	})
}

// TestFollowersSpareAPlatformThatIsDown counts the calls of a host whose readers try for it.
func TestFollowersSpareAPlatformThatIsDown(t *testing.T) {
	p := &platform{peers: true, revision: 1, ids: []string{"a"}}
	follow(t, p, func(listed func() string) {
		time.Sleep(2 * time.Second)
		before := 0
		p.set(func() { p.down, p.peers, before = true, false, p.calls })
		time.Sleep(12 * time.Second)
		p.set(func() {
			if n := p.calls - before; n < 4 || n > 12 {
				t.Errorf("%d calls in 12 s to a platform that is down", n)
			}
			p.down, p.peers = false, true
		})
		time.Sleep(time.Second)
		p.set(func() { before, p.ids = p.calls, []string{"a", "c"} })
		time.Sleep(10 * time.Second)
		want(t, listed, "[a c]")
		p.set(func() {
			if n := p.calls - before; n > 0 {
				t.Errorf("%d calls after the readers have answered again", n)
			}
		})
	})
}

// TestListInItsGraceDoesNotSpeakForThePlatform keeps other hosts from going by the revision of a list that still holds
// entries which are gone: they would never hear of their end.
func TestListInItsGraceDoesNotSpeakForThePlatform(t *testing.T) {
	p := &platform{reads: true, peers: true, revision: 1, ids: []string{"a", "b"}}
	fresh := func() (is bool) {
		p.set(func() { is = p.fresh })
		return is
	}
	lists := func() (n int) {
		p.set(func() { n = p.lists })
		return n
	}
	follow(t, p, func(listed func() string) {
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
			t.Error("the list was not read anew after another host's had been taken")
		}
		want(t, listed, "[a b]")
		if fresh() {
			t.Error("a list is fresh while an entry that has gone still counts")
		}
		time.Sleep(2 * time.Second)
		want(t, listed, "[a]")
		if !fresh() {
			t.Error("a list is not fresh after its grace")
		}
	})
}

// TestEndOfAGraceIsNotMissedWhileAWatchWaits lets a watch hear nothing while the grace of an entry ends.
func TestEndOfAGraceIsNotMissedWhileAWatchWaits(t *testing.T) {
	f := &Feed{Clock: clock.Clock{}}
	now := f.Clock.Now()
	f.census.Apply(now, &yuccahinge.Batch{Whole: true, Revision: 1, Changes: []yuccahinge.Change{{Key: "a", Revision: 1, Listing: &yuccahinge.Listing{}}}})
	if got := f.wait(waitMs); got != waitMs {
		t.Fatalf("waits for %g ms", got)
	}
	f.census.Away()
	f.census.Apply(now-1900, &yuccahinge.Batch{Revision: 2, Changes: []yuccahinge.Change{{Key: "a", Revision: 2}}})
	if got := f.wait(waitMs); got > 400 {
		t.Fatalf("waits for %g ms though an entry stops to count in 300", got)
	}
}
