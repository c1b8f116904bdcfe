// Package merge provides the merge of the hits of many shards into one bounded list.
package merge

import (
	"cmp"
	"slices"

	"github.com/yuccahinge/yuccahinge"
)

// Merge collects the hits of one answer. The zero value is ready to use and keeps all hits.
type Merge struct {
	// Max bounds the hits of the answer; zero keeps all.
	Max int

	hits       []yuccahinge.Hit
	seen       table
	duplicates []yuccahinge.DocumentID
	sorted     bool
}

// Grow makes room for n more hits.
func (m *Merge) Grow(n int) {
	m.hits = slices.Grow(m.hits, n)
	m.seen.grow(m.hits, len(m.hits)+n)
}

// Add takes the hits of one shard. It must not be called after Hits.
func (m *Merge) Add(hits []yuccahinge.Hit) {
	for i := range hits {
		m.add(&hits[i])
	}
}

// add keeps the better of two hits of one document.
func (m *Merge) add(h *yuccahinge.Hit) {
	old, found := m.seen.insert(m.hits, h.ID)
	if !found {
		m.hits = append(m.hits, *h)
		return
	}
	m.duplicates = append(m.duplicates, h.ID)
	if h.Score > m.hits[old].Score {
		m.hits[old] = *h
	}
}

// Hits returns the best hits by descending score, then ascending id. A document that several shards
// returned stands once, with its best score. The result is never nil.
func (m *Merge) Hits() []yuccahinge.Hit {
	if !m.sorted {
		m.sorted = true
		m.hits = best(m.hits, m.Max)
	}
	if m.hits == nil {
		return []yuccahinge.Hit{}
	}
	return m.hits
}

// Duplicates returns the ids that were found more than once, cut documents included.
func (m *Merge) Duplicates() []yuccahinge.DocumentID { return m.duplicates }

func compare(a, b yuccahinge.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// best sorts the hits and returns the first n, or all when n is zero. It sorts only what may be among them.
func best(hits []yuccahinge.Hit, n int) []yuccahinge.Hit {
	if n <= 0 || n >= len(hits) {
		slices.SortFunc(hits, compare)
		return hits
	}
	top := hits[:n]
	slices.SortFunc(top, compare)
	for i := n; i < len(hits); i++ {
		if compare(hits[i], top[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, hits[i], compare)
		h := hits[i]
		copy(top[at+1:], top[at:n-1])
		top[at] = h
	}
	return top
}
