package datacentre

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/instance"
)

const (
	// DefaultTTL is how long callers may cache an answer while there is no
	// configuration.
	DefaultTTL = 10 * time.Second
	// MaxEndpoints bounds the endpoints of one answer. A full answer keeps
	// reservedRemote of them for data centres other than the nearest, or fewer
	// if there are fewer such instances, so that a caller can move when the
	// nearest data centre fails.
	MaxEndpoints   = 24
	reservedRemote = 8
)

// Endpoint is an instance that a caller may use.
type Endpoint struct {
	// Address is IP:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Answer is the body of GET /v1/endpoints.
type Answer struct {
	// Version is the version of the configuration that the answer was made
	// from.
	Version uint64 `json:"version"`
	// TTLSeconds is how long the caller may cache the answer.
	TTLSeconds int `json:"ttl_s"`
	// Endpoints are in the order in which the caller should try them.
	Endpoints []Endpoint `json:"endpoints"`
}

// TTL returns how long callers may cache an answer. The document may be nil.
func TTL(d *contract.Document) time.Duration {
	if d == nil || d.Limits.EndpointTTLSeconds <= 0 {
		return DefaultTTL
	}
	return time.Duration(d.Limits.EndpointTTLSeconds) * time.Second
}

// Endpoints returns the instances that take callers, sorted by their distance from
// the caller's data centre, whose name is from. Instances at the same distance are
// shuffled by seed, which spreads both the first and the second choices of callers
// evenly. If no instance is alive and serving, it returns suspects that were
// serving. The document may be nil.
func Endpoints(v *instance.View, d *contract.Document, from string, seed uint64) Answer {
	answer := Answer{TTLSeconds: int(TTL(d) / time.Second), Endpoints: []Endpoint{}}
	if d != nil {
		answer.Version = d.Version
	}
	members := candidates(v)
	sortByDistance(members, d, from, seed)
	for _, m := range limitEndpoints(members) {
		answer.Endpoints = append(answer.Endpoints, Endpoint{Address: m.CallerAddress, DataCentre: m.DataCentre})
	}
	return answer
}

// candidates returns the members that take callers or, if there are none, the
// suspects that would take callers if they were alive.
func candidates(v *instance.View) []instance.Member {
	var available, suspects []instance.Member
	for _, m := range v.Live() {
		switch {
		case m.AcceptsNewCallers():
			available = append(available, m)
		case m.Health == instance.Suspect && m.State == instance.Serving && !m.Leaving:
			suspects = append(suspects, m)
		}
	}
	if len(available) == 0 {
		return suspects
	}
	return available
}

// sortByDistance sorts members in place by distance from a data centre and
// shuffles those at the same distance by seed.
func sortByDistance(members []instance.Member, d *contract.Document, from string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	distances := map[string]time.Duration{}
	for _, m := range members {
		if _, ok := distances[m.DataCentre]; !ok {
			distances[m.DataCentre] = Distance(d, from, m.DataCentre)
		}
	}
	slices.SortStableFunc(members, func(a, b instance.Member) int {
		return cmp.Compare(distances[a.DataCentre], distances[b.DataCentre])
	})
}

// limitEndpoints cuts members, which are sorted by distance, to MaxEndpoints.
// It reserves up to reservedRemote places for instances outside the nearest
// data centre.
func limitEndpoints(members []instance.Member) []instance.Member {
	if len(members) <= MaxEndpoints {
		return members
	}
	nearest := members[0].DataCentre
	var local, remote []instance.Member
	for _, m := range members {
		if m.DataCentre == nearest {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	maxLocal := MaxEndpoints - min(len(remote), reservedRemote)
	local = local[:min(len(local), maxLocal)]
	remote = remote[:min(len(remote), MaxEndpoints-len(local))]
	return append(local, remote...)
}
