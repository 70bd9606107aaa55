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

// callerClaims implements caller.Claims with a claim service.
type callerClaims struct{ service *claim.Service }

// Do implements caller.Claims.
func (c callerClaims) Do(ctx context.Context, claimed caller.Claim, run func(context.Context) (contract.PlainAnswer, error)) (contract.PlainAnswer, error) {
	return c.service.Do(ctx, claim.Params(claimed), run)
}

// Lookup implements caller.Claims.
func (c callerClaims) Lookup(ctx context.Context, account, service, key string) (contract.PlainAnswer, error) {
	return c.service.Lookup(ctx, account, service, key)
}

// batchClaims implements batch.Claims and batch.Releaser with a claim service. The
// batch runner identifies a granted claim by its key, the service by its grant;
// batchClaims stores the grants in between. It is safe for concurrent use.
type batchClaims struct {
	service *claim.Service

	mu     sync.Mutex
	grants map[batchKey]claim.Grant
}

// batchKey identifies the claim of an item.
type batchKey struct{ account, service, key string }

var _ batch.Releaser = (*batchClaims)(nil)

func newBatchClaims(s *claim.Service) *batchClaims {
	return &batchClaims{service: s, grants: map[batchKey]claim.Grant{}}
}

// Claim implements batch.Claims. It returns code.ResultPending for a call that may
// still be running on another instance, so that the runner tries again later.
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

// Finish implements batch.Claims. It does nothing without a grant.
func (b *batchClaims) Finish(ctx context.Context, account, service, key string, answer *contract.PlainAnswer) error {
	grant, ok := b.takeGrant(batchKey{account, service, key})
	if !ok {
		return nil
	}
	return b.service.Finish(ctx, grant, *answer)
}

// Release implements batch.Releaser. It does nothing without a grant.
func (b *batchClaims) Release(ctx context.Context, account, service, key string) error {
	grant, ok := b.takeGrant(batchKey{account, service, key})
	if !ok {
		return nil
	}
	return b.service.Release(ctx, grant)
}

// putGrant stores a grant. It also removes the grants whose deadline has passed:
// they belong to items that ended without an answer, and their outcome is recorded
// as unknown.
func (b *batchClaims) putGrant(k batchKey, g claim.Grant) {
	now := time.Now()
	b.mu.Lock()
	var expired []claim.Grant
	for key, grant := range b.grants {
		if grant.Deadline.Before(now) {
			delete(b.grants, key)
			expired = append(expired, grant)
		}
	}
	b.grants[k] = g
	b.mu.Unlock()
	for _, grant := range expired {
		b.service.Abandon(grant)
	}
}

// takeGrant removes and returns the grant of a key.
func (b *batchClaims) takeGrant(k batchKey) (claim.Grant, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.grants[k]
	delete(b.grants, k)
	return g, ok
}
