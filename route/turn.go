package route

import "time"

const (
	// TurnInterval is the delay between the instances that may use a free slot, in
	// their order. It is longer than a load digest takes to reach another data
	// centre, so that usually only one of the instances that see a free slot uses
	// it.
	TurnInterval = 6 * time.Millisecond
	// maxTurns bounds the delay in large fleets.
	maxTurns = 12
)

// BatchInstance is an instance with running or waiting batch requests for an
// upstream.
type BatchInstance struct {
	// Key is a hash of the instance's id.
	Key uint64
	// Batch is the number of its batch requests on the upstream.
	Batch int
}

// WaitingInstance is an instance with requests of one class, online or batch, that
// wait for a slot.
type WaitingInstance struct {
	// Key is a hash of the instance's id.
	Key uint64
	// Late is set when none of these requests can be on time any more.
	Late bool
}

// before reports whether an instance uses a free slot of an upstream before another
// one. Instances with requests that can be on time come first. A large fleet under
// overload would otherwise divide its slots evenly between those requests and late
// ones, and more and more requests would become late.
func (w WaitingInstance) before(other WaitingInstance, upstream uint64) bool {
	if w.Late != other.Late {
		return other.Late
	}
	return precedes(upstream, w.Key, other.Key)
}

// precedes reports whether instance a comes before instance b at an upstream.
func precedes(upstream, a, b uint64) bool {
	x, y := Mix64(upstream^a), Mix64(upstream^b)
	return x > y || x == y && a > b
}

// TurnDelay returns how long an instance leaves the free slots of an upstream to
// the instances that come before it. waiting are the other instances with waiting
// requests, and free is the number of free slots, which must be positive. taken is
// the number of slots that the instance itself has taken within the last
// TurnInterval, of which the others may not know yet; they are not part of free.
//
// The slots are assigned in rotation: with three free slots, the first three
// instances take one each at once, and the fourth waits for one TurnInterval.
func TurnDelay(upstream uint64, self WaitingInstance, waiting []WaitingInstance, free, taken int) time.Duration {
	position := taken * (len(waiting) + 1)
	for _, other := range waiting {
		if other.before(self, upstream) {
			position++
		}
	}
	return time.Duration(min(position/(free+taken), maxTurns)) * TurnInterval
}

// RankedYield returns how many of its own batch requests an instance cancels on an
// upstream when excess requests of all instances have to be cancelled. The
// instances that come last at the upstream yield first, so that instances with the
// same view agree on which of them yield, and no more requests are cancelled than
// necessary.
func RankedYield(upstream uint64, self BatchInstance, others []BatchInstance, excess int) int {
	for _, o := range others {
		if precedes(upstream, self.Key, o.Key) {
			excess -= o.Batch
		}
	}
	return max(min(excess, self.Batch), 0)
}
