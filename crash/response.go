package crash

import (
	"slices"
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/poison"
)

// response is the last response to a request of one fingerprint from searchers of some services. The fields are not written together.
type response struct {
	key atomic.Uint64 // that of responseKey
	// at is the time in whole milliseconds, times two, plus one if another host got the response, which tells all hosts.
	at atomic.Uint64
}

// survivor is the time of the last call with a request of one fingerprint that a searcher has survived.
type survivor struct {
	key uint64 // that of responseKey
	at  yuccahinge.Millis
}

// RecordResponse records that a searcher ran a request to its end, which therefore does not crash the searchers of its services. It
// reports whether the request was suspect or confirmed.
func (t *Tracker) RecordResponse(now yuccahinge.Millis, f yuccahinge.Fingerprint, services uint64) bool {
	if t.IsEmpty() {
		t.storeResponse(now, responseKey(f, services), false)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyResponse(now, f, services, false)
}

// responseKey returns the key of the responses to a fingerprint from searchers of some services. A request may crash the
// searchers of one service and not those of another, to which its route leads later.
func responseKey(f yuccahinge.Fingerprint, services uint64) uint64 { return uint64(f) ^ services }

// storeResponse stores the time of a response unless a later one is known.
func (t *Tracker) storeResponse(at yuccahinge.Millis, key uint64, heard bool) {
	n := 2 * uint64(max(0, at))
	if heard {
		n++
	}
	slot := t.slot(key)
	if slot.key.Load() == key && slot.at.Load() >= n {
		return
	}
	slot.key.Store(key)
	slot.at.Store(n)
}

// slot returns the slot of a key: the one of its two slots that has it, else the one with the older response.
func (t *Tracker) slot(key uint64) *response {
	first, second := &t.responses[key%responseSlots], &t.responses[key>>32%responseSlots]
	switch {
	case first.key.Load() == key:
		return first
	case second.key.Load() == key || second.at.Load() < first.at.Load():
		return second
	default:
		return first
	}
}

// lastResponse returns the time of the last response with a key, or false if none is known.
func (t *Tracker) lastResponse(key uint64) (yuccahinge.Millis, bool) {
	slot := t.slot(key)
	return yuccahinge.Millis(slot.at.Load() / 2), slot.key.Load() == key
}

// HasResponseSince reports whether a searcher of some services ran a request of a fingerprint to its end at the given time or later.
func (t *Tracker) HasResponseSince(since yuccahinge.Millis, f yuccahinge.Fingerprint, services uint64) bool {
	at, ok := t.lastResponse(responseKey(f, services))
	return ok && at >= since
}

// IsUnlikelyCause reports whether a request of a fingerprint is an unlikely cause of ends of searchers that come after the calls to them: one of
// the services' searchers ran such a request to its end not long ago, or was still there some time after this host had ended a call.
func (t *Tracker) IsUnlikelyCause(now yuccahinge.Millis, f yuccahinge.Fingerprint, services uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasResponse(now, responseKey(f, services)) || t.hasSurvivor(now, f, services)
}

// storeSurvivor stores the time at which a searcher was still there some time after this host had ended a call with a request of a
// fingerprint. The caller holds the lock.
func (t *Tracker) storeSurvivor(at yuccahinge.Millis, f yuccahinge.Fingerprint, services uint64) {
	key := responseKey(f, services)
	t.survivors[key%survivorSlots] = survivor{key, at}
}

// hasSurvivor reports whether a searcher was still there recently, some time after this host had ended a call with a request of a
// fingerprint. The caller holds the lock.
func (t *Tracker) hasSurvivor(now yuccahinge.Millis, f yuccahinge.Fingerprint, services uint64) bool {
	key := responseKey(f, services)
	s := t.survivors[key%survivorSlots]
	return s.key == key && s.at > 0 && now < s.at+responseMs
}

// hasResponse reports whether there was a response with a key recently.
func (t *Tracker) hasResponse(now yuccahinge.Millis, key uint64) bool {
	at, ok := t.lastResponse(key)
	return ok && now < at+responseMs
}

// isExcused reports whether a response not long before the loss of a searcher makes it likely that another cause ended it.
func (t *Tracker) isExcused(f yuccahinge.Fingerprint, r report) bool {
	at, ok := t.lastResponse(responseKey(f, r.services))
	return ok && r.at < at+responseMs
}

// applyResponse drops the reports that a response here or at another host refutes: those on its services from before it. It
// reports whether the verdict on the fingerprint is clear now and was not. The caller holds the lock.
func (t *Tracker) applyResponse(at yuccahinge.Millis, f yuccahinge.Fingerprint, services uint64, heard bool) bool {
	e := t.entries[f]
	before := poison.Clear
	if e != nil {
		before = t.verdict(f, e)
	}
	t.storeResponse(at, responseKey(f, services), heard)
	if e == nil {
		return false
	}
	concerns := e.services == services || slices.ContainsFunc(e.reports, func(r report) bool { return r.services == services })
	isRefuted := func(r report) bool { return r.services == services && r.at <= at }
	e.reports, e.pending = slices.DeleteFunc(e.reports, isRefuted), slices.DeleteFunc(e.pending, isRefuted)
	if concerns && !t.isProven(f, e) {
		e.confirmedAt, e.announcedAt, e.services = 0, 0, 0
	}
	if len(e.reports) == 0 && len(e.pending) == 0 && e.confirmedAt == 0 {
		delete(t.entries, f)
		t.count.Store(int64(len(t.entries)))
	}
	return before != poison.Clear && t.verdict(f, e) == poison.Clear
}
