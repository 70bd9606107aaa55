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
	faultTermAgain           = "term again"
	faultReloads             = "reloads"
	faultRoutes              = "routes"
	faultWorkerPauses        = "worker pauses"
	faultJobsTerm            = "jobs, term"
	faultJobsKill            = "jobs, kill"
	faultKillSeries          = "kill series"
	faultKillInStop          = "kill in stop"
	faultWorkerFlaps         = "worker flaps"
	faultWorkerDark          = "worker dark"
	faultWorkerFails         = "worker fails"
	faultStoreRights         = "store rights"
	faultPauseInChange       = "change in pause"
	faultChangeAtReturn      = "change at return"
	faultChangeInCut         = "change in cut"
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
	// workerKinds leave all instances and the store in touch.
	workerKinds = []string{faultHup, faultDocument, faultDocuments, faultDrain, faultReloads, faultRoutes, faultWorkerBreaks, faultWorkerSlow, faultWorkerLink, faultWorkerSilent,
		faultWorkerPauses, faultWorkerFlaps, faultWorkerFlaps, faultWorkerFlaps, faultWorkerDark, faultWorkerFails}
	// Series are drawn apart again.
	plannedSeries = []string{faultTermAgain, faultReloads, faultRoutes, faultWorkerPauses, faultJobsTerm}
	allSeries     = append([]string{faultJobsKill, faultKillSeries, faultKillInStop, faultWorkerFlaps, faultWorkerFlaps, faultWorkerDark, faultWorkerFails}, plannedSeries...)
	// Changes that overlap another fault are drawn apart again.
	plannedOverlaps = []string{faultPauseInChange}
	allOverlaps     = []string{faultPauseInChange, faultChangeAtReturn, faultChangeAtReturn, faultChangeInCut, faultChangeInCut}
)

const (
	minFaultStart    = time.Second
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// meanAdditionInterval is that between two of the additional kinds.
	meanAdditionInterval = 6 * time.Second
	// meanSeriesInterval is that between two series.
	meanSeriesInterval = 4 * time.Second
	// meanOverlapInterval is that between two changes that overlap another fault.
	meanOverlapInterval = 6 * time.Second
)

// NewPlan draws the faults of a soak of the given length. One in three plans
// has planned work only. With onlyWorkers all instances and the store stay in touch. The
// same arguments give the same plan.
func NewPlan(seed uint64, length time.Duration, onlyWorkers bool) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds, more, series, overlaps := allKinds, additions, allSeries, allOverlaps
	switch {
	case onlyWorkers:
		kinds, more, series, overlaps = workerKinds, nil, nil, plannedOverlaps
	case random.IntN(3) == 0:
		kinds, more, series, overlaps = plannedKinds, plannedAdditions, plannedSeries, plannedOverlaps
	}
	plan := drawFaults(random, kinds, length, meanFaultInterval)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, ^seed)), more, length, meanAdditionInterval)...)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(^seed, seed)), series, length, meanSeriesInterval)...)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(^seed, ^seed)), overlaps, length, meanOverlapInterval)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawFaults draws the faults of some kinds, one an interval.
func drawFaults(random *rand.Rand, kinds []string, length, interval time.Duration) []Fault {
	var faults []Fault
	if len(kinds) == 0 {
		return nil
	}
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
func isPlanned(kind string) bool {
	return slices.Contains(plannedKinds, kind) || slices.Contains(plannedSeries, kind) || slices.Contains(plannedOverlaps, kind) || kind == faultRoll
}
