// Package notice keeps the short-lived facts that entry hosts tell each other: searchers that are leaving
// and queries in quarantine.
package notice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahinge/yuccahinge"
)

// Limits of a Book.
const (
	// maxNotices bounds the notices kept; beyond it new ones are dropped.
	maxNotices = 4096
	// maxTTL bounds how long a notice stands.
	maxTTL = 3600 * yuccahinge.Second
	// maxKey bounds a notice's key and incarnation, in bytes.
	maxKey = 256
	// almostOver is the time left to a notice from which Sum leaves it out, since hosts see its end at different
	// times.
	almostOver = 5 * yuccahinge.Second
	// DefaultSends is how often a notice rides along when Sends is zero.
	DefaultSends = 12
)

// Book keeps notices until their time is over. The zero value is ready to use. It is not safe for
// concurrent use.
type Book struct {
	// Sends is how often each notice rides along on exchanges.
	Sends int

	kept map[id]*entry
}

type id struct {
	kind        yuccahinge.NoticeKind
	key         string
	incarnation yuccahinge.Incarnation
}

type entry struct {
	notice yuccahinge.Notice
	until  yuccahinge.Millis
	sends  int
}

// Add takes a notice and reports whether it is new. One that is known keeps the later end.
func (b *Book) Add(now yuccahinge.Millis, n yuccahinge.Notice) bool {
	if !valid(&n) {
		return false
	}
	until := now + min(n.TTLMs, maxTTL)
	key := id{kind: n.Kind, key: n.Key, incarnation: n.Incarnation}
	if e := b.kept[key]; e != nil {
		fresh := now >= e.until
		e.until = max(e.until, until)
		if fresh {
			e.sends = b.sends()
		}
		return fresh
	}
	if len(b.kept) >= maxNotices {
		return false
	}
	if b.kept == nil {
		b.kept = make(map[id]*entry)
	}
	b.kept[key] = &entry{notice: n, until: until, sends: b.sends()}
	return true
}

func valid(n *yuccahinge.Notice) bool {
	switch n.Kind {
	case yuccahinge.NoticeDraining, yuccahinge.NoticePoisoned, yuccahinge.NoticeSuspect:
	default:
		return false
	}
	return n.Key != "" && len(n.Key) <= maxKey && len(n.Incarnation) <= maxKey && n.TTLMs > 0
}

// Delta returns up to limit notices that still ride along, those sent least first.
func (b *Book) Delta(now yuccahinge.Millis, limit int) []yuccahinge.Notice {
	var due []*entry
	for _, e := range b.kept {
		if e.sends > 0 && now < e.until {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(y.sends, x.sends), compare(&x.notice, &y.notice))
	})
	due = due[:min(limit, len(due))]
	out := make([]yuccahinge.Notice, 0, len(due))
	for _, e := range due {
		e.sends--
		out = append(out, e.left(now))
	}
	return out
}

// All returns every notice that stands.
func (b *Book) All(now yuccahinge.Millis) []yuccahinge.Notice {
	var out []yuccahinge.Notice
	for _, e := range b.kept {
		if now < e.until {
			out = append(out, e.left(now))
		}
	}
	slices.SortFunc(out, func(x, y yuccahinge.Notice) int { return compare(&x, &y) })
	return out
}

// Sum returns a hash of the notices that stand for a while yet. Two hosts that have heard the same have equal sums.
func (b *Book) Sum(now yuccahinge.Millis) uint64 {
	var sum uint64
	for key, e := range b.kept {
		if now < e.until-almostOver {
			sum ^= xxhash.Sum64String(string(key.kind) + "\x00" + key.key + "\x00" + string(key.incarnation))
		}
	}
	return sum
}

// Tick drops the notices whose time is over and reports whether there were any.
func (b *Book) Tick(now yuccahinge.Millis) bool {
	dropped := false
	for key, e := range b.kept {
		if now >= e.until {
			delete(b.kept, key)
			dropped = true
		}
	}
	return dropped
}

func (b *Book) sends() int {
	if b.Sends > 0 {
		return b.Sends
	}
	return DefaultSends
}

func (e *entry) left(now yuccahinge.Millis) yuccahinge.Notice {
	n := e.notice
	n.TTLMs = e.until - now
	return n
}

func compare(x, y *yuccahinge.Notice) int {
	return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Key, y.Key), cmp.Compare(x.Incarnation, y.Incarnation))
}
