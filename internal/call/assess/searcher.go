package assess

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// speedWeight is the weight of a new sample in the relative latency of a searcher.
	speedWeight = 0.02
	// minSpeedSamples is the number of samples from which a searcher's speed is used.
	minSpeedSamples = 20
	// minSpeedGap is the least difference of a speed to that of the peers that counts, as a logarithm. It is about half of the
	// difference between the speeds 0.8 and 1.
	minSpeedGap = 0.12
	// speedErrors is the number of standard errors that the difference must exceed as well. With 3, single ones of thousands of searchers
	// that work alike counted as slower.
	speedErrors = 4.0
	// minLate is the ratio of a latency to the expected one from which it counts as late. It is well below the factor of a searcher that is
	// 2.5 to 3 times slower.
	minLate = 2.0
	// lateSpreads is the number of spreads of the group by which a late call must exceed the expectation as well.
	lateSpreads = 3.0
	// lateInRow late calls with no other between them make a searcher slow. Late calls within lateGapMs count once, since a pause of a
	// searcher makes all calls late that it meets.
	lateInRow = 4
	lateGapMs = 150.0
	// refusalSignal and invalidSignal are the weights of the signs of trouble; a searcher is in trouble from troubleSignal on. A
	// refusal with free slots is certain, an invalid answer may be due to its request.
	refusalSignal    = 1.0
	invalidSignal    = 0.5
	troubleSignal    = 0.9
	signalHalfLifeMs = 5000.0
	// intervalWeight is the weight of a new sample in the mean time between replies.
	intervalWeight = 0.05
	// pauseLatencies is the number of latencies without a reply after which package picker expects a searcher to stay silent.
	pauseLatencies = 3.0
	// A reply that shows more calls than the capacity multiplies the share by pressureFall, down to minPressure; another one adds
	// pressureRise to it. Without replies the missing part halves in pressureHalfLifeMs.
	pressureFall       = 0.7
	pressureRise       = 0.05
	minPressure        = 0.05
	pressureHalfLifeMs = 2000.0
	// firstHoldMs is how long a searcher that is slow or in trouble gets no calls at first. Each further time right after a trial is
	// twice as long, up to maxHoldMs.
	firstHoldMs = 2 * yuccahinge.Second
	maxHoldMs   = 8 * yuccahinge.Second
	// goodTrials is the number of calls after a hold that must go well before the searcher counts as well.
	goodTrials = 5
)

// searcher is the estimate of one searcher.
type searcher struct {
	group *group
	usage *usage
	// deviates reports whether the share may be below 1.
	deviates atomic.Bool

	mu sync.Mutex
	// relative is the logarithm of the latency relative to the group's at the same load.
	relative float64
	samples  int
	curve    curve
	late     int
	lateAt   yuccahinge.Millis
	signal   float64
	signalAt yuccahinge.Millis
	// intervalMs is the mean time between two replies.
	intervalMs float64
	repliedAt  yuccahinge.Millis
	pressure   float64
	// pressedAt is the instant of the last change of pressure, and pressedSince that of its first fall below 1.
	pressedAt, pressedSince yuccahinge.Millis
	slow, trouble           hold
	// troubleReason says why the searcher is in trouble.
	troubleReason string
	// reported is the condition that Changes returned last.
	reported yuccahinge.SearcherCondition
}

// record records the end of a call.
func (s *searcher) record(now yuccahinge.Millis, res *yuccahinge.ShardResult) {
	report := res.LoadReport()
	switch {
	case res.Outcome == yuccahinge.Ran && report != nil:
		s.recordReply(now, float64(res.Latency), report)
	case res.WasRefused():
		if res.RefusedWithoutLoad() {
			s.recordSignal(now, refusalSignal, "refused a call with a free slot")
		}
	case res.Reason == yuccahinge.ReasonInvalid:
		s.recordSignal(now, invalidSignal, "sent invalid answers")
	case res.Reason == yuccahinge.ReasonCanceled, res.Reason == yuccahinge.ReasonTimeout:
		if mean, spread, ok := s.group.expected(); ok && res.Latency > 0 && s.isLate(math.Log(float64(res.Latency)), mean, spread) {
			s.recordLate(now)
		}
	}
}

func (s *searcher) recordReply(now yuccahinge.Millis, latency float64, report *yuccahinge.LoadReport) {
	s.trouble.recordGood(now)
	s.recordInterval(now)
	s.usage.add(s.hasFrequentCalls(), report, s.group.slots)
	running, slots := report.Running+1, s.group.slots
	s.recordPressure(now, running+report.Queued)
	if latency <= 0 {
		return
	}
	// A call that met a queue waited for about the time that the searcher takes for as many calls as its queue has.
	sample := math.Log(latency / (1 + float64(report.Queued)/float64(slots)))
	mean, spread, ok := s.group.expected()
	if !isLow(running, slots) || report.Queued > 0 {
		if ok {
			s.curve.add(min(running, slots), slots, sample-mean-s.relative)
		}
		return
	}
	s.group.add(sample, s.relative)
	if !ok {
		return
	}
	if s.isLate(sample-s.relative, mean, spread) {
		s.recordLate(now)
		return
	}
	s.late = 0
	s.slow.recordGood(now)
	s.samples++
	d := max(-maxDeviation, min(sample-mean-s.relative, maxDeviation))
	s.relative += max(1/float64(s.samples), speedWeight) * d
}

// isLate reports whether the logarithm of a latency is far above the expected one.
func (s *searcher) isLate(sample, mean, spread float64) bool {
	return sample-mean > max(math.Log(minLate), lateSpreads*spread)
}

func (s *searcher) recordLate(now yuccahinge.Millis) {
	if s.slow.isOnTrial(now) {
		s.slow.begin(now)
		s.late = 0
		return
	}
	if s.late > 0 && now-s.lateAt < lateGapMs {
		return
	}
	s.lateAt = now
	if s.late++; s.late >= lateInRow {
		s.slow.begin(now)
		s.late = 0
	}
}

func (s *searcher) recordSignal(now yuccahinge.Millis, weight float64, reason string) {
	s.signal = s.signal*math.Exp2(-float64(now-s.signalAt)/signalHalfLifeMs) + weight
	s.signalAt = now
	if s.signal >= troubleSignal || s.trouble.isOnTrial(now) {
		s.trouble.begin(now)
		s.troubleReason = reason
	}
}

// recordPressure lowers the pressure while the searcher has more running calls than its capacity.
func (s *searcher) recordPressure(now yuccahinge.Millis, running int) {
	limit := s.curve.limit(s.group.slots)
	p := s.pressureAt(now)
	if limit < s.group.slots && running > limit {
		if p >= 1 {
			s.pressedSince = now
		}
		p = max(minPressure, p*pressureFall)
	} else {
		p = min(1, p+pressureRise)
	}
	s.pressure, s.pressedAt = p, now
}

// pressureAt returns the share of calls that the load of the searcher allows, which returns to 1 while no call ends.
func (s *searcher) pressureAt(now yuccahinge.Millis) float64 {
	if s.pressure >= 1 {
		return 1
	}
	p := 1 - (1-s.pressure)*math.Exp2(-float64(now-s.pressedAt)/pressureHalfLifeMs)
	if p > 0.99 {
		return 1
	}
	return p
}

// hasFrequentCalls reports whether replies come so often that the host notices at once when the searcher pauses.
func (s *searcher) hasFrequentCalls() bool {
	mean, _, ok := s.group.expected()
	return ok && s.intervalMs > 0 && s.intervalMs < pauseLatencies*math.Exp(mean)
}

// recordInterval records the instant of a reply.
func (s *searcher) recordInterval(now yuccahinge.Millis) {
	if s.repliedAt > 0 {
		s.intervalMs += intervalWeight * (float64(now-s.repliedAt) - s.intervalMs)
	}
	s.repliedAt = now
}

// speed returns the speed relative to the peers, or 1 if the difference is not certain.
func (s *searcher) speed() float64 {
	if s.samples < minSpeedSamples || math.Abs(s.relative) < minSpeedGap {
		return 1
	}
	_, spread, _ := s.group.expected()
	weight := max(1/float64(s.samples), speedWeight)
	// The standard deviation of a normal distribution is 1.25 times its mean deviation.
	stdError := 1.25 * spread * math.Sqrt(weight/(2-weight))
	if math.Abs(s.relative) < speedErrors*stdError {
		return 1
	}
	return math.Exp(-s.relative)
}

func (s *searcher) share(now yuccahinge.Millis) float64 {
	if s.trouble.isActive(now) || s.slow.isActive(now) {
		return 0
	}
	speed := min(1, s.speed())
	if speed < 1 && s.usage.isLow() {
		speed *= speed
	}
	share := s.pressureAt(now) * speed
	if share < 1 && s.usage.isFrequent() {
		// The expected wait follows load, speed and pauses by itself. A call sent elsewhere because of them might meet a pause of a
		// searcher of which the host knows less.
		return 1
	}
	return share
}

func (s *searcher) estimate(now yuccahinge.Millis, id yuccahinge.SearcherID) yuccahinge.SearcherEstimate {
	out := yuccahinge.SearcherEstimate{
		Searcher: id, Condition: yuccahinge.SearcherWell,
		Capacity: s.curve.limit(s.group.slots), Speed: s.speed(), Share: s.share(now),
	}
	set := func(c yuccahinge.SearcherCondition, since yuccahinge.Millis, reason string) {
		out.Condition, out.SinceMs, out.Reason = c, now-since, reason
	}
	switch {
	case s.trouble.isOngoing():
		set(yuccahinge.SearcherTrouble, s.trouble.since, s.troubleReason)
	case s.slow.isOngoing():
		set(yuccahinge.SearcherSlow, s.slow.since, "calls in a row took much longer than those of its peers")
	case s.pressureAt(now) < 1:
		set(yuccahinge.SearcherFull, s.pressedSince, "has more calls than its throughput grows with")
	}
	return out
}
