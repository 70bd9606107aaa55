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

// ReturnGrace is how long after the return of the store an entry may be missing
// whose worker lives: entries lapse while the store is away, and workers write
// them again within about two seconds.
const ReturnGrace = 2 * time.Second

// Workers holds the upstreams that registered themselves. It is safe for
// concurrent use.
type Workers struct {
	// Decode reads an entry. Required.
	Decode func(id string, data []byte) (contract.Worker, error)
	// DataCentres have the region of each.
	DataCentres map[string]string
	Log         *zap.Logger

	mu sync.Mutex
	// self and instances are the names by which the fleet is divided into cells.
	self      string
	instances []string
	known     map[string]contract.Worker
	missing   map[string]time.Time
	// regained is when the store came back last.
	regained time.Time
	current  atomic.Pointer[contract.Document]
	// neighbours are the workers that the instances of a cell use, for each cell that
	// shares workers with this instance.
	neighbours atomic.Pointer[map[int]map[string]bool]
	heard      atomic.Bool
}

// Known reports whether the entries have been read.
func (w *Workers) Known() bool { return w.heard.Load() }

// Current returns the document of the dispatcher, or nil before the entries
// have been read.
func (w *Workers) Current() *contract.Document { return w.current.Load() }

// Update takes in changes of the workers' table.
func (w *Workers) Update(u feed.Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.known == nil {
		w.known = map[string]contract.Worker{}
		w.missing = map[string]time.Time{}
	}
	if u.Recovered {
		w.regained = now
	}
	changed := !w.heard.Load()
	for _, r := range u.Rows {
		if r.Removed {
			changed = w.remove(r.Key, now) || changed
			continue
		}
		changed = w.take(r.Key, r.Value) || changed
	}
	if !w.heard.Swap(true) {
		// At a start one line stands for all entries.
		w.Log.Info("workers read", zap.Int("workers", len(w.known)), zap.Int("entries", len(u.Rows)))
	}
	if changed {
		w.publish()
	}
}

// take keeps an entry; one that cannot be read names no worker to use.
func (w *Workers) take(id string, value []byte) bool {
	delete(w.missing, id)
	next, err := w.Decode(id, value)
	before, ok := w.known[id]
	if err != nil {
		w.Log.Warn("worker entry left out", zap.String("worker", id), zap.Error(err))
		delete(w.known, id)
		return ok
	}
	if ok && before == next {
		return false
	}
	w.known[id] = next
	if !w.heard.Load() {
		return true
	}
	w.Log.Info("worker", zap.String("worker", id), zap.String("address", next.Address), zap.String("service", next.Service),
		zap.Bool("draining", next.Draining), zap.Int64("started", next.Started))
	return true
}

// remove drops an entry. Soon after the return of the store it may only have
// lapsed, and the worker stays in use until the grace is over.
func (w *Workers) remove(id string, now time.Time) bool {
	before, ok := w.known[id]
	if !ok {
		return false
	}
	if left := ReturnGrace - now.Sub(w.regained); left > 0 && !before.Draining && !w.regained.IsZero() {
		w.missing[id] = now
		w.Log.Info("worker entry missing after an outage", zap.String("worker", id), zap.Duration("grace", left))
		time.AfterFunc(left, w.expire)
		return false
	}
	delete(w.known, id)
	w.Log.Info("worker gone", zap.String("worker", id))
	return true
}

// expire drops the entries that did not come back.
func (w *Workers) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.regained) < ReturnGrace {
		return
	}
	for id := range w.missing {
		delete(w.known, id)
		w.Log.Info("worker did not come back", zap.String("worker", id))
	}
	changed := len(w.missing) > 0
	clear(w.missing)
	if changed {
		w.publish()
	}
}

// SetDataCentres takes in the regions of the data centres.
func (w *Workers) SetDataCentres(regions map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if maps.Equal(regions, w.DataCentres) {
		return
	}
	w.DataCentres = regions
	if w.heard.Load() {
		w.publish()
	}
}

// SetInstances tells which instances share the workers, this one included. A
// large fleet is divided, and each instance uses the workers of its cell.
func (w *Workers) SetInstances(self string, instances []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.self, w.instances = self, instances
	if w.heard.Load() {
		w.publish()
	}
}

// Sharing is a group of instances that share the same workers with this one.
type PeerGroup struct {
	// Instances are their names, this one's among them.
	Instances []string
	// Cell is that of the group.
	Cell int
}

// Sharing returns the instances that share workers with this one, a group for each
// cell.
func (w *Workers) Sharing() []PeerGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	cells := w.cells()
	var groups []PeerGroup
	for _, cell := range route.CellNeighbours(route.CellOf(w.instances, w.self, cells), cells) {
		groups = append(groups, PeerGroup{Instances: route.CellMembers(w.instances, cell, cells), Cell: cell})
	}
	return groups
}

// UsedBy reports whether the instances of a cell use a worker; for a cell that shares
// none with this instance, which is so while the cells change, it returns true.
func (w *Workers) UsedBy(cell int, worker string) bool {
	neighbours := w.neighbours.Load()
	if neighbours == nil {
		return true
	}
	used, known := (*neighbours)[cell]
	return !known || used[worker]
}

// cells returns the number of cells. The lock is held.
func (w *Workers) cells() int { return route.Cells(len(w.instances), len(w.known)) }

// used returns the workers that the instances of a cell use: those of the cell and
// of the next, of each service. The lock is held.
func (w *Workers) used(cell, cells int) map[string]bool {
	used := map[string]bool{}
	if cells <= 1 {
		for id := range w.known {
			used[id] = true
		}
		return used
	}
	byService := map[string][]string{}
	for id, worker := range w.known {
		if !worker.Draining {
			byService[worker.Service] = append(byService[worker.Service], id)
		}
	}
	for _, ids := range byService {
		members := route.CellUpstreams(ids, cell, cells)
		if len(members) == 0 {
			// A service with fewer workers than cells is shared by all.
			members = ids
		}
		for _, id := range members {
			used[id] = true
		}
	}
	return used
}

// divide returns the workers that this instance uses and notes which of them each
// cell with shared workers uses. The lock is held.
func (w *Workers) divide() map[string]bool {
	cells := w.cells()
	own := route.CellOf(w.instances, w.self, cells)
	neighbours := map[int]map[string]bool{}
	for _, cell := range route.CellNeighbours(own, cells) {
		neighbours[cell] = w.used(cell, cells)
	}
	w.neighbours.Store(&neighbours)
	return neighbours[own]
}

// batchPreset leaves all idle capacity to batch work.
const batchPreset = "ordinary"

// publish makes the document of the dispatcher.
func (w *Workers) publish() {
	d := &contract.Document{
		Preset:      batchPreset,
		Presets:     map[string]contract.Preset{batchPreset: {BatchShare: 1, HeadroomSlots: 0, AdmitOnline: true}},
		DataCentres: map[string]contract.DataCentre{},
		Services:    map[string]contract.Service{},
		Upstreams:   map[string]contract.Upstream{},
		Limits:      contract.Limits{RetryShare: 1},
	}
	for name, region := range w.DataCentres {
		d.DataCentres[name] = contract.DataCentre{Region: region}
	}
	for _, worker := range w.known {
		d.Services[worker.Service] = contract.Service{Kind: contract.KindRouted}
	}
	for id := range w.divide() {
		worker := w.known[id]
		d.Upstreams[id] = contract.Upstream{
			Address:    worker.Address,
			DataCentre: worker.DataCentre,
			Services:   []string{worker.Service},
			Slots:      worker.Slots,
			Started:    worker.Started,
			Leaving:    worker.Draining,
		}
	}
	w.current.Store(d)
}
