package route

// Outcome describes a failed attempt.
type Outcome struct {
	// Idempotent is false when the call may run at most once.
	Idempotent bool
	// Dispatched is set when an upstream may have been given the request.
	Dispatched bool
	// Final is set when no other upstream can do better.
	Final bool
	// Ended is set when the deadline has passed or the caller is gone.
	Ended bool
	// Attempts counts the attempts so far, the failed one included, without
	// those that reached no upstream; Unreachable counts the latter.
	Attempts    int
	Unreachable int
}

const (
	// MaxAttempts bounds the attempts of one call that reach an upstream.
	MaxAttempts = 4
	// MaxUnreachable bounds those that reach none.
	MaxUnreachable = 8
)

// MayRepeat reports whether another attempt may follow, budgets aside. A call
// that is not idempotent never has a second attempt after it was dispatched.
func MayRepeat(o Outcome) bool {
	if o.Final || o.Ended || o.Attempts >= MaxAttempts || o.Unreachable >= MaxUnreachable {
		return false
	}
	return o.Idempotent || !o.Dispatched
}
