package hosted

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstreamScript is what an upstream does with a request. It travels in headers.
type upstreamScript struct {
	Kind scriptKind
	// Pause is the time before the head, and in the middle of the body.
	Pause time.Duration
}

type scriptKind string

const (
	answerWithLength   scriptKind = "length"
	answerChunked      scriptKind = "chunked"
	answerUntilClose   scriptKind = "until close"
	answerEvents       scriptKind = "events"
	answerBeforeBody   scriptKind = "before body"
	refuse             scriptKind = "refuse"
	breakBeforeHead    scriptKind = "break before head"
	breakInBody        scriptKind = "break in body"
	silentAtOnce       scriptKind = "silent at once"
	silentAfterHead    scriptKind = "silent after head"
	silentAfterOneByte scriptKind = "silent after one byte"
)

// isSound reports whether an upstream with the script answers completely.
func (s upstreamScript) isSound() bool {
	switch s.Kind {
	case answerWithLength, answerChunked, answerUntilClose, answerEvents, answerBeforeBody:
		return true
	}
	return false
}

const (
	headerScript = "X-Script"
	headerPause  = "X-Script-Pause"
	headerBody   = "X-Script-Body"
	scriptEvents = 4
)

// requestBody returns the body of n bytes of a request.
func requestBody(id string, n int) string {
	return strings.Repeat(id+" ", n/(len(id)+1)+1)[:n]
}

// answerText returns the body of the answer to a request.
func answerText(id string, kind scriptKind) string {
	if kind == answerEvents {
		var b strings.Builder
		for n := 1; n <= scriptEvents; n++ {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, id)
		}
		return b.String()
	}
	return "answer to " + id
}

// scriptedUpstream is an upstream whose answers follow the scripts in the requests.
type scriptedUpstream struct {
	listener net.Listener
	wait     sync.WaitGroup

	mu sync.Mutex
	// received holds the ids of requests whose head was received, dropped those whose
	// connection was closed before the answer was written, changed those with another body.
	received map[string]bool
	dropped  map[string]bool
	changed  map[string]bool
}

func startScriptedUpstream() (*scriptedUpstream, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &scriptedUpstream{listener: l, received: map[string]bool{}, dropped: map[string]bool{}, changed: map[string]bool{}}
	u.wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.wait.Go(func() { defer func() { _ = c.Close() }(); u.serve(c) })
		}
	})
	return u, nil
}

// close waits for all connections, which the other side must have closed.
func (u *scriptedUpstream) close() {
	_ = u.listener.Close()
	u.wait.Wait()
}

func (u *scriptedUpstream) record(set map[string]bool, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	set[id] = true
}

// has reports whether a set of u holds the id of a request.
func (u *scriptedUpstream) has(set map[string]bool, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return set[id]
}

// serve runs the script of the one request on c.
func (u *scriptedUpstream) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	u.record(u.received, id)
	pause, _ := time.ParseDuration(r.Header.Get(headerPause))
	a := &scriptedAnswer{conn: c, id: id, script: upstreamScript{Kind: scriptKind(r.Header.Get(headerScript)), Pause: pause}, closed: make(chan struct{})}
	readBody := func() {
		body, err := io.ReadAll(r.Body)
		if sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 10); err == nil && sum != r.Header.Get(headerBody) {
			u.record(u.changed, id)
		}
	}
	if a.script.Kind != answerBeforeBody {
		readBody()
		go func() {
			defer close(a.closed)
			_, _ = io.Copy(io.Discard, reader)
		}()
	}
	whole := a.run()
	if a.script.isSound() && !whole {
		u.record(u.dropped, id)
	}
	if a.script.Kind == answerBeforeBody {
		readBody()
		close(a.closed)
	}
	if a.script.Kind == answerUntilClose {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	if a.script.isSound() || a.isSilent() {
		<-a.closed
	}
}

// scriptedAnswer is the answer to one request.
type scriptedAnswer struct {
	conn   net.Conn
	id     string
	script upstreamScript
	// closed is closed when the other side has closed the connection.
	closed chan struct{}
}

func (a *scriptedAnswer) isSilent() bool {
	return a.script.Kind == silentAtOnce || a.script.Kind == silentAfterHead || a.script.Kind == silentAfterOneByte
}

// run writes the answer and reports whether the connection was open until its end.
func (a *scriptedAnswer) run() bool {
	if !a.pause() {
		return false
	}
	const head = "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: signed\r\n%s\r\n"
	begin := func(status, extra string) { fmt.Fprintf(a.conn, head, status, a.id, extra) }
	text := answerText(a.id, a.script.Kind)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(text))
	half := len(text) / 2
	switch a.script.Kind {
	case answerWithLength, answerBeforeBody:
		begin("200 OK", length)
		return a.writeParts(text[:half], text[half:])
	case answerUntilClose:
		begin("200 OK", "")
		return a.writeParts(text[:half], text[half:])
	case answerChunked:
		begin("200 OK", "Transfer-Encoding: chunked\r\n")
		return a.writeParts(chunkOf(text[:half]), chunkOf(text[half:])+chunkOf(""))
	case answerEvents:
		begin("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		return a.writeParts(chunkOf(text[:half]), chunkOf(text[half:])+chunkOf(""))
	case refuse:
		begin("503 Service Unavailable", "X-Not-Executed: 1\r\nContent-Length: 0\r\n")
	case breakInBody, silentAfterOneByte:
		begin("200 OK", length)
		_, _ = io.WriteString(a.conn, text[:1])
	case silentAfterHead:
		begin("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	case breakBeforeHead, silentAtOnce:
	}
	return true
}

func chunkOf(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// writeParts writes the parts of a body with a pause between them.
func (a *scriptedAnswer) writeParts(first, second string) bool {
	_, _ = io.WriteString(a.conn, first)
	if !a.pause() {
		return false
	}
	_, err := io.WriteString(a.conn, second)
	return err == nil
}

// pause waits and reports whether the connection is still open.
func (a *scriptedAnswer) pause() bool {
	select {
	case <-a.closed:
		return false
	case <-time.After(a.script.Pause):
		return true
	}
}
