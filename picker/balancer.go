// Package picker picks the replica for an attempt from the latencies, failures and load reports that this host has seen.
package picker

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/hold"
	"github.com/yuccahinge/yuccahinge/internal/calc/mixer"
	"github.com/yuccahinge/yuccahinge/internal/call/assess"
	"github.com/yuccahinge/yuccahinge/internal/call/reject"
)

// Balancer picks a replica by the power of two choices: of two random ones, the one with the shorter expected wait. It
// implements yuccahinge.Picker, yuccahinge.AttemptObserver, yuccahinge.LatencyEstimator and yuccahinge.RoomEstimator. The
// zero value is ready to use, and its methods take no lock.
type Balancer struct {
	// Domain is this host's failure domain. CrossDomainMs is added to the expected wait of searchers in other domains.
	Domain yuccahinge.DomainID
	// CrossDomainMs returns the extra latency of a call to another failure domain; nil means 3 ms.
	CrossDomainMs func() yuccahinge.Millis
	// Seed seeds the random choices.
	Seed uint64
	// IsDraining reports whether a searcher is draining, in addition to those whose load reports say so; nil means that
	// none is. A draining searcher gets no new calls, except for those that MayCallDraining allows.
	IsDraining func(yuccahinge.SearcherID) bool
	// MayCallDraining reports whether a draining searcher may still get a first attempt if no other replica can be called;
	// nil means that it may not.
	MayCallDraining func(now yuccahinge.Millis, id yuccahinge.SearcherID) bool
	// IsEvacuated reports whether a failure domain is evacuated, so that its searchers get no calls at all; nil means that none is.
	IsEvacuated func(yuccahinge.DomainID) bool
	// HoldsVersion reports whether a searcher is known to hold an index version, and whether any of its versions are known.
	// Nil means that every searcher holds every version.
	HoldsVersion func(id yuccahinge.SearcherID, v yuccahinge.IndexVersion) (holds, known bool)

	// ErrorCostMs is the cost of a call that fails or is refused: the time until another searcher has replied. It is
	// weighted with the share of the searcher's calls that fail or are refused; zero ignores that share.
	ErrorCostMs yuccahinge.Millis
	// WatchDomains sends no calls to failure domains that seem to be cut off. RecordReport must then be called with the
	// results of probes, since without calls only a probe shows that a domain can be reached again.
	WatchDomains bool
	// MaxEjectMs is the longest ejection of a searcher; zero means 16 s.
	MaxEjectMs yuccahinge.Millis
	// Limits keeps the calls within the maximum rates that searchers name; nil puts no such limit on them.
	Limits yuccahinge.RateLimiter
	// Capacity estimates what each searcher handles well, and lowers the share of calls of those that are slower than their replicas,
	// too full or in trouble. Nil gives them no other share than their expected wait does.
	Capacity *assess.Estimator
	// Holds tracks the searchers that want no calls for a time; nil ignores that.
	Holds *hold.Tracker
	// Warmups tells which searchers are cold; nil takes only those for cold that this host has just seen for the first time. A cold
	// searcher gets a share of its usual calls that grows until its warm-up ends, unless its replicas are much slower.
	Warmups yuccahinge.WarmupTracker
	// Troubles tracks the searchers that reject requests without load; nil ignores that. The caller records the results there.
	Troubles *reject.Tracker

	searchers   sync.Map // of yuccahinge.SearcherID to *searcherStats
	domains     sync.Map // of yuccahinge.DomainID to *domainState
	randomState atomic.Uint64
}

// leftOutCostMs is the longest additional wait at other replicas for which a searcher that should get no calls is left out: about the
// time of a retry.
const leftOutCostMs = 60

// maxReplicas is the number of replicas that are compared without an allocation.
const maxReplicas = 24

// Pick returns a searcher of the shard that is not in tried, or false if no searcher may be called.
func (b *Balancer) Pick(now yuccahinge.Millis, ix *yuccahinge.Index, shard *yuccahinge.Shard, tried []yuccahinge.SearcherID) (yuccahinge.SearcherID, bool) {
	var buf [maxReplicas]candidate
	all := b.candidates(buf[:0], now, ix, shard, tried)
	all = b.dropTroubled(now, dropEjected(now, dropDraining(all, len(tried) > 0)))
	if len(all) == 0 {
		return "", false
	}
	b.avoidCold(all)
	if b.Capacity != nil && len(all) > 1 && b.Capacity.HasDeviations() {
		return b.chooseByShare(now, all), true
	}
	best, ok := b.choose(all)
	return best.id, ok
}

// ExpectedLatency returns the expected latency of one more attempt at the best searcher of a shard, or false if none of them
// may be called now.
func (b *Balancer) ExpectedLatency(now yuccahinge.Millis, ix *yuccahinge.Index, shard *yuccahinge.Shard) (yuccahinge.Millis, bool) {
	var buf [maxReplicas]candidate
	best, found := 0.0, false
	for _, c := range b.candidates(buf[:0], now, ix, shard, nil) {
		if c.ejected {
			continue
		}
		// The latency estimate already includes the time in the searcher's queue.
		if wait := c.stats.latencyEstimate(now, float64(c.stats.inFlight.Load())); !found || wait < best {
			best, found = wait, true
		}
	}
	return yuccahinge.Millis(best), found
}

// HasRoom reports whether a searcher seems to have a free slot, given its last load report and this host's calls.
func (b *Balancer) HasRoom(now yuccahinge.Millis, id yuccahinge.SearcherID, s *yuccahinge.Searcher) bool {
	return b.stats(id).hasRoom(now, s)
}

// RoomIn implements yuccahinge.RoomEstimator. Ejected searchers count only if all others are ejected too.
func (b *Balancer) RoomIn(now yuccahinge.Millis, ix *yuccahinge.Index, shard *yuccahinge.Shard) (yuccahinge.Millis, bool) {
	if b.Holds.Len() == 0 && (b.Limits == nil || b.Limits.Limited() == 0) {
		return 0, true
	}
	least, found, onlyEjected := yuccahinge.Millis(0), false, true
	for _, id := range shard.Searchers {
		s := ix.Searchers[id]
		if s == nil {
			continue
		}
		st := b.stats(id)
		ejected := st.isEjected(now)
		if !b.isCallable(now, ix, id, s, st) || ejected && !onlyEjected {
			continue
		}
		wait := b.searcherRoomIn(now, id, s, shard.Service)
		if !found || wait < least || onlyEjected && !ejected {
			least, found = wait, true
		}
		onlyEjected = onlyEjected && ejected
	}
	return least, found
}

// StartProbe reports whether this host may send a health check to a searcher of a service now, and counts it if so. The report that
// comes back shows that the searcher's failure domain can be reached, also if the searcher has had no call yet.
func (b *Balancer) StartProbe(now yuccahinge.Millis, id yuccahinge.SearcherID, s *yuccahinge.Searcher, service yuccahinge.ServiceName) bool {
	if b.isEvacuated(s) || b.searcherRoomIn(now, id, s, service) > 0 {
		return false
	}
	if b.Limits != nil {
		b.Limits.Started(now, id)
	}
	if b.WatchDomains {
		b.watchDomain(b.stats(id), s.Domain)
	}
	return true
}

// searcherRoomIn returns the delay until a searcher of a service may get one more call.
func (b *Balancer) searcherRoomIn(now yuccahinge.Millis, id yuccahinge.SearcherID, s *yuccahinge.Searcher, service yuccahinge.ServiceName) yuccahinge.Millis {
	wait := b.Holds.HeldFor(now, id)
	if b.Limits != nil {
		wait = max(wait, b.Limits.RoomIn(now, id, s, service))
	}
	return wait
}

// Started records the start of an attempt.
func (b *Balancer) Started(now yuccahinge.Millis, id yuccahinge.SearcherID) {
	b.stats(id).recordStart(now)
	if b.Limits != nil {
		b.Limits.Started(now, id)
	}
}

// Ended records the result of an attempt.
func (b *Balancer) Ended(now yuccahinge.Millis, id yuccahinge.SearcherID, res *yuccahinge.ShardResult) {
	b.stats(id).recordEnd(now, res, b.maxEjectMs())
	if b.Capacity != nil {
		b.Capacity.Ended(now, id, res)
	}
	if report := res.LoadReport(); report != nil {
		b.Holds.Observe(now, id, report)
	}
	if b.Limits == nil {
		return
	}
	if res.DroppedInQueue() {
		b.Limits.Unsent(now, now-res.Latency, id)
	} else if report := res.LoadReport(); report != nil {
		b.Limits.Observe(now, now-res.Latency, id, report)
	}
}

// RecordReport records a load report that came outside a reply, such as that of a probe. A report without a maximum rate
// does not end one, because health checks may leave it out.
func (b *Balancer) RecordReport(now yuccahinge.Millis, id yuccahinge.SearcherID, report *yuccahinge.LoadReport) {
	b.stats(id).recordReport(now, report)
	b.Holds.Observe(now, id, report)
	if report.MaxRate != nil && b.Limits != nil {
		b.Limits.Observe(now, now, id, report)
	}
}

// InFlight returns the number of this host's attempts in flight at a searcher.
func (b *Balancer) InFlight(id yuccahinge.SearcherID) int { return int(b.stats(id).inFlight.Load()) }

// IsEjected reports whether the searcher is ejected for failures or for not replying. In the second case only a reply
// to a trial call or to a probe ends the ejection.
func (b *Balancer) IsEjected(now yuccahinge.Millis, id yuccahinge.SearcherID) bool {
	return b.stats(id).isEjected(now)
}

// EjectedSearchers returns the ejected searchers of the index, sorted by id.
func (b *Balancer) EjectedSearchers(now yuccahinge.Millis, ix *yuccahinge.Index) []yuccahinge.SearcherID {
	var out []yuccahinge.SearcherID
	for id := range ix.Searchers {
		if v, ok := b.searchers.Load(id); ok && v.(*searcherStats).isEjected(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// candidate is a replica that may be called, with its expected wait in milliseconds.
type candidate struct {
	id      yuccahinge.SearcherID
	wait    float64
	local   bool
	ejected bool
	// draining is set for a searcher that is called only if no other replica can be.
	draining bool
	// cold is set for a searcher that is known to be cold, and avoided if this call is to avoid it for that.
	cold, avoided bool
	hasRoom       bool // a slot seems to be free
	stats         *searcherStats
}

func (b *Balancer) candidates(out []candidate, now yuccahinge.Millis, ix *yuccahinge.Index, shard *yuccahinge.Shard, tried []yuccahinge.SearcherID) []candidate {
	for _, id := range shard.Searchers {
		s := ix.Searchers[id]
		if s == nil || slices.Contains(tried, id) {
			continue
		}
		st := b.stats(id)
		if b.Capacity != nil && !st.watched.Load() {
			b.Capacity.Watch(id, s, ix.ServicesHash)
			st.watched.Store(true)
		}
		if !b.isCallable(now, ix, id, s, st) || b.searcherRoomIn(now, id, s, shard.Service) > 0 {
			continue
		}
		c := candidate{id: id, wait: st.expectedWait(now, s), local: s.Domain == b.Domain, ejected: st.isEjected(now), draining: b.isDraining(id, st), hasRoom: st.hasRoom(now, s), stats: st}
		if left := b.warmupLeft(now, id); left > 0 {
			c.cold, c.avoided = true, b.nextUnit() < maxAvoidedShare*left
		} else {
			c.wait *= st.coldFactor(now)
		}
		if b.ErrorCostMs > 0 {
			c.wait += float64(b.ErrorCostMs) * st.errorShare(now)
		}
		if !c.local {
			c.wait += float64(b.crossDomainMs())
		}
		out = append(out, c)
	}
	return out
}

// warmupLeft returns the share of a searcher's warm-up that is left; zero if it is not known to be cold.
func (b *Balancer) warmupLeft(now yuccahinge.Millis, id yuccahinge.SearcherID) float64 {
	if b.Warmups == nil || b.Warmups.Cold() == 0 {
		return 0
	}
	w, ok := b.Warmups.Warmup(now, id)
	if !ok {
		return 0
	}
	return float64((w.Until - now) / (w.Until - w.From))
}

// avoidCold raises the expected waits of the cold candidates that this call is to avoid. Those of other failure domains are avoided while
// a local one is warm, since the estimates of busy searchers would send their calls to idle ones.
func (b *Balancer) avoidCold(all []candidate) {
	hasWarmLocal := slices.ContainsFunc(all, func(c candidate) bool { return c.local && !c.cold && !c.ejected && !c.draining })
	for i := range all {
		if c := &all[i]; c.cold && (c.avoided || !c.local && hasWarmLocal) {
			c.wait = c.wait*maxColdFactor + float64(b.crossDomainMs())
		}
	}
}

func (b *Balancer) isDraining(id yuccahinge.SearcherID, st *searcherStats) bool {
	return st.draining.Load() || b.IsDraining != nil && b.IsDraining(id)
}

func (b *Balancer) isEvacuated(s *yuccahinge.Searcher) bool {
	return b.IsEvacuated != nil && b.IsEvacuated(s.Domain)
}

// isCallable reports whether a searcher is not evacuated, is not draining, or may be called all the same, may hold the version of the
// index and seems to be reachable.
func (b *Balancer) isCallable(now yuccahinge.Millis, ix *yuccahinge.Index, id yuccahinge.SearcherID, s *yuccahinge.Searcher, st *searcherStats) bool {
	switch {
	case b.isEvacuated(s):
		return false
	case b.isDraining(id, st) && (b.MayCallDraining == nil || !b.MayCallDraining(now, id)), !b.mayHold(id, ix.Version):
		return false
	default:
		return !b.WatchDomains || !b.watchDomain(st, s.Domain).isCut(now)
	}
}

// mayHold reports whether a searcher may hold a version. One whose versions are unknown is assumed to hold it.
func (b *Balancer) mayHold(id yuccahinge.SearcherID, v yuccahinge.IndexVersion) bool {
	if b.HoldsVersion == nil {
		return true
	}
	holds, known := b.HoldsVersion(id, v)
	return holds || !known
}

// dropDraining removes the draining candidates if another one can be called, or if this is an extra attempt: a hedge would
// occupy a searcher that is to become idle.
func dropDraining(all []candidate, isExtra bool) []candidate {
	if !isExtra && !slices.ContainsFunc(all, func(c candidate) bool { return !c.draining && !c.ejected }) {
		return all
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return c.draining })
}

// dropEjected removes the ejected candidates. If all are ejected, it keeps those that were ejected only once, since a
// wrong signal must not empty a shard. The others get a trial call from time to time only: otherwise every query would
// wait for its deadline at a shard that is down.
func dropEjected(now yuccahinge.Millis, all []candidate) []candidate {
	if slices.ContainsFunc(all, func(c candidate) bool { return !c.ejected }) {
		return slices.DeleteFunc(all, func(c candidate) bool { return c.ejected })
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return !c.stats.allowTrial(now) })
}

// dropTroubled removes the candidates that reject requests without load, if another one seems to have a free slot. If all
// others are full, a rejection costs less than their queues.
func (b *Balancer) dropTroubled(now yuccahinge.Millis, all []candidate) []candidate {
	if b.Troubles.Len() == 0 || !slices.ContainsFunc(all, func(c candidate) bool { return c.hasRoom && !b.Troubles.InTrouble(now, c.id) }) {
		return all
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return b.Troubles.InTrouble(now, c.id) })
}

// chooseByShare chooses among candidates with different shares of calls. Each is left out at random, so that it takes part as often as
// its share is of the largest one. One that is left out is chosen all the same if the others would take far longer, since they may be
// paused: a call to a slow searcher costs no more than one to another failure domain.
func (b *Balancer) chooseByShare(now yuccahinge.Millis, all []candidate) yuccahinge.SearcherID {
	var buf [maxReplicas]float64
	shares, largest := buf[:0], 0.0
	for i := range all {
		share := b.Capacity.Share(now, all[i].id)
		shares, largest = append(shares, share), max(largest, share)
	}
	kept := 0
	for i := range all {
		switch {
		case shares[i] >= largest || mixer.Float64(b.nextRandom()) < shares[i]/largest:
			all[i], all[kept] = all[kept], all[i]
			kept++
		case shares[i] > 0:
			all[i].wait += float64(b.crossDomainMs())
		default:
			all[i].wait += leftOutCostMs
		}
	}
	best, _ := b.choose(all[:kept])
	if other, ok := b.choose(all[kept:]); ok && other.wait < best.wait {
		return other.id
	}
	return best.id
}

// choose compares the better of two random local candidates with the better of two random remote ones.
func (b *Balancer) choose(all []candidate) (candidate, bool) {
	if len(all) <= 1 {
		return b.betterOfTwo(all)
	}
	local := 0
	for i, c := range all {
		if c.local {
			all[i], all[local] = all[local], all[i]
			local++
		}
	}
	best, ok := b.betterOfTwo(all[:local])
	if other, found := b.betterOfTwo(all[local:]); found && (!ok || other.wait < best.wait) {
		best = other
	}
	return best, true
}

func (b *Balancer) betterOfTwo(from []candidate) (candidate, bool) {
	switch len(from) {
	case 0:
		return candidate{}, false
	case 1:
		return from[0], true
	}
	i := int(b.nextRandom() % uint64(len(from)))
	j := int(b.nextRandom() % uint64(len(from)-1))
	if j >= i {
		j++
	}
	if from[j].wait < from[i].wait {
		i = j
	}
	return from[i], true
}

// nextRandom returns the next number of a sequence that starts at Seed.
func (b *Balancer) nextRandom() uint64 {
	const step = 0x9e3779b97f4a7c15
	return mixer.Bits(b.Seed + b.randomState.Add(step))
}

// nextUnit returns the next random number from 0 to 1.
func (b *Balancer) nextUnit() float64 { return float64(b.nextRandom()>>11) / (1 << 53) }

func (b *Balancer) stats(id yuccahinge.SearcherID) *searcherStats {
	if v, ok := b.searchers.Load(id); ok {
		return v.(*searcherStats)
	}
	v, _ := b.searchers.LoadOrStore(id, new(searcherStats))
	return v.(*searcherStats)
}

func (b *Balancer) maxEjectMs() yuccahinge.Millis {
	if b.MaxEjectMs > 0 {
		return b.MaxEjectMs
	}
	return defaultMaxEject
}

func (b *Balancer) crossDomainMs() yuccahinge.Millis {
	if b.CrossDomainMs != nil {
		return b.CrossDomainMs()
	}
	return defaultCrossDomainMs
}
