package claim

import (
	"context"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// Run dispatches a call. An error with the outcome code.NotRun means that no upstream
// received the call. Any other error leaves its outcome unknown.
type Run func(ctx context.Context) (contract.PlainAnswer, error)

// Do runs a call at most once and returns its answer when that is durable, or the
// stored answer of an earlier request with the same key.
//
// The context of the run ends at the deadline of the claim and not with ctx: a call
// that was dispatched continues and its answer is stored even if the caller has
// disconnected.
//
// Errors: those of Claim; the error of run when the call was not dispatched;
// code.OutcomeUnknown when the call was dispatched, now or by an earlier request, and
// no answer came; code.ResultPending while another request with the key runs, and
// when the run has ended but the answer was not stored before ctx ended.
func (s *Service) Do(ctx context.Context, p Params, run Run) (contract.PlainAnswer, error) {
	result, err := s.Claim(ctx, p)
	if err != nil {
		return contract.PlainAnswer{}, err
	}
	switch result.State {
	case Finished:
		return result.Answer, nil
	case Pending:
		return contract.PlainAnswer{}, errPending("the request with this key is still running")
	case Lost:
		return contract.PlainAnswer{}, code.New(code.OutcomeUnknown, "an earlier request with this key was dispatched and its outcome is not known")
	}
	return s.runGranted(ctx, result.Grant, run)
}

// runGranted runs a call under its grant.
func (s *Service) runGranted(ctx context.Context, g Grant, run Run) (contract.PlainAnswer, error) {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), g.Deadline)
	defer cancel()
	if ctx.Err() != nil || runCtx.Err() != nil {
		return contract.PlainAnswer{}, s.releaseUnused(ctx, g, code.New(code.ClaimUnavailable, "the deadline passed while the claim was recorded"))
	}
	answer, err := run(runCtx)
	if err == nil {
		if err := s.Finish(ctx, g, answer); err != nil {
			return contract.PlainAnswer{}, err
		}
		return answer, nil
	}
	failure := code.From(err)
	if failure.Outcome == code.NotRun {
		return contract.PlainAnswer{}, s.releaseUnused(ctx, g, failure)
	}
	s.Abandon(g)
	return contract.PlainAnswer{}, code.Wrap(code.OutcomeUnknown, failure, "the request was dispatched and its outcome is not known")
}

// releaseUnused releases a grant under which nothing ran and returns the reason.
func (s *Service) releaseUnused(ctx context.Context, g Grant, reason *code.Error) error {
	_ = s.Release(ctx, g)
	return reason
}
