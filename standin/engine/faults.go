package engine

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Faults are what an engine does wrong until they are replaced. The zero value
// has no fault.
type Faults struct {
	// Stall stops the generation of tokens; requests are still accepted.
	Stall bool `json:"stall,omitempty"`
	// SlowFactor multiplies the duration of every step when it is over 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// KillAfter closes a stream's connection after so many tokens; 0 never.
	KillAfter int `json:"kill_after,omitempty"`
	// KillTimes bounds the number of killed streams; 0 kills all.
	KillTimes int64 `json:"kill_times,omitempty"`
	// TruncateAfter ends a stream cleanly after so many tokens, without a
	// finish reason and without [DONE]; 0 never.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// Garbage sends bytes that are not the protocol in place of tokens.
	Garbage bool `json:"garbage,omitempty"`
	// Endless sends one line without an end.
	Endless bool `json:"endless,omitempty"`
	// Refuse answers 503 before a request runs.
	Refuse bool `json:"refuse,omitempty"`
	// Hang accepts requests and never answers.
	Hang bool `json:"hang,omitempty"`
	// SwapID sends the answer identifier of another request, from the second
	// chunk on.
	SwapID bool `json:"swap_id,omitempty"`
	// Draining refuses new requests and says so in the load report.
	Draining bool `json:"draining,omitempty"`

	killed *atomic.Int64
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	f.killed = new(atomic.Int64)
	e.faults.Store(&f)
}

// kills reports whether the stream is to be killed after token number done.
func (f *Faults) kills(done int) bool {
	if f.KillAfter == 0 || done != f.KillAfter {
		return false
	}
	return f.killed.Add(1) <= f.KillTimes || f.KillTimes == 0
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
