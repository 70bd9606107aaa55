package route

// FailedAttempt describes a failed attempt and counts those before it.
type FailedAttempt struct {
	// Idempotent is false when the call may run at most once.
	Idempotent bool
	// Dispatched is set when an upstream may have received the request.
	Dispatched bool
	// Final is set when a retry at another upstream cannot succeed.
	Final bool
	// Ended is set when the deadline has passed or the caller has disconnected.
	Ended bool
	// Attempts counts the attempts that reached an upstream, including the failed
	// one. Unreachable counts those that reached none.
	Attempts    int
	Unreachable int
}

const (
	// MaxAttempts bounds the attempts of one call that reach an upstream.
	MaxAttempts = 4
	// MaxUnreachable bounds the attempts of one call that reach no upstream.
	MaxUnreachable = 8
)

// MayRetry reports whether another attempt is allowed, regardless of retry budgets.
// A call that is not idempotent is never retried once it may have been dispatched.
func MayRetry(o FailedAttempt) bool {
	if o.Final || o.Ended || o.Attempts >= MaxAttempts || o.Unreachable >= MaxUnreachable {
		return false
	}
	return o.Idempotent || !o.Dispatched
}
