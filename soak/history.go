package soak

import (
	"fmt"
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
	// ResumedAfter is the number of the event after which the run resumed, 0
	// for a run from the start.
	ResumedAfter int
	StartedAt    time.Time
	// Unchanged is set when the method, the host, the last part of the path, the
	// model header and the body are those that the caller sent.
	Unchanged bool
}

// Job is a batch job of a caller.
type Job struct {
	ID    string
	Items []string
	// Statuses are those of all submissions. AcceptedAt is the time of the
	// first 202.
	Statuses   []int
	AcceptedAt time.Time
	// CancelledAt is when the cancellation was acknowledged.
	CancelledAt time.Time
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
	Status   int
	After    int
	Total    int
	Results  []Result
	// Final is set on reads after all faults are over and the job had time to
	// end.
	Final bool
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
	Found    bool
}

// Change is an acknowledged document that adds or removes a route.
type Change struct {
	Prefix         string
	Added          bool
	AcknowledgedAt time.Time
}

// Disturbance is a period in which time bounds are not checked. Planned ones
// are stops, reloads, changes of the document and drained workers. They must
// not cut any request.
type Disturbance struct {
	Kind     string
	Instance string
	From, To time.Time
	Planned  bool
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
	mu           sync.Mutex
	Attempts     []Attempt
	Runs         []WorkerRun
	Jobs         map[string]*Job
	Reads        []JobRead
	Drains       []Drain
	Stops        []Stop
	Probes       []Probe
	Changes      []Change
	Disturbances []Disturbance
	StoreCalls   []StoreCalls
	QueuedTokens []QueuedTokens
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{Jobs: map[string]*Job{}} }

// update runs change while it holds the lock.
func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
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
