package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// foreignRefusals are refusals that do not name the request that was sent.
var foreignRefusals = map[string]script{
	"of another request":              rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n"),
	"of no request":                   rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
	"429 of another request":          rawScript("HTTP/1.1 429 Busy\r\nNot-Run: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n"),
	"421 of another request":          rawScript("HTTP/1.1 421 Elsewhere\r\nNot-Run: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n"),
	"signed, of another request":      rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nSigned: yes\r\nId: other\r\nContent-Length: 0\r\n\r\n"),
	"after an interim response":       rawScript("HTTP/1.1 102 Processing\r\nId: {id}\r\n\r\nHTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n"),
	"before the answer, in one write": refusalBeforeAnswer,
}

// refusalBeforeAnswer writes the refusal of another request, and the answer to this one
// behind it.
func refusalBeforeAnswer(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
	answer := "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"
	rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n"+answer)(t, w, c, r)
}

func TestRefusalOfAnotherRequestDoesNotProveThatThisOneDidNotRun(t *testing.T) {
	for name, s := range foreignRefusals {
		for _, bodyBytes := range []int{4, 4 * maxInlineBodyBytes} {
			t.Run(fmt.Sprintf("%s, body of %d bytes", name, bodyBytes), func(t *testing.T) {
				t.Parallel()
				a, b := startWorker(t, s), startWorker(t, s)
				call := streamCall("a", false)
				call.Body = make([]byte, bodyBytes)
				call.Deadline = time.Now().Add(shortTimeout)
				err := newForwarder(t, a, b).Forward(t.Context(), call, &answerSink{})
				if code.Of(err) != code.OutcomeUnknown || code.From(err).Outcome != code.Unknown {
					t.Errorf("got %v with outcome %q, want OutcomeUnknown with an unknown outcome", err, code.From(err).Outcome)
				}
				if n := a.requestCount.Load() + b.requestCount.Load(); n != 1 {
					t.Errorf("%d workers got the request, want 1", n)
				}
			})
		}
	}
}

// TestForeignRefusalsCountAsAttempts has workers that repeat a refusal of another
// request. A repeatable request must reach no more of them than its attempts allow.
func TestForeignRefusalsCountAsAttempts(t *testing.T) {
	for name, s := range foreignRefusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workers := []*scriptedWorker{startWorker(t, s), startWorker(t, s), startWorker(t, s), startWorker(t, s)}
			call := streamCall("a", true)
			call.MaxAttempts = 2
			call.Deadline = time.Now().Add(shortTimeout)
			err := newForwarder(t, workers...).Forward(t.Context(), call, &answerSink{})
			if err == nil || code.From(err).Outcome == code.NotRun {
				t.Errorf("got %v with outcome %q, want an error whose outcome is not NotRun", err, code.From(err).Outcome)
			}
			n := int64(0)
			for _, w := range workers {
				n += w.requestCount.Load()
			}
			if n != int64(call.MaxAttempts) {
				t.Errorf("%d workers got the request, want %d", n, call.MaxAttempts)
			}
		})
	}
}

func TestBegunStreamGoesOnElsewhereAfterAForeignRefusal(t *testing.T) {
	var attempts atomic.Int64
	s := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		switch attempts.Add(1) {
		case 1:
			eventsScript(2, "")(t, w, c, r)
		case 2:
			foreignRefusals["of another request"](t, w, c, r)
		default:
			eventsScript(5, endOfChunks)(t, w, c, r)
		}
	}
	sink := &answerSink{}
	if err := newForwarder(t, startWorker(t, s), startWorker(t, s)).Forward(t.Context(), streamCall("a", true), sink); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(eventsUpTo(5), sink.body.String()); d != "" || attempts.Load() != 3 {
		t.Errorf("%d attempts, want 3\n%s", attempts.Load(), d)
	}
}

// TestOwnRefusalIsProofWhateverFollows covers refusals that name the request: written
// before its body has been read, or followed by bytes that belong to no request.
func TestOwnRefusalIsProofWhateverFollows(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: a\r\nContent-Length: 2\r\n\r\nno"
	for name, text := range map[string]string{
		"alone":                         refusal,
		"after an interim response":     "HTTP/1.1 102 Processing\r\nNot-Run: 1\r\nId: other\r\n\r\n" + refusal,
		"written twice":                 refusal + refusal,
		"before an answer of another":   refusal + "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: other\r\nContent-Length: 2\r\n\r\nok",
		"before bytes of no answer":     refusal + "\x00\xffgarbage",
		"without the end of its body":   strings.TrimSuffix(refusal, "o"),
		"without a length, until close": strings.Replace(refusal, "Content-Length: 2\r\n", "", 1),
	} {
		t.Run(name, func(t *testing.T) {
			refusing := startHastyWorker(t, text)
			answering := startWorker(t, eventsScript(3, endOfChunks))
			call := streamCall("a", false)
			call.Body = make([]byte, 8<<20)
			call.Deadline = time.Now().Add(shortTimeout)
			d := newForwarder(t, refusing, answering)
			d.current().targets["w1"].setConfig(&upstreamConfig{Upstream: d.current().document.Upstreams["w1"], distance: callTimeout})
			sink := &answerSink{}
			if err := d.Forward(t.Context(), call, sink); err != nil || sink.body.String() != eventsUpTo(3) {
				t.Errorf("got error %v and body %q", err, sink.body.String())
			}
			if refusing.requestCount.Load() == 0 {
				t.Error("no worker refused the request")
			}
		})
	}
}

// startHastyWorker starts a worker that writes a text as soon as it has read the head of
// a request, and reads the body only then.
func startHastyWorker(t *testing.T, text string) *scriptedWorker {
	t.Helper()
	return startWorker(t, func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, bufio.NewReader(r.Body))
	})
}

func TestRequestWithoutIDIsRefusedWithoutID(t *testing.T) {
	sink := &answerSink{}
	w := startWorker(t, rawScript("HTTP/1.1 400 No Id\r\nNot-Run: 1\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nno"))
	if err := newForwarder(t, w).Forward(t.Context(), streamCall("", false), sink); err != nil || sink.status != http.StatusBadRequest || sink.body.String() != "no" {
		t.Errorf("got error %v, status %d, body %q; want 400 and \"no\"", err, sink.status, sink.body.String())
	}
}

// TestFailureWithoutIDIsNotPassedOn has workers whose failures name no request.
func TestFailureWithoutIDIsNotPassedOn(t *testing.T) {
	for _, status := range []int{302, 404, 422, 500, 504} {
		failure := rawScript(fmt.Sprintf("HTTP/1.1 %d Failed\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nno", status))
		sink := &answerSink{}
		err := newForwarder(t, startWorker(t, failure)).Forward(t.Context(), streamCall("a", false), sink)
		if code.Of(err) != code.OutcomeUnknown || sink.status != 0 {
			t.Errorf("status %d: got error %v and status %d, want OutcomeUnknown and none", status, err, sink.status)
		}
	}
}

func TestFailureWithoutIDDoesNotEndTheResumptionOfABatchRequest(t *testing.T) {
	var attempts atomic.Int64
	s := func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		switch attempts.Add(1) {
		case 1:
			eventsScript(2, "")(t, w, c, r)
		case 2:
			rawScript("HTTP/1.1 422 Never\r\nContent-Length: 0\r\n\r\n")(t, w, c, r)
		default:
			eventsScript(5, endOfChunks)(t, w, c, r)
		}
	}
	call, sink := streamCall("a", true), &answerSink{}
	call.Class = contract.Batch
	if err := newForwarder(t, startWorker(t, s), startWorker(t, s)).Forward(t.Context(), call, sink); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(eventsUpTo(5), sink.body.String()); d != "" {
		t.Error(d)
	}
}

// TestRefusalAfterABrokenAttemptDoesNotReportNotRun breaks the first attempt of a call of
// a model service; all further ones are refused.
func TestRefusalAfterABrokenAttemptDoesNotReportNotRun(t *testing.T) {
	var attempts atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && attempts.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, "full", http.StatusServiceUnavailable)
	}))
	defer server.Close()
	h := newHarness(t, 0, fastEngine, func(_ *Options, d *contract.Document) {
		d.Limits.RetryShare = 1
		for i := range route.MaxAttempts {
			d.Upstreams[fmt.Sprint("u", i)] = contract.Upstream{Address: server.Listener.Addr().String(), Services: []string{"chat"}, Slots: 4}
		}
	})
	err := h.Complete(t.Context(), call(contract.Batch, "a", 3), func(contract.Chunk) error { return nil })
	if e := code.From(err); err == nil || e.Outcome != code.Unknown || attempts.Load() != route.MaxAttempts {
		t.Errorf("got %v with outcome %q after %d attempts, want an unknown outcome after %d", err, e.Outcome, attempts.Load(), route.MaxAttempts)
	}
	h.close()
}

func TestRejectionAfterABrokenAttemptDoesNotReportNotRun(t *testing.T) {
	var attempts atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && attempts.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, "no such model", http.StatusNotFound)
	}))
	defer server.Close()
	h := newHarness(t, 0, fastEngine, func(_ *Options, d *contract.Document) {
		d.Limits.RetryShare = 1
		for i := range route.MaxAttempts {
			d.Upstreams[fmt.Sprint("u", i)] = contract.Upstream{Address: server.Listener.Addr().String(), Services: []string{"chat"}, Slots: 4}
		}
	})
	err := h.Complete(t.Context(), call(contract.Batch, "a", 3), func(contract.Chunk) error { return nil })
	if e := code.From(err); err == nil || e.Outcome != code.Unknown || attempts.Load() != 2 {
		t.Errorf("got %v with outcome %q after %d attempts, want an unknown outcome after 2", err, e.Outcome, attempts.Load())
	}
	h.close()
}

// startRepeatingServer starts a server that keeps its connections. It answers the first
// request on each with first, and all later ones, which it runs, with the text again.
func startRepeatingServer(t *testing.T, first, again func(r *http.Request) string) (address string, runs *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	runs = &atomic.Int64{}
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wait.Go(func() {
				defer func() { _ = c.Close() }()
				reader, answer := bufio.NewReader(c), first
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.Method == http.MethodPost {
						runs.Add(1)
					}
					if _, err := io.WriteString(c, answer(r)); err != nil {
						return
					}
					answer = again
				}
			})
		}
	})
	t.Cleanup(func() { _ = l.Close(); wait.Wait() })
	return l.Addr().String(), runs
}

func textResponse(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Text\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// shortCompletion is the whole answer of an engine to r.
func shortCompletion(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	return textResponse(http.StatusOK, "", `data: {"id":"`+id+`","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
}

// TestRefusalOnAKeptConnectionDoesNotProveThatAModelCallDidNotRun repeats a refusal on a
// connection that has carried a call before.
func TestRefusalOnAKeptConnectionDoesNotProveThatAModelCallDidNotRun(t *testing.T) {
	for name, header := range map[string]string{"without id": "", "of another attempt": "X-Request-Id: " + attemptPrefix + "other\r\n"} {
		t.Run(name, func(t *testing.T) {
			refusal := func(*http.Request) string { return textResponse(http.StatusServiceUnavailable, header, "full") }
			var answered atomic.Bool
			once := func(r *http.Request) string {
				if r.Method != http.MethodPost || answered.Swap(true) {
					return refusal(r)
				}
				return shortCompletion(r)
			}
			address, runs := startRepeatingServer(t, once, refusal)
			h := newHarness(t, 0, fastEngine, func(o *Options, d *contract.Document) {
				o.PollInterval = time.Hour
				d.Upstreams["u"] = contract.Upstream{Address: address, Services: []string{"chat"}, Slots: 4}
			})
			complete := func() error {
				c := call(contract.Online, "a", 3)
				c.Deadline = time.Now().Add(shortTimeout)
				return h.Complete(t.Context(), c, func(contract.Chunk) error { return nil })
			}
			if err := complete(); err != nil {
				t.Fatal(err)
			}
			if err := complete(); err == nil || code.From(err).Outcome != code.Unknown || runs.Load() < 2 {
				t.Errorf("got %v with outcome %q after %d runs, want an unknown outcome after 2 or more", err, code.From(err).Outcome, runs.Load())
			}
			h.close()
		})
	}
}

func TestPlainCallsGetNoAnswerOfAnEarlierCall(t *testing.T) {
	answer := func(r *http.Request) string { return textResponse(http.StatusOK, "", "answer to "+r.URL.Path) }
	again := func(*http.Request) string { return textResponse(http.StatusOK, "", "answer to /first") }
	address, _ := startRepeatingServer(t, answer, again)
	h := newHarness(t, 0, fastEngine, func(_ *Options, d *contract.Document) {
		d.Services["pickup"] = contract.Service{Kind: contract.KindPlain, Idempotent: true}
		d.Upstreams["p"] = contract.Upstream{Address: address, Services: []string{"pickup"}, Slots: 4}
	})
	for _, path := range []string{"/first", "/second", "/third"} {
		got, err := h.Call(t.Context(), &contract.PlainCall{Service: "pickup", Idempotent: true, Method: http.MethodPost, Path: path})
		if err != nil || string(got.Body) != "answer to "+path {
			t.Errorf("%s: got answer %+v, error %v", path, got, err)
		}
	}
	h.close()
}

// TestAnsweredItemEndsTheRunOfRefusals has an upstream that refuses every other attempt of
// an item, as one does that is full now and then. It must not be left alone for longer and
// longer while it answers.
func TestAnsweredItemEndsTheRunOfRefusals(t *testing.T) {
	const items = 8
	for _, class := range []contract.Class{contract.Online, contract.Batch} {
		t.Run(class.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				full := rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: {id}\r\nContent-Length: 0\r\n\r\n")
				var scripts []script
				for range items {
					scripts = append(scripts, full, eventsScript(3, endOfChunks))
				}
				dial, workers, wait := pipeWorkers(inTurn(scripts...))
				d, _ := newLoggedForwarder(t, dial, workers...)
				ctx, cancel := context.WithCancel(t.Context())
				wait.Go(func() { _ = d.Run(ctx) })
				begin := time.Now()
				for i := range items {
					call := streamCall(fmt.Sprint(i), true)
					call.Class, call.Deadline = class, time.Now().Add(time.Minute)
					if err := d.Forward(ctx, call, &answerSink{}); err != nil {
						t.Error(err)
					}
				}
				if took := time.Since(begin); took > items*minSuspension+time.Second {
					t.Errorf("%d items that were refused once each took %v, want %v at most for each", items, took, minSuspension)
				}
				cancel()
				wait.Wait()
			})
		})
	}
}
