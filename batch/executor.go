package batch

import (
	"context"

	"github.com/daisylb/daisylb/contract"
)

// Executor runs single items. Both methods block until capacity for batch work
// is free, handle preemption by online work themselves, and stop the work at the
// upstream when ctx ends. An Executor is safe for concurrent use.
type Executor interface {
	// Complete runs a call of a model service.
	Complete(ctx context.Context, c *contract.Completion, sink contract.ChunkSink) error
	// Call runs a call of a plain service.
	Call(ctx context.Context, c *contract.PlainCall) (*contract.PlainAnswer, error)
}

// ClaimOutcome is the outcome of a claim: whether the call may be dispatched.
type ClaimOutcome int

const (
	// ClaimGranted means that the call may be dispatched once.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimFinished means that an earlier run finished and its answer is stored.
	ClaimFinished
	// ClaimTaken means that another run holds the claim and its outcome is not
	// known; the call must not be dispatched again.
	ClaimTaken
)

// ClaimResult is the result of a claim. Answer is set for ClaimFinished.
type ClaimResult struct {
	Outcome ClaimOutcome
	Answer  *contract.PlainAnswer
}

// Claims records claims: the intent to run a call that may run at most once.
// Implementations are safe for concurrent use.
type Claims interface {
	// Claim requests the claim of a call. After an error nothing may be dispatched;
	// the claim may be requested again.
	Claim(ctx context.Context, account, service, key string, content []byte) (ClaimResult, error)
	// Finish stores the answer of the call with its claim.
	Finish(ctx context.Context, account, service, key string, answer *contract.PlainAnswer) error
}

// Releaser is implemented by Claims that can release a granted claim. Release is
// called only for a call that is known not to have run, so that a later holder of
// the segment may run it. Without Releaser, such an item completes with
// code.OutcomeUnknown.
type Releaser interface {
	Release(ctx context.Context, account, service, key string) error
}

// View is a view of the live instances. It is safe for concurrent use.
type View interface {
	// Members returns the ids of the live instances.
	Members() []string
	// Self returns the id of this instance.
	Self() string
}

// Hint notifies a runner of a new or cancelled job, so that it need not wait for
// its next poll. A hint may be lost or repeated.
type Hint struct {
	Job       string `json:"job"`
	Cancelled bool   `json:"cancelled,omitempty"`
}
