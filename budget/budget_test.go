package budget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestExtraAttemptsStayWithinShareAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Share: 0.1, Burst: rapid.IntRange(1, 5).Draw(t, "burst")}
		first, extra := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(t *rapid.T) {
				n := rapid.IntRange(1, 30).Draw(t, "n")
				b.Deposit(0, "", n)
				first += n
			},
			"take": func(*rapid.T) {
				if b.Withdraw(0, "") {
					extra++
				}
			},
			"": func(t *rapid.T) {
				if limit := float64(b.Burst) + 0.1*float64(first); float64(extra) > limit {
					t.Fatalf("%d extra attempts for %d first attempts exceed the limit", extra, first)
				}
			},
		})
	})
}

func TestFirstAttemptsRefillBalance(t *testing.T) {
	b := Budget{Share: 0.1, Burst: 1}
	if !b.Withdraw(0, "") || b.Withdraw(0, "") {
		t.Fatal("the burst is not one extra attempt")
	}
	b.Deposit(0, "", 10)
	if !b.Withdraw(0, "") {
		t.Fatal("ten first attempts did not earn an extra attempt")
	}
}
