package coord

import (
	"math"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// firstBackoffMs is how long a host or a failure domain is not chosen after its first failure. It doubles with each
	// further failure, up to maxBackoffMs.
	firstBackoffMs = 500.0
	maxBackoffMs   = 4000.0
)

// backoffs holds the keys (hosts or failure domains) that are not chosen for a while after a failure. The zero value is
// ready to use.
type backoffs[K comparable] map[K]backoff

// backoff holds until when a key is not chosen, and how often it has failed.
type backoff struct {
	until    yuccahinge.Millis
	failures int
}

// active reports whether k is backing off.
func (b backoffs[K]) active(now yuccahinge.Millis, k K) bool { return now < b[k].until }

// add records a failure of k and starts its backoff. A failure during a backoff is ignored: its call started before.
func (b *backoffs[K]) add(now yuccahinge.Millis, k K) {
	if *b == nil {
		*b = make(backoffs[K])
	}
	old := (*b)[k]
	if now < old.until {
		return
	}
	span := min(firstBackoffMs*math.Exp2(float64(old.failures)), maxBackoffMs)
	(*b)[k] = backoff{until: now + yuccahinge.Millis(span), failures: old.failures + 1}
}
