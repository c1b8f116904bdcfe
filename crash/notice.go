package crash

import (
	"strconv"
	"strings"

	"github.com/yuccahinge/yuccahinge"
)

// ApplyNotice applies a notice of another host. Its remaining lifetime tells how old it is. It reports whether the notice
// confirmed a request, and returns the notice to send in return, if any: a host that reports a confirmed request does not know
// that it is confirmed, and one that suspects a request with a response does not know of that.
func (t *Tracker) ApplyNotice(now yuccahinge.Millis, n yuccahinge.Notice) (confirmed bool, reply *yuccahinge.Notice) {
	f, hashes, ok := parseKey(&n)
	if !ok {
		return false, nil
	}
	services := hashes[0]
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.entries[f] != nil && t.entries[f].confirmedAt > 0
	switch n.Kind {
	case yuccahinge.NoticeHarmless:
		t.applyResponse(createdAt(now, &n, responseMs), f, services, true)
		return false, nil
	case yuccahinge.NoticePoisoned:
		if doubted, ok := t.doubted(now, f, services); ok && !before {
			return false, t.harmless(now, f, doubted)
		}
		e := t.entry(now, f)
		e.confirm(now, services)
		e.announcedAt = max(e.announcedAt, createdAt(now, &n, announceMs))
		return !before, nil
	case yuccahinge.NoticeLost:
		l := loss{f, services, createdAt(now, &n, lossMs), false}
		if t.addLoss(now, hashes[1], l) {
			e := t.addReport(now, f, report{hashes[1], services, l.at})
			confirmed = !before && e.confirmedAt > 0
		}
		return confirmed, nil
	case yuccahinge.NoticeCrash:
		at := createdAt(now, &n, reportMs)
		for _, l := range t.takeLosses(now, at, hashes[1]) {
			t.addReport(now, l.fingerprint, report{hashes[1], l.services, l.at})
		}
		e := t.addReport(now, f, report{hashes[1], services, at})
		if e.confirmedAt > 0 {
			return !before, e.announce(now, f)
		}
		return false, t.harmless(now, f, services)
	default:
		return false, nil
	}
}

// doubted returns the services with a recent response, if there are any, of those that a confirmation by another host may rely on: the
// services that it names, and those of the reports known here. The caller holds the lock.
func (t *Tracker) doubted(now yuccahinge.Millis, f yuccahinge.Fingerprint, services uint64) (uint64, bool) {
	if t.hasResponse(now, responseKey(f, services)) {
		return services, true
	}
	if e := t.entries[f]; e != nil {
		for _, r := range e.reports {
			if t.hasResponse(now, responseKey(f, r.services)) {
				return r.services, true
			}
		}
	}
	return 0, false
}

// harmless returns the notice of the last response to a request of the fingerprint for some services, or nil if there was none
// recently, or if another host got it. The caller holds the lock.
func (t *Tracker) harmless(now yuccahinge.Millis, f yuccahinge.Fingerprint, services uint64) *yuccahinge.Notice {
	key := responseKey(f, services)
	if heard := t.slot(key).at.Load()%2 == 1; heard || !t.hasResponse(now, key) {
		return nil
	}
	at, _ := t.lastResponse(key)
	return &yuccahinge.Notice{Kind: yuccahinge.NoticeHarmless, Key: noticeKey(f, services), TTLMs: at + responseMs - now}
}

// noticeKey returns the key of a notice: the fingerprint, the hash of the services and, for one about a searcher, that of its id.
func noticeKey(f yuccahinge.Fingerprint, hashes ...uint64) string {
	key := f.String()
	for _, n := range hashes {
		key += keySeparator + strconv.FormatUint(n, 16)
	}
	return key
}

// parseKey parses the key of a notice. The second hash is zero for a notice about no searcher.
func parseKey(n *yuccahinge.Notice) (f yuccahinge.Fingerprint, hashes [2]uint64, ok bool) {
	parts := strings.Split(n.Key, keySeparator)
	want := 2
	if n.Kind == yuccahinge.NoticeCrash || n.Kind == yuccahinge.NoticeLost {
		want = 3
	}
	if len(parts) != want {
		return 0, hashes, false
	}
	for i, part := range parts {
		number, err := strconv.ParseUint(part, 16, 64)
		switch {
		case err != nil:
			return 0, hashes, false
		case i == 0:
			f = yuccahinge.Fingerprint(number)
		default:
			hashes[i-1] = number
		}
	}
	return f, hashes, true
}

// createdAt returns when a notice was created that lives for the given time.
func createdAt(now yuccahinge.Millis, n *yuccahinge.Notice, lifetime yuccahinge.Millis) yuccahinge.Millis {
	return now - max(0, lifetime-n.TTLMs)
}
