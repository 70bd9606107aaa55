package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// chat serves POST /v1/chat/completions.
func (l *Listener) chat(w http.ResponseWriter, r *http.Request) error {
	id := IdentityOf(r)
	body, err := readBody(w, r, id.index.document.Limits.MaxBodyBytes)
	if err != nil {
		return err
	}
	var chat contract.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return decodeError(err)
	}
	service, err := l.modelService(id, chat.Model, int64(len(body)))
	if err != nil {
		return err
	}
	deadline, err := requestDeadline(r, id.index.document, service, time.Now())
	if err != nil {
		return err
	}
	key, err := idempotencyKey(r, service)
	if err != nil {
		return err
	}
	call := &contract.Completion{
		RequestID: id.RequestID,
		Account:   id.Account,
		Service:   chat.Model,
		Class:     contract.Online,
		Deadline:  deadline,
		Chat:      chat,
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	switch {
	case key != "":
		return l.chatWithClaim(ctx, w, call, key, body)
	case chat.Stream:
		return l.chatStream(ctx, w, call)
	default:
		return l.chatBuffered(ctx, w, call)
	}
}

// decodeError returns a numbered error unchanged and wraps any other as
// code.MalformedBody.
func decodeError(err error) error {
	if code.Of(err) != code.Internal {
		return err
	}
	return code.Wrap(code.MalformedBody, err, "the body is not valid JSON")
}

// modelService returns the model service that a chat request of size bytes
// names. Errors: code.UnknownService, code.BodyTooLarge and
// code.MaintenanceRefusal.
func (l *Listener) modelService(id Identity, name string, size int64) (contract.Service, error) {
	service, err := id.index.service(id.Account, name)
	if err != nil {
		return service, err
	}
	if service.Kind != contract.KindModel {
		return service, code.New(code.UnknownService, "service %q is not a model service; use /s/%s/", truncateName(name), truncateName(name))
	}
	if limit := bodyLimit(id.index.document, service); size > limit {
		return service, tooLarge(limit)
	}
	if !id.index.document.ActivePreset().AdmitOnline {
		return service, code.New(code.MaintenanceRefusal, "preset %q does not admit online requests", id.index.document.Preset).WithRetryAfter(defaultRetryAfter)
	}
	return service, nil
}

// collect runs a call and joins its chunks to one answer.
func (l *Listener) collect(ctx context.Context, call *contract.Completion) (contract.ChatAnswer, error) {
	var answer contract.AnswerBuilder
	err := l.dispatcher.Complete(ctx, call, func(c contract.Chunk) error {
		answer.Add(c)
		return nil
	})
	return answer.Answer(call.RequestID, call.Service, time.Now()), err
}

// chatBuffered runs a call and writes its answer as one JSON object.
func (l *Listener) chatBuffered(ctx context.Context, w http.ResponseWriter, call *contract.Completion) error {
	answer, err := l.collect(ctx, call)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// chatWithClaim runs a call under a claim, so that a request that is sent again
// with the same key gets the same answer. The answer is stored before any of it
// is sent to the caller; a stream therefore starts when the answer is complete.
func (l *Listener) chatWithClaim(ctx context.Context, w http.ResponseWriter, call *contract.Completion, key string, content []byte) error {
	if l.claims == nil {
		return code.New(code.ClaimUnavailable, "this instance keeps no claims")
	}
	claim := Claim{Account: call.Account, Service: call.Service, Key: key, Content: content, Deadline: call.Deadline}
	stored, err := l.claims.Do(ctx, claim, func(ctx context.Context) (contract.PlainAnswer, error) {
		answer, err := l.collect(ctx, call)
		if err != nil {
			return contract.PlainAnswer{}, err
		}
		body, err := json.Marshal(answer)
		if err != nil {
			return contract.PlainAnswer{}, code.Wrap(code.Internal, err, "the answer could not be encoded")
		}
		return contract.PlainAnswer{Status: http.StatusOK, Body: body}, nil
	})
	if err != nil {
		return err
	}
	if !call.Chat.Stream {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(stored.Status)
		_, _ = w.Write(stored.Body)
		return nil
	}
	return replay(w, call, stored.Body)
}
