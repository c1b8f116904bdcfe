package picker

import (
	"math"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	defaultCrossDomainMs yuccahinge.Millis = 3
	// initialLatencyMs is the latency assumed for a searcher that has not replied yet.
	initialLatencyMs = 2.0
	// latencyWeight is the weight of a new sample in the latency estimate, an EWMA.
	latencyWeight = 0.1
	// maxSampleRatio caps a sample at a multiple of the estimate, so that one straggler does not divert all calls.
	maxSampleRatio = 4.0
	// coldRampMs is the time over which the calls to a newly started searcher ramp up.
	coldRampMs = 5 * yuccahinge.Second
	// maxColdFactor multiplies the expected wait of a searcher that has just started.
	maxColdFactor = 4.0
	// maxAvoidedShare is the share of the calls that avoid a searcher at the beginning of its warm-up.
	maxAvoidedShare = 0.9
	// reportHalfLifeMs is the age at which a load report has lost half of its weight.
	reportHalfLifeMs = 100.0
	// distrustWeight is the weight in distrust of a new comparison of a load report with the measured latency.
	distrustWeight = 0.2
	// mismatchRatio is the ratio of measured to predicted latency, or its inverse, from which a load report counts as wrong.
	mismatchRatio = 2.0
	// failuresToEject is the number of consecutive failures after which a searcher is ejected.
	failuresToEject = 3
	// firstEjectMs is the length of the first ejection. Each further one is twice as long, up to defaultMaxEject.
	firstEjectMs    = 1 * yuccahinge.Second
	defaultMaxEject = 16 * yuccahinge.Second
	// A searcher without a reply for ejectSilenceMs, and for ejectSilenceFactor times the expected latency, is ejected.
	ejectSilenceMs     = 500.0
	ejectSilenceFactor = 8.0
	// trialIntervalMs is the interval between trial calls to an ejected searcher if all replicas of its shard are ejected.
	trialIntervalMs = 250.0
	// longSilenceFactor is the multiple of the expected latency from which the time without a reply replaces the estimate.
	longSilenceFactor = 3.0
	// lateFactor is the multiple of the expected latency from which a canceled call counts as a failure.
	lateFactor = 1.5
	// errorWeight is the weight of a new call in the share of failed calls, an EWMA.
	errorWeight = 0.15
	// minErrorShare is the share of failed calls below which it counts as zero, so that the searcher is called again.
	minErrorShare = 0.02
	// recoverHalfLifeMs is the half-life of a bad estimate of an unused searcher. The decay lets the searcher get calls again.
	recoverHalfLifeMs = 2000.0
)

// searcherStats holds this host's statistics of one searcher. Each field is atomic by itself, so a reader may see a
// mixture of two updates; an estimate made from it is off by one sample at most.
type searcherStats struct {
	inFlight    atomic.Int64
	draining    atomic.Bool
	incarnation atomic.Pointer[yuccahinge.Incarnation]
	domain      atomic.Pointer[domainState] // nil until the searcher is first a candidate

	watched atomic.Bool // set when the estimate of its capacity has begun

	latency       atomicFloat // estimated latency of a call in milliseconds
	lowestLatency atomicFloat // lowest estimate, the latency without a queue
	sampledAt     atomicFloat // instant of the last latency sample
	waitingSince  atomicFloat // start of the oldest call since the last reply; zero if no call waits for one
	// endedUnanswered is set when a call that was sent ends without a reply, and cleared by a reply.
	endedUnanswered atomic.Bool
	firstSeenAt     atomicFloat // instant at which this incarnation was first seen

	reportedAt            atomicFloat // instant of the last load report
	reportedCallsOfOthers atomicFloat // calls of other hosts that the report shows
	distrust              atomicFloat // 0 if load reports match the measured latency, up to 1 if they don't

	// errorRate is the share of calls that failed or were refused, as of the instant errorRateAt.
	errorRate   atomicFloat
	errorRateAt atomicFloat

	failuresInRow atomic.Int64
	ejections     atomic.Int64
	ejectUntil    atomicFloat
	lastTrial     atomicFloat // instant of the last trial call while ejected
}

func (s *searcherStats) recordStart(now yuccahinge.Millis) {
	s.inFlight.Add(1)
	if d := s.domain.Load(); d != nil {
		d.recordStart(now)
	}
	if s.waitingSince.load() == 0 {
		s.waitingSince.store(float64(now))
	}
	if s.firstSeenAt.load() == 0 {
		s.firstSeenAt.store(float64(now))
	}
}

func (s *searcherStats) recordEnd(now yuccahinge.Millis, r *yuccahinge.ShardResult, maxEject yuccahinge.Millis) {
	left := s.inFlight.Add(-1)
	if d := s.domain.Load(); d != nil {
		d.recordEnd(r)
	}
	if r.DroppedInQueue() {
		s.recordUnsent(left)
		return
	}
	if report := r.LoadReport(); report == nil {
		s.endedUnanswered.Store(true)
	} else {
		s.recordReport(now, report)
		s.recordReply(now)
	}
	s.updateErrorShare(now, r)
	switch {
	case r.Outcome == yuccahinge.Ran:
		s.recordSuccess(now, float64(r.Latency))
	case r.Reply != nil, r.ReportWithoutReply != nil && r.ReportWithoutReply.HoldMs > 0:
		// The searcher has refused the call.
	case r.Reason == yuccahinge.ReasonCanceled:
		s.recordCanceled(now, r, maxEject)
	default:
		s.recordFailure(now, r, maxEject)
	}
}

// recordUnsent records the end of a call that was never sent. If no call since the last reply was sent, the
// searcher no longer counts as not replying.
func (s *searcherStats) recordUnsent(left int64) {
	if left == 0 && !s.endedUnanswered.Load() {
		s.waitingSince.store(0)
	}
}

// updateErrorShare updates the share of failed calls. Canceled calls, and those that the searcher dropped from its queue,
// don't count.
func (s *searcherStats) updateErrorShare(now yuccahinge.Millis, r *yuccahinge.ShardResult) {
	failed := 0.0
	switch {
	case r.Outcome == yuccahinge.Ran:
	case r.Reason == yuccahinge.ReasonCanceled, r.Reason == yuccahinge.ReasonShed:
		return
	default:
		failed = 1
	}
	old := s.errorShare(now)
	s.errorRate.store(old + errorWeight*(failed-old))
	s.errorRateAt.store(float64(now))
}

// errorShare returns the share of failed calls, which decays while no call ends.
func (s *searcherStats) errorShare(now yuccahinge.Millis) float64 {
	share := s.errorRate.load()
	if share == 0 {
		return 0
	}
	share *= math.Exp2(-max(0, float64(now)-s.errorRateAt.load()) / recoverHalfLifeMs)
	if share < minErrorShare {
		return 0
	}
	return share
}

// recordReply resets the time without a reply, which runs from now on if calls are in flight. Some of these may have
// started after now, but no wait is counted from before the reply.
func (s *searcherStats) recordReply(now yuccahinge.Millis) {
	s.endedUnanswered.Store(false)
	if s.inFlight.Load() > 0 {
		s.waitingSince.store(float64(now))
		return
	}
	s.waitingSince.store(0)
}

// silence returns for how long calls have been waiting without any reply, in milliseconds.
func (s *searcherStats) silence(now yuccahinge.Millis) float64 {
	if at := s.waitingSince.load(); at > 0 {
		return max(0, float64(now)-at)
	}
	return 0
}

// isSilent reports whether the searcher seems to be frozen or cut off.
func (s *searcherStats) isSilent(now yuccahinge.Millis) bool {
	return s.silence(now) > max(ejectSilenceMs, ejectSilenceFactor*s.expectedLatency())
}

func (s *searcherStats) recordSuccess(now yuccahinge.Millis, took float64) {
	s.failuresInRow.Store(0)
	s.ejections.Store(0)
	s.ejectUntil.store(0)
	old := s.latency.load()
	if old == 0 {
		s.setEstimate(now, took)
		return
	}
	s.updateDistrust(now, took)
	s.setEstimate(now, old+latencyWeight*(min(took, old*maxSampleRatio)-old))
}

// recordCanceled records a call that was canceled before it ended. One that was late by then counts as a failure too:
// when every call to a frozen searcher is hedged, canceled calls are the only sign of the freeze.
func (s *searcherStats) recordCanceled(now yuccahinge.Millis, r *yuccahinge.ShardResult, maxEject yuccahinge.Millis) {
	old := s.latency.load()
	took := float64(r.Latency)
	if old == 0 || took <= old {
		return
	}
	s.setEstimate(now, old+latencyWeight*(min(took, old*maxSampleRatio)-old))
	if took > old*lateFactor {
		s.recordFailure(now, r, maxEject)
	}
}

func (s *searcherStats) setEstimate(now yuccahinge.Millis, estimate float64) {
	s.latency.store(estimate)
	s.sampledAt.store(float64(now))
	if b := s.lowestLatency.load(); b == 0 || estimate < b {
		s.lowestLatency.store(estimate)
	} else {
		s.lowestLatency.store(b * 1.0002)
	}
}

// recordFailure counts a failure and ejects the searcher after failuresToEject consecutive ones.
func (s *searcherStats) recordFailure(now yuccahinge.Millis, r *yuccahinge.ShardResult, maxEject yuccahinge.Millis) {
	if r.Reason == yuccahinge.ReasonTimeout && float64(r.Latency) < longSilenceFactor*s.expectedLatency() {
		return // the deadline was too short for a reply
	}
	if s.failuresInRow.Add(1) < failuresToEject && r.Reason != yuccahinge.ReasonUnreachable {
		return
	}
	if float64(now) < s.ejectUntil.load() {
		return
	}
	n := s.ejections.Add(1)
	span := min(firstEjectMs*yuccahinge.Millis(math.Exp2(float64(n-1))), maxEject)
	s.ejectUntil.store(float64(now + span))
	s.firstSeenAt.store(float64(now + span))
}

// isEjected reports whether the searcher gets no calls while another replica can take them.
func (s *searcherStats) isEjected(now yuccahinge.Millis) bool {
	return float64(now) < s.ejectUntil.load() || s.isSilent(now)
}

// allowTrial reports whether an ejected searcher may get a call because all other replicas are ejected too.
// After repeated ejections or while it does not reply, it gets one call each trialIntervalMs.
func (s *searcherStats) allowTrial(now yuccahinge.Millis) bool {
	if s.ejections.Load() < 2 && !s.isSilent(now) {
		return true
	}
	old := s.lastTrial.bits.Load()
	return float64(now) >= math.Float64frombits(old)+trialIntervalMs &&
		s.lastTrial.bits.CompareAndSwap(old, math.Float64bits(float64(now)))
}

// recordReport records a load report. A new incarnation counts as cold and not draining.
func (s *searcherStats) recordReport(now yuccahinge.Millis, l *yuccahinge.LoadReport) {
	if l.Incarnation == "" {
		return
	}
	s.recordReply(now)
	if d := s.domain.Load(); d != nil {
		d.recordReply()
	}
	if old := s.incarnation.Load(); old == nil || *old != l.Incarnation {
		if old != nil {
			s.firstSeenAt.store(float64(now))
			s.draining.Store(false)
		}
		incarnation := l.Incarnation
		s.incarnation.Store(&incarnation)
	}
	if l.Draining {
		s.draining.Store(true)
	}
	others := float64(l.Running+l.Queued) - float64(s.inFlight.Load())
	s.reportedCallsOfOthers.store(max(0, others))
	s.reportedAt.store(float64(now))
}

// updateDistrust compares the latency predicted from the last load report with the measured one and adjusts distrust.
func (s *searcherStats) updateDistrust(now yuccahinge.Millis, took float64) {
	base := s.lowestLatency.load()
	if base == 0 || s.callsOfOthers(now) == 0 && took < base*mismatchRatio {
		return
	}
	predicted := base * (1 + s.reportedCallsOfOthers.load()/2)
	ratio := took / predicted
	old := s.distrust.load()
	mismatch := 0.0
	if ratio > mismatchRatio || ratio < 1/mismatchRatio {
		mismatch = 1
	}
	s.distrust.store(old + distrustWeight*(mismatch-old))
}

// callsOfOthers returns the number of calls of other hosts at the searcher, from its last load report. It is reduced by the
// report's age and by distrust.
func (s *searcherStats) callsOfOthers(now yuccahinge.Millis) float64 {
	at := s.reportedAt.load()
	if at == 0 {
		return 0
	}
	age := max(0, float64(now)-at)
	return s.reportedCallsOfOthers.load() * math.Exp2(-age/reportHalfLifeMs) * (1 - s.distrust.load())
}

// hasRoom reports whether a slot seems to be free, given the last load report and this host's calls.
func (s *searcherStats) hasRoom(now yuccahinge.Millis, to *yuccahinge.Searcher) bool {
	return float64(s.inFlight.Load())+s.callsOfOthers(now) < float64(max(to.Slots, 1))
}

func (s *searcherStats) expectedLatency() float64 {
	if l := s.latency.load(); l > 0 {
		return l
	}
	return initialLatencyMs
}

// expectedWait returns the expected latency of one more call in milliseconds, without regard to a warm-up.
func (s *searcherStats) expectedWait(now yuccahinge.Millis, to *yuccahinge.Searcher) float64 {
	slots := float64(max(to.Slots, 1))
	inFlight := float64(s.inFlight.Load())
	queue := (inFlight + s.callsOfOthers(now)) / slots
	return s.latencyEstimate(now, inFlight) * (1 + queue)
}

// latencyEstimate returns the latency estimate in milliseconds. It grows while the searcher does not reply and decays
// towards the latency without a queue while no call is in flight.
func (s *searcherStats) latencyEstimate(now yuccahinge.Millis, inFlight float64) float64 {
	estimate := s.expectedLatency()
	if silence := s.silence(now); silence > longSilenceFactor*estimate {
		return silence
	}
	if inFlight > 0 {
		return estimate
	}
	base := s.lowestLatency.load()
	if base == 0 || estimate <= base {
		return estimate
	}
	idle := max(0, float64(now)-s.sampledAt.load())
	return base + (estimate-base)*math.Exp2(-idle/recoverHalfLifeMs)
}

// coldFactor returns the factor on the expected wait of a searcher that seems to have started less than coldRampMs ago.
func (s *searcherStats) coldFactor(now yuccahinge.Millis) float64 {
	at := s.firstSeenAt.load()
	age := float64(now) - at
	if at == 0 || age < 0 || age >= float64(coldRampMs) {
		return 1
	}
	return 1 + (maxColdFactor-1)*(1-age/float64(coldRampMs))
}
