// Package notice stores the short-lived notices that entry hosts gossip: draining and cold searchers, maximum request rates of
// searchers, searchers in trouble, suspect or quarantined queries, and requests that may crash searchers.
package notice

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/hybrid"
)

// Limits of a Store.
const (
	// maxNotices limits the notices kept; new ones beyond it are dropped.
	maxNotices = 4096
	// maxCrashNotices limits those of kind NoticeCrash, NoticeLost and NoticeRejecting each, of which trouble of many searchers
	// makes many.
	maxCrashNotices = 512
	// maxTTL limits the time to live of a notice; a longer one is shortened to it.
	maxTTL = 3600 * yuccahinge.Second
	// maxKey limits the key and the incarnation of a notice, in bytes each.
	maxKey = 256
	// expiryMargin is the remaining time to live from which Checksum leaves a notice out, since hosts see it expire at
	// different times.
	expiryMargin = 5 * yuccahinge.Second
	// renewMargin is how much later a NoticeHarmless must expire than the known one to count as new: it tells of a later response.
	// The time that a notice takes on its way is shorter.
	renewMargin = 2 * yuccahinge.Second
	// DefaultMaxSends is the number of deltas that carry a notice when MaxSends is not positive.
	DefaultMaxSends = 12
)

// Store stores notices until they expire. The zero value is ready to use. It is not safe for concurrent use.
type Store struct {
	// MaxSends is the number of deltas that carry each notice; DefaultMaxSends if it is not positive.
	MaxSends int

	entries map[noticeKey]*entry
}

type noticeKey struct {
	kind        yuccahinge.NoticeKind
	key         string
	incarnation yuccahinge.Incarnation
}

type entry struct {
	notice    yuccahinge.Notice
	expiresAt yuccahinge.Millis
	sendsLeft int
}

// Add stores a notice and reports whether it is new, which includes one that had expired. A known notice keeps the
// later expiry, and one with a newer stamp replaces it and is new, as does a NoticeHarmless that expires much
// later. Invalid notices, and new ones above the limit, are
// dropped.
func (s *Store) Add(now yuccahinge.Millis, n yuccahinge.Notice) bool {
	if !isValid(&n) {
		return false
	}
	expiresAt := now + min(n.TTLMs, maxTTL)
	key := noticeKey{kind: n.Kind, key: n.Key, incarnation: n.Incarnation}
	if e := s.entries[key]; e != nil {
		if n.Stamp.Before(e.notice.Stamp) {
			return false
		}
		if e.notice.Stamp.Before(n.Stamp) {
			*e = entry{notice: n, expiresAt: expiresAt, sendsLeft: s.sendLimit()}
			return true
		}
		isNew := now >= e.expiresAt || n.Kind == yuccahinge.NoticeHarmless && expiresAt > e.expiresAt+renewMargin
		e.expiresAt = max(e.expiresAt, expiresAt)
		if isNew {
			e.sendsLeft = s.sendLimit()
		}
		return isNew
	}
	isLimited := n.Kind == yuccahinge.NoticeCrash || n.Kind == yuccahinge.NoticeLost || n.Kind == yuccahinge.NoticeRejecting
	if len(s.entries) >= maxNotices || isLimited && s.count(n.Kind) >= maxCrashNotices {
		return false
	}
	if s.entries == nil {
		s.entries = make(map[noticeKey]*entry)
	}
	s.entries[key] = &entry{notice: n, expiresAt: expiresAt, sendsLeft: s.sendLimit()}
	return true
}

// count returns the number of notices of a kind.
func (s *Store) count(kind yuccahinge.NoticeKind) int {
	n := 0
	for key := range s.entries {
		if key.kind == kind {
			n++
		}
	}
	return n
}

func isValid(n *yuccahinge.Notice) bool {
	switch n.Kind {
	case yuccahinge.NoticeDraining, yuccahinge.NoticePoisoned, yuccahinge.NoticeSuspect, yuccahinge.NoticeCrash, yuccahinge.NoticeLost, yuccahinge.NoticeHarmless,
		yuccahinge.NoticeCold, yuccahinge.NoticeRejecting:
		if n.Stamp != (yuccahinge.Timestamp{}) || n.MaxRate != nil {
			return false
		}
	case yuccahinge.NoticeMaxRate:
		if n.Stamp == (yuccahinge.Timestamp{}) || !hybrid.InRange(n.Stamp) || n.MaxRate != nil && *n.MaxRate < 0 {
			return false
		}
	default:
		return false
	}
	return n.Key != "" && len(n.Key) <= maxKey && len(n.Incarnation) <= maxKey && n.TTLMs > 0
}

// Delta returns up to limit notices that are still to be sent, those with the most left first, and counts a
// send for each. Their TTLMs is the time left.
func (s *Store) Delta(now yuccahinge.Millis, limit int) []yuccahinge.Notice {
	var due []*entry
	for _, e := range s.entries {
		if e.sendsLeft > 0 && now < e.expiresAt {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(y.sendsLeft, x.sendsLeft), compare(&x.notice, &y.notice))
	})
	due = due[:min(limit, len(due))]
	out := make([]yuccahinge.Notice, 0, len(due))
	for _, e := range due {
		e.sendsLeft--
		out = append(out, e.withTTL(now))
	}
	return out
}

// All returns every notice that has not expired, sorted, with the time left as its TTLMs.
func (s *Store) All(now yuccahinge.Millis) []yuccahinge.Notice {
	var out []yuccahinge.Notice
	for _, e := range s.entries {
		if now < e.expiresAt {
			out = append(out, e.withTTL(now))
		}
	}
	slices.SortFunc(out, func(x, y yuccahinge.Notice) int { return compare(&x, &y) })
	return out
}

// Checksum returns a hash of the notices that don't expire soon. Two hosts with the same notices have equal checksums.
func (s *Store) Checksum(now yuccahinge.Millis) uint64 {
	var sum uint64
	for key, e := range s.entries {
		if now < e.expiresAt-expiryMargin {
			text := string(key.kind) + "\x00" + key.key + "\x00" + string(key.incarnation)
			if e.notice.Stamp != (yuccahinge.Timestamp{}) {
				text += fmt.Sprint("\x00", e.notice.Stamp.Wall, ".", e.notice.Stamp.Count)
			}
			sum ^= xxhash.Sum64String(text)
		}
	}
	return sum
}

// Expire drops the expired notices and reports whether there were any.
func (s *Store) Expire(now yuccahinge.Millis) bool {
	dropped := false
	for key, e := range s.entries {
		if now >= e.expiresAt {
			delete(s.entries, key)
			dropped = true
		}
	}
	return dropped
}

func (s *Store) sendLimit() int {
	if s.MaxSends > 0 {
		return s.MaxSends
	}
	return DefaultMaxSends
}

// withTTL returns the notice with the time left as its TTLMs.
func (e *entry) withTTL(now yuccahinge.Millis) yuccahinge.Notice {
	n := e.notice
	n.TTLMs = e.expiresAt - now
	return n
}

func compare(x, y *yuccahinge.Notice) int {
	return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Key, y.Key), cmp.Compare(x.Incarnation, y.Incarnation))
}
