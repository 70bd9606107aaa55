package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/feed"
)

// Document holds the operator's document. Update must be called from one goroutine;
// Current is safe for concurrent use.
type Document struct {
	// Key is the key of the row that contains the document.
	Key string
	// Decode decodes the document. Required.
	Decode func([]byte) (*contract.Routing, error)
	// Changed is called after a new version has come into force. It may be nil.
	Changed func(*contract.Routing)
	Log     *zap.Logger

	current atomic.Pointer[contract.Routing]
}

// Current returns the document in force, or nil before the first one.
func (d *Document) Current() *contract.Routing { return d.current.Load() }

// Update applies changes of the operator's table. Invalid documents and versions
// that are not newer than the one in force are logged and ignored.
func (d *Document) Update(u feed.Update) {
	for _, r := range u.Rows {
		if r.Key != d.Key || r.Removed {
			continue
		}
		next, err := d.Decode(r.Value)
		if err != nil {
			d.Log.Error("invalid document ignored", zap.Uint64("row_version", r.Version), zap.Error(err))
			continue
		}
		prev := d.current.Load()
		if prev != nil && next.Version <= prev.Version {
			d.Log.Info("older document ignored", zap.Uint64("version", next.Version), zap.Uint64("in_force", prev.Version))
			continue
		}
		d.current.Store(next)
		d.Log.Info("document in force", zap.Uint64("version", next.Version), zap.Int("routes", len(next.Routes)),
			zap.Duration("idle_timeout", next.Limits.IdleTimeout))
		if d.Changed != nil {
			d.Changed(next)
		}
	}
}
