package admit

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// leastShare is the part of the admitted share that requests of any rank get if they can be on time, so that a less urgent
	// kind is served at least a quarter as often as all requests together, also if a few of its admitted requests fail.
	leastShare = 0.3
	// leastMarginal is the least part of the admitted share that a change concerns.
	leastMarginal = 0.2
	// arrivalsMs is the time constant of the rates of arrivals.
	arrivalsMs = 2000.0
	// minRate is the rate of arrivals below which a class is left out, in requests a second.
	minRate = 0.05
	// urgentAdmitted is the share of the most urgent class from which it counts as admitted.
	urgentAdmitted = 0.98
	// While requests of the most urgent rank are refused, a rise of the share is multiplied by urgentRise, and a fall by urgentFall
	// if one of them calls for it; less urgent ones don't lower it. The hosts don't know each other's shares: otherwise one
	// would refuse urgent requests while others admit less urgent ones.
	urgentRise, urgentFall = 4.0, 0.25
	// classes is the number of classes of requests.
	classes = 2 * (maxRank + 1)
)

// class is a rank of requests that can be on time, or of those that can't.
type class struct {
	rank int
	late bool
}

// order returns the position of the class in the order of admission: what can no longer be on time comes last.
func (c class) order() int {
	if c.late {
		return maxRank + 1 + c.rank
	}
	return c.rank
}

// arrivals estimates the rate of arrivals of each class, in the order of admission.
type arrivals struct {
	rates [classes]float64 // in requests a second
	at    yuccahinge.Millis
}

// add counts an arrival.
func (a *arrivals) add(now yuccahinge.Millis, c class) {
	a.decay(now)
	a.rates[c.order()] += 1000 / arrivalsMs
}

func (a *arrivals) decay(now yuccahinge.Millis) {
	factor := math.Exp(-max(0, float64(now-a.at)) / arrivalsMs)
	for i := range a.rates {
		a.rates[i] *= factor
	}
	a.at = max(a.at, now)
}

// total returns the rate of all classes.
func (a *arrivals) total(now yuccahinge.Millis) float64 {
	a.decay(now)
	sum := 0.0
	for _, rate := range a.rates {
		sum += rate
	}
	return sum
}

// least returns the rate of each class that is admitted in any case: of those that can be on time, leastShare of the share that
// would be admitted if they were all treated alike.
func (a *arrivals) least(share float64) (least [classes]float64) {
	all, onTime := 0.0, 0.0
	for i, rate := range a.rates {
		all += rate
		if i <= maxRank {
			onTime += rate
		}
	}
	if onTime == 0 {
		return least
	}
	alike := min(share*all/onTime, 1)
	for i := range maxRank + 1 {
		least[i] = leastShare * alike * a.rates[i]
	}
	return least
}

// admitted returns the share of a class that is admitted if the given share of all requests is.
func (a *arrivals) admitted(share float64, c class) float64 {
	if rate := a.rates[c.order()]; rate > 0 {
		return a.given(share)[c.order()] / rate
	}
	return share
}

// given returns the admitted rate of each class if the given share of all requests is admitted: the least of each, and the rest
// in the order of admission. If 40 of 100 requests a second are admitted and half of the 100 are of rank 0, half of rank 1, each
// rank gets 6 at least, and rank 0 the other 28.
func (a *arrivals) given(share float64) (given [classes]float64) {
	rest := 0.0
	given = a.least(share)
	for i, rate := range a.rates {
		rest += share*rate - given[i]
	}
	for i, rate := range a.rates {
		more := min(max(rest, 0), rate-given[i])
		given[i] += more
		rest -= more
	}
	return given
}

// marginal returns the part of the admitted share that goes to the last class of which more than the least is admitted, or
// leastMarginal of the share if that is more. Classes below minRate don't count. A change of the load concerns this part, so that
// the more urgent classes keep theirs.
func (a *arrivals) marginal(share float64) float64 {
	total, last := 0.0, 0.0
	least := a.least(share)
	for i, given := range a.given(share) {
		total += given
		// Rounding must not make the least look like more.
		if a.rates[i] >= minRate && given > 1.001*least[i] {
			last = given
		}
	}
	if total == 0 {
		return share
	}
	return share * max(last/total, leastMarginal)
}

// mostUrgent returns the most urgent rank whose requests can be on time, or -1 for none, and whether there are others.
func (a *arrivals) mostUrgent() (rank int, hasOthers bool) {
	rank = -1
	for i := range maxRank + 1 {
		switch {
		case a.rates[i] < minRate:
		case rank < 0:
			rank = i
		default:
			return rank, true
		}
	}
	return rank, false
}

// protectUrgent changes the step that a request of a rank calls for while requests of the most urgent rank are refused although
// there are less urgent ones.
func (a *arrivals) protectUrgent(share float64, rank int, step float64) float64 {
	urgent, hasOthers := a.mostUrgent()
	switch {
	case !hasOthers, a.admitted(share, class{rank: urgent}) >= urgentAdmitted:
		return step
	case step > 0:
		return urgentRise * step
	case rank == urgent:
		return urgentFall * step
	default:
		return 0
	}
}
