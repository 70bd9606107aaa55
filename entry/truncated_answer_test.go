package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/entry"
	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/upstream"
)

// uploadBytes is more than the buffers of two sockets hold, so that an upstream that does
// not read a body of this size has it written in part only.
const uploadBytes = 12 << 20

// answerEnd is how an upstream ends a connection whose request it has not read.
type answerEnd int

const (
	// reset discards what is not sent and resets the connection.
	reset answerEnd = iota
	// halfClosed closes the sending side, and the connection once the other side has.
	halfClosed
)

// startEarlyUpstream starts an upstream that reads only the head of a request, writes text
// with {id} replaced by the request's id, and ends the connection. It returns its address.
func startEarlyUpstream(t *testing.T, text string, end answerEnd) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wait.Go(func() { answerEarly(c.(*net.TCPConn), text, end) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); wait.Wait() })
	return l.Addr().String()
}

func answerEarly(c *net.TCPConn, text string, end answerEnd) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "{id}", r.Header.Get("X-Request-Id")))
	if end == reset {
		// The part is on its way before the reset, which would discard it otherwise.
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// startEntry starts the listener for callers with a dispatcher whose only upstream is at
// address. It returns its URL.
func startEntry(t *testing.T, address string) string {
	t.Helper()
	document := &contract.Document{
		Services:    map[string]contract.Service{"s": {Kind: contract.KindRouted}},
		DataCentres: map[string]contract.DataCentre{"a": {}},
		Upstreams:   map[string]contract.Upstream{"u": {Address: address, DataCentre: "a", Services: []string{"s"}, Slots: 8}},
	}
	dispatcher, err := upstream.New(upstream.Options{Document: func() *contract.Document { return document }, DataCentre: "a", Seed: 1, Wire: platform.WorkerWire{}, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = dispatcher.Run(ctx) }()
	split := []contract.WeightedService{{Service: "s", Weight: 1}}
	routing := &contract.Routing{
		Limits: contract.RequestLimits{MaxBodyBytes: 2 * uploadBytes},
		Routes: []contract.Route{
			{Name: "plain", Host: "h", Prefix: "/plain/", Kind: contract.RouteUnsafe, MaxAttempts: 1, Timeout: 10 * time.Second, Split: split},
			{Name: "events", Host: "h", Prefix: "/events/", Kind: contract.RouteStream, MaxAttempts: 1, Timeout: 10 * time.Second, Split: split},
		},
	}
	h := entry.NewHandler(entry.Options{Routing: func() *contract.Routing { return routing }, Forwarder: dispatcher, Log: zap.NewNop()})
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.Close(); cancel(); <-ended })
	return s.URL
}

// upload sends a request with a body and returns the status and the body of the answer, or
// an error if the answer is not complete.
func upload(t *testing.T, url string, body []byte) (int, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Request-Id", "r")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// signedLines are the header lines of a worker's answer.
const signedLines = "X-Request-Id: {id}\r\nX-Server-Stamp: signed\r\n"

// unframedHeads are heads of answers without a length and chunks.
var unframedHeads = map[string]string{
	"HTTP/1.1":                    "HTTP/1.1 200 OK\r\n" + signedLines,
	"HTTP/1.1, Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n" + signedLines,
	"HTTP/1.0":                    "HTTP/1.0 200 OK\r\n" + signedLines,
}

// answerKinds has the header line and a part of an answer by the path of its route.
var answerKinds = map[string]struct{ header, part string }{
	"/plain/":  {"", "the first part of the answer"},
	"/events/": {"Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
}

// TestAnswerResetDuringTheUploadIsNotComplete guards against an answer that the upstream
// broke off by a reset, while the body of its request was still being written, and that
// the caller takes for a complete one.
func TestAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	body := make([]byte, uploadBytes)
	for version, head := range unframedHeads {
		for path, kind := range answerKinds {
			t.Run(version+" "+path, func(t *testing.T) {
				url := startEntry(t, startEarlyUpstream(t, head+kind.header+"\r\n"+kind.part, reset))
				complete := 0
				const rounds = 10
				for range rounds {
					if status, _, err := upload(t, url+path, body); err == nil && status == http.StatusOK {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d parts were passed on as complete answers, want none", complete, rounds)
				}
			})
		}
	}
}

// TestAnswerThatEndsDuringTheUploadIsComplete guards against sound answers of an upstream
// that does not read the body of its request being taken for cut ones.
func TestAnswerThatEndsDuringTheUploadIsComplete(t *testing.T) {
	body := make([]byte, uploadBytes)
	for path, kind := range answerKinds {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(kind.part))
		for name, c := range map[string]struct {
			lines, text string
			end         answerEnd
		}{
			"length, then half-closed": {length, kind.part, halfClosed},
			"length, then reset":       {length, kind.part, reset},
			"chunks, then half-closed": {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(kind.part), kind.part), halfClosed},
			"chunks, then reset":       {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(kind.part), kind.part), reset},
			"half-closed":              {"", kind.part, halfClosed},
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				head := "HTTP/1.1 200 OK\r\n" + signedLines + kind.header + c.lines + "\r\n"
				url := startEntry(t, startEarlyUpstream(t, head+c.text, c.end))
				for range 3 {
					status, text, err := upload(t, url+path, body)
					if err != nil || status != http.StatusOK || text != kind.part {
						t.Errorf("got status %d, %q and %v, want the whole answer", status, text, err)
					}
				}
			})
		}
	}
}

// TestInvalidHeadIsNotPassedOn guards against an answer without a valid status, or without a
// known end, that the caller takes for one.
func TestInvalidHeadIsNotPassedOn(t *testing.T) {
	const rest = "Content-Length: 2\r\n" + signedLines + "\r\nok"
	for name, text := range map[string]string{
		"000":                       "HTTP/1.1 000 None\r\n" + rest,
		"000 without a length":      "HTTP/1.1 000 None\r\n" + signedLines + "\r\nok",
		"099":                       "HTTP/1.1 099 None\r\n" + rest,
		"600":                       "HTTP/1.1 600 None\r\n" + rest,
		"999":                       "HTTP/1.1 999 None\r\n" + rest,
		"two digits":                "HTTP/1.1 20 OK\r\n" + rest,
		"four digits":               "HTTP/1.1 2000 OK\r\n" + rest,
		"sign":                      "HTTP/1.1 +20 OK\r\n" + rest,
		"negative":                  "HTTP/1.1 -20 OK\r\n" + rest,
		"letters":                   "HTTP/1.1 2x0 OK\r\n" + rest,
		"no status":                 "HTTP/1.1 OK\r\n" + rest,
		"no version":                "200 OK\r\n" + rest,
		"version 0.9":               "HTTP/0.9 200 OK\r\n" + rest,
		"version 2.0":               "HTTP/2.0 200 OK\r\n" + rest,
		"version in small letters":  "http/1.1 200 OK\r\n" + rest,
		"other protocol":            "ICY 200 OK\r\n" + rest,
		"tab for the space":         "HTTP/1.1\t200 OK\r\n" + rest,
		"interim alone":             "HTTP/1.1 100 Continue\r\n\r\n",
		"interim without end":       strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000),
		"interim, then 000":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n" + rest,
		"two spaces before interim": "HTTP/1.1  100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"switched protocols":        "HTTP/1.1 101 Switching Protocols\r\n" + signedLines + "\r\nok",
		"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n" + signedLines + "\r\n2\r\nok\r\n",
		"chunks and a length":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"empty":                     "",
		"empty lines":               "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			url := startEntry(t, startEarlyUpstream(t, text, halfClosed))
			for path := range answerKinds {
				status, body, err := upload(t, url+path, []byte("q"))
				if err != nil || status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
					t.Errorf("%s: got status %d, %.80q and %v, want 502 or 504", path, status, body, err)
				}
			}
		})
	}
}
