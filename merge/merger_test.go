package merge

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

func TestHitsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Merger{MaxHits: rapid.IntRange(0, 8).Draw(t, "max")}
		bestScore := map[yuccahinge.DocumentID]float64{}
		total := 0
		for range rapid.IntRange(0, 5).Draw(t, "shards") {
			var hits []yuccahinge.Hit
			for range rapid.IntRange(0, 5).Draw(t, "hits") {
				id := yuccahinge.DocumentID(fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "id")))
				h := yuccahinge.Hit{ID: id, Score: float64(rapid.IntRange(0, 3).Draw(t, "score"))}
				if old, ok := bestScore[id]; !ok || h.Score > old {
					bestScore[id] = h.Score
				}
				hits = append(hits, h)
				total++
			}
			m.Add(hits)
		}
		got := m.Hits()
		want := len(bestScore)
		if m.MaxHits > 0 {
			want = min(want, m.MaxHits)
		}
		if len(got) != want {
			t.Fatalf("%d hits, want %d", len(got), want)
		}
		for i, h := range got {
			if h.Score != bestScore[h.ID] {
				t.Fatalf("score of %s is %g, want %g", h.ID, h.Score, bestScore[h.ID])
			}
			if i > 0 && compareHits(got[i-1], h) >= 0 {
				t.Fatalf("hit %d is not sorted after the previous one", i)
			}
		}
		if len(m.Duplicates()) != total-len(bestScore) {
			t.Fatalf("%d duplicates, want %d", len(m.Duplicates()), total-len(bestScore))
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{20, 30, 460} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			shards := make([][]yuccahinge.Hit, n)
			for i := range shards {
				for j := range 10 {
					h := yuccahinge.Hit{ID: yuccahinge.DocumentID(fmt.Sprintf("d%d-%d", i, j)), Score: float64((i*31 + j*17) % 101)}
					shards[i] = append(shards[i], h)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				m := Merger{MaxHits: 10}
				m.Grow(n * 10)
				for _, hits := range shards {
					m.Add(hits)
				}
				if len(m.Hits()) != 10 {
					b.Fatal("want 10 hits")
				}
			}
		})
	}
}
