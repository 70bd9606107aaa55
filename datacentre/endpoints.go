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
	// DefaultTTL is the lifetime of an answer without a configuration.
	DefaultTTL = 10 * time.Second
	// MaxEndpoints bounds one answer; of these, reservedFar stay free for other
	// data centres, so that a caller can move when its nearest one is lost.
	MaxEndpoints = 24
	reservedFar  = 8
)

// Endpoint is an instance that a caller may use.
type Endpoint struct {
	// Address is IP:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Answer is the body of GET /v1/endpoints.
type Answer struct {
	// Version of the configuration that the answer was made with.
	Version uint64 `json:"version"`
	// TTLSeconds is how long the caller may keep the answer.
	TTLSeconds int `json:"ttl_s"`
	// Endpoints in the order in which to try them.
	Endpoints []Endpoint `json:"endpoints"`
}

// TTL returns how long callers may keep an answer. The document may be nil.
func TTL(d *contract.Document) time.Duration {
	if d == nil || d.Limits.EndpointTTLSeconds <= 0 {
		return DefaultTTL
	}
	return time.Duration(d.Limits.EndpointTTLSeconds) * time.Second
}

// Endpoints returns the instances that take callers, nearest to the caller's
// data centre first. Instances at the same distance stand in an order drawn
// from seed, which spreads callers evenly and also their second choices. When
// no instance is alive and serving, serving suspects are given. The document
// may be nil.
func Endpoints(v *instance.View, d *contract.Document, caller string, seed uint64) Answer {
	answer := Answer{TTLSeconds: int(TTL(d) / time.Second), Endpoints: []Endpoint{}}
	if d != nil {
		answer.Version = d.Version
	}
	members := candidates(v)
	sortByDistance(members, d, caller, seed)
	for _, m := range bound(members) {
		answer.Endpoints = append(answer.Endpoints, Endpoint{Address: m.CallerAddress, DataCentre: m.DataCentre})
	}
	return answer
}

func candidates(v *instance.View) []instance.Member {
	var taking, suspect []instance.Member
	for _, m := range v.Live() {
		switch {
		case m.TakesCallers():
			taking = append(taking, m)
		case m.Health == instance.Suspect && m.State == instance.Serving && !m.Leaving:
			suspect = append(suspect, m)
		}
	}
	if len(taking) == 0 {
		return suspect
	}
	return taking
}

func sortByDistance(members []instance.Member, d *contract.Document, caller string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	distances := map[string]time.Duration{}
	for _, m := range members {
		if _, ok := distances[m.DataCentre]; !ok {
			distances[m.DataCentre] = Distance(d, caller, m.DataCentre)
		}
	}
	slices.SortStableFunc(members, func(a, b instance.Member) int {
		return cmp.Compare(distances[a.DataCentre], distances[b.DataCentre])
	})
}

// bound cuts members to MaxEndpoints and keeps room for instances outside the
// first data centre.
func bound(members []instance.Member) []instance.Member {
	if len(members) <= MaxEndpoints {
		return members
	}
	near := members[0].DataCentre
	var first, far []instance.Member
	for _, m := range members {
		if m.DataCentre == near {
			first = append(first, m)
		} else {
			far = append(far, m)
		}
	}
	room := MaxEndpoints - min(len(far), reservedFar)
	first = first[:min(len(first), room)]
	far = far[:min(len(far), MaxEndpoints-len(first))]
	return append(first, far...)
}
