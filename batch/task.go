package batch

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// task is an item that runs under a lease.
type task struct {
	l     *lease
	index int
	line  []byte
	// attempts counts the failed attempts, those of earlier leases included.
	attempts atomic.Int64

	// The loop of the lease owns these.
	started time.Time
	inLane  bool

	// claimed is set while the claim of a call that may run once is granted and
	// the call is known not to have run.
	claimed bool
}

// event is the end of a task. line is nil when the item has no result yet.
type event struct {
	task   *task
	line   []byte
	failed bool
}

// number is the item's number in the job.
func (t *task) number() int { return int(t.l.entry.First) + t.index }

func (t *task) id() string { return resultID(t.l.job.row.ID, t.number()) }

// run tries the item until it has a result or the lease ends.
func (t *task) run() event {
	parsed, err := parseLine(t.line)
	if err != nil {
		return t.end(errorLine("", code.From(err)))
	}
	item, err := parsed.item()
	if err != nil {
		return t.end(errorLine(parsed.CustomID, code.From(err)))
	}
	if n := t.attempts.Load(); int(n) >= t.maxAttempts() {
		return t.end(errorLine(item.customID, code.New(code.AttemptsUsedUp, "%d attempts failed or ended with the loss of their instance", n)))
	}
	for repeat := 0; t.l.live(); repeat++ {
		result, err := t.attempt(item)
		if err == nil {
			return t.end(result)
		}
		if t.l.ctx.Err() != nil {
			break
		}
		if result, over := t.judge(item, code.From(err)); over {
			return t.end(result)
		}
		if runnerBackoff.Sleep(t.l.ctx, repeat) != nil {
			break
		}
	}
	t.release(item)
	return event{task: t}
}

// release gives the claim of a call that was never dispatched back.
func (t *task) release(i *item) {
	releaser, ok := t.l.r.opts.Claims.(Releaser)
	if !t.claimed || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.l.ctx), storeTime)
	defer cancel()
	if err := releaser.Release(ctx, t.l.job.row.Account, i.service, t.id()); err != nil {
		t.l.r.log.Info("claim not released", zap.String("item", t.id()), zap.Error(err))
	}
}

func (t *task) end(r ResultLine) event {
	r.ID = t.id()
	return event{task: t, line: encode(r), failed: r.failed()}
}

// judge counts a failure and reports whether it is the item's last.
func (t *task) judge(item *item, err *code.Error) (result ResultLine, over bool) {
	if isFinal(err.Number) {
		return errorLine(item.customID, err), true
	}
	late := time.Now().After(t.l.job.row.Deadline)
	if isTransient(err.Number) && !late {
		return ResultLine{}, false
	}
	n := t.attempts.Add(1)
	if int(n) < t.maxAttempts() {
		return ResultLine{}, false
	}
	last := code.New(code.AttemptsUsedUp, "%d attempts failed, the last with: %s", n, err.Error())
	return errorLine(item.customID, last.WithOutcome(err.Outcome)), true
}

// defaultAttempts is used when the configuration gives none.
const defaultAttempts = 3

func (t *task) maxAttempts() int {
	if doc := t.l.r.opts.Document(); doc != nil && doc.Limits.ItemAttempts > 0 {
		return doc.Limits.ItemAttempts
	}
	return defaultAttempts
}

// isFinal reports whether another attempt is useless or not allowed.
func isFinal(n code.Number) bool {
	switch n {
	case code.OutcomeUnknown, code.MalformedBody, code.BodyTooLarge, code.InvalidField, code.Forbidden, code.UnknownService, code.KeyConflict:
		return true
	}
	return false
}

// isTransient reports whether a failure says nothing about the item. Until the
// deadline of the job it does not count as an attempt.
func isTransient(n code.Number) bool {
	switch n {
	case code.Overloaded, code.AccountLimit, code.Draining, code.NoUpstream, code.NoConfiguration,
		code.ClaimUnavailable, code.MaintenanceRefusal, code.StoreUnavailable, code.StoreUnknown,
		code.StoreThrottled, code.StoreConflict, code.ResultPending:
		return true
	}
	return false
}

// attempt runs the item once. A panic counts as a failure of the item, so that
// one item cannot stop instance after instance.
func (t *task) attempt(i *item) (result ResultLine, err error) {
	defer func() {
		if p := recover(); p != nil {
			t.l.r.log.Error("item panicked", zap.String("item", t.id()), zap.Any("panic", p), zap.Stack("stack"))
			err = code.New(code.Internal, "the item caused a panic")
		}
	}()
	if i.chat != nil {
		return t.complete(i)
	}
	doc := t.l.r.opts.Document()
	if doc == nil {
		return ResultLine{}, code.New(code.NoConfiguration, "the instance has no configuration")
	}
	service, ok := doc.Services[i.service]
	if !ok {
		return ResultLine{}, code.New(code.UnknownService, "no service %q", i.service)
	}
	if service.Idempotent {
		return t.call(i)
	}
	return t.callOnce(i)
}

// complete runs a call of a model service.
func (t *task) complete(i *item) (ResultLine, error) {
	answer := boundedAnswer{maxBytes: t.maxAnswerBytes()}
	err := t.l.r.opts.Executor.Complete(t.l.ctx, &contract.Completion{
		RequestID: t.id(),
		Account:   t.l.job.row.Account,
		Service:   i.service,
		Class:     contract.Batch,
		Chat:      *i.chat,
	}, func(c contract.Chunk) error {
		t.l.sawProgress()
		return answer.add(c)
	})
	if err != nil {
		return ResultLine{}, err
	}
	if !answer.IsWhole() {
		return ResultLine{}, code.New(code.StreamBroken, "the answer has no finish reason")
	}
	body := encode(answer.Answer(t.id(), i.service, time.Now()))
	return ResultLine{CustomID: i.customID, Response: &ResultResponse{StatusCode: http.StatusOK, RequestID: t.id(), Body: body}}, nil
}

// defaultAnswerBytes is used when the configuration gives no bound.
const defaultAnswerBytes = 4 << 20

func (t *task) maxAnswerBytes() int64 {
	if doc := t.l.r.opts.Document(); doc != nil && doc.Limits.MaxAnswerBytes > 0 {
		return doc.Limits.MaxAnswerBytes
	}
	return defaultAnswerBytes
}

func (t *task) plainCall(i *item, idempotent bool) *contract.PlainCall {
	return &contract.PlainCall{
		RequestID:      t.id(),
		Account:        t.l.job.row.Account,
		Service:        i.service,
		Class:          contract.Batch,
		Idempotent:     idempotent,
		IdempotencyKey: t.id(),
		Method:         i.method,
		Path:           i.path,
		Header:         http.Header{"Content-Type": {"application/json"}},
		Body:           i.body,
	}
}

// call runs an idempotent call of a plain service. A failure status is worth
// another attempt.
func (t *task) call(i *item) (ResultLine, error) {
	answer, err := t.l.r.opts.Executor.Call(t.l.ctx, t.plainCall(i, true))
	if err != nil {
		return ResultLine{}, err
	}
	if answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusTooManyRequests {
		return ResultLine{}, code.New(code.UpstreamFailed, "the service answered with status %d", answer.Status)
	}
	return answerLine(i.customID, t.id(), answer), nil
}

// callOnce runs a call that may be dispatched at most once. The claim is
// recorded before the dispatch; after it, every failure but a refusal is final.
func (t *task) callOnce(i *item) (ResultLine, error) {
	claims, account := t.l.r.opts.Claims, t.l.job.row.Account
	if !t.claimed {
		found, err := claims.Claim(t.l.ctx, account, i.service, t.id(), t.line)
		if err != nil {
			return ResultLine{}, err
		}
		switch found.Outcome {
		case ClaimGranted:
			t.claimed = true
		case ClaimFinished:
			return answerLine(i.customID, t.id(), found.Answer), nil
		default:
			return ResultLine{}, code.New(code.OutcomeUnknown, "an earlier run of the item was dispatched and its outcome is not known")
		}
	}
	if !t.l.live() {
		return ResultLine{}, errLapsed
	}
	t.claimed = false
	answer, err := t.l.r.opts.Executor.Call(t.l.ctx, t.plainCall(i, false))
	if err != nil {
		if e := code.From(err); e.Outcome == code.NotRun {
			t.claimed = true
			return ResultLine{}, e
		}
		return ResultLine{}, code.Wrap(code.OutcomeUnknown, err, "the item was dispatched and its outcome is not known")
	}
	t.finish(i, answer)
	return answerLine(i.customID, t.id(), answer), nil
}

// finishAttempts bounds the tries to store an answer with its claim.
const finishAttempts = 3

// finish stores the answer with the claim, for a later holder of the segment.
// The result does not depend on it.
func (t *task) finish(i *item, answer *contract.PlainAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.l.ctx), storeTime)
	defer cancel()
	for n := range finishAttempts {
		err := t.l.r.opts.Claims.Finish(ctx, t.l.job.row.Account, i.service, t.id(), answer)
		if err == nil || storeBackoff.Sleep(ctx, n) != nil {
			return
		}
	}
}

// boundedAnswer joins the chunks of one answer up to a bound.
type boundedAnswer struct {
	contract.AnswerBuilder
	maxBytes int64
}

func (b *boundedAnswer) add(c contract.Chunk) error {
	if int64(b.Len()+len(c.Text)) > b.maxBytes {
		return code.New(code.UpstreamAnswerSize, "the answer is over %d bytes", b.maxBytes)
	}
	b.Add(c)
	return nil
}
