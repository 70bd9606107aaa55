package hosted

import (
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/platform"
)

// Reload applies changed settings: the time bounds, the regions of the data centres
// and the address of the store. All other settings need a restart, and a change of
// them is logged. Open connections and requests continue. Reload must not be called
// concurrently.
func (i *Instance) Reload(next platform.Settings) {
	current := i.settings.Load()
	applied := *current
	applied.Bounds, applied.Regions, applied.Store = next.Bounds, next.Regions, next.Store
	i.settings.Store(&applied)
	if next.Store.Address != current.Store.Address {
		i.storeClient.SetAddress(next.Store.Address)
	}
	i.workers.SetDataCentres(next.Regions)
	restartNeeded := next.Name != current.Name || next.IP != current.IP || next.DataCentre != current.DataCentre ||
		next.CallerAddress != current.CallerAddress || next.ReadinessAddress != current.ReadinessAddress || next.DirectoryAddress != current.DirectoryAddress ||
		next.FirstPort != current.FirstPort || next.LastPort != current.LastPort
	i.log.Info("settings read again", zap.String("store", next.Store.Address), zap.Duration("grace", next.Bounds.GracePeriod),
		zap.Duration("max_ttl", next.Bounds.MaxTTL), zap.Bool("restart_needed", restartNeeded))
}
