package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// unforwardedHeaders stay on the connection that they came on, and the caller's key
// stays inside daisylb.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// plain answers every method under /s/{service}/.
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
	if !document.Active().AdmitOnline {
		return code.New(code.MaintenanceRefusal, "preset %q does not admit online requests", document.Preset).WithRetryAfter(defaultRetryAfter)
	}
	until, err := requestDeadline(r, document, service, time.Now())
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
		Deadline:       until,
		Idempotent:     service.Idempotent || safeMethod(r.Method),
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           strings.TrimPrefix(r.URL.RequestURI(), "/s/"+name),
		Header:         forwardHeaders(r.Header),
		Body:           body,
	}
	ctx, cancel := context.WithDeadline(r.Context(), until)
	defer cancel()
	answer, err := l.runPlain(ctx, call)
	if err != nil {
		return err
	}
	writePlain(w, answer)
	return nil
}

// runPlain runs a call, under a claim when it has a key and changes something.
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
		a, err := l.dispatcher.Call(ctx, call)
		if err != nil {
			return contract.PlainAnswer{}, err
		}
		return *a, nil
	})
	return &answer, err
}

// claimContent is what must be equal for two calls to be the same work.
func claimContent(call *contract.PlainCall) []byte {
	content := []byte(call.Method + " " + call.Path + "\n")
	return append(content, call.Body...)
}

func plainKey(r *http.Request, service contract.Service) (string, error) {
	if safeMethod(r.Method) {
		service.Idempotent = true
	}
	return idempotencyKey(r, service)
}

// safeMethod reports whether the method changes nothing by its definition.
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func forwardHeaders(from http.Header) http.Header {
	to := from.Clone()
	for _, name := range unforwardedHeaders {
		to.Del(name)
	}
	return to
}

func writePlain(w http.ResponseWriter, a *contract.PlainAnswer) {
	requestID := w.Header().Get(HeaderRequestID)
	for name, values := range forwardHeaders(a.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderRequestID, requestID)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// result answers GET /v1/results/{service}/{key} with the stored answer of an
// earlier request of the account.
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
