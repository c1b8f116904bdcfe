package stale

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func services(draining bool, ids ...yuccahinge.SearcherID) map[yuccahinge.ServiceName][]*yuccahinge.Registration {
	out := make(map[yuccahinge.ServiceName][]*yuccahinge.Registration)
	for _, id := range ids {
		out["s"] = append(out["s"], &yuccahinge.Registration{ID: id, Service: "s", Draining: draining && id == ids[0]})
	}
	return out
}

// TestSearchersOfEarlierLists guards against requests to searchers that were ready in an earlier list, and against a searcher that
// gets none although it is ready again.
func TestSearchersOfEarlierLists(t *testing.T) {
	var s Set
	check := func(when string, newly int, got []*yuccahinge.Registration, stale ...yuccahinge.SearcherID) {
		t.Helper()
		if len(got) != newly {
			t.Errorf("%s: %d searchers have become stale, want %d", when, len(got), newly)
		}
		for _, id := range []yuccahinge.SearcherID{"a", "b", "c"} {
			want := false
			for _, other := range stale {
				want = want || id == other
			}
			if s.Contains(id) != want {
				t.Errorf("%s: %s is stale: %t", when, id, !want)
			}
		}
	}
	check("before a list", 0, nil)
	check("first list", 0, s.Update(0, services(false, "a", "b")))
	check("a drains", 1, s.Update(10, services(true, "a", "b")), "a")
	check("b is gone, c is new", 1, s.Update(20, services(true, "a", "c")), "a", "b")
	check("b is back", 0, s.Update(30, services(true, "a", "b", "c")), "a")
	check("a is gone as well", 0, s.Update(40, services(false, "b", "c")), "a")
	check("long after", 0, s.Update(10+keepMs, services(false, "b", "c")))
}
