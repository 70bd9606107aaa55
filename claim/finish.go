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

// settleTimeout bounds one try to store a result.
const settleTimeout = 10 * time.Second

// settleBackoff is the wait between the tries.
var settleBackoff = retry.Backoff{Min: 100 * time.Millisecond, Max: 5 * time.Second}

// Finish stores the answer of a granted call and returns when it is durable.
// When ctx ends first it returns code.ResultPending, and the instance goes on
// storing the answer for as long as it lives.
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
	return await(ctx, s.settle(g, record, encoded))
}

// Release gives a granted call back: a resend may run it. It must be called
// only when the call was certainly not dispatched. When the store does not take
// the release in time, the call reads as pending and later as lost.
func (s *Service) Release(ctx context.Context, g Grant) error {
	record := proto.CloneOf(g.record)
	record.State = claimpb.State_STATE_RELEASED
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	return await(ctx, s.settle(g, record, nil))
}

// Abandon records in the background that the outcome of a granted call is
// unknown, so that resends need not wait for its deadline to learn it.
func (s *Service) Abandon(g Grant) {
	record := proto.CloneOf(g.record)
	record.State = claimpb.State_STATE_UNKNOWN
	s.settle(g, record, nil)
}

// settle stores the last state of a claim in the background. The channel gets
// the result.
func (s *Service) settle(g Grant, record *claimpb.Record, answer []byte) <-chan error {
	size := int64(len(answer) + len(record.Answer))
	done := make(chan error, 1)
	s.hold(size, 1)
	started := s.spawn(func(ctx context.Context) {
		err := s.settleUntilStored(ctx, g, record, answer)
		s.hold(-size, -1)
		s.forget(g.row, record.Id)
		done <- err
	})
	if !started {
		s.hold(-size, -1)
		done <- errStopped()
	}
	return done
}

func errStopped() error {
	return code.New(code.OutcomeUnknown, "the instance stopped before the answer was stored")
}

// await waits for a result to be stored.
func await(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errPending("the request has run and its answer is being stored")
	}
}

// hold counts the answers that wait for the store.
func (s *Service) hold(bytes int64, answers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldBytes += bytes
	s.held += answers
}

// settleUntilStored tries until the store has the record or ctx ends.
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

// releaseLater removes a claim that was not granted and may yet be in the
// table, so that a resend need not wait for its deadline. Nothing depends on
// its success.
func (s *Service) releaseLater(row string, record *claimpb.Record) {
	s.spawn(func(ctx context.Context) {
		deadline := time.UnixMilli(record.DeadlineUnixMs)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		s.releaseUngranted(ctx, row, record)
	})
}

// releaseUngranted looks for the row and removes it. A row that is not there
// may still come, from a commit that the store holds up; it is looked for again
// a few times.
func (s *Service) releaseUngranted(ctx context.Context, row string, record *claimpb.Record) {
	for attempt := 0; attempt < releaseAttempts; attempt++ {
		if releaseBackoff.Sleep(ctx, attempt) != nil {
			return
		}
		present, err := s.options.Table.Get(ctx, row)
		if err != nil {
			continue
		}
		found, err := decodeRow(present)
		if err != nil {
			return
		}
		release := proto.CloneOf(record)
		release.State = claimpb.State_STATE_RELEASED
		e := entry{record: release}
		if found != nil && e.landed(found) {
			return
		}
		if found != nil && s.commit(ctx, row, present.Version, release, nil).outcome == applied {
			s.metrics.released.Inc()
			return
		}
	}
}

// releaseAttempts bounds the tries of releaseUngranted.
const releaseAttempts = 8

// releaseBackoff is the wait before each of them.
var releaseBackoff = retry.Backoff{Min: 200 * time.Millisecond, Max: 10 * time.Second}
