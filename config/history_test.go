package config

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/daisylb/daisylb/code"
)

// attempt is a request for a change as its operator sent it.
type attempt struct {
	id   string
	base uint64
}

// outcome is the result of an attempt: the accepted version, or the winner of a
// conflict, or rejected without a commit. The zero value means that the
// operator does not know.
type outcome struct {
	accepted uint64
	winner   string
	rejected bool
}

// changeLog is the state of the model: the ids of the changes in the order of
// their versions.
type changeLog []string

// logModel is a log that accepts a change only if it was made from the last
// version.
var logModel = porcupine.Model{
	Init: func() any { return changeLog{"first"} },
	Step: func(state, input, output any) (bool, any) {
		l, in, out := state.(changeLog), input.(attempt), output.(outcome)
		appended := append(slices.Clone(l), in.id)
		switch {
		case out.rejected:
			return true, l
		case out.winner != "":
			return uint64(len(l)) > in.base && l[in.base] == out.winner, l
		case out.accepted != 0:
			return uint64(len(l)) == in.base && out.accepted == in.base+1, appended
		case uint64(len(l)) == in.base:
			return true, appended
		default:
			return true, l
		}
	},
	Equal: func(a, b any) bool { return slices.Equal(a.(changeLog), b.(changeLog)) },
}

// TestChangesAreLinearizable has operators submit concurrently to several
// instances while responses of the table are lost. There must be an order of
// the changes that explains every result.
func TestChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		const operators, changes = 4, 12
		sys := startSystem(t, operators)
		startedAt := time.Now()
		var mu sync.Mutex
		var history []porcupine.Operation
		var running sync.WaitGroup
		for i := range operators {
			running.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				for n := range changes {
					if random.IntN(3) == 0 {
						sys.platform.Faults().LoseResponses(random.IntN(commitAttempts + 2))
					}
					in := attempt{fmt.Sprintf("o%d-%d", i, n), sys.store(i).inForce()}
					call := time.Since(startedAt)
					a, err := sys.store(i).Submit(t.Context(), switchRequest(in.id, []string{"peak", "ordinary"}[n%2], in.base))
					op := porcupine.Operation{ClientId: i, Input: in, Call: int64(call), Output: outcomeOf(t, a, err), Return: int64(time.Since(startedAt))}
					if op.Output == (outcome{}) {
						// The attempt may take effect at any later time.
						op.Return = math.MaxInt64
						op.ClientId = operators + i*changes + n
					}
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
			})
		}
		running.Wait()
		if sys.platform.Faults().Counts().Injected == 0 {
			t.Fatalf("seed %d: no response was lost", seed)
		}
		if !porcupine.CheckOperations(logModel, history) {
			t.Fatalf("seed %d: no order of the changes explains the results:\n%+v", seed, history)
		}
	}
}

// outcomeOf returns the outcome of a Submit as the operator sees it.
func outcomeOf(t *testing.T, a Accepted, err error) outcome {
	var conflict *Conflict
	switch {
	case err == nil:
		return outcome{accepted: a.Version}
	case errors.As(err, &conflict):
		return outcome{winner: conflict.Winner.ChangeID}
	case code.Of(err) == code.StoreUnavailable:
		return outcome{rejected: true}
	case code.Of(err) != code.StoreUnknown:
		t.Errorf("unexpected error: %v", err)
	}
	return outcome{}
}
