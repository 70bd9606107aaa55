package upstream

import (
	"slices"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// fleet is the immutable view of one document: which upstreams this instance
// uses for which service.
type fleet struct {
	document *contract.Document
	preset   contract.Preset
	pools    map[string]*pool
	targets  map[string]*target
	// hashed has the ids of the targets by the hash that peers use.
	hashed map[uint32]string
}

// buildFleet derives a fleet from a document. Targets and services that go on
// keep what was observed of them.
func buildFleet(old *fleet, document *contract.Document, o Options) *fleet {
	f := &fleet{document: document, pools: map[string]*pool{}, targets: map[string]*target{}, hashed: map[uint32]string{}}
	if document == nil {
		return f
	}
	f.preset = document.Active()
	members := map[string][]string{}
	for id, u := range document.Upstreams {
		for _, s := range u.Services {
			members[s] = append(members[s], id)
		}
	}
	for name, service := range document.Services {
		p := &pool{name: name, service: service}
		if before, ok := old.pools[name]; ok {
			p.history = before.history
		} else {
			p.history = newHistory(document.Limits.RetryShare)
		}
		for _, id := range route.Subset(members[name], o.InstanceID, o.SubsetSize) {
			p.targets = append(p.targets, f.target(old, id, document, o))
		}
		f.pools[name] = p
	}
	return f
}

// target returns the target of an upstream; a changed address makes a new one.
func (f *fleet) target(old *fleet, id string, document *contract.Document, o Options) *target {
	if t, ok := f.targets[id]; ok {
		return t
	}
	u := document.Upstreams[id]
	t, ok := old.targets[id]
	if !ok || t.address != u.Address || t.started != u.Started {
		t = newTarget(id, u.Address)
		t.started = u.Started
	}
	f.targets[id] = t
	f.hashed[hashUpstream(id)] = id
	t.setContract(&terms{u, distance(document, o.DataCentre, u.DataCentre), servesModel(document, u)})
	return t
}

func servesModel(document *contract.Document, u contract.Upstream) bool {
	return slices.ContainsFunc(u.Services, func(name string) bool {
		return document.Services[name].Kind == contract.KindModel
	})
}

func distance(document *contract.Document, from, to string) time.Duration {
	if from == to {
		return 0
	}
	if us, ok := document.DataCentres[from].DistanceMicroseconds[to]; ok {
		return time.Duration(us) * time.Microsecond
	}
	return contract.DefaultDistance
}
