// Package merge merges the hits of many shards into one list of limited length, and the records of many parts
// likewise.
package merge

import (
	"cmp"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// Merger collects the hits of one answer. The zero value is ready to use and keeps all hits. A Merger must not be
// used by several goroutines at once.
type Merger struct {
	// MaxHits limits the hits of the answer; zero keeps all.
	MaxHits int

	hits       []yuccahinge.Hit
	seen       table
	duplicates []yuccahinge.DocumentID
	sorted     bool
}

// Grow reserves space for n more hits.
func (m *Merger) Grow(n int) {
	m.hits = slices.Grow(m.hits, n)
	m.seen.grow(m.hits, len(m.hits)+n)
}

// Add adds the hits of one shard, which it copies. It must not be called after Hits.
func (m *Merger) Add(hits []yuccahinge.Hit) {
	for i := range hits {
		m.addHit(&hits[i])
	}
}

// addHit keeps the hit with the higher score if the document was found before.
func (m *Merger) addHit(h *yuccahinge.Hit) {
	i, found := m.seen.findOrInsert(m.hits, h.ID)
	if !found {
		m.hits = append(m.hits, *h)
		return
	}
	m.duplicates = append(m.duplicates, h.ID)
	if h.Score > m.hits[i].Score {
		m.hits[i] = *h
	}
}

// Hits returns the best hits by descending score, then ascending id. A document that several shards returned is
// listed once, with its highest score. The result is never nil.
func (m *Merger) Hits() []yuccahinge.Hit {
	if !m.sorted {
		m.sorted = true
		m.hits = topHits(m.hits, m.MaxHits)
	}
	if m.hits == nil {
		return []yuccahinge.Hit{}
	}
	return m.hits
}

// Duplicates returns the ids that were found more than once, once for each repetition and including documents that
// MaxHits cut off.
func (m *Merger) Duplicates() []yuccahinge.DocumentID { return m.duplicates }

func compareHits(a, b yuccahinge.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// topHits returns the first n hits in order, or all hits when n is zero. It sorts in place, and only hits that may
// be among the first n.
func topHits(hits []yuccahinge.Hit, n int) []yuccahinge.Hit {
	if n <= 0 || n >= len(hits) {
		slices.SortFunc(hits, compareHits)
		return hits
	}
	top := hits[:n]
	slices.SortFunc(top, compareHits)
	for i := n; i < len(hits); i++ {
		if compareHits(hits[i], top[n-1]) >= 0 {
			continue
		}
		pos, _ := slices.BinarySearchFunc(top, hits[i], compareHits)
		h := hits[i]
		copy(top[pos+1:], top[pos:n-1])
		top[pos] = h
	}
	return top
}
