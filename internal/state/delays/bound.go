// Package delays divides the time in which hosts must know that a searcher leaves among the steps by which they learn of it.
package delays

import "github.com/yuccahinge/yuccahinge"

const (
	// defaultDrainMs and defaultHeartbeatMs apply where the settings name no times.
	defaultDrainMs     = 3 * yuccahinge.Second
	defaultHeartbeatMs = 1.2 * yuccahinge.Second
)

const (
	// limitShare is the part of the drain time in which a host has to have read the platform. The rest is for a read that has to be
	// repeated and for requests that are on their way.
	limitShare = 0.65
	// lapseBeats is the length, in heartbeats, of the shortest outage of the platform in which an entry can lapse. An entry lapses after three
	// intervals without a heartbeat; one of them, which may be a little longer than usual, may have passed before the outage.
	lapseBeats = 1.9
	// keepShare is the part of the drain time after the last known read for which a searcher without an entry may be kept by a host that
	// does not know whether the platform was away.
	keepShare = 0.9
)

// Shares of Bound.Limit.
const (
	readIntervalShare = 0.42
	watchPauseShare   = 0.2
	readTimeoutShare  = 0.25
	refreshShare      = 0.35
	othersShare       = 0.68
	substitutesShare  = 0.74
	readShare         = 0.82
	readSpreadShare   = 0.06
	minCallShare      = 0.1
	minGainShare      = 0.1
)

// Bound derives the delays of reads of the list of searchers from how long a searcher that leaves still serves, and from how often
// searchers write their entries. Ages are those of the last read of the platform whose result a host knows, be it its own or that of
// another host. The zero value takes defaults.
type Bound struct {
	// DrainMs is how long a searcher serves after it has said that it leaves; zero means 3 s.
	DrainMs yuccahinge.Millis
	// HeartbeatMs is the interval at which a searcher writes its entry; zero means 1.2 s.
	HeartbeatMs yuccahinge.Millis
}

// Limit returns the age that the last known read does not exceed at a host that reaches the platform.
func (b Bound) Limit() yuccahinge.Millis { return min(limitShare*b.drain(), b.ShortestOutage()) }

// ShortestOutage returns the duration of the shortest outage of the platform in which the entry of a running searcher can lapse.
func (b Bound) ShortestOutage() yuccahinge.Millis {
	if b.HeartbeatMs > 0 {
		return lapseBeats * b.HeartbeatMs
	}
	return lapseBeats * defaultHeartbeatMs
}

// KeepFor returns the age up to which a host that does not know whether the platform was away may keep a searcher without an entry.
func (b Bound) KeepFor() yuccahinge.Millis { return keepShare * b.drain() }

// ReadInterval returns the longest time from one read of the platform to the next, by a host that others rely on.
func (b Bound) ReadInterval() yuccahinge.Millis { return readIntervalShare * b.Limit() }

// WatchPause returns the longest pause after a read of the platform that has found a change.
func (b Bound) WatchPause() yuccahinge.Millis { return watchPauseShare * b.Limit() }

// ReadTimeout returns how long after the end of its wait a read of the platform is late, so that it may be on a dead connection.
func (b Bound) ReadTimeout() yuccahinge.Millis { return readTimeoutShare * b.Limit() }

// RefreshAfter returns the age from which a host wants the result of a newer read, even if that has found no change.
func (b Bound) RefreshAfter() yuccahinge.Millis { return refreshShare * b.Limit() }

// AskOthersAfter returns the age from which a host asks all hosts that read the platform.
func (b Bound) AskOthersAfter() yuccahinge.Millis { return othersShare * b.Limit() }

// AskSubstitutesAfter returns the age from which a host asks substitutes to read the platform.
func (b Bound) AskSubstitutesAfter() yuccahinge.Millis { return substitutesShare * b.Limit() }

// ReadAfter returns the age from which a host reads the platform itself. Hosts spread their reads by different values of spread, 0 to 1.
func (b Bound) ReadAfter(spread float64) yuccahinge.Millis {
	return yuccahinge.Millis(readShare+readSpreadShare*spread) * b.Limit()
}

// MinCall returns the shortest time that a call to other hosts gets, however old the last known read is.
func (b Bound) MinCall() yuccahinge.Millis { return minCallShare * b.Limit() }

// MinGain returns by how much a read is newer than the last known one if it is another one. Less may be the time that an answer was on its
// way.
func (b Bound) MinGain() yuccahinge.Millis { return minGainShare * b.Limit() }

func (b Bound) drain() yuccahinge.Millis {
	if b.DrainMs > 0 {
		return b.DrainMs
	}
	return defaultDrainMs
}
