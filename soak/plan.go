package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	// Index selects the instance or worker, and the mode of faults that have
	// several.
	Index int
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-16s %d for %v", f.At.Seconds(), f.Kind, f.Index, f.Duration)
}

// Kinds of faults. Planned ones must not cut any request.
const (
	faultTerm                = "term"
	faultHup                 = "hup"
	faultDocument            = "document"
	faultDocuments           = "documents"
	faultDrain               = "drain"
	faultKill                = "kill"
	faultKillAll             = "kill all"
	faultFreeze              = "freeze"
	faultStoreDown           = "store down"
	faultStoreLosesResponses = "store lost"
	faultStoreLateEffects    = "store late"
	faultStoreDropsHistory   = "store drops"
	faultStoreOneInstance    = "store some"
	faultWorkerBreaks        = "worker breaks"
	faultWorkerSlow          = "worker slow"
	faultWorkerLink          = "worker link"
	faultCallerLink          = "caller link"
	faultRoll                = "roll"
	faultStoreTable          = "store table"
	faultWorkerSilent        = "worker silent"
)

// All kinds have the same weight. Plans of planned work only find violations
// that many concurrent faults would mask.
var (
	plannedKinds = []string{faultTerm, faultHup, faultDocument, faultDocuments, faultDrain}
	allKinds     = append([]string{faultKill, faultKillAll, faultFreeze, faultStoreDown, faultStoreLosesResponses, faultStoreLateEffects, faultStoreDropsHistory,
		faultStoreOneInstance, faultWorkerBreaks, faultWorkerSlow, faultWorkerLink, faultCallerLink}, plannedKinds...)
	// Additional kinds are drawn apart, so that the seeds keep the faults that they had
	// before these kinds existed.
	plannedAdditions = []string{faultRoll}
	additions        = []string{faultRoll, faultStoreTable, faultStoreTable, faultWorkerSilent, faultWorkerSilent}
)

const (
	minFaultStart    = time.Second
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// meanAdditionInterval is that between two of the additional kinds.
	meanAdditionInterval = 6 * time.Second
)

// NewPlan draws the faults of a soak of the given length. One in three plans
// has planned work only. The same seed and length give the same plan.
func NewPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds, more := allKinds, additions
	if random.IntN(3) == 0 {
		kinds, more = plannedKinds, plannedAdditions
	}
	plan := drawFaults(random, kinds, length, meanFaultInterval)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, ^seed)), more, length, meanAdditionInterval)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawFaults draws the faults of some kinds, one an interval.
func drawFaults(random *rand.Rand, kinds []string, length, interval time.Duration) []Fault {
	var faults []Fault
	for range max(int(length/interval), 1) {
		faults = append(faults, Fault{
			Kind:     kinds[random.IntN(len(kinds))],
			At:       minFaultStart + time.Duration(random.Int64N(int64(max(length-minFaultStart, 1)))),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Index:    random.IntN(1 << 16),
		})
	}
	return faults
}

// isPlanned reports whether a kind of fault must not cut any request.
func isPlanned(kind string) bool { return slices.Contains(plannedKinds, kind) || kind == faultRoll }
