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

// attempt is a request for a change as its operator saw it.
type attempt struct {
	id   string
	base uint64
}

// outcome is the answer to an attempt: one of accepted, conflict by winner, or
// neither when the operator does not know.
type outcome struct {
	accepted uint64
	winner   string
	refused  bool
}

// changeLog is the state of the model: the change ids in the order of their versions.
type changeLog []string

// logModel is a log that takes a change only when it was made from the end.
var logModel = porcupine.Model{
	Init: func() any { return changeLog{"first"} },
	Step: func(state, input, output any) (bool, any) {
		l, in, out := state.(changeLog), input.(attempt), output.(outcome)
		appended := append(slices.Clone(l), in.id)
		switch {
		case out.refused:
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

// TestChangesAreLinearizable lets operators race at several instances while
// answers of the table are lost, and looks for an order of the changes that
// explains every answer.
func TestChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		const operators, changes = 4, 12
		y := started(t, operators)
		began := time.Now()
		var mu sync.Mutex
		var history []porcupine.Operation
		var all sync.WaitGroup
		for i := range operators {
			all.Go(func() {
				draws := rand.New(rand.NewPCG(seed, uint64(i)))
				for n := range changes {
					if draws.IntN(3) == 0 {
						y.platform.Faults().LoseAnswers(draws.IntN(commitAttempts + 2))
					}
					in := attempt{fmt.Sprintf("o%d-%d", i, n), y.at(i).inForce()}
					call := time.Since(began)
					a, err := y.at(i).Submit(t.Context(), switchTo(in.id, []string{"peak", "ordinary"}[n%2], in.base))
					op := porcupine.Operation{ClientId: i, Input: in, Call: int64(call), Output: seen(t, a, err), Return: int64(time.Since(began))}
					if op.Output == (outcome{}) {
						// It may take effect at any later time.
						op.Return = math.MaxInt64
						op.ClientId = operators + i*changes + n
					}
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
			})
		}
		all.Wait()
		if y.platform.Faults().Counts().Injected == 0 {
			t.Fatalf("seed %d: no answer was lost", seed)
		}
		if !porcupine.CheckOperations(logModel, history) {
			t.Fatalf("seed %d: no order of the changes explains the answers:\n%+v", seed, history)
		}
	}
}

// seen returns the outcome that an operator sees.
func seen(t *testing.T, a Accepted, err error) outcome {
	var conflict *Conflict
	switch {
	case err == nil:
		return outcome{accepted: a.Version}
	case errors.As(err, &conflict):
		return outcome{winner: conflict.Winner.ChangeID}
	case code.Of(err) == code.StoreUnavailable:
		return outcome{refused: true}
	case code.Of(err) != code.StoreUnknown:
		t.Errorf("unexpected answer: %v", err)
	}
	return outcome{}
}
