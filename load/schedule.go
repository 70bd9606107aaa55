package load

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request. due is relative to the start of the measured window.
type arrival struct {
	mix          *OnlineMix
	index        int
	due          time.Duration
	promptBytes  int
	answerTokens int
}

// measured reports whether the request was due in the measured window, not in
// the warm-up.
func (a *arrival) measured() bool { return a.due >= 0 }

// randomFor returns the random source of one mix. Each mix has a source of its
// own, so that its arrivals do not depend on the other mixes of a variant.
func randomFor(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// schedule returns the arrivals of a mix in order of time, from the start of
// the warm-up to the end of the window.
func (m *OnlineMix) schedule(seed uint64, factor float64, warmup, duration time.Duration) []arrival {
	random := randomFor(seed, m.Name)
	from, until := -warmup, duration
	if m.From != nil {
		from = max(from, *m.From)
	}
	if m.Until != nil {
		until = min(until, *m.Until)
	}
	mean := float64(time.Second) / (m.Rate * factor)
	var list []arrival
	for due := from; ; {
		gap := mean
		if !m.Uniform {
			gap = mean * random.ExpFloat64()
		}
		due += time.Duration(gap)
		if due >= until {
			return list
		}
		list = append(list, arrival{
			mix:          m,
			index:        len(list),
			due:          due,
			promptBytes:  m.PromptBytes.draw(random),
			answerTokens: m.AnswerTokens.draw(random),
		})
	}
}

// merge returns the arrivals of several mixes in order of time.
func merge(lists ...[]arrival) []arrival {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.due, b.due) })
	return all
}
