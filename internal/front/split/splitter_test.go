package split

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// index returns an index whose shards have one replica in the failure domain of each letter of their string.
func index(shards ...string) *yuccahinge.Index {
	ix := &yuccahinge.Index{Searchers: map[yuccahinge.SearcherID]*yuccahinge.Searcher{}}
	for i, domains := range shards {
		s := yuccahinge.Shard{ID: yuccahinge.ShardID(i)}
		for j, d := range domains {
			id := yuccahinge.SearcherID(fmt.Sprint(i, "-", j))
			ix.Searchers[id] = &yuccahinge.Searcher{Domain: yuccahinge.DomainID(d)}
			s.Searchers = append(s.Searchers, id)
		}
		ix.Shards = append(ix.Shards, s)
	}
	return ix
}

func TestParts(t *testing.T) {
	for name, c := range map[string]struct {
		shards []string
		hosts  string // the failure domains with an available host
		want   map[string][]int
	}{
		"every shard local":          {[]string{"a", "ab", "ac", "ab"}, "abc", nil},
		"no shard local":             {[]string{"b", "b", "b", "b"}, "abc", map[string][]int{"b": {0, 1, 2, 3}}},
		"some shards local":          {[]string{"ab", "b", "ca", "b", "b"}, "abc", map[string][]int{"b": {1, 3, 4}}},
		"fewer than three remote":    {[]string{"ab", "b", "b"}, "abc", nil},
		"domain with most shards":    {[]string{"bc", "c", "bc", "c", "b"}, "abc", map[string][]int{"c": {0, 1, 2, 3}}},
		"two domains":                {[]string{"b", "b", "b", "c", "c", "c", "c"}, "abc", map[string][]int{"b": {0, 1, 2}, "c": {3, 4, 5, 6}}},
		"best domain has no host":    {[]string{"bc", "c", "bc", "c", "bc"}, "ab", map[string][]int{"b": {0, 2, 4}}},
		"no host available":          {[]string{"b", "b", "b", "b"}, "a", nil},
		"shards without searchers":   {[]string{"", "", "", "b", "b", "b"}, "ab", map[string][]int{"b": {3, 4, 5}}},
		"two shards in each domain":  {[]string{"bb", "bb", "cd", "cd"}, "abcd", nil},
		"two replicas in one domain": {[]string{"bb", "bb", "bb", "c"}, "abcd", map[string][]int{"b": {0, 1, 2}}},
	} {
		s := Splitter{Domain: "a"}
		got := map[string][]int{}
		for _, p := range s.Parts(index(c.shards...), "r", func(d yuccahinge.DomainID) (yuccahinge.Member, bool) {
			return yuccahinge.Member{Domain: d}, slices.Contains([]rune(c.hosts), []rune(d)[0])
		}) {
			got[string(p.Host.Domain)] = p.Shards
		}
		if fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestEqualDomainsShareRequests has every shard in two other domains, as with two replicas in three domains.
func TestEqualDomainsShareRequests(t *testing.T) {
	s := Splitter{Domain: "a"}
	used := map[yuccahinge.DomainID]int{}
	for i := range 1000 {
		parts := s.Parts(index("bc", "bc", "bc", "bc"), fmt.Sprint(i), func(d yuccahinge.DomainID) (yuccahinge.Member, bool) {
			return yuccahinge.Member{Domain: d}, true
		})
		if len(parts) != 1 || len(parts[0].Shards) != 4 {
			t.Fatalf("parts are %+v, want one with 4 shards", parts)
		}
		used[parts[0].Host.Domain]++
	}
	if used["b"] < 400 || used["c"] < 400 {
		t.Errorf("parts by domain: %v, want at least 400 each", used)
	}
}

// BenchmarkParts splits a request of the planned size: 460 shards with two replicas each, in ten failure domains.
func BenchmarkParts(b *testing.B) {
	var shards []string
	for i := range 460 {
		shards = append(shards, string([]rune{rune('a' + i%10), rune('a' + (i*7+3)%10)}))
	}
	ix := index(shards...)
	s := Splitter{Domain: "a"}
	b.ReportAllocs()
	for b.Loop() {
		s.Parts(ix, "r", func(d yuccahinge.DomainID) (yuccahinge.Member, bool) { return yuccahinge.Member{Domain: d}, true })
	}
}
