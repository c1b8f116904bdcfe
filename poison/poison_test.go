package poison

import (
	"fmt"
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

func TestTwoSearchersConfirm(t *testing.T) {
	var p Poison
	if p.Lost(1, 7, "a", false) || p.Check(2, 7) != Suspect {
		t.Fatal("one loss must make a suspect")
	}
	if p.Lost(3, 7, "a", false) {
		t.Fatal("the same searcher twice must not confirm")
	}
	if !p.Lost(4, 7, "b", false) || p.Check(5, 7) != Confirmed {
		t.Fatal("two searchers must confirm")
	}
	if p.Check(4+defaultHold, 7) != Clear {
		t.Fatal("the quarantine must end")
	}
}

func TestReplyClearsSuspect(t *testing.T) {
	var p Poison
	p.Lost(1, 7, "a", false)
	p.Ran(2, 7)
	if p.Check(3, 7) != Clear || !p.Proven(7) {
		t.Fatal("a reply must clear a suspect")
	}
}

func TestNetworkFaultConfirmsNothing(t *testing.T) {
	var p Poison
	for i := range 40 {
		f := yuccahinge.Fingerprint(i % 10)
		id := yuccahinge.SearcherID(fmt.Sprint("s", i%20))
		p.Lost(yuccahinge.Millis(i), f, id, i > 3)
	}
	for f := range yuccahinge.Fingerprint(10) {
		if p.Check(50, f) == Confirmed {
			t.Fatalf("query %d is refused for a fault of the network", f)
		}
	}
}

func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Poison{MaxConfirmed: 3, Burst: 1000}
		now := yuccahinge.Millis(1)
		for range rapid.IntRange(1, 400).Draw(t, "losses") {
			f := yuccahinge.Fingerprint(rapid.IntRange(0, 300).Draw(t, "query"))
			id := yuccahinge.SearcherID(fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "searcher")))
			p.Lost(now, f, id, rapid.Bool().Draw(t, "proven"))
			now++
		}
		confirmed := 0
		for _, e := range *p.table.Load() {
			if e.confirmed {
				confirmed++
			}
		}
		if n := len(*p.table.Load()); n > maxSuspects+3 || confirmed > 3 {
			t.Fatalf("%d entries, %d confirmed", n, confirmed)
		}
	})
}
