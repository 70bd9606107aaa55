package contract

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind int

const (
	// RouteUnsafe requests run at most once. It is the zero value, so that a
	// kind that is not known repeats nothing.
	RouteUnsafe RouteKind = iota
	// RouteSafe requests may run more than once.
	RouteSafe
	// RouteStream requests are answered by a series of events; they run once
	// unless the route is resumable.
	RouteStream
	// RouteBatch takes jobs of many requests that run later.
	RouteBatch
)

// Routing is the operator's document of a deployment with routed services. A
// published Routing is immutable.
type Routing struct {
	// Version grows in uneven steps.
	Version  uint64
	Routes   []Route
	Services map[string]RoutedService
	Limits   RequestLimits
}

// RoutedService is a group of upstreams that register themselves.
type RoutedService struct {
	Name string
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is on
	// time; GapObjective the longest pause between two events.
	Objective    time.Duration
	GapObjective time.Duration
	// Priority is a rank; 0 is the highest.
	Priority int
	// MaxAttempts is the number of upstreams on which one request may run.
	MaxAttempts int
	// Resumable streams may go on at another upstream after an event.
	Resumable bool
	// Split has the services with their weights.
	Split []Share
	// Completion is when all results of a job are due after its submission, Keep
	// when items may be given up; both for RouteBatch.
	Completion time.Duration
	Keep       time.Duration
	// MaxWaitingTokens bounds the tokens of accepted items that wait; 0 means no
	// bound.
	MaxWaitingTokens int64
}

// Share is a service with its weight in a split.
type Share struct {
	Service string
	Weight  int
}

// ID names the route across versions of the document.
func (r *Route) ID() string { return r.Host + r.Prefix }

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteBatch || r.Kind == RouteStream && r.Resumable
}

// Service draws a service by weight; "" when the route has none.
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

// Match returns the route with the longest prefix of path on a host, or nil.
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

// Worker is the entry of an upstream that registered itself.
type Worker struct {
	// ID is unique among the workers that live now; a worker may start again
	// under the id that it had.
	ID string
	// Started tells incarnations of an id apart, in Unix milliseconds.
	Started int64
	Service string
	// Address is IP:port. It may pass to another worker later.
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
}
