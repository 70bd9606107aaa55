package soak

import (
	"context"
	"encoding/json"
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
	storeSilent
	storeSlow
)

const (
	slowAnswer = 300 * time.Millisecond
	// silence is over every timeout of a daemon's call.
	silence = 4 * time.Second
)

// store is the stand-in of the platform's store. Each instance has a listener of
// its own, so that some can be refused.
type store struct {
	rows    *memory.Rows
	handler http.Handler
	history *History
	servers []*http.Server

	mu     sync.Mutex
	second Second
	// waiting is the sum of the tokens of open jobs that was noted last.
	waiting int64
}

func newStore(h *History) *store {
	rows := memory.NewRows()
	return &store{rows: rows, handler: platform.NewRows(rows), history: h}
}

// listen opens a listener for one instance and returns its address and the
// switch of its mode.
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

func (s *store) serve(w http.ResponseWriter, r *http.Request, mode storeMode) {
	s.count(r.Method != http.MethodGet)
	switch mode {
	case storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeThrottles:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case storeResets:
		panic(http.ErrAbortHandler)
	case storeSilent:
		wait(r.Context(), silence)
		panic(http.ErrAbortHandler)
	case storeSlow:
		wait(r.Context(), slowAnswer)
	}
	s.handler.ServeHTTP(w, r)
	if r.Method != http.MethodGet {
		s.noteWaiting(r.Context())
	}
}

// noteWaiting sums the tokens of open jobs after a change.
func (s *store) noteWaiting(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts, err := s.rows.RowParts(ctx, "jobs")
	if err != nil {
		return
	}
	now := Waiting{At: time.Now()}
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
				now.Tokens += head.Tokens
			}
		}
	}
	if now.Tokens > s.waiting {
		s.history.record(func() { s.history.Waiting = append(s.history.Waiting, now) })
	}
	s.waiting = now.Tokens
}

// count adds a call to the present second.
func (s *store) count(write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Truncate(time.Second); !now.Equal(s.second.At) {
		done := s.second
		if !done.At.IsZero() {
			s.history.record(func() { s.history.Seconds = append(s.history.Seconds, done) })
		}
		s.second = Second{At: now}
	}
	if write {
		s.second.Writes++
	} else {
		s.second.Reads++
	}
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.rows.Settle()
}
