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
	duplicates []yuccahinge.DocumentID
	done       bool
}

// Grow makes room for n more hits.
func (m *Merge) Grow(n int) { m.hits = slices.Grow(m.hits, n) }

// Add takes the hits of one shard.
func (m *Merge) Add(hits []yuccahinge.Hit) {
	m.hits = append(m.hits, hits...)
	m.done = false
}

// Hits returns the best hits by descending score, then ascending id. A document that several shards
// returned stands once, with its best score. The result is never nil.
func (m *Merge) Hits() []yuccahinge.Hit {
	m.finish()
	if m.hits == nil {
		return []yuccahinge.Hit{}
	}
	return m.hits
}

// Duplicates returns the ids that were found more than once, cut documents included.
func (m *Merge) Duplicates() []yuccahinge.DocumentID {
	m.finish()
	return m.duplicates
}

func (m *Merge) finish() {
	if m.done {
		return
	}
	m.done = true
	slices.SortFunc(m.hits, compare)
	m.dedupe()
	if m.Max > 0 && len(m.hits) > m.Max {
		m.hits = m.hits[:m.Max]
	}
}

func compare(a, b yuccahinge.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func (m *Merge) dedupe() {
	seen := make(map[yuccahinge.DocumentID]struct{}, len(m.hits))
	kept := m.hits[:0]
	for _, h := range m.hits {
		if _, ok := seen[h.ID]; ok {
			m.duplicates = append(m.duplicates, h.ID)
			continue
		}
		seen[h.ID] = struct{}{}
		kept = append(kept, h)
	}
	m.hits = kept
}
