// Package budget limits extra attempts to a share of first attempts, with a burst, like a token bucket that first
// attempts refill.
package budget

import (
	"sync/atomic"

	"github.com/yuccahinge/yuccahinge"
)

const (
	// defaultShare is the number of extra attempts earned by one first attempt if Share is zero.
	defaultShare = 0.05
	// defaultBurst is the largest balance of extra attempts if Burst is zero.
	defaultBurst = 50
	// unitsPerAttempt is the number of balance units in one extra attempt.
	unitsPerAttempt = 1000
)

// Budget grants extra attempts from one balance for all groups, which starts full. It implements
// yuccahinge.AttemptBudget. The zero value grants 5% with a burst of 50.
type Budget struct {
	// Share is the number of extra attempts earned by one first attempt; zero means 0.05.
	Share float64
	// Burst limits the balance, in extra attempts; zero means 50.
	Burst int

	// spentUnits is the difference to a full balance, in units.
	spentUnits atomic.Int64
}

// Deposit credits the share of n first attempts, of any group.
func (b *Budget) Deposit(_ yuccahinge.Millis, _ yuccahinge.ServiceName, n int) {
	b.credit(int64(b.share() * float64(n) * unitsPerAttempt))
}

// Withdraw reports whether one extra attempt may start, and charges it if so.
func (b *Budget) Withdraw(_ yuccahinge.Millis, _ yuccahinge.ServiceName) bool {
	limit := int64(b.burst()) * unitsPerAttempt
	for {
		old := b.spentUnits.Load()
		if old+unitsPerAttempt > limit {
			return false
		}
		if b.spentUnits.CompareAndSwap(old, old+unitsPerAttempt) {
			return true
		}
	}
}

// Refund refunds an extra attempt that was never sent.
func (b *Budget) Refund(_ yuccahinge.Millis, _ yuccahinge.ServiceName) { b.credit(unitsPerAttempt) }

// credit adds units to the balance, up to a full one.
func (b *Budget) credit(units int64) {
	for {
		old := b.spentUnits.Load()
		if old == 0 || b.spentUnits.CompareAndSwap(old, max(0, old-units)) {
			return
		}
	}
}

func (b *Budget) share() float64 {
	if b.Share > 0 {
		return b.Share
	}
	return defaultShare
}

func (b *Budget) burst() int {
	if b.Burst > 0 {
		return b.Burst
	}
	return defaultBurst
}
