package claim

import (
	"context"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// Lookup returns the stored answer of an earlier call by its key alone. The content
// of the call is not compared.
//
// Errors: code.NotFound when there is no claim; code.ResultPending while the call may
// be running; code.OutcomeUnknown when no answer will come; and those of the table,
// with the outcome code.Unknown.
func (s *Service) Lookup(ctx context.Context, account, service, key string) (contract.PlainAnswer, error) {
	row, err := s.options.Table.Get(ctx, rowKey(account, service, key))
	if err != nil {
		return contract.PlainAnswer{}, code.From(err).WithOutcome(code.Unknown)
	}
	if !row.Exists() {
		return contract.PlainAnswer{}, code.New(code.NotFound, "no request with this key is known")
	}
	record, err := decodeRow(row)
	if err != nil {
		return contract.PlainAnswer{}, err
	}
	result, err := s.resultOf(ctx, record.Content, record)
	if err != nil {
		return contract.PlainAnswer{}, err
	}
	switch result.State {
	case Finished:
		return result.Answer, nil
	case Pending:
		return contract.PlainAnswer{}, errPending("the request with this key is still running")
	}
	return contract.PlainAnswer{}, code.New(code.OutcomeUnknown, "the request was dispatched and its outcome is not known")
}
