package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one disturbance of a plan.
type Fault struct {
	Kind string
	At   time.Duration
	For  time.Duration
	// Index picks the instance or the worker.
	Index int
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-16s %d for %v", f.At.Seconds(), f.Kind, f.Index, f.For)
}

// Kinds of faults. Planned ones must cut nothing.
const (
	faultTerm       = "term"
	faultHup        = "hup"
	faultDocument   = "document"
	faultDocuments  = "documents"
	faultDrain      = "drain"
	faultKill       = "kill"
	faultKillAll    = "kill all"
	faultFreeze     = "freeze"
	faultStoreDown  = "store down"
	faultStoreLost  = "store lost"
	faultStoreLate  = "store late"
	faultStoreDrops = "store drops"
	faultStoreSome  = "store some"
	faultWorkerGone = "worker breaks"
	faultWorkerSlow = "worker slow"
	faultWorkerLink = "worker link"
	faultCallerLink = "caller link"
)

// planned kinds are weighed like the others; a plan of few faults of one sort
// finds what many at once hide.
var (
	plannedKinds = []string{faultTerm, faultHup, faultDocument, faultDocuments, faultDrain}
	allKinds     = append([]string{faultKill, faultKillAll, faultFreeze, faultStoreDown, faultStoreLost, faultStoreLate, faultStoreDrops,
		faultStoreSome, faultWorkerGone, faultWorkerSlow, faultWorkerLink, faultCallerLink}, plannedKinds...)
)

const (
	firstFault = time.Second
	minFault   = 500 * time.Millisecond
	maxFault   = 4 * time.Second
	// faultPace is the mean time between two faults.
	faultPace = 1500 * time.Millisecond
)

// NewPlan draws the faults of a soak: one in three plans has planned work only.
// The same seed draws the same plan.
func NewPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds := allKinds
	if random.IntN(3) == 0 {
		kinds = plannedKinds
	}
	var plan []Fault
	for range max(int(length/faultPace), 1) {
		plan = append(plan, Fault{
			Kind:  kinds[random.IntN(len(kinds))],
			At:    firstFault + time.Duration(random.Int64N(int64(max(length-firstFault, 1)))),
			For:   minFault + time.Duration(random.Int64N(int64(maxFault-minFault))),
			Index: random.IntN(1 << 16),
		})
	}
	slices.SortFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// isPlanned reports whether a kind of fault must cut nothing.
func isPlanned(kind string) bool { return slices.Contains(plannedKinds, kind) }
