package chaos

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge/internal/trial/standin/link"
)

// Series names an order in which faults follow one another.
type Series string

// The values of Series.
const (
	// SeriesRandom is the zero value: single random faults.
	SeriesRandom Series = ""
	// SeriesTerminate and SeriesKill restart one host after another.
	SeriesTerminate Series = "terminate"
	SeriesKill      Series = "kill"
	// SeriesHerd kills all hosts at once, or half of them.
	SeriesHerd Series = "herd"
	// SeriesPause pauses hosts for seconds.
	SeriesPause Series = "pause"
	// SeriesStrangers kills all hosts at once; for a while the new processes don't reach their seeds.
	SeriesStrangers Series = "strangers"
	// SeriesShift moves all callers to the other half of the hosts.
	SeriesShift Series = "shift"
	// SeriesStall has no fault of hosts.
	SeriesStall Series = "stall"
	// SeriesRestore lets the store come back from an older copy, and no searcher stall.
	SeriesRestore Series = "restore"
	// SeriesEvacuate evacuates failure domains, and no searcher stalls.
	SeriesEvacuate Series = "evacuate"
)

// AllSeries lists the values of Series.
var AllSeries = []Series{SeriesRandom, SeriesTerminate, SeriesKill, SeriesHerd, SeriesPause, SeriesStrangers, SeriesShift, SeriesStall, SeriesRestore, SeriesEvacuate}

const (
	// seriesGap is the time between the restarts of two hosts.
	seriesGap = 400 * time.Millisecond
	// calmTime is the time at the start of a round during which searchers answer. Hosts are credited with requests and send
	// hardly any extra attempts.
	calmTime = 9 * time.Second
	// The time between the start of a stall and the first fault of hosts is between minLead and maxLead.
	minLead = 2 * time.Second
	maxLead = 5 * time.Second
	// Faults of hosts continue for between minFaults and maxFaults after that.
	minFaults = 9 * time.Second
	maxFaults = 14 * time.Second
)

// runSeries lets searchers stall in rounds, and injects the faults of the series into hosts while they do.
func (x *Experiment) runSeries(ctx context.Context) int {
	end := time.Now().Add(x.FaultDuration)
	n := 0
	for x.Series == SeriesRestore && time.Now().Before(end) && ctx.Err() == nil {
		x.restoreStore(ctx)
		n++
	}
	for x.Series == SeriesEvacuate && time.Now().Before(end) && ctx.Err() == nil {
		x.evacuateDomains(ctx)
		n++
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, calmTime)
		lead, faults := x.between(minLead, maxLead), x.between(minFaults, maxFaults)
		x.stallSearchers(ctx, lead+faults)
		sleep(ctx, lead)
		n += 1 + x.injectSeries(ctx, faults)
	}
	return n
}

// between returns a random time between two others.
func (x *Experiment) between(least, most time.Duration) time.Duration {
	return least + time.Duration(x.rand.Int64N(int64(most-least)))
}

// injectSeries injects faults of the series for a while and returns their number.
func (x *Experiment) injectSeries(ctx context.Context, length time.Duration) int {
	end := time.Now().Add(length)
	n := 0
	for i := x.rand.IntN(len(x.hosts)); time.Now().Before(end) && ctx.Err() == nil; i++ {
		h := x.hosts[i%len(x.hosts)]
		n++
		switch x.Series {
		case SeriesTerminate:
			x.onHost(h, "terminate", func() { h.restart(ctx, syscall.SIGTERM, 0) })
			sleep(ctx, seriesGap)
		case SeriesKill:
			x.onHost(h, "kill", func() { h.restart(ctx, syscall.SIGKILL, 0) })
			sleep(ctx, seriesGap)
		case SeriesHerd:
			x.killHerd(ctx, x.hosts[:len(x.hosts)>>x.rand.IntN(2)])
			sleep(ctx, length/2)
		case SeriesPause:
			x.onHost(h, "pause", func() { x.pauseHost(ctx, h, 2*time.Second+time.Duration(i%4)*time.Second) })
			sleep(ctx, seriesGap)
		case SeriesStrangers:
			x.cutSeeds(ctx, length)
			x.killHerd(ctx, x.hosts)
			sleep(ctx, length)
		case SeriesShift:
			x.shiftCallers()
			sleep(ctx, length/2)
		case SeriesRandom, SeriesStall, SeriesRestore, SeriesEvacuate:
			sleep(ctx, length)
		}
	}
	return n
}

// killHerd kills hosts at the same time; they start again at once.
func (x *Experiment) killHerd(ctx context.Context, hosts []*host) {
	for _, h := range hosts {
		x.onHost(h, "kill", func() { h.restart(ctx, syscall.SIGKILL, 0) })
	}
}

// cutSeeds cuts the links through which hosts reach their seeds for a while. Hosts that know each other do not use them.
func (x *Experiment) cutSeeds(ctx context.Context, length time.Duration) {
	for _, l := range x.seedLinks {
		x.enableFor(ctx, "link to a seed is cut", length, func(on bool) {
			f := link.Faults{Cut: link.CutNone}
			if on {
				f.Cut = link.CutBoth
			}
			l.SetFaults(f)
			l.CloseConns()
		})
	}
}

// stallSearchers makes the searchers of each service stall in turns for a while, so that hosts can't know which one answers.
func (x *Experiment) stallSearchers(ctx context.Context, length time.Duration) {
	kinds := []Stall{x.Stall}
	if x.Stall == "" {
		kinds = AllStalls
		if n := x.rand.IntN(len(kinds) + 1); n < len(kinds) {
			kinds = kinds[n : n+1]
		}
	}
	x.logf("searchers stall for %v: %q", length, kinds)
	for i, service := range x.Shape.services() {
		r := rand.New(rand.NewPCG(x.Seed, uint64(i)))
		go x.env.stallInTurns(ctx, service, length, kinds, r)
	}
}

// Stall is a way in which a searcher stalls.
type Stall string

// The values of Stall: the searcher refuses requests, is slow, runs requests without an answer, or resets its connections.
const (
	StallRefuse Stall = "refuse"
	StallSlow   Stall = "slow"
	StallLose   Stall = "lose"
	StallReset  Stall = "reset"
)

// AllStalls lists the values of Stall.
var AllStalls = []Stall{StallRefuse, StallSlow, StallLose, StallReset}

const (
	// stallTime is the time after which another searcher of a service stalls.
	stallTime = 300 * time.Millisecond
	// resetInterval is the time between two resets of a searcher that resets its connections.
	resetInterval = 10 * time.Millisecond
	// stallFactor multiplies the service time of a slow searcher.
	stallFactor = 8
)

// stallInTurns makes one searcher of a service after the other stall, each in one of the ways given, for a while.
func (e *environment) stallInTurns(ctx context.Context, service string, length time.Duration, kinds []Stall, r *rand.Rand) {
	end := time.Now().Add(length)
	for turn := 0; time.Now().Before(end) && ctx.Err() == nil; turn++ {
		if list := e.searchersOf(service); len(list) > 0 {
			list[turn%len(list)].stall(ctx, kinds[r.IntN(len(kinds))])
		} else {
			sleep(ctx, stallTime)
		}
	}
}

// searchersOf returns the searchers of a service.
func (e *environment) searchersOf(service string) []*searcher {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*searcher
	for _, s := range e.searchers {
		if s.server.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// stall makes the searcher stall for stallTime.
func (s *searcher) stall(ctx context.Context, kind Stall) {
	switch kind {
	case StallRefuse:
		s.server.SetShedEvery(1)
	case StallSlow:
		s.server.SetSlowFactor(stallFactor)
	case StallLose:
		s.server.SetNoReply(true)
	case StallReset:
		for end := time.Now().Add(stallTime); time.Now().Before(end) && ctx.Err() == nil; {
			s.closeConns()
			sleep(ctx, resetInterval)
		}
		return
	}
	sleep(ctx, stallTime)
	s.server.SetShedEvery(0)
	s.server.SetSlowFactor(1)
	s.server.SetNoReply(false)
}

// shift limits callers to one half of the hosts. The zero value limits them to none.
type shift struct {
	mu   sync.Mutex
	half int
}

// shiftCallers moves the callers to one half of the hosts, and with the next call to the other one.
func (x *Experiment) shiftCallers() {
	x.shift.mu.Lock()
	defer x.shift.mu.Unlock()
	x.shift.half = 1 + x.shift.half%2
	x.logf("callers move to half %d of the hosts", x.shift.half)
}

// pickHost returns a random host for a request.
func (x *Experiment) pickHost(r *rand.Rand) *host {
	x.shift.mu.Lock()
	half := x.shift.half
	x.shift.mu.Unlock()
	n := len(x.hosts)
	switch half {
	case 1:
		return x.hosts[r.IntN(max(1, n/2))]
	case 2:
		return x.hosts[n/2+r.IntN(n-n/2)]
	}
	return x.hosts[r.IntN(n)]
}
