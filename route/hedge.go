package route

import "time"

// Hedges allows second attempts as a share of the first ones. The zero value
// allows none. It is a value; its caller stores it.
type Hedges struct {
	// Balance is the number of hedges that are allowed now.
	Balance float64
}

// NewHedges returns a full budget.
func NewHedges() Hedges { return Hedges{Balance: hedgeReserve} }

// hedgeReserve is the number of hedges that may be saved up.
const hedgeReserve = 12

// Earn returns the budget after a first attempt; share is hedges per attempt. A
// share of 0 forbids hedges, also those that were saved up.
func (h Hedges) Earn(share float64) Hedges {
	if share <= 0 {
		h.Balance = min(h.Balance, 0)
		return h
	}
	h.Balance = min(h.Balance+share, hedgeReserve)
	return h
}

const (
	// hedgeFactor is how many expected times to the first token pass before a
	// hedge.
	hedgeFactor = 1.6
	// minHedgeDelay keeps very fast services from being hedged on jitter.
	minHedgeDelay = 10 * time.Millisecond
	// hedgeUse is the share of the slots in use from which hedging stops.
	hedgeUse = 0.8
	// HedgeQuantile is the quantile of the time to the first token that passes
	// before a hedge.
	HedgeQuantile = 0.95
	// moveGain is how many times longer a stream has to last when it stays.
	moveGain = 2
)

// HedgeDelay returns how long to wait for the first token before a hedge, from
// the expected time and its HedgeQuantile, or false when nothing is known yet.
func HedgeDelay(expected, high time.Duration) (time.Duration, bool) {
	if expected == 0 {
		return 0, false
	}
	return max(time.Duration(hedgeFactor*float64(expected)), high, minHedgeDelay), true
}

// MovePays reports whether a stream with left tokens to come is finished
// earlier on another upstream: there it waits for a first token again, and then
// has that upstream's spacing. The gain has to be worth the work that is done
// twice.
func MovePays(gap, spacing, first time.Duration, left int) bool {
	if spacing == 0 || first == 0 {
		return false
	}
	stay := gap * time.Duration(left)
	move := first + spacing*time.Duration(left)
	return stay > moveGain*move
}

// Retry returns the budget after a retry, which is an extra attempt too: under
// failures the two together stay within the share of hedges or of retries,
// whichever is larger.
func (h Hedges) Retry() Hedges {
	h.Balance = max(h.Balance-1, -hedgeReserve)
	return h
}

// Spend reports whether a hedge may start. The budget closes under overload:
// when requests wait or most slots are in use.
func (h Hedges) Spend(waiting, used, slots int) (Hedges, bool) {
	if waiting > 0 || float64(used) >= hedgeUse*float64(slots) || h.Balance < 1 {
		return h, false
	}
	h.Balance--
	return h, true
}
