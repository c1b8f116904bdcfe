package rendez

import (
	"slices"
	"testing"
)

func TestRemovingAnIDKeepsTheOrderOfTheOthers(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	full := Order("invoice-7", ids)
	without := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == full[0] })
	if got := Order("invoice-7", without); !slices.Equal(got, full[1:]) {
		t.Fatalf("order without %s is %v, want %v", full[0], got, full[1:])
	}
}
