package leave

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// said returns a report of a life.
func said(life yuccahinge.Incarnation, draining bool) *yuccahinge.LoadReport {
	return &yuccahinge.LoadReport{Incarnation: life, Draining: draining}
}

func TestMarkHoldsForOneLife(t *testing.T) {
	var l Leave
	if !l.See(1, 0, "s", said("a", true)) || !l.Leaving("s") {
		t.Fatal("the searcher's own word did not count")
	}
	if l.Mark(2, "s", "a") {
		t.Fatal("the same mark was news twice")
	}
	l.See(3, 2, "s", said("a", false))
	if !l.Leaving("s") {
		t.Fatal("a late report of the same life removed the mark")
	}
	l.See(4, 3, "s", said("b", false))
	if l.Leaving("s") {
		t.Fatal("the next life is still marked")
	}
}

func TestMarkWithoutLifeTakesTheNextOneSeen(t *testing.T) {
	var l Leave
	l.Mark(1, "s", "")
	l.See(2, 0.5, "s", said("z", false))
	l.See(3, 2, "s", said("a", false))
	if !l.Leaving("s") {
		t.Fatal("a reply of the leaving life removed the mark")
	}
	l.See(4, 3, "s", said("b", false))
	if l.Leaving("s") {
		t.Fatal("the next life is still marked")
	}
}

// TestLateWordOfOtherLives replays what cmd/soak found: a notice of an old life replaced the mark of the present
// one, and a late reply of the present one then removed it.
func TestLateWordOfOtherLives(t *testing.T) {
	var l Leave
	l.Mark(10, "s", "d")
	l.Mark(11, "s", "a")
	l.See(12, 9, "s", said("d", false))
	if !l.Leaving("s") {
		t.Fatal("a notice of an old life took the mark of the present one")
	}
	l.See(13, 9, "s", said("c", false))
	if !l.Leaving("s") {
		t.Fatal("a late reply of the life before removed the mark")
	}
	l.See(20, 14, "s", said("e", false))
	if l.Leaving("s") {
		t.Fatal("the next life is still marked")
	}
}
