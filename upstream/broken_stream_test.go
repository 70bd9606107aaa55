package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

const (
	signedHead      = "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: {id}\r\n"
	eventStreamType = "Content-Type: text/event-stream\r\n"
	// unframedHead is the head of a stream that ends with its connection.
	unframedHead = signedHead + eventStreamType + "\r\n"
	chunkedHead  = signedHead + eventStreamType + "Transfer-Encoding: chunked\r\n\r\n"
	errorText    = `{"error":"out of memory"}`
)

// resetAfter returns a script that writes a text and resets the connection.
func resetAfter(text string) script {
	return func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		rawScript(text)(t, w, c, r)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// inTurn returns a script that runs the scripts one after another, by the number of the
// request at any worker, and the last one for all further requests.
func inTurn(scripts ...script) script {
	var requests atomic.Int64
	return func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		n := min(int(requests.Add(1)), len(scripts))
		scripts[n-1](t, w, c, r)
	}
}

// TestStreamThatBreaksOffIsAnError has workers that break their streams in every place:
// the caller must get whole events only, and an error.
func TestStreamThatBreaksOffIsAnError(t *testing.T) {
	two := eventsUpTo(2)
	length := func(n int) string {
		return signedHead + eventStreamType + fmt.Sprintf("Content-Length: %d\r\n\r\n", n)
	}
	for name, c := range map[string]struct {
		script script
		want   string
	}{
		"unframed, within a line":             {rawScript(unframedHead + two + "id: 3\nda"), two},
		"unframed, after a version line":      {rawScript(unframedHead + two + "x-version: 4\n"), two},
		"unframed, before the blank line":     {rawScript(unframedHead + two + "id: 3\ndata: piece 3\n"), two},
		"unframed, within a blank line":       {rawScript(unframedHead + two + "id: 3\ndata: piece 3\r\n\r"), two},
		"unframed, reset between events":      {resetAfter(unframedHead + two), two},
		"unframed, reset within an event":     {resetAfter(unframedHead + two + "id: 3\nda"), two},
		"length, between events":              {rawScript(length(len(eventsUpTo(3))) + two), two},
		"length, within an event":             {rawScript(length(len(eventsUpTo(3))) + two + "id: 3"), two},
		"length that ends within an event":    {rawScript(length(len(two)+5) + eventsUpTo(3)), two},
		"chunked, without the last chunk":     {rawScript(chunkedHead + chunk(two)), two},
		"chunked, within a chunk":             {rawScript(chunkedHead + chunk(two) + "40\r\nid: 3\nda"), two},
		"chunked, within a chunk size":        {rawScript(chunkedHead + chunk(two) + "1"), two},
		"chunked, within the last chunk":      {rawScript(chunkedHead + chunk(two) + "0\r\n"), two},
		"chunked, last chunk within an event": {rawScript(chunkedHead + chunk(two+"id: 3\nda") + endOfChunks), two},
		"unframed, then error text":           {rawScript(unframedHead + two + errorText + "\n\n"), two},
		"unframed, then a line of error text": {rawScript(unframedHead + two + "error: out of memory\n\n"), two},
		"unframed, then a response":           {rawScript(unframedHead + two + "HTTP/1.1 500 Error\r\nContent-Length: 25\r\n\r\n" + errorText), two},
		"chunked, then a response in a chunk": {rawScript(chunkedHead + chunk(two+"HTTP/1.1 200 OK\r\n\r\n"+event(3)) + endOfChunks), two},
		"chunked, error text after a chunk":   {rawScript(chunkedHead + chunk(two) + "HTTP/1.1 500 Error\r\n\r\n" + errorText), two},
	} {
		t.Run(name, func(t *testing.T) {
			s := &answerSink{}
			err := newForwarder(t, startWorker(t, c.script)).Forward(t.Context(), streamCall("a", false), s)
			if err == nil || code.From(err).Outcome == code.NotRun {
				t.Errorf("got %v, want an error whose outcome is not NotRun", err)
			}
			if d := cmp.Diff(c.want, s.body.String()); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestStreamThatEndsWithItsConnectionIsComplete has workers whose streams have neither a
// length nor chunks.
func TestStreamThatEndsWithItsConnectionIsComplete(t *testing.T) {
	for name, text := range map[string]string{
		"events":             eventsUpTo(3),
		"comments":           ": on\n\n" + eventsUpTo(3) + ": off\n\n",
		"version lines":      "x-version: 4\n" + event(1) + "x-version: 5\n" + event(2),
		"trailing blank":     eventsUpTo(3) + "\n",
		"carriage returns":   strings.ReplaceAll(eventsUpTo(3), "\n", "\r\n"),
		"fields without ids": "event: note\ndata: x\ndata\nretry: 5\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, rawScript(unframedHead+text))
			s := &answerSink{}
			if err := newForwarder(t, w).Forward(t.Context(), streamCall("a", false), s); err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(text, s.body.String()); d != "" {
				t.Error(d)
			}
		})
	}
}

// failedResumptions are the responses of a worker that cannot resume a stream.
var failedResumptions = map[string]script{
	"400":                    rawScript("HTTP/1.1 400 Bad\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 25\r\n\r\n" + errorText),
	"400 that did not run":   rawScript("HTTP/1.1 400 Bad\r\nNot-Run: 1\r\nContent-Length: 25\r\n\r\n" + errorText),
	"404":                    rawScript("HTTP/1.1 404 None\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 25\r\n\r\n" + errorText),
	"416, unframed":          rawScript("HTTP/1.1 416 Range\r\nSigned: yes\r\nId: {id}\r\n\r\n" + errorText),
	"429":                    rawScript("HTTP/1.1 429 Busy\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 25\r\n\r\n" + errorText),
	"500":                    rawScript("HTTP/1.1 500 Error\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 25\r\n\r\n" + errorText),
	"500, as events":         rawScript("HTTP/1.1 500 Error\r\nSigned: yes\r\nId: {id}\r\n" + eventStreamType + "\r\nid: 3\ndata: error\n\n"),
	"502, unsigned":          rawScript("HTTP/1.1 502 Error\r\nContent-Length: 25\r\n\r\n" + errorText),
	"503":                    rawScript("HTTP/1.1 503 Full\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 25\r\n\r\n" + errorText),
	"503 that did not run":   rawScript("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: {id}\r\nContent-Length: 25\r\n\r\n" + errorText),
	"504":                    rawScript("HTTP/1.1 504 Late\r\nSigned: yes\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
	"200, plain":             rawScript(signedHead + "Content-Type: application/json\r\nContent-Length: 25\r\n\r\n" + errorText),
	"200, no type":           rawScript(signedHead + "Content-Length: 25\r\n\r\n" + errorText),
	"200, unsigned":          rawScript("HTTP/1.1 200 OK\r\nId: {id}\r\n" + eventStreamType + "\r\n" + event(3)),
	"200, of another":        rawScript("HTTP/1.1 200 OK\r\nSigned: yes\r\nId: other\r\n" + eventStreamType + "\r\n" + event(3)),
	"200, encoded":           rawScript(signedHead + eventStreamType + "Content-Encoding: gzip\r\n\r\n" + event(3)),
	"204":                    rawScript("HTTP/1.1 204 None\r\nSigned: yes\r\nId: {id}\r\n\r\n"),
	"206":                    rawScript("HTTP/1.1 206 Part\r\nSigned: yes\r\nId: {id}\r\n" + eventStreamType + "\r\n" + event(3)),
	"302":                    rawScript("HTTP/1.1 302 Found\r\nSigned: yes\r\nId: {id}\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"),
	"no HTTP":                rawScript(errorText + "\n\n"),
	"no answer":              rawScript(""),
	"reset":                  resetAfter(""),
	"reset after the head":   resetAfter(unframedHead),
	"error text as stream":   rawScript(unframedHead + errorText + "\n\n"),
	"error head as stream":   rawScript(unframedHead + "HTTP/1.1 500 Error\r\nContent-Length: 25\r\n\r\n" + errorText),
	"events without ids":     rawScript(unframedHead + "event: error\ndata: out of memory\n\n"),
	"only events that came":  resetAfter(unframedHead + eventsUpTo(2)),
	"cut in its first event": rawScript(unframedHead + "id: 3\ndata: pie"),
}

// TestFailedResumptionLeavesTheStreamWhole breaks a stream within an event and has the
// next worker fail to resume it. If a third one resumes it, the caller must get every
// event once, in order; if none does, the events before the break and an error.
func TestFailedResumptionLeavesTheStreamWhole(t *testing.T) {
	broken := rawScript(signedHead + eventStreamType + "Content-Length: 500\r\n\r\n" + eventsUpTo(2) + "id: 3\ndata: pie")
	for name, failed := range failedResumptions {
		t.Run(name+", then resumed", func(t *testing.T) {
			s := inTurn(broken, failed, eventsScript(6, endOfChunks))
			sink := &answerSink{}
			d := newForwarder(t, startWorker(t, s), startWorker(t, s), startWorker(t, s))
			if err := d.Forward(t.Context(), streamCall("a", true), sink); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(eventsUpTo(6), sink.body.String()); diff != "" {
				t.Error(diff)
			}
		})
		t.Run(name+", always", func(t *testing.T) {
			s := inTurn(broken, failed)
			call, sink := streamCall("a", true), &answerSink{}
			call.Deadline = time.Now().Add(shortTimeout)
			err := newForwarder(t, startWorker(t, s), startWorker(t, s), startWorker(t, s)).Forward(t.Context(), call, sink)
			if code.Of(err) != code.StreamBroken {
				t.Errorf("got %v, want StreamBroken", err)
			}
			if diff := cmp.Diff(eventsUpTo(2), sink.body.String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBrokenAnswerWithoutAPositionIsNotResumed has a worker break an answer whose
// events have no ids, or that is no stream: a second run would repeat what the caller
// has.
func TestBrokenAnswerWithoutAPositionIsNotResumed(t *testing.T) {
	const unnumbered = "data: a\n\ndata: b\n\n"
	plain := strings.Repeat("x", bufferedBodyBytes)
	for name, c := range map[string]struct{ head, text string }{
		"events without ids":              {eventStreamType, unnumbered},
		"events without ids after others": {eventStreamType, eventsUpTo(2) + unnumbered},
		"plain body":                      {"", plain},
	} {
		t.Run(name, func(t *testing.T) {
			first := rawScript(signedHead + c.head + "Content-Length: 1000000\r\n\r\n" + c.text)
			s := inTurn(first, eventsScript(4, endOfChunks))
			a, b, sink := startWorker(t, s), startWorker(t, s), &answerSink{}
			err := newForwarder(t, a, b).Forward(t.Context(), streamCall("a", true), sink)
			if code.Of(err) != code.StreamBroken {
				t.Errorf("got %v, want StreamBroken", err)
			}
			if sink.body.String() != c.text || a.requestCount.Load()+b.requestCount.Load() != 1 {
				t.Errorf("got %.80q after %d runs, want the text of one run", sink.body.String(), a.requestCount.Load()+b.requestCount.Load())
			}
		})
	}
}

// TestStreamOfCommentsIsRunAgain has a worker break a stream that has comments only:
// the request may run again from its beginning, also when streams of its route cannot be
// resumed.
func TestStreamOfCommentsIsRunAgain(t *testing.T) {
	comments := rawScript(signedHead + eventStreamType + "Content-Length: 1000\r\n\r\n: on\n\n")
	for name, resumable := range map[string]bool{"resumable": true, "repeatable": false} {
		t.Run(name, func(t *testing.T) {
			s := inTurn(comments, eventsScript(4, endOfChunks))
			call, sink := streamCall("a", resumable), &answerSink{}
			call.Repeatable = true
			if err := newForwarder(t, startWorker(t, s), startWorker(t, s)).Forward(t.Context(), call, sink); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(": on\n\n"+eventsUpTo(4), sink.body.String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestResumedEventsBeforeTheFirstNewIDAreNotPassedOn has a worker resume a stream with
// data whose place in the stream is not known.
func TestResumedEventsBeforeTheFirstNewIDAreNotPassedOn(t *testing.T) {
	broken := rawScript(signedHead + eventStreamType + "Content-Length: 500\r\n\r\n" + eventsUpTo(2) + "id: 3\ndata: pie")
	for name, text := range map[string]string{
		"error event":            "event: error\ndata: out of memory\n\n",
		"before the next":        "data: x\n\n" + event(3),
		"after an old one":       event(2) + "data: x\n\n" + event(3),
		"id that is no number":   "id: error\ndata: out of memory\n\n",
		"id without its number":  "id:\ndata: x\n\n" + event(3),
		"comment, then an error": ": on\n\ndata: out of memory\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := inTurn(broken, rawScript(unframedHead+text), eventsScript(6, endOfChunks))
			sink := &answerSink{}
			d := newForwarder(t, startWorker(t, s), startWorker(t, s), startWorker(t, s))
			if err := d.Forward(t.Context(), streamCall("a", true), sink); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(eventsUpTo(6), strings.ReplaceAll(sink.body.String(), ": on\n\n", "")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBatchItemIsNotCompletedByAPlainAnswer has a worker that answers an item with
// status 200 and a body that is no event stream.
func TestBatchItemIsNotCompletedByAPlainAnswer(t *testing.T) {
	plain := rawScript(signedHead + "Content-Type: application/json\r\nContent-Length: 25\r\n\r\n" + errorText)
	for _, lastEventID := range []string{"", "2"} {
		t.Run("after "+lastEventID, func(t *testing.T) {
			s := inTurn(plain, eventsScript(4, endOfChunks))
			call, sink := streamCall("a", true), &answerSink{}
			call.Class, call.LastEventID = contract.Batch, lastEventID
			if err := newForwarder(t, startWorker(t, s), startWorker(t, s)).Forward(t.Context(), call, sink); err != nil {
				t.Fatal(err)
			}
			want := eventsUpTo(4)
			if lastEventID == "2" {
				want = event(3) + event(4)
			}
			if d := cmp.Diff(want, sink.body.String()); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestCommentIsNotCountedAsAFirstToken has a worker send a comment long before its
// first event.
func TestCommentIsNotCountedAsAFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queued, prefill = 100 * time.Millisecond, 800 * time.Millisecond
		s := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
			time.Sleep(queued)
			_, _ = c.Write([]byte(streamHead(r, "") + chunk(": on\n\n")))
			time.Sleep(prefill)
			_, _ = c.Write([]byte(chunk(event(1)) + endOfChunks))
		}
		dial, workers, wait := pipeWorkers(s)
		d, logs := newLoggedForwarder(t, dial, workers...)
		if err := d.Forward(t.Context(), streamCall("a", false), &answerSink{}); err != nil {
			t.Fatal(err)
		}
		wait.Wait()
		d.sched.mu.Lock()
		defer d.sched.mu.Unlock()
		if first := d.fleet.Load().targets["w0"].firstToken.Value; first != queued+prefill {
			t.Errorf("the time to the first token is %v, want %v", first, queued+prefill)
		}
		if done := logs.FilterMessage("forwarded").All(); len(done) != 1 || done[0].ContextMap()["first"] != queued+prefill {
			t.Errorf("wrong log: %v", done)
		}
	})
}

// TestStreamThatEndsBeforeItsFirstEventIsNotComplete has a worker close the connection
// behind the head of a stream without length and chunks.
func TestStreamThatEndsBeforeItsFirstEventIsNotComplete(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "blank line": "\n", "comment": ": on\n\n"} {
		t.Run(name+", resumable", func(t *testing.T) {
			s := inTurn(rawScript(unframedHead+text), eventsScript(4, endOfChunks))
			sink := &answerSink{}
			if err := newForwarder(t, startWorker(t, s), startWorker(t, s)).Forward(t.Context(), streamCall("a", true), sink); err != nil {
				t.Error(err)
			}
			if events := strings.TrimPrefix(sink.body.String(), text); events != eventsUpTo(4) {
				t.Errorf("got %q", events)
			}
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			w := startWorker(t, rawScript(unframedHead+text))
			err := newForwarder(t, w).Forward(t.Context(), streamCall("a", false), &answerSink{})
			if err == nil || code.From(err).Outcome == code.NotRun {
				t.Errorf("got %v, want an error whose outcome is not NotRun", err)
			}
		})
	}
}

// TestStreamWithoutFurtherEventsIsComplete has a worker resume a stream whose caller has
// every event, and one whose framing says that the stream has no events.
func TestStreamWithoutFurtherEventsIsComplete(t *testing.T) {
	for name, c := range map[string]struct{ method, after, text string }{
		"nothing after the last event": {http.MethodPost, "4", unframedHead},
		"no events, chunked":           {http.MethodPost, "", chunkedHead + endOfChunks},
		"no events, length":            {http.MethodPost, "", signedHead + eventStreamType + "Content-Length: 0\r\n\r\n"},
		"answer without a body":        {http.MethodHead, "", unframedHead},
	} {
		t.Run(name, func(t *testing.T) {
			call, sink := streamCall("a", true), &answerSink{}
			call.Method, call.LastEventID = c.method, c.after
			if err := newForwarder(t, startWorker(t, rawScript(c.text))).Forward(t.Context(), call, sink); err != nil || sink.status != 200 || sink.body.Len() > 0 {
				t.Errorf("got error %v, status %d and %q, want an empty stream", err, sink.status, sink.body.String())
			}
		})
	}
}

// TestStreamCutAtEachByte ends the connection of a stream after each of its bytes. The
// caller must get whole events and an error, or the complete stream from a second run. A
// stream that ends with its connection may end between events.
func TestStreamCutAtEachByte(t *testing.T) {
	streamed := "x-version: 4\n" + event(1) + ": on\n\n" + strings.ReplaceAll(event(2), "\n", "\r\n") + event(3)
	ends := map[string]bool{}
	for _, end := range []string{event(1), ": on\n\n", "2\r\n\r\n", streamed} {
		ends[streamed[:strings.Index(streamed, end)+len(end)]] = true
	}
	for name, text := range map[string]string{
		"unframed": unframedHead + streamed,
		"length":   signedHead + eventStreamType + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(streamed)) + streamed,
		"chunked":  chunkedHead + chunk(streamed[:20]) + chunk(streamed[20:]) + endOfChunks,
	} {
		t.Run(name, func(t *testing.T) {
			length := len(strings.ReplaceAll(text, "{id}", "a"))
			for cut := range length + 1 {
				first := func(_ testing.TB, _ *scriptedWorker, c net.Conn, r *http.Request) {
					_, _ = c.Write([]byte(strings.ReplaceAll(text, "{id}", r.Header.Get("Id"))[:cut]))
				}
				got, err := forwardTo(t, false, first)
				mayEnd := cut == length || name == "unframed" && ends[got]
				if err == nil && !(mayEnd && ends[got]) || err != nil && got != "" && !ends[got] || cut == length && got != streamed {
					t.Errorf("cut at %d: got %q with error %v", cut, got, err)
				}
				resumed, err := forwardTo(t, true, first, eventsScript(3, endOfChunks))
				if events := strings.NewReplacer("\r", "", "x-version: 4\n", "", ": on\n\n", "").Replace(resumed); err != nil || events != eventsUpTo(3) && !(mayEnd && resumed == got) {
					t.Errorf("cut at %d, resumed: got %q with error %v", cut, resumed, err)
				}
			}
		})
	}
}

// forwardTo returns the body and the error of a request for a stream, whose runs follow
// the scripts in turn.
func forwardTo(t *testing.T, resumable bool, scripts ...script) (string, error) {
	t.Helper()
	s := inTurn(scripts...)
	dial, workers, wait := pipeWorkers(s, s)
	d, _ := newLoggedForwarder(t, dial, workers...)
	sink := &answerSink{}
	err := d.Forward(t.Context(), streamCall("a", resumable), sink)
	wait.Wait()
	return sink.body.String(), err
}

// TestAnswerCutWithinItsHeadReachesNobody has a worker that closes the connection after
// each byte of the head of its answer.
func TestAnswerCutWithinItsHeadReachesNobody(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: a\r\n"
	for name, rest := range map[string]string{
		"length":                    "Content-Type: text/plain\r\nContent-Length: 1234\r\n\r\n",
		"chunks":                    "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"end of the connection":     "Content-Type: text/plain\r\nConnection: close\r\n\r\n",
		"stream":                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"stream without length":     "Content-Type: text/event-stream\r\n\r\n",
		"behind an interim answer":  "Content-Length: 12\r\n\r\n",
		"header with several lines": "Content-Type: text/plain\r\nX-Long: a\r\n b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			text := head + rest
			if name == "behind an interim answer" {
				text = "HTTP/1.1 102 Processing\r\nId: a\r\n\r\n" + text
			}
			for n := range len(text) {
				for _, class := range []contract.Class{contract.Online, contract.Batch} {
					synctest.Test(t, func(t *testing.T) {
						dial, workers, wait := pipeWorkers(rawScript(text[:n]))
						d, _ := newLoggedForwarder(t, dial, workers...)
						call, sink := streamCall("a", false), &answerSink{}
						call.Class = class
						if err := d.Forward(t.Context(), call, sink); err == nil || sink.status != 0 {
							t.Errorf("after %q: status %d, error %v", text[:n], sink.status, err)
						}
						wait.Wait()
					})
				}
			}
		})
	}
}
