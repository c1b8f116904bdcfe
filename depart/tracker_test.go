package depart

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// loadReport returns a load report of an incarnation.
func loadReport(incarnation yuccahinge.Incarnation, draining bool) *yuccahinge.LoadReport {
	return &yuccahinge.LoadReport{Incarnation: incarnation, Draining: draining}
}

func TestMarkAppliesToOneIncarnation(t *testing.T) {
	var l Tracker
	if !l.RecordReport(1, 0, "s", loadReport("a", true)) || !l.IsDraining("s") {
		t.Fatal("a draining report of the searcher itself set no mark")
	}
	if l.MarkDraining(2, "s", "a") {
		t.Fatal("Mark reports an incarnation as new that is already marked")
	}
	l.RecordReport(3, 2, "s", loadReport("a", false))
	if !l.IsDraining("s") {
		t.Fatal("a later report of the same incarnation removed the mark")
	}
	l.RecordReport(4, 3, "s", loadReport("b", false))
	if l.IsDraining("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}

func TestMarkWithoutIncarnationIsFilledInFromNextReply(t *testing.T) {
	var l Tracker
	l.MarkDraining(1, "s", "")
	l.RecordReport(2, 0.5, "s", loadReport("z", false))
	l.RecordReport(3, 2, "s", loadReport("a", false))
	if !l.IsDraining("s") {
		t.Fatal("a reply of the draining incarnation removed the mark")
	}
	l.RecordReport(4, 3, "s", loadReport("b", false))
	if l.IsDraining("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}

// TestLateReportsOfOtherIncarnations reproduces a fault that cmd/soak found: a notice of an old incarnation replaced the
// mark of the current one, and a late reply of the current one then removed it.
func TestLateReportsOfOtherIncarnations(t *testing.T) {
	var l Tracker
	l.MarkDraining(10, "s", "d")
	l.MarkDraining(11, "s", "a")
	l.RecordReport(12, 9, "s", loadReport("d", false))
	if !l.IsDraining("s") {
		t.Fatal("a notice of an old incarnation replaced the mark of the current one")
	}
	l.RecordReport(13, 9, "s", loadReport("c", false))
	if !l.IsDraining("s") {
		t.Fatal("a late reply of the previous incarnation removed the mark")
	}
	l.RecordReport(20, 14, "s", loadReport("e", false))
	if l.IsDraining("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}
