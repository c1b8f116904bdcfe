// Package crash detects forwarded requests that crash the searchers that run them, from what all hosts report.
package crash

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/poison"
)

const (
	// confirmReports is the number of reports, each of another request and another searcher, that confirm a fingerprint.
	confirmReports = 3
	// heldReports is the number of reports and of losses at searchers that may have ended, together, from which a request is
	// refused until it is known whether they have. One more than confirm it, since a loss proves less.
	heldReports = confirmReports + 1
	// provenReports is the number of reports that confirm a fingerprint which got a response not long before them, if they
	// are spread over provenSpreadMs or more: searchers that end together, in an outage, say less about what they ran.
	provenReports  = 2 * confirmReports
	provenSpreadMs = 5 * yuccahinge.Second
	// maxReports bounds the reports that are kept on one fingerprint.
	maxReports = 16
	// reportMs is how long a report counts.
	reportMs = 300 * yuccahinge.Second
	// announceMs is how long hosts repeat that a request is confirmed to hosts that don't know it.
	announceMs = 300 * yuccahinge.Second
	// quarantineMs is how long a request is refused after it last came or was announced. It is longer than announceMs, so
	// that a host that refuses the request announces it again before the others forget it.
	quarantineMs = 2 * announceMs
	// maxQuarantineMs is how long a request is refused at most before it may run again.
	maxQuarantineMs = 3600 * yuccahinge.Second
	// responseMs is how long a response excuses later reports on its fingerprint, of which it then takes provenReports.
	responseMs = 120 * yuccahinge.Second
	// responseSlots is the number of slots that store fingerprints with a response.
	responseSlots = 16384
	// survivorSlots is the number of slots that store fingerprints of which a searcher has survived a call without a response.
	survivorSlots = 1024
	// lossMs is how long the loss of a connection waits for a sign that the searcher has ended. The platform drops the entry
	// of a searcher, or lists another one at its address, some seconds after its end.
	lossMs = 6 * yuccahinge.Second
	// unfinishedMs is the time after the end of a call from which a response of the searcher shows that the request has not ended it.
	unfinishedMs = 1 * yuccahinge.Second
	// sameEndMs is the time within which the connections to a searcher that ends are lost, as different hosts tell it.
	sameEndMs = 1 * yuccahinge.Second
	// endMs is how long the end of a searcher is remembered for losses that are told later.
	endMs = 30 * yuccahinge.Second
	// maxEnds bounds the searchers that are tracked, and maxLosses the losses at one of them.
	maxEnds   = 512
	maxLosses = 64
	// sweepMs is the time between two searches for expired entries.
	sweepMs = 10 * yuccahinge.Second
	// maxEntries bounds the fingerprints that are tracked.
	maxEntries = 256
	// keySeparator separates the parts of a notice's key.
	keySeparator = "/"
)

// Tracker tracks the requests that crash searchers. A report says that no searcher ran a request to its end, that a searcher closed
// its connection and that this searcher has ended, which may become known later. Requests of one fingerprint are retries of each
// other: confirmReports on different searchers confirm the fingerprint. Then its requests are refused, as long as they come.
// Reports on one searcher count once, since all requests that it ran are lost when it ends. A response to any request of the
// fingerprint shows that the searchers of its services that ended before it did so for another reason, and makes that likely for
// those that end soon after it; the host that got it tells the others. The zero value is ready to use. A Tracker is safe for
// concurrent use; IsEmpty takes no lock, nor does RecordResponse while there are no reports.
type Tracker struct {
	responses [responseSlots]response
	count     atomic.Int64 // len(entries), readable without mu

	mu      sync.Mutex
	entries map[yuccahinge.Fingerprint]*entry
	// nextSweep is when the expired entries are to be dropped, and nextEndSweep when the expired ends are.
	nextSweep, nextEndSweep yuccahinge.Millis
	// ends holds, by the hash of their ids, the searchers that have ended and those that may have.
	ends map[uint64]*end
	// survivors holds the calls without a response that searchers have survived.
	survivors [survivorSlots]survivor
	endCount  atomic.Int64 // len(ends), readable without mu
}

// IsEmpty reports whether no request is suspect or confirmed.
func (t *Tracker) IsEmpty() bool { return t.count.Load() == 0 }

// Confirmed returns the number of confirmed fingerprints.
func (t *Tracker) Confirmed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if e.confirmedAt > 0 {
			n++
		}
	}
	return n
}

// Check returns the verdict on a request that has arrived. A confirmed request stays so as long as it comes, up to
// maxQuarantineMs, and the notice, if not nil, is to be sent to the other hosts again. The verdict is Cooldown while searchers
// that ran the request may have ended and would confirm it.
func (t *Tracker) Check(now yuccahinge.Millis, f yuccahinge.Fingerprint) (poison.Verdict, *yuccahinge.Notice) {
	if t.IsEmpty() {
		return poison.Clear, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now >= t.nextSweep {
		t.sweep(now)
	}
	e := t.entries[f]
	if e == nil || e.expires <= now {
		return poison.Clear, nil
	}
	if e.confirmedAt > 0 {
		e.extend(now)
		return poison.Confirmed, e.announce(now, f)
	}
	if t.heldUntil(now, f, e) > now {
		return poison.Cooldown, nil
	}
	return t.verdict(f, e), nil
}

// verdict returns the verdict on a fingerprint. Reports that a response excuses are no reason for suspicion. The caller holds
// the lock.
func (t *Tracker) verdict(f yuccahinge.Fingerprint, e *entry) poison.Verdict {
	switch {
	case e.confirmedAt > 0:
		return poison.Confirmed
	case slices.ContainsFunc(e.reports, func(r report) bool { return !t.isExcused(f, r) }):
		return poison.Suspect
	default:
		return poison.Clear
	}
}

// RetryIn returns how long a request is refused at least.
func (t *Tracker) RetryIn(now yuccahinge.Millis, f yuccahinge.Fingerprint) yuccahinge.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	switch {
	case e == nil:
		return 0
	case e.confirmedAt == 0:
		return max(0, t.heldUntil(now, f, e)-now)
	default:
		return max(0, e.expires-now)
	}
}
