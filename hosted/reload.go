package hosted

import (
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/platform"
)

// Reload takes changed settings into use: the bounds in time, the regions of the
// data centres and the address of the store. Everything else is fixed for the
// life of a process, and a change of it is logged. Nothing open is cut.
func (i *Instance) Reload(next platform.Settings) {
	before := i.settings.Load()
	applied := *before
	applied.Bounds, applied.Regions, applied.Store = next.Bounds, next.Regions, next.Store
	i.settings.Store(&applied)
	if next.Store.Address != before.Store.Address {
		i.storeClient.SetAddress(next.Store.Address)
	}
	i.workers.SetDataCentres(next.Regions)
	fixed := next.Name != before.Name || next.IP != before.IP || next.DataCentre != before.DataCentre ||
		next.Callers != before.Callers || next.Readiness != before.Readiness || next.Directory != before.Directory ||
		next.FirstPort != before.FirstPort || next.LastPort != before.LastPort
	i.log.Info("settings read again", zap.String("store", next.Store.Address), zap.Duration("grace", next.Bounds.Grace),
		zap.Duration("max_ttl", next.Bounds.MaxTTL), zap.Bool("restart_needed", fixed))
}
