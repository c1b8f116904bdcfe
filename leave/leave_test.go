package leave

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// loadReport returns a load report of an incarnation.
func loadReport(incarnation yuccahinge.Incarnation, draining bool) *yuccahinge.LoadReport {
	return &yuccahinge.LoadReport{Incarnation: incarnation, Draining: draining}
}

func TestMarkAppliesToOneIncarnation(t *testing.T) {
	var l Leave
	if !l.See(1, 0, "s", loadReport("a", true)) || !l.Leaving("s") {
		t.Fatal("a draining report of the searcher itself set no mark")
	}
	if l.Mark(2, "s", "a") {
		t.Fatal("Mark reports an incarnation as new that is already marked")
	}
	l.See(3, 2, "s", loadReport("a", false))
	if !l.Leaving("s") {
		t.Fatal("a later report of the same incarnation removed the mark")
	}
	l.See(4, 3, "s", loadReport("b", false))
	if l.Leaving("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}

func TestMarkWithoutIncarnationIsFilledInFromNextReply(t *testing.T) {
	var l Leave
	l.Mark(1, "s", "")
	l.See(2, 0.5, "s", loadReport("z", false))
	l.See(3, 2, "s", loadReport("a", false))
	if !l.Leaving("s") {
		t.Fatal("a reply of the draining incarnation removed the mark")
	}
	l.See(4, 3, "s", loadReport("b", false))
	if l.Leaving("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}

// TestLateReportsOfOtherIncarnations reproduces a fault that cmd/soak found: a notice of an old incarnation replaced the
// mark of the current one, and a late reply of the current one then removed it.
func TestLateReportsOfOtherIncarnations(t *testing.T) {
	var l Leave
	l.Mark(10, "s", "d")
	l.Mark(11, "s", "a")
	l.See(12, 9, "s", loadReport("d", false))
	if !l.Leaving("s") {
		t.Fatal("a notice of an old incarnation replaced the mark of the current one")
	}
	l.See(13, 9, "s", loadReport("c", false))
	if !l.Leaving("s") {
		t.Fatal("a late reply of the previous incarnation removed the mark")
	}
	l.See(20, 14, "s", loadReport("e", false))
	if l.Leaving("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}
