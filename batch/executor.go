package batch

import (
	"context"

	"github.com/daisylb/daisylb/contract"
)

// Executor runs one item. Both methods block until capacity for batch work is
// free, handle preemption by online work themselves, and stop the work at the
// upstream when ctx ends. They are safe for concurrent use.
type Executor interface {
	// Complete runs a call of a model service.
	Complete(ctx context.Context, c *contract.Completion, sink contract.ChunkSink) error
	// Call runs a call of a plain service.
	Call(ctx context.Context, c *contract.PlainCall) (*contract.PlainAnswer, error)
}

// ClaimOutcome says what a claim allows.
type ClaimOutcome int

const (
	// ClaimGranted means that the call may be dispatched once.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimFinished means that an earlier run finished; its answer is stored.
	ClaimFinished
	// ClaimTaken means that another run has the claim and its outcome is not
	// known; the call must never be dispatched again.
	ClaimTaken
)

// ClaimResult is the result of a claim. Answer is set for ClaimFinished.
type ClaimResult struct {
	Outcome ClaimOutcome
	Answer  *contract.PlainAnswer
}

// Claims records the intent to run a call that may run at most once. An error
// of Claim means that nothing may be dispatched yet; the claim may be asked
// for again. It is safe for concurrent use.
type Claims interface {
	Claim(ctx context.Context, account, service, key string, content []byte) (ClaimResult, error)
	Finish(ctx context.Context, account, service, key string, answer *contract.PlainAnswer) error
}

// Releaser is implemented by Claims that can take a granted claim back. It is
// called only for a call that was never dispatched, so that a later holder may
// run it. Without it, such an item completes with code.OutcomeUnknown.
type Releaser interface {
	Release(ctx context.Context, account, service, key string) error
}

// View is the live view of the instances. It is safe for concurrent use.
type View interface {
	// Members returns the ids of the live instances.
	Members() []string
	// Self returns the id of this instance.
	Self() string
}

// Hint tells a runner of a change to a job, so that it need not wait for its
// next poll. A hint may be lost or repeated.
type Hint struct {
	Job       string `json:"job"`
	Cancelled bool   `json:"cancelled,omitempty"`
}
