package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/feed"
)

// Document holds the operator's document. It is safe for concurrent use.
type Document struct {
	// Key of the row with the document.
	Key string
	// Decode reads the document. Required.
	Decode func([]byte) (*contract.Routing, error)
	// Changed is called after a new version is in force; it may be nil.
	Changed func(*contract.Routing)
	Log     *zap.Logger

	current atomic.Pointer[contract.Routing]
}

// Current returns the document in force, or nil before there is one.
func (d *Document) Current() *contract.Routing { return d.current.Load() }

// Update takes in changes of the operator's table.
func (d *Document) Update(u feed.Update) {
	for _, r := range u.Rows {
		if r.Key != d.Key || r.Removed {
			continue
		}
		next, err := d.Decode(r.Value)
		if err != nil {
			d.Log.Error("document not usable", zap.Uint64("row_version", r.Version), zap.Error(err))
			continue
		}
		before := d.current.Load()
		if before != nil && next.Version <= before.Version {
			d.Log.Info("older document ignored", zap.Uint64("version", next.Version), zap.Uint64("in_force", before.Version))
			continue
		}
		d.current.Store(next)
		d.Log.Info("document in force", zap.Uint64("version", next.Version), zap.Int("routes", len(next.Routes)))
		if d.Changed != nil {
			d.Changed(next)
		}
	}
}
