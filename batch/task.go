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

// task is an item that runs under a lease. index is its number in the segment,
// line its input.
type task struct {
	lease *lease
	index int
	line  []byte
	// attempts counts the failed attempts, those of earlier leases included.
	attempts atomic.Int64

	// startedAt and isStraggler belong to the goroutine of the lease.
	startedAt   time.Time
	isStraggler bool

	// claimed is set while the claim of a call that may run at most once is granted
	// and the call is known not to have run.
	claimed bool
}

// taskEnd is the end of a task. line is nil if the item has no result, because
// the lease ended first.
type taskEnd struct {
	task   *task
	line   []byte
	failed bool
}

// itemNumber returns the item's number in the job.
func (t *task) itemNumber() int { return int(t.lease.entry.First) + t.index }

// id returns the id of the item's result. It is also the request id and the
// idempotency key of the call.
func (t *task) id() string { return resultID(t.lease.job.row.ID, t.itemNumber()) }

// run attempts the item until it has a result or the lease ends.
func (t *task) run() taskEnd {
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
	for retries := 0; t.lease.isValid(); retries++ {
		result, err := t.attempt(item)
		if err == nil {
			return t.end(result)
		}
		if t.lease.ctx.Err() != nil {
			break
		}
		if result, final := t.recordFailure(item, code.From(err)); final {
			return t.end(result)
		}
		if runnerBackoff.Sleep(t.lease.ctx, retries) != nil {
			break
		}
	}
	t.release(item)
	return taskEnd{task: t}
}

// release releases the claim of a call that is known not to have run.
func (t *task) release(i *item) {
	releaser, ok := t.lease.runner.opts.Claims.(Releaser)
	if !t.claimed || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.lease.ctx), storeTimeout)
	defer cancel()
	if err := releaser.Release(ctx, t.lease.job.row.Account, i.service, t.id()); err != nil {
		t.lease.runner.log.Info("claim not released", zap.String("item", t.id()), zap.Error(err))
	}
}

// end returns the end of the task with a result.
func (t *task) end(r ResultLine) taskEnd {
	r.ID = t.id()
	return taskEnd{task: t, line: encode(r), failed: r.failed()}
}

// recordFailure counts a failed attempt and reports whether it is final, with the
// result of the item if it is.
func (t *task) recordFailure(item *item, err *code.Error) (result ResultLine, final bool) {
	if err.Number == code.UnknownService && t.configIsOlder() {
		return ResultLine{}, false
	}
	if isFinal(err.Number) {
		return errorLine(item.customID, err), true
	}
	pastDeadline := time.Now().After(t.lease.job.row.Deadline)
	if isTransient(err.Number) && !pastDeadline {
		return ResultLine{}, false
	}
	n := t.attempts.Add(1)
	if int(n) < t.maxAttempts() {
		return ResultLine{}, false
	}
	lastErr := code.New(code.AttemptsUsedUp, "%d attempts failed, the last with: %s", n, err.Error())
	return errorLine(item.customID, lastErr.WithOutcome(err.Outcome)), true
}

// defaultAttempts is the maximum number of attempts if the configuration has
// none.
const defaultAttempts = 3

func (t *task) maxAttempts() int {
	if doc := t.lease.runner.opts.Document(); doc != nil && doc.Limits.ItemAttempts > 0 {
		return doc.Limits.ItemAttempts
	}
	return defaultAttempts
}

// configIsOlder reports whether the document in force here is older than the one under
// which the job was accepted. It may lack services of the job's items.
func (t *task) configIsOlder() bool {
	doc := t.lease.runner.opts.Document()
	return doc == nil || doc.Version < t.lease.job.row.ConfigVersion
}

// isFinal reports whether another attempt would be useless or is not allowed.
func isFinal(n code.Number) bool {
	switch n {
	case code.OutcomeUnknown, code.MalformedBody, code.BodyTooLarge, code.InvalidField, code.Forbidden, code.UnknownService, code.KeyConflict:
		return true
	}
	return false
}

// isTransient reports whether a failure has causes other than the item. Until the
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
// one item cannot crash one instance after another.
func (t *task) attempt(i *item) (result ResultLine, err error) {
	defer func() {
		if p := recover(); p != nil {
			t.lease.runner.log.Error("item panicked", zap.String("item", t.id()), zap.Any("panic", p), zap.Stack("stack"))
			err = code.New(code.Internal, "the item caused a panic")
		}
	}()
	if i.chat != nil {
		return t.complete(i)
	}
	doc := t.lease.runner.opts.Document()
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

// complete runs an item of a model service. The answer must have a finish reason.
func (t *task) complete(i *item) (ResultLine, error) {
	answer := boundedAnswer{maxBytes: t.maxAnswerBytes()}
	err := t.lease.runner.opts.Executor.Complete(t.lease.ctx, &contract.Completion{
		RequestID: t.id(),
		Account:   t.lease.job.row.Account,
		Service:   i.service,
		Class:     contract.Batch,
		Chat:      *i.chat,
	}, func(c contract.Chunk) error {
		t.lease.recordProgress()
		return answer.add(c)
	})
	if err != nil {
		return ResultLine{}, err
	}
	if !answer.IsComplete() {
		return ResultLine{}, code.New(code.StreamBroken, "the answer has no finish reason")
	}
	body := encode(answer.Answer(t.id(), i.service, time.Now()))
	return ResultLine{CustomID: i.customID, Response: &ResultResponse{StatusCode: http.StatusOK, RequestID: t.id(), Body: body}}, nil
}

// defaultAnswerBytes is the maximum size of an answer if the configuration has
// none.
const defaultAnswerBytes = 4 << 20

func (t *task) maxAnswerBytes() int64 {
	if doc := t.lease.runner.opts.Document(); doc != nil && doc.Limits.MaxAnswerBytes > 0 {
		return doc.Limits.MaxAnswerBytes
	}
	return defaultAnswerBytes
}

func (t *task) plainCall(i *item, idempotent bool) *contract.PlainCall {
	return &contract.PlainCall{
		RequestID:      t.id(),
		Account:        t.lease.job.row.Account,
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

// call runs an item of an idempotent plain service. The statuses 429 and 5xx are
// errors, so that the item is attempted again.
func (t *task) call(i *item) (ResultLine, error) {
	answer, err := t.lease.runner.opts.Executor.Call(t.lease.ctx, t.plainCall(i, true))
	if err != nil {
		return ResultLine{}, err
	}
	if answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusTooManyRequests {
		return ResultLine{}, code.New(code.UpstreamFailed, "the service answered with status %d", answer.Status)
	}
	return answerLine(i.customID, t.id(), answer), nil
}

// callOnce runs an item that may be dispatched at most once. The claim is
// recorded before the dispatch. Afterwards every failure is final, unless the
// call is known not to have run.
func (t *task) callOnce(i *item) (ResultLine, error) {
	claims, account := t.lease.runner.opts.Claims, t.lease.job.row.Account
	if !t.claimed {
		claim, err := claims.Claim(t.lease.ctx, account, i.service, t.id(), t.line)
		if err != nil {
			return ResultLine{}, err
		}
		switch claim.Outcome {
		case ClaimGranted:
			t.claimed = true
		case ClaimFinished:
			return answerLine(i.customID, t.id(), claim.Answer), nil
		default:
			return ResultLine{}, code.New(code.OutcomeUnknown, "an earlier run of the item was dispatched and its outcome is not known")
		}
	}
	if !t.lease.isValid() {
		return ResultLine{}, errExpired
	}
	t.claimed = false
	answer, err := t.lease.runner.opts.Executor.Call(t.lease.ctx, t.plainCall(i, false))
	if err != nil {
		if e := code.From(err); e.Outcome == code.NotRun {
			t.claimed = true
			return ResultLine{}, e
		}
		return ResultLine{}, code.Wrap(code.OutcomeUnknown, err, "the item was dispatched and its outcome is not known")
	}
	t.storeAnswer(i, answer)
	return answerLine(i.customID, t.id(), answer), nil
}

// maxFinishAttempts is the maximum number of attempts to store an answer with its
// claim.
const maxFinishAttempts = 3

// storeAnswer stores the answer with the claim, for a later holder of the
// segment. A failure does not change the result.
func (t *task) storeAnswer(i *item, answer *contract.PlainAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.lease.ctx), storeTimeout)
	defer cancel()
	for n := range maxFinishAttempts {
		err := t.lease.runner.opts.Claims.Finish(ctx, t.lease.job.row.Account, i.service, t.id(), answer)
		if err == nil || storeBackoff.Sleep(ctx, n) != nil {
			return
		}
	}
}

// boundedAnswer joins the chunks of one answer, up to maxBytes.
type boundedAnswer struct {
	contract.AnswerBuilder
	maxBytes int64
}

func (b *boundedAnswer) add(c contract.Chunk) error {
	if int64(b.Len()+len(c.Text)) > b.maxBytes {
		return code.New(code.UpstreamAnswerTooLarge, "the answer is over %d bytes", b.maxBytes)
	}
	b.Add(c)
	return nil
}
