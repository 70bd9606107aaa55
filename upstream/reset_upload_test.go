package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// uploadBytes is more than the buffers of two sockets hold.
const uploadBytes = 12 << 20

// resetUnread returns a script that writes a text without reading the body of the request,
// and resets the connection when the text is on its way.
func resetUnread(text string) script {
	return func(t testing.TB, w *scriptedWorker, c net.Conn, r *http.Request) {
		rawScript(text)(t, w, c, r)
		time.Sleep(5 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// TestStreamResetDuringTheUploadIsResumed guards against items and streams that end with
// the events before a reset, because the write of the body received the reset.
func TestStreamResetDuringTheUploadIsResumed(t *testing.T) {
	for _, class := range []contract.Class{contract.Online, contract.Batch} {
		t.Run(class.String(), func(t *testing.T) {
			for range 10 {
				s := inTurn(resetUnread(unframedHead+eventsUpTo(2)), eventsScript(6, endOfChunks))
				call, sink := streamCall("a", true), &answerSink{}
				call.Class, call.Body = class, make([]byte, uploadBytes)
				if err := newForwarder(t, startWorker(t, s), startWorker(t, s)).Forward(t.Context(), call, sink); err != nil {
					t.Error(err)
				}
				if d := cmp.Diff(eventsUpTo(6), sink.body.String()); d != "" {
					t.Fatal(d)
				}
			}
		})
	}
}

// TestPlainCallResetDuringTheUploadIsNotComplete is the same for the calls of plain services,
// whose transport is that of net/http.
func TestPlainCallResetDuringTheUploadIsNotComplete(t *testing.T) {
	d := newPlainDispatcher(t, startWorker(t, resetUnread("HTTP/1.1 200 OK\r\n\r\nthe first part of the answer")))
	for range 10 {
		answer, err := d.Call(t.Context(), &contract.PlainCall{Service: "s", Method: http.MethodPost, Path: "/", RequestID: "r", Body: make([]byte, uploadBytes)})
		if code.Of(err) != code.OutcomeUnknown {
			t.Errorf("got %+v and %v, want OutcomeUnknown", answer, err)
		}
	}
}

// TestPlainCallWithoutAStatusFails guards against an answer without a valid status that the
// caller of a plain service gets.
func TestPlainCallWithoutAStatusFails(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/2.0 200 OK"} {
		d := newPlainDispatcher(t, startWorker(t, rawScript(line+"\r\nContent-Length: 2\r\n\r\nok")))
		answer, err := d.Call(t.Context(), &contract.PlainCall{Service: "s", Method: http.MethodPost, Path: "/", RequestID: "r"})
		if code.Of(err) != code.OutcomeUnknown {
			t.Errorf("%s: got %+v and %v, want OutcomeUnknown", line, answer, err)
		}
	}
}

// newPlainDispatcher returns a Dispatcher of a plain service at w.
func newPlainDispatcher(t *testing.T, w *scriptedWorker) *Dispatcher {
	t.Helper()
	document := testDocument()
	document.Services = map[string]contract.Service{"s": {Kind: contract.KindPlain}}
	document.Upstreams["w"] = contract.Upstream{Address: w.address, DataCentre: "a", Services: []string{"s"}, Slots: 4}
	d, err := New(Options{Document: func() *contract.Document { return document }, DataCentre: "a", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return d
}
