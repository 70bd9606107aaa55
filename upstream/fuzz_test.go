package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead compares receive with http.ReadResponse: a response whose head is within the
// limits must be read the same by both, byte for byte.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\nA: b\n\n",
		"HTTP/1.1  102 Odd\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 099 Odd\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\r\n\r\n",
		"HTTP/1.1 204\r\n\r\n\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		limiter := newHeadLimiter(strings.NewReader(text))
		c := &connection{reader: bufio.NewReader(limiter), limiter: limiter}
		got, err := c.receive(http.MethodGet)
		if err != nil {
			return
		}
		body, bodyErr := io.ReadAll(io.LimitReader(got.Body, int64(len(text))))
		plain := bufio.NewReader(strings.NewReader(text))
		for {
			want, err := http.ReadResponse(plain, &http.Request{Method: http.MethodGet})
			if err != nil {
				t.Fatalf("net/http returns an error: %v", err)
			}
			if want.StatusCode < http.StatusOK {
				continue
			}
			wantBody, wantErr := io.ReadAll(io.LimitReader(want.Body, int64(len(text))))
			if want.StatusCode != got.StatusCode || len(want.Header) != len(got.Header) || string(wantBody) != string(body) || (wantErr == nil) != (bodyErr == nil) {
				t.Fatalf("got %d %v %q %v, want %d %v %q %v", got.StatusCode, got.Header, body, bodyErr, want.StatusCode, want.Header, wantBody, wantErr)
			}
			return
		}
	})
}

// FuzzRawEvents checks that the events of a stream are its bytes, in order. Only an
// event that does not end may be missing, and the reader must then return an error.
func FuzzRawEvents(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
		"\n\n\nid: 1\n\n\n",
		": comment\n\n\r\n\r\ndata: x\r\n\r\n",
		"id: 1\ndata: cut",
		"\n",
		"x-version: 3\nid: 9\ndata: x\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		events := newRawEventReader(strings.NewReader(text))
		var got strings.Builder
		for {
			e, err := events.next()
			if errors.Is(err, io.EOF) {
				if got.String() != text {
					t.Fatalf("got io.EOF after %q of %q", got.String(), text)
				}
				return
			}
			if err != nil {
				if !strings.HasPrefix(text, got.String()) {
					t.Fatalf("%q is not a prefix of %q", got.String(), text)
				}
				return
			}
			if len(e.bytes) == 0 {
				t.Fatal("got an event without bytes")
			}
			got.Write(e.bytes)
		}
	})
}
