package routing

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/route"
)

// ReregistrationGrace is how long after the recovery of the store the entry of a
// live worker may be missing: entries expire while the store is unreachable, and
// workers write them again within about two seconds.
const ReregistrationGrace = 2 * time.Second

// Workers holds the workers that registered themselves and the document that is
// built from them. It is safe for concurrent use.
type Workers struct {
	// Decode decodes an entry. Required.
	Decode func(id string, data []byte) (contract.Worker, error)
	// DataCentres holds the region of each data centre by name. Use SetDataCentres
	// after the first Update.
	DataCentres map[string]string
	Log         *zap.Logger
	// Ended is called, after the change is in force, for each incarnation of a worker that has
	// ended without having been draining. It may be nil.
	Ended func(id string, startedMillis int64)

	mu sync.Mutex
	// self is the name of this instance. instances are the names by which the fleet
	// is divided into cells.
	self      string
	instances []string
	// workers holds the workers of valid entries by id. missing holds the time at
	// which the entry of a worker went missing, while its grace period lasts.
	workers map[string]contract.Worker
	missing map[string]time.Time
	// invalid has the ids whose entries are invalid.
	invalid map[string]bool
	// recoveredAt is the time at which the store last became reachable again.
	recoveredAt time.Time
	// written has the workers whose entries have been written since then, while a grace period
	// may last.
	written map[string]bool
	// current is the document for the dispatcher.
	current atomic.Pointer[contract.Document]
	// usedByCell holds the workers that the instances of a cell use, for each cell
	// that shares workers with this instance.
	usedByCell atomic.Pointer[map[int]map[string]bool]
	// loaded is set once the entries have been read.
	loaded atomic.Bool
	// ended has the workers for Ended, while an update is applied.
	ended []contract.Worker
}

// Loaded reports whether the entries have been read.
func (w *Workers) Loaded() bool { return w.loaded.Load() }

// Current returns the document for the dispatcher, or nil before the entries have
// been read. It must not be modified.
func (w *Workers) Current() *contract.Document { return w.current.Load() }

// Update applies changes of the workers' table.
func (w *Workers) Update(u feed.Update) {
	for _, worker := range w.update(u) {
		if w.Ended != nil {
			w.Ended(worker.ID, worker.StartedMillis)
		}
	}
}

// update applies changes and returns the workers for Ended.
func (w *Workers) update(u feed.Update) []contract.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = nil
	now := time.Now()
	if w.workers == nil {
		w.workers = map[string]contract.Worker{}
		w.missing = map[string]time.Time{}
		w.invalid = map[string]bool{}
	}
	if u.Recovered {
		w.recoveredAt, w.written = now, map[string]bool{}
		if len(w.missing) > 0 {
			// The grace period begins anew, and its earlier timer has no effect.
			time.AfterFunc(ReregistrationGrace, w.removeMissing)
		}
	}
	if now.Sub(w.recoveredAt) > ReregistrationGrace {
		w.written = nil
	}
	changed := !w.loaded.Load()
	for _, r := range u.Rows {
		if r.Removed {
			changed = w.removeEntry(r.Key, now) || changed
			continue
		}
		changed = w.applyEntry(r.Key, r.Value) || changed
	}
	if len(w.missing) > 0 && w.storeWasUp() {
		w.Log.Info("all other workers have written their entries, missing ones are gone", zap.Int("missing", len(w.missing)),
			zap.Int("workers", len(w.workers)), zap.Duration("since_recovery", now.Sub(w.recoveredAt)))
		changed = w.dropMissing() || changed
	}
	if !w.loaded.Swap(true) {
		// At startup, one line is logged instead of one per entry.
		w.Log.Info("workers read", zap.Int("workers", len(w.workers)), zap.Int("entries", len(u.Rows)))
	}
	if changed {
		w.publish()
	}
	if u.FullRead || u.Recovered {
		// An announcement may have been missed.
		return nil
	}
	return w.ended
}

// applyEntry adds or replaces a worker and reports whether the document changes. An
// invalid entry removes the worker; it is logged once, until the entry becomes valid or
// is removed. w.mu must be held.
func (w *Workers) applyEntry(id string, value []byte) bool {
	delete(w.missing, id)
	if w.written != nil {
		w.written[id] = true
	}
	next, err := w.Decode(id, value)
	prev, ok := w.workers[id]
	if err != nil {
		if !w.invalid[id] {
			w.Log.Warn("worker with invalid entry not used", zap.String("worker", id), zap.Error(err))
		}
		w.invalid[id] = true
		delete(w.workers, id)
		return ok
	}
	delete(w.invalid, id)
	if ok && prev == next {
		return false
	}
	w.workers[id] = next
	if !w.loaded.Load() {
		return true
	}
	if ok && !prev.Draining && prev.StartedMillis != next.StartedMillis {
		w.ended = append(w.ended, prev)
	}
	w.Log.Info("worker", zap.String("worker", id), zap.String("address", next.Address), zap.String("service", next.Service),
		zap.Bool("draining", next.Draining), zap.Int64("started", next.StartedMillis))
	return true
}

// removeEntry removes a worker whose entry was removed, and reports whether the
// document changes. Soon after a recovery of the store the entry may only have
// expired during the outage; the worker then remains in use until the grace period
// is over. w.mu must be held.
func (w *Workers) removeEntry(id string, now time.Time) bool {
	delete(w.invalid, id)
	prev, ok := w.workers[id]
	if !ok {
		return false
	}
	if remaining := ReregistrationGrace - now.Sub(w.recoveredAt); remaining > 0 && !prev.Draining && !w.recoveredAt.IsZero() {
		w.missing[id] = now
		w.Log.Info("worker entry missing after an outage", zap.String("worker", id), zap.Duration("grace", remaining))
		time.AfterFunc(remaining, w.removeMissing)
		return false
	}
	delete(w.workers, id)
	w.Log.Info("worker gone", zap.String("worker", id))
	if !prev.Draining {
		w.ended = append(w.ended, prev)
	}
	return true
}

// removeMissing removes the workers that have not registered again within the grace
// period.
func (w *Workers) removeMissing() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.recoveredAt) < ReregistrationGrace {
		return
	}
	if w.dropMissing() {
		w.publish()
	}
}

// dropMissing removes the workers whose entries are missing, and reports whether there are any.
// w.mu must be held.
func (w *Workers) dropMissing() bool {
	for id := range w.missing {
		delete(w.workers, id)
		w.Log.Info("worker did not come back", zap.String("worker", id))
	}
	changed := len(w.missing) > 0
	clear(w.missing)
	return changed
}

// maxMissingShare is the share of the workers, as a divisor, that may have left while the store
// could not be reached from here only.
const maxMissingShare = 8

// storeWasUp reports whether entries are missing because their workers have left, while this
// instance alone could not reach the store: all other workers have written theirs since, and few
// have not. After an outage of the store, workers write their entries again at different times.
// w.mu must be held.
func (w *Workers) storeWasUp() bool {
	if len(w.missing) > max(len(w.workers)/maxMissingShare, 1) || len(w.workers) == len(w.missing) {
		return false
	}
	for id := range w.workers {
		if _, ok := w.missing[id]; !ok && !w.written[id] {
			return false
		}
	}
	return true
}

// SetDataCentres sets the region of each data centre by name.
func (w *Workers) SetDataCentres(regions map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if maps.Equal(regions, w.DataCentres) {
		return
	}
	w.DataCentres = regions
	if w.loaded.Load() {
		w.publish()
	}
}

// SetInstances sets the name of this instance and those of all instances that share
// the workers, including this one. A large fleet is divided into cells, and each
// instance uses the workers of its cell and of the next one.
func (w *Workers) SetInstances(self string, instances []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.self, w.instances = self, instances
	if w.loaded.Load() {
		w.publish()
	}
}

// PeerGroup is the instances of one cell that share workers with this instance.
type PeerGroup struct {
	// Instances are the names of the members, which may include this instance.
	Instances []string
	// Cell is the cell of the group.
	Cell int
}

// PeerGroups returns the instances that share workers with this one, one group per
// cell.
func (w *Workers) PeerGroups() []PeerGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	cells := w.cellCount()
	var groups []PeerGroup
	for _, cell := range route.CellNeighbours(route.CellOf(w.instances, w.self, cells), cells) {
		groups = append(groups, PeerGroup{Instances: route.CellMembers(w.instances, cell, cells), Cell: cell})
	}
	return groups
}

// UsedBy reports whether the instances of a cell use a worker. It returns true for
// a cell that shares no workers with this instance, which happens while the cells
// change.
func (w *Workers) UsedBy(cell int, worker string) bool {
	neighbours := w.usedByCell.Load()
	if neighbours == nil {
		return true
	}
	used, known := (*neighbours)[cell]
	return !known || used[worker]
}

// cellCount returns the number of cells. w.mu must be held.
func (w *Workers) cellCount() int { return route.Cells(len(w.instances), len(w.workers)) }

// cellWorkers returns the workers of all services that the instances of a cell use:
// those of the cell and of the next one. Draining workers are left out when there
// are several cells. w.mu must be held.
func (w *Workers) cellWorkers(cell, cells int) map[string]bool {
	used := map[string]bool{}
	if cells <= 1 {
		for id := range w.workers {
			used[id] = true
		}
		return used
	}
	byService := map[string][]string{}
	for id, worker := range w.workers {
		if !worker.Draining {
			byService[worker.Service] = append(byService[worker.Service], id)
		}
	}
	for _, ids := range byService {
		members := route.CellUpstreams(ids, cell, cells)
		if len(members) == 0 {
			// A service with fewer workers than cells may have none in these two
			// cells. All its workers are used then.
			members = ids
		}
		for _, id := range members {
			used[id] = true
		}
	}
	return used
}

// assignWorkers returns the workers that this instance uses, and stores in
// usedByCell which workers each cell uses that shares some with it. w.mu must be
// held.
func (w *Workers) assignWorkers() map[string]bool {
	cells := w.cellCount()
	own := route.CellOf(w.instances, w.self, cells)
	neighbours := map[int]map[string]bool{}
	for _, cell := range route.CellNeighbours(own, cells) {
		neighbours[cell] = w.cellWorkers(cell, cells)
	}
	w.usedByCell.Store(&neighbours)
	return neighbours[own]
}

// defaultPreset is the name of the only preset of the document. It allows batch
// work to use all idle capacity.
const defaultPreset = "ordinary"

// publish builds the document for the dispatcher and puts it into force. w.mu must
// be held.
func (w *Workers) publish() {
	d := &contract.Document{
		Preset:      defaultPreset,
		Presets:     map[string]contract.Preset{defaultPreset: {BatchShare: 1, HeadroomSlots: 0, AdmitOnline: true}},
		DataCentres: map[string]contract.DataCentre{},
		Services:    map[string]contract.Service{},
		Upstreams:   map[string]contract.Upstream{},
		Limits:      contract.Limits{RetryShare: 1},
	}
	for name, region := range w.DataCentres {
		d.DataCentres[name] = contract.DataCentre{Region: region}
	}
	for _, worker := range w.workers {
		d.Services[worker.Service] = contract.Service{Kind: contract.KindRouted}
	}
	for id := range w.assignWorkers() {
		worker := w.workers[id]
		d.Upstreams[id] = contract.Upstream{
			Address:       worker.Address,
			DataCentre:    worker.DataCentre,
			Services:      []string{worker.Service},
			Slots:         worker.Slots,
			StartedMillis: worker.StartedMillis,
			Draining:      worker.Draining,
		}
	}
	w.current.Store(d)
}
