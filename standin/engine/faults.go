package engine

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Faults are the faults that an engine injects until they are replaced. The zero
// value injects none.
type Faults struct {
	// Stall stops the generation of tokens; requests are still accepted.
	Stall bool `json:"stall,omitempty"`
	// SlowFactor multiplies the duration of every step when it is greater than 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// KillAfter closes the connection of a stream after this many tokens; 0 means
	// never.
	KillAfter int `json:"kill_after,omitempty"`
	// KillTimes limits the number of streams that KillAfter ends; 0 means no
	// limit.
	KillTimes int64 `json:"kill_times,omitempty"`
	// TruncateAfter ends the response of a stream normally after this many tokens,
	// but without a finish reason and without [DONE]; 0 means never.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// Garbage ends a stream with text that is not an event, in place of a token.
	Garbage bool `json:"garbage,omitempty"`
	// Endless ends a stream with one line of 4 MiB that has no line end.
	Endless bool `json:"endless,omitempty"`
	// Refuse rejects requests with status 503 before they run.
	Refuse bool `json:"refuse,omitempty"`
	// Hang accepts requests and never responds.
	Hang bool `json:"hang,omitempty"`
	// SwapID sends the answer id of another request from the second chunk of a
	// stream on.
	SwapID bool `json:"swap_id,omitempty"`
	// Draining rejects new requests with status 503 and sets draining in the load
	// report.
	Draining bool `json:"draining,omitempty"`

	killed *atomic.Int64
}

// SetFaults replaces the faults. Running streams are affected too.
func (e *Engine) SetFaults(f Faults) {
	f.killed = new(atomic.Int64)
	e.faults.Store(&f)
}

// shouldKill reports whether KillAfter ends a stream that has sent done tokens. It
// counts the streams that reach KillAfter; only the first KillTimes of them end, or
// all when KillTimes is 0.
func (f *Faults) shouldKill(done int) bool {
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
