package usage

import (
	"cmp"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// endWorst ends connections until those left are within the limit of bytes. The caller holds the lock.
func (t *Tracker) endWorst(now yuccahinge.Millis) []*Client {
	var out []*Client
	var called map[*Client]bool // idle connections whose next call has arrived
	for t.MaxBytes > 0 && t.used > t.MaxBytes {
		var worst *Client
		for c := range t.large {
			if !c.mayFinish(now) && !called[c] && (worst == nil || c.score(now) > worst.score(now)) {
				worst = c
			}
		}
		if worst == nil {
			break // none of the others may be ended
		}
		if worst.phase == Idle && worst.HasUnread != nil && worst.HasUnread() {
			if called == nil {
				called = make(map[*Client]bool)
			}
			called[worst] = true
			continue
		}
		out = append(out, t.end(worst, Memory))
	}
	return out
}

// mayFinish reports whether a connection keeps its bytes: its request runs, or the client has had no time yet to read the answer.
func (c *Client) mayFinish(now yuccahinge.Millis) bool {
	return c.phase == Whole || c.phase == Answer && c.age(now) < minAgeMs
}

// age is the time since the request or, once it is being answered, the answer began.
func (c *Client) age(now yuccahinge.Millis) yuccahinge.Millis {
	if c.phase == Answer {
		return now - c.phaseSince
	}
	return now - c.since
}

// score is the product of the bytes held and of the age, in bytes times milliseconds.
func (c *Client) score(now yuccahinge.Millis) float64 {
	return float64(c.held+freeBytes) * float64(c.age(now)+1)
}

// rank orders the connections of a port that may be closed for another one: lower ranks go first.
type rank int

const (
	// rankEnded is of connections that were ended already and linger for their last answer.
	rankEnded rank = iota
	rankUnused
	rankIdle
	rankOld
	rankNewIdle
	rankNew
	// rankNever is of requests that may run.
	rankNever
)

func (c *Client) rank(now yuccahinge.Millis) rank {
	switch {
	case c.reason != "":
		return rankEnded
	case c.phase == Whole:
		return rankNever
	case c.phase == Idle && now-c.phaseSince < minAgeMs:
		return rankNewIdle
	case c.phase == Idle && c.served == 0:
		return rankUnused
	case c.phase == Idle:
		return rankIdle
	case c.age(now) < minAgeMs:
		return rankNew
	}
	return rankOld
}

// worstConnection returns the connection of a port to close for another one, or nil if none may be. The caller holds the lock.
func (t *Tracker) worstConnection(now yuccahinge.Millis, p *Port) *Client {
	for {
		var worst *Client
		for c := range t.clients {
			if c.Port == p && !c.hasLeft && (worst == nil || c.goesBefore(now, worst)) {
				worst = c
			}
		}
		if worst == nil || worst.rank(now) >= rankNewIdle {
			if c := t.busiest(p); c != nil {
				return c
			}
		}
		switch {
		case worst == nil || worst.rank(now) == rankNever:
			return nil
		case worst.reason == "" && worst.phase == Idle && worst.HasUnread != nil && worst.HasUnread():
			// A request has arrived and was not read yet.
			worst.enter(now, Head)
			worst.since = now
		default:
			return worst
		}
	}
}

// maxChecks is how many connections busiest checks for unread bytes, each with a system call.
const maxChecks = 8

// busiest returns, of the connections of a port that run requests, one whose client has sent more without waiting for the answer, or nil.
// Those with the most requests are checked. The caller holds the lock.
func (t *Tracker) busiest(p *Port) *Client {
	var all []*Client
	for c := range t.clients {
		if c.Port == p && !c.hasLeft && c.phase == Whole && c.HasUnread != nil {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(x, y *Client) int { return cmp.Compare(y.served, x.served) })
	for _, c := range all[:min(len(all), maxChecks)] {
		if c.HasUnread() {
			return c
		}
	}
	return nil
}

func (c *Client) goesBefore(now yuccahinge.Millis, other *Client) bool {
	r, s := c.rank(now), other.rank(now)
	switch {
	case r != s:
		return r < s
	case r == rankOld || r == rankNew:
		return c.score(now) > other.score(now)
	}
	return c.phaseSince < other.phaseSince
}
