package budget

import (
	"cmp"
	"slices"
	"time"
)

// state is what the order of callers depends on.
type state struct {
	// held is the number of bytes that are held for the caller.
	held int64
	// moved is the number of bytes of the request and its answer that were transferred.
	moved int64
	// elapsed is the time since the request began, inactive the time since the last bytes
	// were transferred.
	elapsed  time.Duration
	inactive time.Duration
}

// progress returns the bytes transferred per second and byte held. Time without any bytes counts
// more than once, so that a sender that has stopped comes before one that goes on slowly.
func (s state) progress() float64 {
	weighted := s.elapsed + inactivityWeight*s.inactive
	return float64(s.moved) / max(weighted.Seconds(), minElapsed.Seconds()) / float64(max(s.held, 1))
}

// inactivityWeight puts a sender that stopped half a second ago before one that needs the whole
// deadline of a usual request, 5 s, for its body.
const inactivityWeight = 10

func (s state) facts() Facts {
	return Facts{Held: s.held, Moved: s.moved, Elapsed: s.elapsed, Inactive: s.inactive}
}

// minElapsed keeps the progress of a request that has just begun finite.
const minElapsed = time.Millisecond

// slowestFirst orders callers by their progress for the bytes that are held for them. Callers
// that hold no more than their connection come last, since giving them up frees little.
func slowestFirst(a, b state) int {
	if onlyConnection := (a.held <= ConnectionBytes); onlyConnection != (b.held <= ConnectionBytes) {
		if onlyConnection {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.progress(), b.progress())
}

// inactiveFirst orders callers by the time since they last transferred bytes.
func inactiveFirst(a, b state) int { return cmp.Compare(b.inactive, a.inactive) }

// giveUpLocked gives up callers in an order while more returns true for the last one. It
// passes over callers that can't be given up, except for those in always, for which more is
// called all the same.
func (b *Budget) giveUpLocked(order func(a, b state) int, now time.Time, more func(*Holder) bool, always ...*Holder) {
	type candidate struct {
		holder *Holder
		state  state
	}
	candidates := make([]candidate, 0, len(b.holders))
	for h := range b.holders {
		if !h.leaving.Load() {
			candidates = append(candidates, candidate{h, h.state(now)})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return order(x.state, y.state) })
	for _, c := range candidates {
		if slices.Contains(always, c.holder) {
			if !more(c.holder) {
				return
			}
			continue
		}
		c.holder.leaving.Store(true)
		if !c.holder.caller.GiveUp(c.state.facts()) {
			c.holder.leaving.Store(false)
			continue
		}
		b.givenUp.Add(1)
		if !more(c.holder) {
			return
		}
	}
}
