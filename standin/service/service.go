// Package service is a stand-in for a plain service behind daisylb. It counts the
// runs of each Idempotency-Key, so that tests can verify that a call ran at most
// once, and injects faults on request. It is not for production use.
//
// A request to any path is a call, except for the admin interface:
//
//	GET, PUT /admin/faults     Faults
//	GET      /admin/runs       Runs; with ?key= the runs of one key
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// headerKey is the header that identifies the work that a call requests.
const headerKey = "Idempotency-Key"

// maxBodyBytes is the limit on the body of a call.
const maxBodyBytes = 16 << 20

// Mode is the fault of a call.
type Mode string

const (
	// ModeNone runs the call and responds.
	ModeNone Mode = ""
	// ModeLost runs the call and closes the connection without a response.
	ModeLost Mode = "lost"
	// ModeRefuse responds with status 503 without running the call.
	ModeRefuse Mode = "refuse"
	// ModeGarbage runs the call and responds with bytes that are not HTTP.
	ModeGarbage Mode = "garbage"
	// ModeSilent runs the call and never responds.
	ModeSilent Mode = "silent"
)

// Faults are the faults that a service injects.
type Faults struct {
	Mode Mode `json:"mode,omitempty"`
	// Delay is added to every call before it runs, in nanoseconds.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// Next is the number of calls that Mode applies to; 0 means all.
	Next int `json:"next,omitempty"`
}

// Runs counts runs by Idempotency-Key.
type Runs map[string]int

// Answer is the body of the response to a call.
type Answer struct {
	// Key is the Idempotency-Key of the call.
	Key string `json:"key"`
	// Run is the number of this run among those of the key, from 1.
	Run int `json:"run"`
	// Serial is the number of this run among all of the service, from 1.
	Serial int `json:"serial"`
	// Body is the request body of the call.
	Body string `json:"body"`
}

// Service is a stand-in service. It implements http.Handler and is safe for
// concurrent use.
type Service struct {
	mux *http.ServeMux

	mu     sync.Mutex
	faults Faults
	runs   Runs
	serial int
}

// New returns a service without faults.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), runs: Runs{}}
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /admin/runs", s.getRuns)
	s.mux.HandleFunc("/", s.call)
	return s
}

// ServeHTTP serves calls and the admin interface.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns a copy of the counts so far.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body did not arrive", http.StatusBadRequest)
		return
	}
	mode, delay := s.nextFault()
	if !waitDelay(r, delay) {
		return
	}
	if mode == ModeRefuse {
		http.Error(w, "refused before the run", http.StatusServiceUnavailable)
		return
	}
	answer := s.recordRun(r.Header.Get(headerKey), string(body))
	switch mode {
	case ModeLost:
		panic(http.ErrAbortHandler)
	case ModeGarbage:
		writeGarbage(w)
	case ModeSilent:
		<-r.Context().Done()
	default:
		writeJSON(w, answer)
	}
}

// nextFault returns the fault and the delay of one call and counts it against
// Faults.Next.
func (s *Service) nextFault() (Mode, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Next > 0 {
		s.faults.Next--
		if s.faults.Next == 0 {
			s.faults.Mode = ModeNone
		}
	}
	return f.Mode, f.Delay
}

// waitDelay waits for the delay and reports false when the request is cancelled
// before its end.
func waitDelay(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) recordRun(key, body string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	s.runs[key]++
	return Answer{Key: key, Run: s.runs[key], Serial: s.serial, Body: body}
}

func writeGarbage(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = connection.Write([]byte("\x00\x01 this is not HTTP\r\n\r\n"))
	_ = connection.Close()
}

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, f)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func (s *Service) getRuns(w http.ResponseWriter, r *http.Request) {
	runs := s.Runs()
	if key := r.FormValue("key"); key != "" {
		runs = Runs{key: runs[key]}
	}
	writeJSON(w, runs)
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
