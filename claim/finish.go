package claim

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
)

// settleTimeout bounds one attempt to store the final state of a claim.
const settleTimeout = 10 * time.Second

// settleBackoff is the delay between the attempts.
var settleBackoff = retry.Backoff{Min: 100 * time.Millisecond, Max: 5 * time.Second}

// Finish stores the answer of a granted call and returns when it is durable. When ctx
// ends first it returns code.ResultPending, and the instance continues to store the
// answer until Run ends.
//
// Errors: code.ResultPending; code.OutcomeUnknown when the instance stopped or the
// claim was removed before the answer was stored.
func (s *Service) Finish(ctx context.Context, g Grant, answer contract.PlainAnswer) error {
	encoded, err := encodeAnswer(answer)
	if err != nil {
		return err
	}
	record := proto.CloneOf(g.record)
	record.State = claimpb.State_STATE_FINISHED
	if len(encoded) <= s.options.InlineBytes {
		record.Answer = encoded
		encoded = nil
	}
	return awaitStored(ctx, s.settle(g, record, encoded))
}

// Release gives up a granted call, so that a resend may run it. It must be called
// only if the call was certainly not dispatched. If the store does not apply the
// release in time, the call counts as pending and after its deadline as lost.
func (s *Service) Release(ctx context.Context, g Grant) error {
	record := proto.CloneOf(g.record)
	record.State = claimpb.State_STATE_RELEASED
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	return awaitStored(ctx, s.settle(g, record, nil))
}

// Abandon records in the background that the outcome of a granted call is unknown, so
// that resends learn it before the deadline of the call.
func (s *Service) Abandon(g Grant) {
	record := proto.CloneOf(g.record)
	record.State = claimpb.State_STATE_UNKNOWN
	s.settle(g, record, nil)
}

// settle stores the final state of a claim in the background. The channel receives
// the result.
func (s *Service) settle(g Grant, record *claimpb.Record, answer []byte) <-chan error {
	size := int64(len(answer) + len(record.Answer))
	done := make(chan error, 1)
	s.addHeld(size, 1)
	started := s.spawn(func(ctx context.Context) {
		err := s.settleUntilStored(ctx, g, record, answer)
		s.addHeld(-size, -1)
		s.untrackCall(g.row, record.Id)
		done <- err
	})
	if !started {
		s.addHeld(-size, -1)
		done <- errStopped()
	}
	return done
}

// errStopped returns code.OutcomeUnknown.
func errStopped() error {
	return code.New(code.OutcomeUnknown, "the instance stopped before the answer was stored")
}

// awaitStored waits for the result of settle, or returns code.ResultPending when ctx
// ends first.
func awaitStored(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errPending("the request has run and its answer is being stored")
	}
}

// addHeld changes the size and the number of the final states that wait for the
// store.
func (s *Service) addHeld(bytes int64, answers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldBytes += bytes
	s.heldAnswers += answers
}

// settleUntilStored retries until the store has the record, the claim is found
// removed, or ctx ends.
func (s *Service) settleUntilStored(ctx context.Context, g Grant, record *claimpb.Record, answer []byte) error {
	for attempt := 0; ; attempt++ {
		r := s.settleOnce(ctx, g, record, answer)
		switch r.outcome {
		case applied:
			return nil
		case conflict:
			s.logger.Error("claim taken away", zap.String("row", g.row))
			return code.New(code.OutcomeUnknown, "the claim was removed before its answer was stored")
		}
		s.metrics.settleRetries.Inc()
		if settleBackoff.Sleep(ctx, attempt) != nil {
			return errStopped()
		}
	}
}

func (s *Service) settleOnce(ctx context.Context, g Grant, record *claimpb.Record, answer []byte) reply {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.commit(ctx, g.row, g.version, record, answer)
}

// releaseLater removes in the background a claim that was not granted but may be in
// the table, so that a resend need not wait for its deadline. Correctness does not
// depend on its success.
func (s *Service) releaseLater(row string, record *claimpb.Record) {
	s.spawn(func(ctx context.Context) {
		deadline := time.UnixMilli(record.DeadlineUnixMs)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		s.releaseUngranted(ctx, row, record)
	})
}

// releaseUngranted looks for the row and removes it. A row that does not exist may
// still appear, from a commit that the store delays, so it is looked for several
// times.
func (s *Service) releaseUngranted(ctx context.Context, row string, record *claimpb.Record) {
	for attempt := 0; attempt < releaseAttempts; attempt++ {
		if releaseBackoff.Sleep(ctx, attempt) != nil {
			return
		}
		current, err := s.options.Table.Get(ctx, row)
		if err != nil {
			continue
		}
		existing, err := decodeRow(current)
		if err != nil {
			return
		}
		release := proto.CloneOf(record)
		release.State = claimpb.State_STATE_RELEASED
		e := entry{record: release}
		if existing != nil && e.tookEffect(existing) {
			return
		}
		if existing != nil && s.commit(ctx, row, current.Version, release, nil).outcome == applied {
			s.metrics.released.Inc()
			return
		}
	}
}

// releaseAttempts bounds the attempts of releaseUngranted.
const releaseAttempts = 8

// releaseBackoff is the delay before each of them.
var releaseBackoff = retry.Backoff{Min: 200 * time.Millisecond, Max: 10 * time.Second}
