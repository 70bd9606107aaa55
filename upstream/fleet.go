package upstream

import (
	"slices"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// fleet is the view of one document: the upstreams that this instance uses for each
// service. It is immutable; the state that its pools and targets refer to is not.
type fleet struct {
	document *contract.Document
	preset   contract.Preset
	pools    map[string]*pool
	// targets has the targets of the pools, and those of earlier documents at which
	// requests still run.
	targets map[string]*target
	// idsByHash has the ids of the targets by hashUpstream.
	idsByHash map[uint32]string
}

// buildFleet returns the fleet of a document. Targets and services that also exist in
// old keep their observed state.
func buildFleet(old *fleet, document *contract.Document, o Options) *fleet {
	f := &fleet{document: document, pools: map[string]*pool{}, targets: map[string]*target{}, idsByHash: map[uint32]string{}}
	if document == nil {
		return f
	}
	f.preset = document.ActivePreset()
	members := map[string][]string{}
	for id, u := range document.Upstreams {
		for _, s := range u.Services {
			members[s] = append(members[s], id)
		}
	}
	for name, service := range document.Services {
		p := &pool{name: name, service: service}
		if before, ok := old.pools[name]; ok {
			p.poolState = before.poolState
		} else {
			p.poolState = newPoolState(document.Limits.RetryShare)
		}
		for _, id := range route.Subset(members[name], o.InstanceID, o.SubsetSize) {
			p.targets = append(p.targets, f.target(old, id, document, o))
		}
		f.pools[name] = p
	}
	return f
}

// target returns the target of an upstream. It creates a new target if the upstream's
// address or incarnation has changed.
func (f *fleet) target(old *fleet, id string, document *contract.Document, o Options) *target {
	if t, ok := f.targets[id]; ok {
		return t
	}
	u := document.Upstreams[id]
	t, ok := old.targets[id]
	if !ok || t.address != u.Address || t.incarnation != u.StartedMillis {
		t = newTarget(id, u.Address)
		t.incarnation = u.StartedMillis
	}
	f.targets[id] = t
	f.idsByHash[hashUpstream(id)] = id
	t.setConfig(&upstreamConfig{u, distance(document, o.DataCentre, u.DataCentre), servesModel(document, u)})
	return t
}

// hasInPool reports whether a service uses the target, so that it gets new work.
func (f *fleet) hasInPool(service string, t *target) bool {
	p, ok := f.pools[service]
	return ok && slices.Contains(p.targets, t)
}

// keepUsedTargets adds the targets of old at which requests still run. They get no new
// work, since no pool has them, but their load counts for the peers that use them, and
// for this instance if it uses them again. The caller holds the scheduler's lock.
func (f *fleet) keepUsedTargets(old *fleet) {
	for id, t := range old.targets {
		if _, ok := f.targets[id]; !ok && len(t.slots) > 0 {
			f.targets[id] = t
			f.idsByHash[hashUpstream(id)] = id
		}
	}
}

// servesModel reports whether one of the upstream's services is a model service.
func servesModel(document *contract.Document, u contract.Upstream) bool {
	return slices.ContainsFunc(u.Services, func(name string) bool {
		return document.Services[name].Kind == contract.KindModel
	})
}

// distance returns the one-way latency between two data centres.
func distance(document *contract.Document, from, to string) time.Duration {
	if from == to {
		return 0
	}
	if us, ok := document.DataCentres[from].DistanceMicroseconds[to]; ok {
		return time.Duration(us) * time.Microsecond
	}
	return contract.DefaultDistance
}
