package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// unforwardedHeaders lists the headers that are removed between caller and
// upstream: the hop-by-hop headers, the length, which net/http sets anew, and
// Authorization, since the upstream must not learn the caller's key.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// plain serves all methods under /s/{service}/.
func (l *Listener) plain(w http.ResponseWriter, r *http.Request) error {
	id := IdentityOf(r)
	document := id.index.document
	name := r.PathValue("service")
	service, err := id.index.service(id.Account, name)
	if err != nil {
		return err
	}
	if service.Kind != contract.KindPlain {
		return code.New(code.UnknownService, "service %q is a model service; use /v1/chat/completions", truncateName(name))
	}
	if !document.ActivePreset().AdmitOnline {
		return code.New(code.MaintenanceRefusal, "preset %q does not admit online requests", document.Preset).WithRetryAfter(defaultRetryAfter)
	}
	deadline, err := requestDeadline(r, document, service, time.Now())
	if err != nil {
		return err
	}
	key, err := plainKey(r, service)
	if err != nil {
		return err
	}
	body, err := readBody(w, r, bodyLimit(document, service))
	if err != nil {
		return err
	}
	call := &contract.PlainCall{
		RequestID:      id.RequestID,
		Account:        id.Account,
		Service:        name,
		Class:          contract.Online,
		Deadline:       deadline,
		Idempotent:     service.Idempotent || safeMethod(r.Method),
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           strings.TrimPrefix(r.URL.RequestURI(), "/s/"+name),
		Header:         forwardHeaders(r.Header),
		Body:           body,
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	answer, err := l.runPlain(ctx, call)
	if err != nil {
		return err
	}
	writePlain(w, answer)
	return nil
}

// runPlain runs a call. A call with an idempotency key and an unsafe method runs
// under a claim.
func (l *Listener) runPlain(ctx context.Context, call *contract.PlainCall) (*contract.PlainAnswer, error) {
	if call.IdempotencyKey == "" || safeMethod(call.Method) {
		return l.dispatcher.Call(ctx, call)
	}
	if l.claims == nil {
		return nil, code.New(code.ClaimUnavailable, "this instance keeps no claims")
	}
	claim := Claim{
		Account:  call.Account,
		Service:  call.Service,
		Key:      call.IdempotencyKey,
		Content:  claimContent(call),
		Deadline: call.Deadline,
	}
	answer, err := l.claims.Do(ctx, claim, func(ctx context.Context) (contract.PlainAnswer, error) {
		answer, err := l.dispatcher.Call(ctx, call)
		if err != nil {
			return contract.PlainAnswer{}, err
		}
		return *answer, nil
	})
	return &answer, err
}

// claimContent returns the content of a claim: two calls with the same key are
// the same request only if method, path and body are equal.
func claimContent(call *contract.PlainCall) []byte {
	content := []byte(call.Method + " " + call.Path + "\n")
	return append(content, call.Body...)
}

// plainKey returns the idempotency key of a request. Requests with a safe method
// need none.
func plainKey(r *http.Request, service contract.Service) (string, error) {
	if safeMethod(r.Method) {
		service.Idempotent = true
	}
	return idempotencyKey(r, service)
}

// safeMethod reports whether the method is read-only by definition (RFC 9110).
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// forwardHeaders returns a copy of from without unforwardedHeaders.
func forwardHeaders(from http.Header) http.Header {
	to := from.Clone()
	for _, name := range unforwardedHeaders {
		to.Del(name)
	}
	return to
}

// writePlain writes the answer of a plain service. The request id stays the one
// that the listener set.
func writePlain(w http.ResponseWriter, a *contract.PlainAnswer) {
	requestID := w.Header().Get(HeaderRequestID)
	for name, values := range forwardHeaders(a.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderRequestID, requestID)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// result serves GET /v1/results/{service}/{key}: the stored answer of an earlier
// request of the account.
func (l *Listener) result(w http.ResponseWriter, r *http.Request) error {
	if l.claims == nil {
		return code.New(code.ClaimUnavailable, "this instance keeps no claims")
	}
	answer, err := l.claims.Lookup(r.Context(), IdentityOf(r).Account, r.PathValue("service"), r.PathValue("key"))
	if err != nil {
		return err
	}
	if answer.Header.Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
	}
	writePlain(w, &answer)
	return nil
}
