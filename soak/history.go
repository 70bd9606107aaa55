package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Attempt is one call of an online caller.
type Attempt struct {
	Request string
	// Once is set when the request may run once only.
	Once bool
	// Instance is the address that the call went to.
	Instance string
	Sent     time.Time
	Done     time.Time
	// Status of the answer, 0 when there was none.
	Status int
	// Text has the data of the events that came, Whole is set when the answer ended
	// as a whole one.
	Text  []string
	Whole bool
	// Read is set when the instance may have read the request: the connection was
	// made.
	Read bool
}

// Run is one run at a worker.
type Run struct {
	Request string
	Worker  string
	// After is the event after which the run went on.
	After int
	At    time.Time
	// Right is set when method, path, headers and body are those that were sent.
	Right bool
}

// Job is a job as its caller sent it.
type Job struct {
	ID    string
	Items []string
	// Statuses of all submissions, Accepted the time of the first 202.
	Statuses []int
	Accepted time.Time
	// Ended is when its end was acknowledged.
	Ended time.Time
}

// Result is a listed item.
type Result struct {
	Item      string
	Succeeded bool
	Text      string
}

// Read is one read of a job.
type Read struct {
	Job      string
	Instance string
	Sent     time.Time
	Status   int
	After    int
	Total    int
	Results  []Result
	// Final reads come when all faults are over and the job had time to end.
	Final bool
}

// Drain is the acknowledgement that a worker is draining or gone.
type Drain struct {
	Worker string
	At     time.Time
}

// Probe is a call that shows which document is in force at an instance.
type Probe struct {
	Prefix   string
	Instance string
	Sent     time.Time
	Found    bool
}

// Change is the acknowledgement of a document that adds or removes a route.
type Change struct {
	Prefix string
	Added  bool
	At     time.Time
}

// Disturbance is a time in which bounds in time are not judged. Planned ones are
// stops and reloads, which must cut nothing.
type Disturbance struct {
	What     string
	Instance string
	From, To time.Time
	Planned  bool
}

// Second counts the calls that the store took in one second.
type Second struct {
	At     time.Time
	Reads  int
	Writes int
}

// Waiting is the sum of the tokens of open jobs in the store, noted when it has grown.
type Waiting struct {
	At     time.Time
	Tokens int64
}

// History is what callers, workers and the store saw. It is safe for concurrent
// use while it is recorded.
type History struct {
	mu           sync.Mutex
	Attempts     []Attempt
	Runs         []Run
	Jobs         map[string]*Job
	Reads        []Read
	Drains       []Drain
	Probes       []Probe
	Changes      []Change
	Disturbances []Disturbance
	Seconds      []Second
	Waiting      []Waiting
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{Jobs: map[string]*Job{}} }

// record changes the history.
func (h *History) record(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// Event returns the data of an event of a request, which is the same at every
// worker.
func Event(request string, n int) string { return fmt.Sprintf("%s/%d", request, n) }

// Events returns the data of all events of a request. The length of the answer
// follows from the id.
func Events(request string) []string {
	events := make([]string, eventCount(request))
	for i := range events {
		events[i] = Event(request, i+1)
	}
	return events
}

const (
	minEvents  = 4
	moreEvents = 17
)

func eventCount(request string) int {
	sum := 0
	for _, c := range request {
		sum = sum*31 + int(c)
	}
	return minEvents + (sum%moreEvents+moreEvents)%moreEvents
}

func textOf(request string) string { return strings.Join(Events(request), "\n") }
