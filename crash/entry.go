package crash

import (
	"math"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// entry is what is known about the requests of one fingerprint.
type entry struct {
	reports []report // of different searchers, in the order of their receipt
	// pending holds the losses at searchers that may have ended, in the order of their receipt.
	pending []report
	expires yuccahinge.Millis
	// confirmedAt, announcedAt and services are zero unless the fingerprint is confirmed; services is the hash of those of
	// the report that confirmed it.
	confirmedAt yuccahinge.Millis
	announcedAt yuccahinge.Millis
	services    uint64
}

// report says that a searcher is gone that ran a request, or that it may be.
type report struct {
	searcher uint64 // hash of its id
	services uint64 // hash of the services that the request was for
	at       yuccahinge.Millis
}

// addReport adds a report on the fingerprint and returns its entry. The caller holds the lock.
func (t *Tracker) addReport(now yuccahinge.Millis, f yuccahinge.Fingerprint, r report) *entry {
	if at, ok := t.lastResponse(responseKey(f, r.services)); ok && r.at <= at {
		if e := t.entries[f]; e != nil {
			return e
		}
		return &entry{}
	}
	e := t.entry(now, f)
	if i := slices.IndexFunc(e.reports, func(known report) bool { return known.searcher == r.searcher }); i >= 0 {
		e.reports[i].at = max(e.reports[i].at, r.at)
	} else {
		if len(e.reports) >= maxReports {
			e.reports = slices.Delete(e.reports, 0, 1)
		}
		e.reports = append(e.reports, r)
	}
	e.expires = max(e.expires, r.at+reportMs)
	if e.confirmedAt == 0 && t.isProven(f, e) {
		e.confirm(now, r.services)
	}
	return e
}

// reportOwn adds a report of this host and returns the notices for the other hosts. The caller holds the lock.
func (t *Tracker) reportOwn(now yuccahinge.Millis, f yuccahinge.Fingerprint, r report) []yuccahinge.Notice {
	known := t.entries[f] != nil && t.entries[f].confirmedAt > 0
	e := t.addReport(now, f, r)
	var notices []yuccahinge.Notice
	if e.confirmedAt > 0 {
		if n := e.announce(now, f); n != nil {
			notices = append(notices, *n)
		}
	}
	if !known {
		// A host that knows of a response does not rely on the confirmation alone.
		left := reportMs - max(0, now-r.at)
		notices = append(notices, yuccahinge.Notice{Kind: yuccahinge.NoticeCrash, Key: noticeKey(f, r.services, r.searcher), TTLMs: left})
	}
	return notices
}

// addPending adds a loss at a searcher that may have ended. The caller holds the lock.
func (t *Tracker) addPending(now yuccahinge.Millis, f yuccahinge.Fingerprint, r report) {
	e := t.entry(now, f)
	if len(e.pending) >= maxReports {
		e.pending = slices.Delete(e.pending, 0, 1)
	}
	e.pending = append(e.pending, r)
	e.expires = max(e.expires, now+lossMs)
}

// heldUntil returns until when a request is refused because of searchers that may have ended, beside those that are known to have. It
// returns zero if there are fewer than heldReports of both. The caller holds the lock.
func (t *Tracker) heldUntil(now yuccahinge.Millis, f yuccahinge.Fingerprint, e *entry) yuccahinge.Millis {
	var searchers []uint64
	for _, r := range e.reports {
		if !t.isExcused(f, r) {
			searchers = append(searchers, r.searcher)
		}
	}
	var until yuccahinge.Millis
	for _, r := range e.pending {
		if r.at+lossMs > now && !t.isExcused(f, r) && t.mayHaveEnded(r.searcher, f) {
			until = max(until, r.at+lossMs)
			searchers = append(searchers, r.searcher)
		}
	}
	slices.Sort(searchers)
	if len(slices.Compact(searchers)) < heldReports {
		return 0
	}
	return until
}

// isProven reports whether the reports on a fingerprint suffice to confirm it. The caller holds the lock.
func (t *Tracker) isProven(f yuccahinge.Fingerprint, e *entry) bool {
	unexcused := 0
	first, last := yuccahinge.Millis(math.MaxFloat64), yuccahinge.Millis(0)
	for _, r := range e.reports {
		first, last = min(first, r.at), max(last, r.at)
		if !t.isExcused(f, r) {
			unexcused++
		}
	}
	return unexcused >= confirmReports || len(e.reports) >= provenReports && last-first >= provenSpreadMs
}

// entry returns the entry of the fingerprint, a new one if there is none. The caller holds the lock.
func (t *Tracker) entry(now yuccahinge.Millis, f yuccahinge.Fingerprint) *entry {
	t.sweep(now)
	if e := t.entries[f]; e != nil {
		return e
	}
	if len(t.entries) >= maxEntries {
		t.evict()
	}
	if t.entries == nil {
		t.entries = make(map[yuccahinge.Fingerprint]*entry)
	}
	e := &entry{}
	t.entries[f] = e
	t.count.Store(int64(len(t.entries)))
	return e
}

// evict drops the entry with the fewest reports, of these the oldest. The caller holds the lock.
func (t *Tracker) evict() {
	var victim yuccahinge.Fingerprint
	var worst *entry
	for f, e := range t.entries {
		if worst == nil || e.weight() < worst.weight() || e.weight() == worst.weight() && e.expires < worst.expires {
			victim, worst = f, e
		}
	}
	delete(t.entries, victim)
}

// sweep drops the expired entries. The caller holds the lock.
func (t *Tracker) sweep(now yuccahinge.Millis) {
	t.nextSweep = now + sweepMs
	for f, e := range t.entries {
		if e.expires <= now {
			delete(t.entries, f)
		}
	}
	t.count.Store(int64(len(t.entries)))
}

// weight is the number of reports; a confirmed entry has the most.
func (e *entry) weight() int {
	if e.confirmedAt > 0 {
		return maxReports + 1
	}
	return len(e.reports)
}

func (e *entry) confirm(now yuccahinge.Millis, services uint64) {
	if e.confirmedAt == 0 {
		e.confirmedAt, e.services = now, services
	}
	e.extend(now)
}

// extend lets the quarantine last for quarantineMs from now, but not beyond maxQuarantineMs.
func (e *entry) extend(now yuccahinge.Millis) {
	e.expires = min(now+quarantineMs, e.confirmedAt+maxQuarantineMs)
}

// announce returns the notice of a confirmed fingerprint, or nil if the hosts still repeat the last one.
func (e *entry) announce(now yuccahinge.Millis, f yuccahinge.Fingerprint) *yuccahinge.Notice {
	if e.announcedAt > 0 && now < e.announcedAt+announceMs {
		return nil
	}
	e.announcedAt = now
	return &yuccahinge.Notice{Kind: yuccahinge.NoticePoisoned, Key: noticeKey(f, e.services), TTLMs: announceMs}
}
