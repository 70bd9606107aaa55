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

// pendingRetryAfter is the hint to callers that ask for a running call.
const pendingRetryAfter = time.Second

// Params name a call.
type Params struct {
	Account string
	Service string
	// Key is the caller's Idempotency-Key.
	Key string
	// Content is all that makes the call what it is, such as method, path and
	// body. It is compared by its SHA-256 sum.
	Content []byte
	// Deadline is the latest end of the run; the zero value means
	// Options.MaxRun from now.
	Deadline time.Time
}

// State is what a claim found.
type State int

const (
	// Granted means that the caller, and no other, may run the call.
	Granted State = iota
	// Finished means that Result.Answer is the stored answer.
	Finished
	// Pending means that a holder may still be running the call.
	Pending
	// Lost means that the call was claimed, and perhaps dispatched, by a holder
	// whose answer will not come. It must not be run.
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

// Result is the result of a claim.
type Result struct {
	State State
	// Grant is set when State is Granted. It must be handed to Finish, Release
	// or Abandon.
	Grant Grant
	// Answer is set when State is Finished.
	Answer contract.PlainAnswer
}

// Claim claims a call, or finds out what became of it.
//
// Errors: code.KeyConflict for a key with other content; code.ClaimUnavailable
// when the claim could not be recorded, in which case this call was not run;
// code.ResultPending when the call is finished but its answer cannot be read at
// present.
func (s *Service) Claim(ctx context.Context, p Params) (Result, error) {
	started := time.Now()
	result, err := s.claim(ctx, p)
	s.metrics.claimed(result.State, err, time.Since(started))
	return result, err
}

func (s *Service) claim(ctx context.Context, p Params) (Result, error) {
	if p.Key == "" {
		return Result{}, code.New(code.KeyRequired, "the claim has no key")
	}
	row := rowKey(p.Account, p.Service, p.Key)
	record, deadline := s.newRecord(p)
	if err := s.register(row, record); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	r := s.commit(ctx, row, 0, record, nil)
	switch r.outcome {
	case applied:
		return Result{State: Granted, Grant: Grant{Deadline: deadline, row: row, version: r.version, record: record}}, nil
	case conflict:
		s.forget(row, record.Id)
		return s.found(ctx, record.Content, r.present)
	}
	s.forget(row, record.Id)
	if r.outcome == unknown {
		s.releaseLater(row, record)
	}
	return Result{}, s.unavailable("the claim could not be recorded")
}

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

// register notes the call as one that this instance may come to hold. It
// refuses new calls that this instance holds already, so that a resend during
// an outage of the store learns that its call is running, and all new calls
// while too many answers wait for the store.
func (s *Service) register(row string, record *claimpb.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return s.unavailable("the instance is stopping")
	}
	if _, ok := s.calls[row]; ok {
		return errPending("the request with this key is still running here")
	}
	if s.heldBytes > s.options.MaxHeldBytes {
		return s.unavailable("too many answers wait for the store")
	}
	s.calls[row] = record.Id
	return nil
}

// forget ends what register began.
func (s *Service) forget(row string, id []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(s.calls[row], id) {
		delete(s.calls, row)
	}
}

// found reads the outcome from a row that stands in the way.
func (s *Service) found(ctx context.Context, content []byte, present *claimpb.Record) (Result, error) {
	if present == nil {
		return Result{}, s.unavailable("the claim changed meanwhile")
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

func (s *Service) unavailable(message string) error {
	return code.New(code.ClaimUnavailable, "%s; this request was not run", message).WithRetryAfter(pendingRetryAfter)
}

func errPending(message string) error {
	return code.New(code.ResultPending, "%s", message).WithRetryAfter(pendingRetryAfter)
}

// commit writes a row through the owner of its group. An owner that does not
// answer is passed over for the next in rank, and where neither does it, this
// instance commits directly.
func (s *Service) commit(ctx context.Context, row string, version uint64, record *claimpb.Record, answer []byte) reply {
	group := groupOf(row, s.options.Groups)
	failed := unavailable
	for _, peer := range rank(group, s.options.View.Live()) {
		if peer.ID == s.options.PeerID {
			return settled(commitThrough(ctx, s.owned[group], s.ownedPacks[group], row, version, record, answer), failed)
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
	return settled(commitThrough(ctx, s.direct, s.directPacks, row, version, record, answer), failed)
}

// settled is the reply of the last try, when an earlier one failed: one that may
// have taken effect makes the whole unknown.
func settled(last reply, failed outcome) reply {
	if last.outcome == unavailable {
		last.outcome = failed
	}
	return last
}

// commitThrough commits one row and waits for it.
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
