package contract

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/daisylb/daisylb/account"
)

// RouteKind is the kind of a route: whether its requests may run more than once,
// and how they are answered.
type RouteKind int

const (
	// RouteUnsafe is the kind of routes whose requests run at most once. It is the
	// zero value, so that requests on a route of unknown kind are never repeated.
	RouteUnsafe RouteKind = iota
	// RouteSafe is the kind of routes whose requests may run more than once.
	RouteSafe
	// RouteStream is the kind of routes whose requests are answered by a stream of
	// events. They run at most once unless the route is resumable.
	RouteStream
	// RouteBatch is the kind of routes that accept jobs of many requests, which run
	// later.
	RouteBatch
)

// Routing is the routing document of a deployment with routed services, which the
// operator provides. A published Routing is immutable.
type Routing struct {
	// Version increases with every change, not necessarily by one.
	Version  uint64
	Routes   []Route
	Services map[string]RoutedService
	Limits   RequestLimits
	// Accounts has the client accounts by name, and Keys finds them by their API keys. Both
	// are nil if callers need no key.
	Accounts map[string]RoutedAccount
	Keys     *account.Index
	// AccountWeights is the sum of the weights of all accounts.
	AccountWeights float64
}

// defaultAccountWeight is the weight of an account without a quota, in requests per second.
// It is the mean rate of the accounts of the first deployment that has them: 205 requests
// per second of 74 accounts.
const defaultAccountWeight = 3

// Weight returns the weight of the account among all: the rate of its quota.
func (a RoutedAccount) Weight() float64 {
	if a.Quota.PerSecond > 0 {
		return a.Quota.PerSecond
	}
	return defaultAccountWeight
}

// Share returns the part of the capacity that an account is entitled to under overload,
// between 0 and 1. It is 0 if the deployment has no accounts. Requests without an account
// count as one more account.
func (r *Routing) Share(name string) float64 {
	if r.AccountWeights <= 0 {
		return 0
	}
	return r.Accounts[name].Weight() / (r.AccountWeights + defaultAccountWeight)
}

// RoutedAccount is a client account of a deployment with routed services.
type RoutedAccount struct {
	Name string
	// Priority replaces the priority of routes; nil means that the account has none of its
	// own.
	Priority *int
	// Quota limits the online requests of the account at all instances together.
	Quota RateLimit
}

// RateLimit limits the requests of an account: PerSecond on average, and Burst more at
// once. A PerSecond of 0 means no limit.
type RateLimit struct {
	PerSecond float64
	Burst     float64
}

// RoutedService is a group of upstreams that register themselves.
type RoutedService struct {
	Name string
	// MaxConnections is the maximum number of connections of all callers to one
	// upstream.
	MaxConnections int
}

// RequestLimits are the limits of requests from callers.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route routes the requests for a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the maximum time from a request to its answer.
	Timeout time.Duration
	// Objective is the latency objective: the time within which an answer, or its
	// first event, is on time. GapObjective is the same for the time between two
	// events.
	Objective    time.Duration
	GapObjective time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Public is set if requests on the route need no key.
	Public bool
	// MaxAttempts is the maximum number of upstreams on which a request runs.
	MaxAttempts int
	// Resumable is set if another upstream can resume a stream after its last event.
	Resumable bool
	// Split are the services of the route, with their weights.
	Split []WeightedService
	// CompletionWindow is the time from the submission of a job until all its
	// results are due. Only RouteBatch uses it.
	CompletionWindow time.Duration
	// GiveUpAfter is the time from the submission of a job after which its items may
	// be given up. Only RouteBatch uses it.
	GiveUpAfter time.Duration
	// MaxWaitingTokens is the maximum number of tokens of accepted items that are
	// queued; 0 means no limit.
	MaxWaitingTokens int64
}

// WeightedService is a service with its weight in a split.
type WeightedService struct {
	Service string
	Weight  int
}

// ID returns the id of the route, which is the same in all versions of the
// document.
func (r *Route) ID() string { return r.Host + r.Prefix }

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteBatch || r.Kind == RouteStream && r.Resumable
}

// Service returns a service of the route, drawn at random by weight, or "" if the
// route has none.
func (r *Route) Service() string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}

// Match returns the route of the host with the longest prefix of path, or nil if
// there is none. host may have a port, which is ignored.
func (d *Routing) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var best *Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Worker is an upstream that registered itself.
type Worker struct {
	// ID is unique among the live workers. A worker may restart with the same id.
	ID string
	// StartedMillis is the start time in Unix milliseconds. It distinguishes workers
	// that use the same id one after another.
	StartedMillis int64
	Service       string
	// Address is IP:port. Another worker may use it later.
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
}
