package chaos

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
	"github.com/yuccahinge/yuccahinge/internal/trial/standin/origin"
)

const (
	// crashRestart is the time after which a crashed searcher is back, as a new instance.
	crashRestart = 2 * time.Second
	// fatalCrashes is the number of crashed searchers from which contactTime is counted, and maxCrashRetries the number of
	// later requests that may still reach searchers.
	fatalCrashes    = 3
	maxCrashRetries = 3
	// crashFailEvery is the number of arrivals of requests that crash searchers of which one gets a failure in place of that.
	crashFailEvery = 5
	// freshCrashTime is how long a request that crashes searchers comes before another one takes its place.
	freshCrashTime = 8 * time.Second
	// lateCrash is how long after the deadline of a request that crashes searchers late they crash.
	lateCrash = 500 * time.Millisecond
	// maxCrashPause bounds the pause between two repetitions of a request that crashes searchers.
	maxCrashPause = 2500 * time.Millisecond
)

// crashDelay returns how long a searcher runs the request with a path until it crashes: not at all, beyond the objective, or until the
// calls to it have ended.
func (x *Experiment) crashDelay(path string) time.Duration {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, x.Seed, path) // never fails
	return [...]time.Duration{0, x.Load.deadline() / 2, x.Load.deadline() + lateCrash}[h.Sum64()%3]
}

// crashRoutes are the routes of the requests that crash searchers.
var crashRoutes = [...]string{"wide", "read", "pay"}

// restartCrashed ends a searcher at once and starts a new one after crashRestart. Its registration stays until then. Its address
// refuses connections, accepts and closes them, as a proxy does, or is silent; with onlySilent always the latter.
func (e *environment) restartCrashed(ctx context.Context, s *searcher) {
	if s.draining.Swap(true) {
		return
	}
	s.crashed.Store(true)
	kind := e.lastID.Load() % 3
	if e.onlySilent {
		kind = 2
	}
	switch kind {
	case 0:
		s.stop()
	case 1:
		s.stopServer()
		s.link.CloseConns()
	default:
		s.link.SetFaults(link.Faults{Cut: link.CutBoth})
		s.stopServer()
		s.link.CloseConns()
	}
	s.disruptions.addForever()
	go func() {
		sleep(ctx, crashRestart)
		e.removeSearcher(s)
		// If this fails, the check for full coverage at the end of the run reports it.
		_, _ = e.startSearcher(ctx, s.server.Service, s.domain)
	}()
}

// startCrashCallers starts callers that each send a request that crashes searchers, again and again at random hosts: one for
// each route, which names the caller too. The returned function stops them.
func (x *Experiment) startCrashCallers(ctx context.Context) (stop func()) {
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	newCrashCaller := func(i int) *caller {
		c := newCaller(x, x.nextProbe())
		c.name += ".crash"
		c.rand = rand.New(rand.NewPCG(x.Seed, uint64(1000+i)))
		return c
	}
	for i, route := range crashRoutes {
		c := newCrashCaller(i)
		group.Go(func() {
			defer c.client.CloseIdleConnections()
			c.repeatCrash(ctx, route+origin.CrashPath)
		})
	}
	for i := range x.FreshCrashes {
		c := newCrashCaller(len(crashRoutes) + i)
		group.Go(func() {
			defer c.client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				freshCtx, stop := context.WithTimeout(ctx, freshCrashTime)
				c.repeatCrash(freshCtx, fmt.Sprint(crashRoutes[(i+n)%len(crashRoutes)], origin.CrashPath, "/", i, ".", n))
				stop()
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// repeatCrash sends a request that crashes searchers again and again at random hosts until ctx ends.
func (c *caller) repeatCrash(ctx context.Context, route string) {
	x := c.experiment
	for ctx.Err() == nil {
		h := x.hosts[c.rand.IntN(len(x.hosts))]
		x.crashAttempts.Store(c.nextAttempt(h), &crashAttempt{h, time.Now()})
		c.call(ctx, h, route)
		sleep(ctx, time.Duration(c.rand.Int64N(int64(maxCrashPause))))
	}
}

// checkCrashes reports the requests that reached searchers too often after they had crashed three.
func (x *Experiment) checkCrashes() {
	for _, v := range crashViolations(x.env.crashes.Arrivals(), x.wasDisrupted) {
		x.checker.addViolation(v)
	}
}

// crashViolations checks the arrivals of requests that crash searchers, which are in order. An attempt is excused if the
// host that took it was disrupted within contactTime before it.
func crashViolations(arrivals []origin.CrashArrival, excused func(attempt string) bool) []string {
	type request struct {
		crashed map[string]bool
		thirdAt time.Time
		retries map[string]bool
	}
	requests := map[string]*request{}
	var order []string
	for _, a := range arrivals {
		r := requests[a.Path]
		if r == nil {
			r = &request{crashed: map[string]bool{}, retries: map[string]bool{}}
			requests[a.Path] = r
			order = append(order, a.Path)
		}
		if !r.thirdAt.IsZero() && a.At.After(r.thirdAt.Add(contactTime)) && !excused(a.Attempt) {
			r.retries[a.Attempt] = true
		}
		if a.Crashed {
			r.crashed[a.Searcher] = true
			if len(r.crashed) == fatalCrashes && r.thirdAt.IsZero() {
				r.thirdAt = a.CrashedAt
			}
		}
	}
	var out []string
	for _, path := range order {
		if r := requests[path]; len(r.retries) > maxCrashRetries {
			out = append(out, fmt.Sprintf("request %s crashed %d searchers and reached some in %d retries later than %v after the third",
				path, len(r.crashed), len(r.retries), contactTime))
		}
	}
	return out
}

// crashAttempt is where and when an attempt of a request that crashes searchers was sent.
type crashAttempt struct {
	host   *host
	sentAt time.Time
}

// wasDisrupted reports whether the host that took an attempt was killed, terminated or paused shortly before it or since.
func (x *Experiment) wasDisrupted(attempt string) bool {
	v, ok := x.crashAttempts.Load(attempt)
	if !ok {
		return false
	}
	a := v.(*crashAttempt)
	since := a.sentAt.Add(-contactTime).UnixNano()
	return a.host.disruptedAt.Load() > since || a.host.process.Load().terminatedAt.Load() > since || a.host.startedAt.Load() > since
}

// isFalselyQuarantined reports whether a request that crashes no searcher was refused as one that does.
func (a *answer) isFalselyQuarantined() bool {
	return a.status == http.StatusServiceUnavailable && bytes.Contains(a.body, []byte("quarantined")) &&
		!strings.Contains(a.route, origin.CrashPath)
}
