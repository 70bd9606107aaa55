package claim_test

import (
	"context"
	"time"

	"github.com/daisylb/daisylb/claim"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
)

// claimAfterDispatch is a faulty scheme: it looks for a stored answer, runs the call,
// and stores the answer without a claim before the run.
func claimAfterDispatch(ctx context.Context, f *fleet, _ int, p claim.Params, run claim.Run) (contract.PlainAnswer, error) {
	row, err := f.store.Get(ctx, p.Key)
	if err != nil {
		return contract.PlainAnswer{}, code.New(code.ClaimUnavailable, "no table")
	}
	if row.Exists() {
		return contract.PlainAnswer{Body: row.Value}, nil
	}
	answer, err := run(ctx)
	if err != nil {
		return answer, err
	}
	_, err = f.store.Apply(ctx, insert(p.Key, answer.Body))
	return answer, err
}

// runAgainOnUnknown is a faulty scheme: it claims before it runs, but it also runs
// the call when the response of the store was lost, and when a claim is older than
// its lease.
func runAgainOnUnknown(ctx context.Context, f *fleet, _ int, p claim.Params, run claim.Run) (contract.PlainAnswer, error) {
	const lease = 2 * time.Second
	row, err := f.store.Get(ctx, p.Key)
	if err != nil {
		return contract.PlainAnswer{}, code.New(code.ClaimUnavailable, "no table")
	}
	if row.Exists() && len(row.Value) < 30 {
		return contract.PlainAnswer{Body: row.Value}, nil
	}
	t := insert(p.Key, []byte(time.Now().Add(lease).Format("claimed until 2006-01-02T15:04:05.000000000Z07:00")))
	if row.Exists() {
		until, err := time.Parse("claimed until 2006-01-02T15:04:05.000000000Z07:00", string(row.Value))
		if err == nil && time.Now().Before(until) {
			return contract.PlainAnswer{}, code.New(code.ResultPending, "running")
		}
		t.Conditions[0].Version = row.Version
	}
	applied, err := f.store.Apply(ctx, t)
	if err != nil && code.Of(err) != code.StoreUnknown {
		return contract.PlainAnswer{}, code.New(code.ClaimUnavailable, "not claimed")
	}
	answer, err := run(ctx)
	if err != nil {
		return answer, err
	}
	finish := insert(p.Key, answer.Body)
	finish.Conditions = nil
	if len(applied.Versions) > 0 {
		finish.Conditions = []storage.Condition{{Key: p.Key, Version: applied.Versions[0]}}
	}
	_, err = f.store.Apply(ctx, finish)
	return answer, err
}

// insert returns the transaction that writes a row if it does not exist.
func insert(key string, value []byte) storage.Transaction {
	return storage.Transaction{
		Conditions: []storage.Condition{{Key: key}},
		Writes:     []storage.Write{{Key: key, Value: value}},
	}
}
