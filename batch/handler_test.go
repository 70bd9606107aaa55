package batch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage/memory"
)

// newServer starts a server for the jobs of the store and returns a client. The
// API key of a request is the name of its account.
func newServer(t *testing.T, store Store) *Client {
	t.Helper()
	handler, err := NewHandler(HandlerOptions{
		Service: newTestService(t, store),
		Account: func(r *http.Request) string { return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ") },
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &Client{Endpoint: strings.TrimPrefix(server.URL, "http://"), Key: account, HTTP: server.Client()}
}

func TestClientCoversTheInterface(t *testing.T) {
	store := memory.New()
	client := newServer(t, store)
	ctx := context.Background()
	job, err := client.Submit(ctx, "k", Settings{Deadline: DefaultDeadline, OnInvalid: FailItem}, strings.NewReader(chatLines(700)+"nonsense\n"))
	if err != nil || job.State != StateOpen || job.Counts.Total != 701 {
		t.Fatalf("job %+v, %v", job, err)
	}
	if again, err := client.Submit(ctx, "k", Settings{OnInvalid: FailItem}, strings.NewReader(chatLines(700)+"nonsense\n")); err != nil || again.ID != job.ID {
		t.Errorf("resend: %+v, %v", again, err)
	}
	if _, err := client.Results(ctx, job.ID, 0, &bytes.Buffer{}); code.Of(err) != code.ResultsNotReady {
		t.Errorf("early results: %v, want ResultsNotReady", err)
	}
	r := startRunner(t, RunnerOptions{Store: store, Executor: newExecutor(nil)})
	defer r.stop()
	waitFor(t, "job finished", func() bool {
		job, err = client.Status(ctx, job.ID)
		return err == nil && job.State == StateFinished
	})
	if job.Counts != (Counts{Total: 701, Completed: 700, Failed: 1}) {
		t.Errorf("counts %+v", job.Counts)
	}
	var all, tail bytes.Buffer
	next, err := client.Results(ctx, job.ID, 0, &all)
	if err != nil || next != 701 || bytes.Count(all.Bytes(), []byte("\n")) != 701 {
		t.Errorf("results to %d, %v", next, err)
	}
	if _, err := client.Results(ctx, job.ID, 650, &tail); err != nil || !bytes.HasSuffix(all.Bytes(), tail.Bytes()) || bytes.Count(tail.Bytes(), []byte("\n")) != 51 {
		t.Errorf("results from item 650: %v", err)
	}
	if err := store.Put(ctx, CallerInputPrefix(account)+"sheet", []byte(chatLines(2))); err != nil {
		t.Fatal(err)
	}
	r.stop()
	second, err := client.SubmitObject(ctx, "o", Settings{}, CallerInputPrefix(account)+"sheet")
	if err != nil {
		t.Fatal(err)
	}
	if second, err = client.Cancel(ctx, second.ID); err != nil || second.State != StateCancelled {
		t.Errorf("cancel: %+v, %v", second, err)
	}
	page, err := client.List(ctx, "", 1)
	if err != nil || len(page.Data) != 1 || page.Data[0].ID != second.ID || !page.HasMore {
		t.Errorf("first page %+v, %v", page, err)
	}
	page, err = client.List(ctx, second.ID, 0)
	if err != nil || len(page.Data) != 1 || page.Data[0].ID != job.ID || page.HasMore {
		t.Errorf("second page %+v, %v", page, err)
	}
}

func TestInvalidRequestsReturnErrorNumbers(t *testing.T) {
	client := newServer(t, memory.New())
	tests := []struct {
		name, method, path, contentType, body string
		key                                   string
		number                                code.Number
		status                                int
	}{
		{"content type", "POST", "", "text/plain", "", "", code.UnsupportedMediaType, 415},
		{"damaged settings", "POST", "", jsonType, "{", "", code.MalformedBody, 400},
		{"unknown setting", "POST", "", jsonType, `{"input_object":"x","colour":1}`, "", code.MalformedBody, 400},
		{"no object", "POST", "", jsonType, `{}`, "", code.InvalidField, 400},
		{"deadline", "POST", "?deadline=soon", jsonLinesType, chatLines(1), "", code.InvalidDeadline, 400},
		{"long deadline", "POST", "?deadline=9999h", jsonLinesType, chatLines(1), "", code.InvalidDeadline, 400},
		{"on_invalid", "POST", "?on_invalid=drop", jsonLinesType, chatLines(1), "", code.InvalidField, 400},
		{"long key", "POST", "", jsonLinesType, chatLines(1), strings.Repeat("k", 256), code.HeaderTooLarge, 431},
		{"broken line", "POST", "", jsonLinesType, "x", "", code.ItemInvalid, 400},
		{"unknown job", "GET", "/job-0", "", "", "", code.JobUnknown, 404},
		{"results of an unknown job", "GET", "/job-0/results", "", "", "", code.JobUnknown, 404},
		{"negative from", "GET", "/job-0/results?from=-1", "", "", "", code.InvalidField, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			header := http.Header{"Content-Type": {tt.contentType}}
			if tt.key != "" {
				header.Set(keyHeader, tt.key)
			}
			_, err := client.do(context.Background(), tt.method, jobsPath+tt.path, header, strings.NewReader(tt.body))
			if code.Of(err) != tt.number {
				t.Errorf("error %v, want number %d", err, tt.number)
			}
		})
		if got := code.Describe(tt.number).Status; got != tt.status {
			t.Errorf("%s: status %d, want %d", tt.name, got, tt.status)
		}
	}
}

// TestTruncatedResultsAreAnError aborts a response with results: the
// client must report an error rather than a shorter list.
func TestTruncatedResultsAreAnError(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", nextTrailer)
		fmt.Fprintln(w, `{"id":"job-0-0"}`)
		if err := http.NewResponseController(w).Flush(); err != nil {
			t.Error(err)
		}
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	client := &Client{Endpoint: broken.URL, HTTP: broken.Client()}
	if _, err := client.Results(context.Background(), "job-0", 0, &bytes.Buffer{}); code.Of(err) != code.StreamBroken {
		t.Errorf("error %v, want StreamBroken", err)
	}
	broken.Close()
	var e *code.Error
	if _, err := client.Status(context.Background(), "job-0"); !errors.As(err, &e) || e.Number != code.PeerUnreachable {
		t.Errorf("error %v, want PeerUnreachable", err)
	}
}

// TestSlowSenderReleasesItsUpload checks that a sender that stops in the middle of
// its input does not occupy one of the MaxUploads submissions.
func TestSlowSenderReleasesItsUpload(t *testing.T) {
	store := memory.New()
	service := newTestService(t, store)
	handler, err := NewHandler(HandlerOptions{
		Service: service, ReadTimeout: 20 * time.Millisecond,
		Account: func(*http.Request) string { return account },
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	client := &Client{Endpoint: server.URL, HTTP: server.Client()}
	body, sender := io.Pipe()
	defer sender.Close()
	go func() {
		// The rest of the input is never sent.
		if _, err := io.WriteString(sender, chatLines(1)); err != nil {
			t.Error(err)
		}
	}()
	if _, err := client.Submit(context.Background(), "k", Settings{}, body); code.Of(err) != code.SlowSender {
		t.Errorf("error %v, want SlowSender", err)
	}
	if s := service.State(); s.Uploads != 0 {
		t.Errorf("%d submissions being read, want 0", s.Uploads)
	}
}

func TestAccountMayUseHalfOfTheUploads(t *testing.T) {
	service := newTestService(t, memory.New())
	for _, tt := range []struct {
		account string
		number  code.Number
	}{{"a", 0}, {"a", 0}, {"a", code.AccountLimit}, {"b", 0}, {"c", 0}, {"d", code.Overloaded}} {
		if err := service.admitUpload(tt.account); code.Of(err) != tt.number {
			t.Errorf("account %s: %v, want number %d", tt.account, err, tt.number)
		}
	}
	service.releaseUpload("a")
	if err := service.admitUpload("d"); err != nil {
		t.Errorf("submission after a release: %v", err)
	}
}
