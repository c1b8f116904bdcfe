package leave

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func TestMarkHoldsForOneLife(t *testing.T) {
	var l Leave
	if !l.See("s", &yuccahinge.LoadReport{Incarnation: "a", Draining: true}) || !l.Leaving("s") {
		t.Fatal("the searcher's own word did not count")
	}
	if l.Mark("s", "a") {
		t.Fatal("the same mark was news twice")
	}
	l.See("s", &yuccahinge.LoadReport{Incarnation: "a"})
	if !l.Leaving("s") {
		t.Fatal("a late report of the same life removed the mark")
	}
	l.See("s", &yuccahinge.LoadReport{Incarnation: "b"})
	if l.Leaving("s") {
		t.Fatal("the next life is still marked")
	}
}

func TestMarkWithoutLifeTakesTheNextOneSeen(t *testing.T) {
	var l Leave
	l.Mark("s", "")
	l.See("s", &yuccahinge.LoadReport{Incarnation: "a"})
	if !l.Leaving("s") {
		t.Fatal("a reply of the leaving life removed the mark")
	}
	l.See("s", &yuccahinge.LoadReport{Incarnation: "b"})
	if l.Leaving("s") {
		t.Fatal("the next life is still marked")
	}
}
