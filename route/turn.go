package route

import "time"

const (
	// BatchTurn is how much longer the next instance leaves a free slot alone. It
	// is over the time in which a digest reaches another data centre, so that as
	// a rule one instance starts batch work on a slot that several see free.
	BatchTurn = 6 * time.Millisecond
	// openRoom is the number of free slots from which nobody waits for a turn:
	// a few starts too many do no harm there.
	openRoom = 3
	// maxBatchTurns bounds the wait in large fleets.
	maxBatchTurns = 12
)

// Holder is an instance with batch work on an upstream, or with batch work that
// waits.
type Holder struct {
	// Key is a hash of the instance's id.
	Key uint64
	// Batch counts its batch requests on the upstream.
	Batch int
}

// precedes reports whether instance a comes before instance b at an upstream.
func precedes(upstream, a, b uint64) bool {
	x, y := mix(upstream^a), mix(upstream^b)
	return x > y || x == y && a > b
}

// BatchWait returns how long an instance leaves free slots of an upstream to the
// instances that come before it. wanting are the others with batch work that
// waits; room is the number of free slots.
func BatchWait(upstream, self uint64, wanting []uint64, room int) time.Duration {
	if room >= openRoom {
		return 0
	}
	rank := 0
	for _, other := range wanting {
		if precedes(upstream, other, self) {
			rank++
		}
	}
	return time.Duration(min(rank, maxBatchTurns)) * BatchTurn
}

// YieldShare returns how many of its own batch requests an instance cancels on
// an upstream when over of all have to go. The instances that come last at the
// upstream yield first, so that all who know the same holders agree on who
// yields and no more is cancelled than has to be.
func YieldShare(upstream uint64, self Holder, others []Holder, over int) int {
	for _, o := range others {
		if precedes(upstream, self.Key, o.Key) {
			over -= o.Batch
		}
	}
	return max(min(over, self.Batch), 0)
}
