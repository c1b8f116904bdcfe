package crash

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

// end is what is known about the end of one searcher.
type end struct {
	ended   bool
	losses  []loss // while ended is false
	expires yuccahinge.Millis
	// at is the latest time of the end if the searcher has ended: that of the first loss here since its last response here, or of one
	// that another host has reported. Zero if none is known.
	at yuccahinge.Millis
}

// loss is a request whose connection a searcher has closed, or one that the searcher may still run.
type loss struct {
	fingerprint yuccahinge.Fingerprint
	services    uint64
	at          yuccahinge.Millis
	unfinished  bool // Loss.Unfinished
}

// RecordLoss records the loss of a searcher by a request that none has run to its end. It returns the notices for
// the other hosts: a report if the searcher is known to have ended, else one of kind NoticeLost, or none for an unfinished request. A
// request that was sent after the searcher's end is not the cause of it: something in front of the searcher has accepted it.
func (t *Tracker) RecordLoss(now yuccahinge.Millis, l Loss) []yuccahinge.Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := xxhash.Sum64String(string(l.Searcher))
	d := t.end(now, hash)
	if d.at > 0 && l.SentAt > d.at {
		return nil
	}
	if !l.Unfinished {
		d.endedBy(l.LostAt)
	}
	if t.addLoss(now, hash, loss{l.Fingerprint, l.Services, l.LostAt, l.Unfinished}) {
		return t.reportOwn(now, l.Fingerprint, report{hash, l.Services, l.LostAt})
	}
	if l.Unfinished {
		return nil
	}
	left := lossMs - max(0, now-l.LostAt)
	return []yuccahinge.Notice{{Kind: yuccahinge.NoticeLost, Key: noticeKey(l.Fingerprint, l.Services, hash), TTLMs: left}}
}

// RecordEnd records that a searcher has ended, and returns the notices for the other hosts about the requests that it ran then.
// Argument at is when a connection to it was lost by its end, zero if that is not known.
func (t *Tracker) RecordEnd(now, at yuccahinge.Millis, id yuccahinge.SearcherID) []yuccahinge.Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := xxhash.Sum64String(string(id))
	var notices []yuccahinge.Notice
	for _, l := range t.takeLosses(now, at, hash) {
		notices = append(notices, t.reportOwn(now, l.fingerprint, report{hash, l.services, l.at})...)
	}
	return notices
}

// RecordAlive records that a searcher responded to a request that was sent at the given time, so that it had not ended before. It
// takes a lock only while some searcher may have ended.
func (t *Tracker) RecordAlive(sent yuccahinge.Millis, id yuccahinge.SearcherID) {
	if t.endCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent >= t.nextEndSweep {
		t.sweepEnds(sent)
	}
	if d := t.ends[xxhash.Sum64String(string(id))]; d != nil {
		d.losses = slices.DeleteFunc(d.losses, func(l loss) bool {
			if l.unfinished && l.at+unfinishedMs < sent {
				t.storeSurvivor(sent, l.fingerprint, l.services)
			}
			return l.at < sent && (!l.unfinished || l.at+unfinishedMs < sent)
		})
		if d.at < sent {
			d.at, d.ended = 0, false
		}
	}
}

// addLoss records a loss and reports whether the searcher is known to have ended. The caller holds the lock.
func (t *Tracker) addLoss(now yuccahinge.Millis, hash uint64, l loss) (ended bool) {
	d := t.end(now, hash)
	if d.ended {
		return true
	}
	if len(d.losses) < maxLosses {
		d.losses = append(d.losses, l)
		if !l.unfinished {
			t.addPending(now, l.fingerprint, report{hash, l.services, l.at})
		}
	}
	d.expires = max(d.expires, now+lossMs)
	return false
}

// mayHaveEnded reports whether a searcher has not responded since it closed the connection of a request, and is not known to have
// ended. The caller holds the lock.
func (t *Tracker) mayHaveEnded(hash uint64, f yuccahinge.Fingerprint) bool {
	d := t.ends[hash]
	return d != nil && slices.ContainsFunc(d.losses, func(l loss) bool { return l.fingerprint == f && !l.unfinished })
}

// takeLosses marks a searcher as ended and returns the losses that are to be reported. Connections that were closed earlier than its end
// have another cause. The caller holds the lock.
func (t *Tracker) takeLosses(now, at yuccahinge.Millis, hash uint64) []loss {
	d := t.end(now, hash)
	losses := slices.DeleteFunc(d.losses, func(l loss) bool {
		if l.unfinished {
			return l.at+lossMs <= now || t.hasSurvivor(now, l.fingerprint, l.services)
		}
		return l.at+lossMs <= now || l.at+sameEndMs < at
	})
	d.ended, d.losses, d.expires = true, nil, now+endMs
	if at == 0 {
		at = now
	}
	d.endedBy(at)
	return losses
}

// endedBy takes a time by which the searcher had ended, if it has ended.
func (d *end) endedBy(at yuccahinge.Millis) {
	if d.at == 0 || at < d.at {
		d.at = at
	}
}

// end returns the entry of a searcher that may have ended, a new one if there is none. The caller holds the lock.
func (t *Tracker) end(now yuccahinge.Millis, hash uint64) *end {
	if d := t.ends[hash]; d != nil && d.expires > now {
		return d
	}
	t.sweepEnds(now)
	if len(t.ends) >= maxEnds {
		var oldest uint64
		var first *end
		for h, d := range t.ends {
			if first == nil || d.expires < first.expires {
				oldest, first = h, d
			}
		}
		delete(t.ends, oldest)
	}
	if t.ends == nil {
		t.ends = make(map[uint64]*end)
	}
	d := &end{expires: now + lossMs}
	t.ends[hash] = d
	t.endCount.Store(int64(len(t.ends)))
	return d
}

// sweepEnds drops the expired ends. The caller holds the lock.
func (t *Tracker) sweepEnds(now yuccahinge.Millis) {
	t.nextEndSweep = now + sweepMs
	for h, d := range t.ends {
		if d.expires <= now {
			delete(t.ends, h)
		}
	}
	t.endCount.Store(int64(len(t.ends)))
}
