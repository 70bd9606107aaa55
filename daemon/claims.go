package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/daisylb/daisylb/batch"
	"github.com/daisylb/daisylb/caller"
	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// callerClaims offers claims to the callers' listener.
type callerClaims struct{ service *claim.Service }

// Do implements caller.Claims.
func (c callerClaims) Do(ctx context.Context, p caller.Claim, run func(context.Context) (contract.PlainAnswer, error)) (contract.PlainAnswer, error) {
	return c.service.Do(ctx, claim.Params(p), run)
}

// Lookup implements caller.Claims.
func (c callerClaims) Lookup(ctx context.Context, account, service, key string) (contract.PlainAnswer, error) {
	return c.service.Lookup(ctx, account, service, key)
}

// batchClaims offers claims to the batch runner, which names a granted claim by
// its key. It is safe for concurrent use.
type batchClaims struct {
	service *claim.Service

	mu     sync.Mutex
	grants map[batchKey]claim.Grant
}

type batchKey struct{ account, service, key string }

var _ batch.Releaser = (*batchClaims)(nil)

func newBatchClaims(s *claim.Service) *batchClaims {
	return &batchClaims{service: s, grants: map[batchKey]claim.Grant{}}
}

// Claim implements batch.Claims. A call that may still be running elsewhere is
// code.ResultPending, so that the runner asks again.
func (b *batchClaims) Claim(ctx context.Context, account, service, key string, content []byte) (batch.ClaimResult, error) {
	result, err := b.service.Claim(ctx, claim.Params{Account: account, Service: service, Key: key, Content: content})
	if err != nil {
		return batch.ClaimResult{}, err
	}
	switch result.State {
	case claim.Granted:
		b.putGrant(batchKey{account, service, key}, result.Grant)
		return batch.ClaimResult{Outcome: batch.ClaimGranted}, nil
	case claim.Finished:
		return batch.ClaimResult{Outcome: batch.ClaimFinished, Answer: &result.Answer}, nil
	case claim.Pending:
		return batch.ClaimResult{}, code.New(code.ResultPending, "an earlier run of the item may still be under way")
	}
	return batch.ClaimResult{Outcome: batch.ClaimTaken}, nil
}

// Finish implements batch.Claims.
func (b *batchClaims) Finish(ctx context.Context, account, service, key string, answer *contract.PlainAnswer) error {
	grant, ok := b.takeGrant(batchKey{account, service, key})
	if !ok {
		return nil
	}
	return b.service.Finish(ctx, grant, *answer)
}

// Release implements batch.Releaser.
func (b *batchClaims) Release(ctx context.Context, account, service, key string) error {
	grant, ok := b.takeGrant(batchKey{account, service, key})
	if !ok {
		return nil
	}
	return b.service.Release(ctx, grant)
}

// keep stores a grant. Grants whose deadline has passed belong to items that
// ended without an answer; their outcome is recorded as unknown.
func (b *batchClaims) putGrant(k batchKey, g claim.Grant) {
	now := time.Now()
	b.mu.Lock()
	var ended []claim.Grant
	for other, grant := range b.grants {
		if grant.Deadline.Before(now) {
			delete(b.grants, other)
			ended = append(ended, grant)
		}
	}
	b.grants[k] = g
	b.mu.Unlock()
	for _, grant := range ended {
		b.service.Abandon(grant)
	}
}

func (b *batchClaims) takeGrant(k batchKey) (claim.Grant, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.grants[k]
	delete(b.grants, k)
	return g, ok
}
