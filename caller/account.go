package caller

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/daisylb/daisylb/account"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// accountIndex finds accounts by their keys, for one version of the document. It is
// immutable.
type accountIndex struct {
	document *contract.Document
	keys     account.Index
}

// accounts authenticates callers and counts the requests in flight of each
// account. It is safe for concurrent use.
type accounts struct {
	document func() *contract.Document
	index    atomic.Pointer[accountIndex]
	inFlight sync.Map // maps an account id to *atomic.Int64
}

// current returns the index of the document in force and rebuilds it when the
// document changed. The document is nil before the first configuration.
func (a *accounts) current() *accountIndex {
	document := a.document()
	index := a.index.Load()
	if index != nil && index.document == document {
		return index
	}
	index = newAccountIndex(document)
	a.index.Store(index)
	return index
}

func newAccountIndex(document *contract.Document) *accountIndex {
	index := &accountIndex{document: document}
	if document == nil {
		return index
	}
	for id, entry := range document.Accounts {
		for _, text := range entry.KeyHashes {
			if hash, ok := account.ParseKeyHash(text); ok {
				index.keys.Add(id, hash)
			}
		}
	}
	return index
}

// authenticate returns the id of the account that the request's bearer key
// belongs to. Errors: code.Unauthenticated.
func (x *accountIndex) authenticate(r *http.Request) (string, error) {
	return x.keys.Authenticate(r.Header)
}

// service returns the named service. A service that the account may not use is
// reported as unknown, so that its existence is not disclosed. Errors:
// code.UnknownService.
func (x *accountIndex) service(account, name string) (contract.Service, error) {
	service, ok := x.document.Services[name]
	if !ok || !mayUse(service, account) {
		return contract.Service{}, code.New(code.UnknownService, "no service %q", truncateName(name))
	}
	return service, nil
}

func mayUse(service contract.Service, account string) bool {
	return len(service.Accounts) == 0 || slices.Contains(service.Accounts, account)
}

// acquire counts one more request in flight for the account; release must be
// called when the request ends. Errors: code.AccountLimit when the account is
// at its limit.
func (a *accounts) acquire(document *contract.Document, account string) (release func(), err error) {
	value, ok := a.inFlight.Load(account)
	if !ok {
		value, _ = a.inFlight.LoadOrStore(account, new(atomic.Int64))
	}
	count := value.(*atomic.Int64)
	limit := document.Accounts[account].MaxInFlight
	if n := count.Add(1); limit > 0 && n > int64(limit) {
		count.Add(-1)
		return nil, code.New(code.AccountLimit, "the account has %d requests in flight on this instance", limit).WithRetryAfter(defaultRetryAfter)
	}
	return func() { count.Add(-1) }, nil
}

// truncateName cuts a name that the caller sent to 64 bytes for use in an error
// message.
func truncateName(s string) string {
	const limit = 64
	if len(s) > limit {
		return s[:limit] + "…"
	}
	return s
}
