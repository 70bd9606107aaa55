package claim

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// pendingRetryAfter is the time after which a caller should retry, when the call may
// still be running or the claim could not be recorded.
const pendingRetryAfter = time.Second

// Params identify a call.
type Params struct {
	Account string
	Service string
	// Key is the caller's Idempotency-Key.
	Key string
	// Content is everything that defines the call, such as method, path and body. It
	// is compared by its SHA-256 sum.
	Content []byte
	// Deadline is the latest end of the run; the zero value means
	// Options.MaxRun from now.
	Deadline time.Time
}

// State is the result of an attempt to claim a call.
type State int

const (
	// Granted means that the caller, and no other, may run the call.
	Granted State = iota
	// Finished means that Result.Answer is the stored answer.
	Finished
	// Pending means that a holder may still be running the call.
	Pending
	// Lost means that the call was claimed, and may have been dispatched, by a holder
	// that will not store an answer. It must not be run.
	Lost
)

// Grant is the right to run a call once, until its deadline.
type Grant struct {
	// Deadline is the latest end of the run.
	Deadline time.Time

	row     string
	version uint64
	record  *claimpb.Record
}

// Result is the outcome of Claim.
type Result struct {
	State State
	// Grant is set when State is Granted. It must be passed to Finish, Release or
	// Abandon.
	Grant Grant
	// Answer is set when State is Finished.
	Answer contract.PlainAnswer
}

// Claim claims a call, or returns what became of an earlier claim of it.
//
// Errors: code.KeyRequired without a key; code.KeyConflict for a key that was used
// with other content; code.ClaimUnavailable when the claim could not be recorded, in
// which case this call was not run; code.ResultPending when this instance holds the
// call, or when the call is finished but its answer can't be read at present.
func (s *Service) Claim(ctx context.Context, p Params) (Result, error) {
	started := time.Now()
	result, err := s.claim(ctx, p)
	s.metrics.observeClaim(result.State, err, time.Since(started))
	return result, err
}

func (s *Service) claim(ctx context.Context, p Params) (Result, error) {
	if p.Key == "" {
		return Result{}, code.New(code.KeyRequired, "the claim has no key")
	}
	row := rowKey(p.Account, p.Service, p.Key)
	record, deadline := s.newRecord(p)
	if err := s.trackCall(row, record); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	r := s.commit(ctx, row, 0, record, nil)
	switch r.outcome {
	case applied:
		return Result{State: Granted, Grant: Grant{Deadline: deadline, row: row, version: r.version, record: record}}, nil
	case conflict:
		s.untrackCall(row, record.Id)
		return s.resultOf(ctx, record.Content, r.present)
	}
	s.untrackCall(row, record.Id)
	if r.outcome == unknown {
		s.releaseLater(row, record)
	}
	return Result{}, s.errUnavailable("the claim could not be recorded")
}

// newRecord returns the record of a new claim and the deadline of its run.
func (s *Service) newRecord(p Params) (*claimpb.Record, time.Time) {
	now := time.Now()
	deadline := now.Add(s.options.MaxRun)
	if !p.Deadline.IsZero() && p.Deadline.Before(deadline) {
		deadline = p.Deadline
	}
	id := uuid.New()
	sum := sha256.Sum256(p.Content)
	return &claimpb.Record{
		Id:             id[:],
		Holder:         s.options.InstanceID,
		Content:        sum[:],
		ClaimedUnixMs:  now.UnixMilli(),
		DeadlineUnixMs: deadline.UnixMilli(),
		State:          claimpb.State_STATE_PENDING,
	}, deadline
}

// trackCall records the call as one that this instance may come to hold. It rejects a
// call that this instance already holds, so that a resend during an outage of the
// store learns that its call is running. It rejects all calls while too many answers
// wait for the store.
func (s *Service) trackCall(row string, record *claimpb.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return s.errUnavailable("the instance is stopping")
	}
	if _, ok := s.calls[row]; ok {
		return errPending("the request with this key is still running here")
	}
	if s.heldBytes > s.options.MaxHeldBytes {
		return s.errUnavailable("too many answers wait for the store")
	}
	s.calls[row] = record.Id
	return nil
}

// untrackCall removes the call recorded by trackCall.
func (s *Service) untrackCall(row string, id []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(s.calls[row], id) {
		delete(s.calls, row)
	}
}

// resultOf returns the result of a claim that conflicted with an existing record,
// which is nil when the row no longer exists.
func (s *Service) resultOf(ctx context.Context, content []byte, present *claimpb.Record) (Result, error) {
	if present == nil {
		return Result{}, s.errUnavailable("the claim changed meanwhile")
	}
	if !bytes.Equal(present.Content, content) {
		return Result{}, code.New(code.KeyConflict, "the key was used before with other content")
	}
	switch present.State {
	case claimpb.State_STATE_FINISHED:
		answer, err := s.readAnswer(ctx, present)
		return Result{State: Finished, Answer: answer}, err
	case claimpb.State_STATE_PENDING:
		end := time.UnixMilli(present.DeadlineUnixMs).Add(s.options.Margin)
		if time.Now().Before(end) {
			return Result{State: Pending}, nil
		}
	}
	return Result{State: Lost}, nil
}

// errUnavailable returns code.ClaimUnavailable for a call that was not run.
func (s *Service) errUnavailable(message string) error {
	return code.New(code.ClaimUnavailable, "%s; this request was not run", message).WithRetryAfter(pendingRetryAfter)
}

// errPending returns code.ResultPending.
func errPending(message string) error {
	return code.New(code.ResultPending, "%s", message).WithRetryAfter(pendingRetryAfter)
}

// commit writes a row through the owner of its group, or through the next peer in
// rank when the owner does not reply. When none of them has written it, this instance
// commits it directly.
func (s *Service) commit(ctx context.Context, row string, version uint64, record *claimpb.Record, answer []byte) reply {
	group := groupOf(row, s.options.Groups)
	failed := unavailable
	for _, peer := range rank(group, s.options.View.Live()) {
		if peer.ID == s.options.PeerID {
			return combineOutcomes(commitThrough(ctx, s.groupCommitters[group], s.groupPackers[group], row, version, record, answer), failed)
		}
		r, reached := s.forward(ctx, peer, row, version, record, answer)
		if r.outcome == applied || r.outcome == conflict {
			return r
		}
		if r.outcome == unknown {
			failed = unknown
		}
		if reached {
			break
		}
	}
	s.metrics.direct.Inc()
	return combineOutcomes(commitThrough(ctx, s.directCommitter, s.directPacker, row, version, record, answer), failed)
}

// combineOutcomes returns the reply of the last attempt after earlier attempts that
// failed. The outcome is unknown when the last attempt failed and an earlier one may
// have taken effect.
func combineOutcomes(last reply, failed outcome) reply {
	if last.outcome == unavailable {
		last.outcome = failed
	}
	return last
}

// commitThrough queues one row for a committer, or for a packer when it has a
// separate answer, and waits for the reply.
func commitThrough(ctx context.Context, c *committer, p *packer, row string, version uint64, record *claimpb.Record, answer []byte) reply {
	record = proto.CloneOf(record)
	e := newEntry(ctx, row, version, record, answer)
	if len(answer) > 0 {
		p.add(e)
	} else {
		c.add(e)
	}
	return e.wait()
}
