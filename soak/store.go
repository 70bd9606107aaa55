package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/storage/memory"
)

// storeMode is how the store treats the calls of one instance.
type storeMode int32

const (
	storeServes storeMode = iota
	storeRefuses
	storeThrottles
	storeResets
	storeHangs
	storeSlow
	// storeRevoked is one of the refusals, drawn for each call.
	storeRevoked
)

// refusals are the modes in which no call takes effect.
var refusals = []storeMode{storeRefuses, storeThrottles, storeResets, storeHangs}

const (
	slowDelay = 300 * time.Millisecond
	// hangTime exceeds every timeout of a daemon's call.
	hangTime = 4 * time.Second
)

// storeTables are the tables that may be refused: the document's, the workers' and the
// jobs'.
var storeTables = []string{"op", "servers", "jobs"}

// store is the stand-in for the platform's store. Each instance has a listener
// of its own, so that calls of single instances can be rejected.
type store struct {
	rows    *memory.Rows
	handler http.Handler
	history *History
	servers []*http.Server
	// refusedTable is the table whose calls are refused, nil if none is.
	refusedTable atomic.Pointer[string]

	mu            sync.Mutex
	currentSecond StoreCalls
	// queuedTokens is the last sum of the tokens of open jobs.
	queuedTokens int64
}

// maxResponseTime is the longest time between the effect of a transaction and its response.
const maxResponseTime = 20 * time.Millisecond

func newStore(h *History) *store {
	rows := memory.NewRows()
	rows.SetMaxResponseTime(maxResponseTime)
	return &store{rows: rows, handler: platform.NewRows(rows), history: h}
}

// listen opens a listener for one instance. It returns its address and its
// mode, which may be changed at any time.
func (s *store) listen(ip string) (string, *atomic.Int32, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", nil, err
	}
	mode := &atomic.Int32{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, storeMode(mode.Load())) })}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), mode, nil
}

// serve counts a call and handles it according to the mode.
func (s *store) serve(w http.ResponseWriter, r *http.Request, mode storeMode) {
	s.count(r.Method != http.MethodGet)
	if mode == storeRevoked {
		mode = refusals[rand.IntN(len(refusals))]
	}
	switch mode {
	case storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeThrottles:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case storeResets:
		panic(http.ErrAbortHandler)
	case storeHangs:
		wait(r.Context(), hangTime)
		panic(http.ErrAbortHandler)
	case storeSlow:
		wait(r.Context(), slowDelay)
	}
	if table := s.refusedTable.Load(); table != nil && r.URL.Query().Get("table") == *table {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.handler.ServeHTTP(w, r)
	if r.Method != http.MethodGet {
		s.recordQueuedTokens(r.Context())
	}
}

// recordQueuedTokens sums the tokens of open jobs and records the sum when it
// has grown.
func (s *store) recordQueuedTokens(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts, err := s.rows.RowParts(ctx, "jobs")
	if err != nil {
		return
	}
	total := QueuedTokens{RecordedAt: time.Now()}
	for _, part := range parts {
		page, err := s.rows.GetRows(ctx, "jobs", part, "", "")
		if err != nil {
			return
		}
		for _, row := range page.Rows {
			var head struct {
				Tokens int64
				Ended  bool
			}
			if json.Unmarshal(row.Value, &head) == nil && !head.Ended {
				total.Tokens += head.Tokens
			}
		}
	}
	if total.Tokens > s.queuedTokens {
		s.history.update(func() { s.history.QueuedTokens = append(s.history.QueuedTokens, total) })
	}
	s.queuedTokens = total.Tokens
}

// count adds a call to the current second. The counts of a second are recorded
// when the next one starts.
func (s *store) count(write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Truncate(time.Second); !now.Equal(s.currentSecond.StartedAt) {
		previous := s.currentSecond
		if !previous.StartedAt.IsZero() {
			s.history.update(func() { s.history.StoreCalls = append(s.history.StoreCalls, previous) })
		}
		s.currentSecond = StoreCalls{StartedAt: now}
	}
	if write {
		s.currentSecond.Writes++
	} else {
		s.currentSecond.Reads++
	}
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.rows.WaitDelayed()
}
