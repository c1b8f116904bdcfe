// Package share divides the connections that a searcher accepts among the entry hosts.
package share

import (
	"math"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// defaultSettle is the time within which every host detects a new or a lost host.
	defaultSettle = 5 * yuccahinge.Second
	// minAssumedHosts is the least number of hosts that a new host assumes before it has detected the others.
	minAssumedHosts = 8
)

// Allocator calculates how many connections this host may hold at a searcher. The share shrinks as soon as a new host
// appears, but grows only SettleMs after a host is lost, since the lost host's connections may still be open. The zero
// value is ready to use.
type Allocator struct {
	// SettleMs is the time within which every host detects a new or a lost host; zero means 5 s.
	SettleMs yuccahinge.Millis
	// Incarnations is the number of incarnations of each host whose connections a searcher may hold at a time; zero means one.
	// The connections of a host that loses power stay open at the searcher, and a full searcher resets the connections
	// of the host's next incarnation.
	Incarnations int

	startedAt atomic.Uint64 // bits of the instant of the first SetHosts
	hosts     atomic.Int64  // the number of hosts among which connections are divided
	lastHosts atomic.Int64  // the number of hosts in the last SetHosts
	changedAt atomic.Uint64 // bits of the instant at which lastHosts changed
}

// SetHosts records the number of entry hosts that may hold connections, which includes leaving hosts and their
// replacements. It must not be called concurrently.
func (a *Allocator) SetHosts(now yuccahinge.Millis, hosts int) {
	a.startedAt.CompareAndSwap(0, math.Float64bits(float64(now)))
	n := int64(max(hosts, 1))
	if n != a.lastHosts.Load() {
		a.lastHosts.Store(n)
		a.changedAt.Store(math.Float64bits(float64(now)))
	}
	if n >= a.hosts.Load() || now >= loadInstant(&a.changedAt)+a.settle() {
		a.hosts.Store(n)
	}
}

// Hosts returns the number of entry hosts among which connections are divided, at least one.
func (a *Allocator) Hosts() int { return max(1, int(a.hosts.Load())) }

// Limit returns the number of connections that this host may hold at a searcher that accepts total connections. Until
// SettleMs after its start, a new host uses only the connections that the others leave free.
func (a *Allocator) Limit(now yuccahinge.Millis, total int) int {
	hosts := int(a.hosts.Load())
	if a.startedAt.Load() == 0 || now < loadInstant(&a.startedAt)+a.settle() {
		return a.perIncarnation(unusedShare(total, max(hosts, minAssumedHosts)))
	}
	return a.perIncarnation(evenShare(total, hosts))
}

// perIncarnation divides the connections of a host among its incarnations, rounded up.
func (a *Allocator) perIncarnation(n int) int {
	incarnations := max(a.Incarnations, 1)
	return (n + incarnations - 1) / incarnations
}

// evenShare divides the connections evenly, except for one that is kept free for a host that the others have not
// detected yet.
func evenShare(total, hosts int) int { return max(1, (total-1)/max(hosts, 1)) }

// unusedShare returns the number of connections that the other hosts leave free, at most an even share and at least one.
func unusedShare(total, hosts int) int {
	free := total - (hosts-1)*evenShare(total, hosts-1)
	return min(evenShare(total, hosts), max(1, free))
}

func loadInstant(at *atomic.Uint64) yuccahinge.Millis {
	return yuccahinge.Millis(math.Float64frombits(at.Load()))
}

func (a *Allocator) settle() yuccahinge.Millis {
	if a.SettleMs > 0 {
		return a.SettleMs
	}
	return defaultSettle
}
