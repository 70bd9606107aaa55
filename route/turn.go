package route

import "time"

const (
	// TurnTime is how much longer the next instance leaves a free slot alone. It
	// is over the time in which a digest reaches another data centre, so that as
	// a rule one instance begins on a slot that several see free.
	TurnTime = 6 * time.Millisecond
	// maxTurns bounds the wait in large fleets.
	maxTurns = 12
)

// Holder is an instance with batch work on an upstream, or with batch work that
// waits.
type Holder struct {
	// Key is a hash of the instance's id.
	Key uint64
	// Batch counts its batch requests on the upstream.
	Batch int
}

// Wanting is an instance with requests of a class, online or batch, that wait for a
// slot.
type Wanting struct {
	// Key is a hash of the instance's id.
	Key uint64
	// Late is set when none of them can be in time any more.
	Late bool
}

// before reports whether an instance takes a free slot of an upstream before
// another: what can be in time goes first, wherever it waits. A large fleet that has
// more work than slots would else share them evenly between what can be in time and
// what is late already, and more and more would be late.
func (w Wanting) before(other Wanting, upstream uint64) bool {
	if w.Late != other.Late {
		return other.Late
	}
	return precedes(upstream, w.Key, other.Key)
}

// precedes reports whether instance a comes before instance b at an upstream.
func precedes(upstream, a, b uint64) bool {
	x, y := mix(upstream^a), mix(upstream^b)
	return x > y || x == y && a > b
}

// Turn returns how long an instance leaves free slots of an upstream to the
// instances that come before it. wanting are the others with requests that
// wait; room is the number of free slots, without the taken ones that the instance
// took itself within the last turn, of which the others may not know.
//
// The slots that were free before go round by rank: with three free slots the first
// three instances take one each at once, and the fourth waits for a turn.
func Turn(upstream uint64, self Wanting, wanting []Wanting, room, taken int) time.Duration {
	position := taken * (len(wanting) + 1)
	for _, other := range wanting {
		if other.before(self, upstream) {
			position++
		}
	}
	return time.Duration(min(position/(room+taken), maxTurns)) * TurnTime
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
