package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Attempt is one request of an online caller.
type Attempt struct {
	Request string
	// Once is set when the request may run at most once.
	Once bool
	// Instance is the address that the request was sent to.
	Instance string
	SentAt   time.Time
	DoneAt   time.Time
	// Status is the HTTP status of the response, 0 when there was none.
	Status int
	// Stamp is the worker's mark in the headers of the response.
	Stamp string
	// Changing is set when the request is for the route that documents add and remove.
	Changing bool
	// Events has the data of the received events. Completed is set when the
	// answer ended without a connection error.
	Events    []string
	Completed bool
	// Written is set when the request was written to the connection, so that
	// the instance may have read it, and the attempt did not reach its own
	// timeout.
	Written bool
	// Received is set when there was no response although the log of an instance
	// shows that it had read the request.
	Received bool
}

// WorkerRun is one run of a request at a worker.
type WorkerRun struct {
	Request string
	Worker  string
	Service string
	// ResumedAfter is the number of the event after which the run resumed, 0
	// for a run from the start.
	ResumedAfter int
	StartedAt    time.Time
	// Unchanged is set when the method, the host, the last part of the path, the
	// model header and the body are those that the caller sent.
	Unchanged bool
	// Status is the status of the response. It is 0 until the response begins.
	Status int
	// EndedAt is zero while the run goes on. Finished is set when its whole response was
	// sent, Cancelled when its sender's connection closed before.
	EndedAt   time.Time
	Finished  bool
	Cancelled bool
}

// Job is a batch job of a caller.
type Job struct {
	ID    string
	Items []string
	// Statuses are those of all submissions, the first of which began at SubmittedAt.
	// AcceptedAt is the time of the first 202.
	Statuses    []int
	SubmittedAt time.Time
	AcceptedAt  time.Time
	// Cancelling is set from before the first request to cancel it.
	Cancelling bool
	// CancelledAt is when the cancellation was acknowledged.
	CancelledAt time.Time
	// RefusedCancels are the calls that did not acknowledge it.
	RefusedCancels []CancelCall
}

// CancelCall is a call to cancel a job, with status 0 if there was no answer.
type CancelCall struct {
	Instance       string
	SentAt, DoneAt time.Time
	Status         int
}

// Result is an item in the results of a job.
type Result struct {
	Item      string
	Succeeded bool
	Text      string
}

// JobRead is one read of the results of a job.
type JobRead struct {
	Job      string
	Instance string
	SentAt   time.Time
	DoneAt   time.Time
	Status   int
	After    int
	Total    int
	Results  []Result
	// Final is set on reads after all faults are over and the job had time to
	// end.
	Final bool
}

// BodyRead is one read of the body of an item.
type BodyRead struct {
	Job, Item string
	Instance  string
	SentAt    time.Time
	DoneAt    time.Time
	Status    int
	// Unchanged is set when the body is that of the item.
	Unchanged bool
}

// Resubmission is one more submission of an accepted job.
type Resubmission struct {
	Job      string
	Instance string
	SentAt   time.Time
	DoneAt   time.Time
	Status   int
}

// Drain is the acknowledged change of a worker to draining.
type Drain struct {
	Worker         string
	AcknowledgedAt time.Time
}

// Stop is the SIGTERM of an instance.
type Stop struct {
	Instance string
	At       time.Time
}

// Probe is a request that shows which document an instance applies.
type Probe struct {
	Prefix   string
	Instance string
	SentAt   time.Time
	// Service is the service that ran it, empty when the route was not known.
	Service string
}

// Change is an acknowledged document that adds, moves or removes a route.
type Change struct {
	Prefix string
	// Service is that of the route, empty when the route was removed.
	Service        string
	AcknowledgedAt time.Time
}

// Disturbance is a period in which time bounds are not checked. Planned ones
// are stops, reloads, changes of the document and drained workers. They must
// not cut any request.
type Disturbance struct {
	Kind     string
	Instance string
	Worker   string
	From, To time.Time
	Planned  bool
}

// UnfinishedItem is an item of an open job that was not listed at the end of the time to
// finish.
type UnfinishedItem struct {
	Job, Item string
	At        time.Time
	// Slots is the number of requests that all workers of its service run at a time.
	Slots int
}

// StoreCalls counts the calls that the store received in one second.
type StoreCalls struct {
	StartedAt time.Time
	Reads     int
	Writes    int
}

// QueuedTokens is the sum of the tokens of open jobs in the store. It is
// recorded whenever the sum has grown.
type QueuedTokens struct {
	RecordedAt time.Time
	Tokens     int64
}

// History is what callers, workers and the store observed. Changes through
// update are safe for concurrent use.
type History struct {
	mu sync.Mutex
	// Accounts is set if the deployment has client accounts.
	Accounts     bool
	Attempts     []Attempt
	Runs         []WorkerRun
	Jobs         map[string]*Job
	Reads        []JobRead
	BodyReads    []BodyRead
	Again        []Resubmission
	Drains       []Drain
	Stops        []Stop
	Probes       []Probe
	Changes      []Change
	Disturbances []Disturbance
	StoreCalls   []StoreCalls
	QueuedTokens []QueuedTokens
	Unfinished   []UnfinishedItem
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{Jobs: map[string]*Job{}} }

// update runs change while it holds the lock.
func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// serviceOf returns the service of the last run of a request, or an empty string.
func (h *History) serviceOf(request string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range slices.Backward(h.Runs) {
		if r.Request == request {
			return r.Service
		}
	}
	return ""
}

// Event returns the data of event n of a request. It is the same at every
// worker.
func Event(request string, n int) string { return fmt.Sprintf("%s/%d", request, n) }

// Events returns the data of all events of a request. Their number is derived
// from the id.
func Events(request string) []string {
	events := make([]string, eventCount(request))
	for i := range events {
		events[i] = Event(request, i+1)
	}
	return events
}

const (
	minEvents       = 4
	eventCountRange = 17
	// longPrefix begins the ids of requests with longEvents events. They take longer than
	// is left of a grace period once callers are no longer accepted.
	longPrefix = "s"
	longEvents = 280
)

// eventCount returns the number of events of a request: longEvents, or from minEvents to
// minEvents+eventCountRange-1.
func eventCount(request string) int {
	if strings.HasPrefix(request, longPrefix) {
		return longEvents
	}
	sum := 0
	for _, c := range request {
		sum = sum*31 + int(c)
	}
	return minEvents + (sum%eventCountRange+eventCountRange)%eventCountRange
}

func answerText(request string) string { return strings.Join(Events(request), "\n") }
