package daemon

import (
	"encoding/json"
	"time"

	"github.com/daisylb/daisylb/batch"
	"github.com/daisylb/daisylb/caller"
	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/datacentre"
	"github.com/daisylb/daisylb/instance"
	"github.com/daisylb/daisylb/storage/guard"
	"github.com/daisylb/daisylb/upstream"
)

// Dump is the state dump of one instance, with one field for each part.
type Dump struct {
	Instance      instance.Identity        `json:"instance"`
	Started       time.Time                `json:"started"`
	Lifecycle     instance.State           `json:"lifecycle"`
	Configuration config.State             `json:"configuration"`
	Callers       caller.State             `json:"callers"`
	Upstreams     upstream.State           `json:"upstreams"`
	Claims        claim.ServiceState       `json:"claims"`
	Jobs          batch.ServiceState       `json:"jobs"`
	Batch         batch.RunnerState        `json:"batch"`
	Membership    instance.MembershipState `json:"members"`
	Endpoints     datacentre.HandlerState  `json:"endpoints"`
	Store         guard.State              `json:"store"`
}

// dump returns the state dump as JSON.
func (d *Daemon) dump() ([]byte, error) {
	return json.Marshal(Dump{
		Instance:      d.identity,
		Started:       d.startedAt,
		Lifecycle:     d.lifecycle.State(),
		Configuration: d.config.State(),
		Callers:       d.listener.State(),
		Upstreams:     d.dispatcher.State(),
		Claims:        d.claims.State(),
		Jobs:          d.jobs.State(),
		Batch:         d.runner.State(),
		Membership:    d.members.State(),
		Endpoints:     d.endpoints.State(),
		Store:         d.store.State(),
	})
}
