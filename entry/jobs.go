package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/budget"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/job"
	"github.com/daisylb/daisylb/platform"
)

// Jobs runs the jobs of batch routes and stores their results. It must be safe for
// concurrent use.
type Jobs interface {
	// Submit accepts a job. A job that is submitted again is accepted once.
	Submit(ctx context.Context, s job.Submission) error
	// Results returns the number of items of a job and its results without the first
	// after ones. It waits up to wait when there is no such result yet.
	Results(ctx context.Context, id string, after int, wait time.Duration) (int, []job.Result, error)
	// Body returns the request body of an item of a job that has not ended.
	Body(ctx context.Context, id, item string) ([]byte, error)
	// End cancels a job.
	End(ctx context.Context, id string) error
}

// submissionCopies is the number of copies of a submission that exist beside the original: the
// decoded text and a buffer of the JSON package. resultCopies is that of results: the text, the
// buffer of the JSON package before and after it grows, and what waits for the caller.
// decodedItemBytes is for the items of the largest job, without their texts.
const (
	submissionCopies = 2
	resultCopies     = 4
	decodedItemBytes = platform.MaxJobItems * platform.MaxItemOverhead
)

// submit accepts the job in a request's body; the request id is the job's id.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, route *contract.Route, account string, body []byte) error {
	if r.Method != http.MethodPost {
		return code.New(code.MethodNotAllowed, "a job is submitted with POST")
	}
	id := platform.RequestID(r.Header)
	if id == "" {
		return code.New(code.InvalidField, "the job has no request id")
	}
	if err := budget.FromContext(r.Context()).Take(submissionCopies*int64(len(body)) + decodedItemBytes); err != nil {
		return err
	}
	items, err := platform.DecodeItems(body)
	if err != nil {
		return err
	}
	s := job.Submission{ID: job.IDOf(account, id), Route: route, Account: account, Items: items, Raw: body}
	if err := h.options.Jobs.Submit(r.Context(), s); err != nil {
		return err
	}
	w.WriteHeader(http.StatusAccepted)
	return nil
}

// jobCall serves a call about a job. A job of another account is answered like one that does
// not exist.
func (h *Handler) jobCall(w http.ResponseWriter, r *http.Request, document *contract.Routing, call platform.Call) error {
	account, err := h.authenticate(document, r.Header, false)
	if err != nil {
		return err
	}
	call.Job = job.IDOf(account, call.Job)
	switch call.Kind {
	case platform.CallJobEnd:
		return h.end(w, r, call)
	case platform.CallItemBody:
		return h.itemBody(w, r, call)
	}
	return h.results(w, r, call)
}

// results writes a page of a job's results.
func (h *Handler) results(w http.ResponseWriter, r *http.Request, call platform.Call) error {
	total, results, err := h.options.Jobs.Results(r.Context(), call.Job, call.After, call.Wait)
	if err != nil {
		return err
	}
	size := 0
	for _, result := range results {
		size += result.Bytes()
	}
	if err := budget.FromContext(r.Context()).TakeAnswer(resultCopies * int64(size)); err != nil {
		return err
	}
	platform.WriteResults(w, total, call.After, results)
	return nil
}

// end cancels a job.
func (h *Handler) end(w http.ResponseWriter, r *http.Request, call platform.Call) error {
	if err := h.options.Jobs.End(r.Context(), call.Job); err != nil {
		return err
	}
	w.WriteHeader(http.StatusOK)
	return nil
}

// itemBody writes the request body of an item.
func (h *Handler) itemBody(w http.ResponseWriter, r *http.Request, call platform.Call) error {
	body, err := h.options.Jobs.Body(r.Context(), call.Job, call.Item)
	if err != nil {
		return err
	}
	if err := budget.FromContext(r.Context()).TakeAnswer(int64(len(body))); err != nil {
		return err
	}
	w.Header()["Content-Type"] = nil
	_, _ = w.Write(body)
	return nil
}
