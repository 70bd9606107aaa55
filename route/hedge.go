package route

import "time"

// HedgeBudget limits hedged attempts to a share of the first attempts. The zero
// value allows none. It is a value that the user of the package stores.
type HedgeBudget struct {
	// Balance is the number of hedges that may start now. It is negative after more
	// retries than hedges were earned.
	Balance float64
}

// NewHedgeBudget returns a full budget.
func NewHedgeBudget() HedgeBudget { return HedgeBudget{Balance: maxHedgeBalance} }

// maxHedgeBalance is the number of hedges that can accumulate.
const maxHedgeBalance = 12

// Earn returns the budget after a first attempt, which earns share hedges. A share
// of 0 forbids hedges, including accumulated ones.
func (h HedgeBudget) Earn(share float64) HedgeBudget {
	if share <= 0 {
		h.Balance = min(h.Balance, 0)
		return h
	}
	h.Balance = min(h.Balance+share, maxHedgeBalance)
	return h
}

const (
	// hedgeFactor is the multiple of the expected time to the first token after
	// which a request is hedged.
	hedgeFactor = 1.6
	// minHedgeDelay prevents very fast services from being hedged because of
	// jitter.
	minHedgeDelay = 10 * time.Millisecond
	// maxHedgeUtilization is the fraction of slots in use from which no hedge
	// starts.
	maxHedgeUtilization = 0.8
	// HedgeQuantile is the quantile of the time to the first token after which a
	// request is hedged.
	HedgeQuantile = 0.95
	// minMigrationGain is how many times longer a stream must be expected to last
	// where it is than elsewhere before it is migrated.
	minMigrationGain = 2
)

// HedgeDelay returns how long to wait for the first token before hedging, given the
// expected time and its HedgeQuantile. It returns false when there is no
// observation yet.
func HedgeDelay(expected, quantile time.Duration) (time.Duration, bool) {
	if expected == 0 {
		return 0, false
	}
	return max(time.Duration(hedgeFactor*float64(expected)), quantile, minHedgeDelay), true
}

// ShouldMigrate reports whether migrating a stream to another upstream is
// worthwhile. gap is the stream's present time between tokens, spacing and first
// are the other upstream's time between tokens and to the first token, and
// remaining is the number of tokens still to come. The gain has to outweigh the
// work that is done twice.
func ShouldMigrate(gap, spacing, first time.Duration, remaining int) bool {
	if spacing == 0 || first == 0 {
		return false
	}
	stay := gap * time.Duration(remaining)
	move := first + spacing*time.Duration(remaining)
	return stay > minMigrationGain*move
}

// ChargeRetry returns the budget after a retry. A retry is an extra attempt as
// well: while attempts fail, hedges and retries together stay within the larger of
// their two shares.
func (h HedgeBudget) ChargeRetry() HedgeBudget {
	h.Balance = max(h.Balance-1, -maxHedgeBalance)
	return h
}

// Spend returns the budget after a hedge and true, or false when no hedge may
// start: the budget is used up, requests wait, or most slots are in use.
func (h HedgeBudget) Spend(waiting, used, slots int) (HedgeBudget, bool) {
	if waiting > 0 || float64(used) >= maxHedgeUtilization*float64(slots) || h.Balance < 1 {
		return h, false
	}
	h.Balance--
	return h, true
}
