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
	var tracker Tracker
	if !tracker.RecordReport(1, 0, "s", loadReport("a", true)) || !tracker.IsDraining("s") {
		t.Fatal("a draining report of the searcher itself set no mark")
	}
	if tracker.MarkDraining(2, "s", "a") {
		t.Fatal("MarkDraining reports an incarnation as new that is already marked")
	}
	tracker.RecordReport(3, 2, "s", loadReport("a", false))
	if !tracker.IsDraining("s") {
		t.Fatal("a later report of the same incarnation removed the mark")
	}
	tracker.RecordReport(4, 3, "s", loadReport("b", false))
	if tracker.IsDraining("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}

func TestMarkWithoutIncarnationIsFilledInFromNextReply(t *testing.T) {
	var tracker Tracker
	tracker.MarkDraining(1, "s", "")
	tracker.RecordReport(2, 0.5, "s", loadReport("z", false))
	tracker.RecordReport(3, 2, "s", loadReport("a", false))
	if !tracker.IsDraining("s") {
		t.Fatal("a reply of the draining incarnation removed the mark")
	}
	tracker.RecordReport(4, 3, "s", loadReport("b", false))
	if tracker.IsDraining("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}

// TestLateReportsOfOtherIncarnations reproduces a fault that cmd/soak found: a notice of an old incarnation replaced the
// mark of the current one, and a late reply of the current one then removed it.
func TestLateReportsOfOtherIncarnations(t *testing.T) {
	var tracker Tracker
	tracker.MarkDraining(10, "s", "d")
	tracker.MarkDraining(11, "s", "a")
	tracker.RecordReport(12, 9, "s", loadReport("d", false))
	if !tracker.IsDraining("s") {
		t.Fatal("a notice of an old incarnation replaced the mark of the current one")
	}
	tracker.RecordReport(13, 9, "s", loadReport("c", false))
	if !tracker.IsDraining("s") {
		t.Fatal("a late reply of the previous incarnation removed the mark")
	}
	tracker.RecordReport(20, 14, "s", loadReport("e", false))
	if tracker.IsDraining("s") {
		t.Fatal("the searcher still counts as draining after a restart")
	}
}
