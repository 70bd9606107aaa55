package hosted

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// callerEnd is how a caller leaves after it has sent its last request.
type callerEnd string

const (
	// endAfterAnswers closes the connection once all answers have been read.
	endAfterAnswers callerEnd = "after the answers"
	// endHalfClosed closes the sending side and reads all answers.
	endHalfClosed callerEnd = "half-closed"
	// endLeaves closes the connection without waiting for the answers.
	endLeaves callerEnd = "leaves"
)

// callerScript is what a caller does on its one connection.
type callerScript struct {
	Requests []requestScript
	End      callerEnd
	// LeavesAfter is the time from the last sent byte until a caller leaves.
	LeavesAfter time.Duration
}

// requestScript is one request of a caller.
type requestScript struct {
	// Pipelined requests are sent before the answer of the request before has been read,
	// together with its end.
	Pipelined bool
	// Idle is the time from the answer before, or the connect, to the first byte.
	Idle time.Duration
	// Path is the path of the route.
	Path string
	// HTTP10 requests ask for a kept connection.
	HTTP10    bool
	Chunked   bool
	BodyBytes int
	// ExpectContinue makes the caller wait for the interim answer before the body.
	ExpectContinue bool
	// Parts are the numbers of bytes that are sent before each pause.
	Parts []int
	Pause time.Duration
	// Timeout is the deadline that the caller sends.
	Timeout  time.Duration
	Upstream upstreamScript
}

// head returns the request line and the headers.
func (r requestScript) head(id string) string {
	var b strings.Builder
	proto, body := "1.1", requestBody(id, r.BodyBytes)
	if r.HTTP10 {
		proto = "1.0"
	}
	fmt.Fprintf(&b, "POST %sx HTTP/%s\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.Path, proto, id, r.Timeout.Milliseconds())
	fmt.Fprintf(&b, "%s: %s\r\n%s: %v\r\n%s: %d\r\n", headerScript, r.Upstream.Kind, headerPause, r.Upstream.Pause, headerBody, crc32.ChecksumIEEE([]byte(body)))
	if r.HTTP10 {
		b.WriteString("Connection: keep-alive\r\n")
	}
	if r.Chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	if r.ExpectContinue {
		b.WriteString("Expect: 100-continue\r\n")
	}
	return b.String() + "\r\n"
}

// body returns the body in its transfer coding.
func (r requestScript) body(id string) string {
	body := requestBody(id, r.BodyBytes)
	if !r.Chunked {
		return body
	}
	half := len(body) / 2
	text := ""
	for _, part := range []string{body[:half], body[half:]} {
		if part != "" {
			text += chunkOf(part)
		}
	}
	return text + chunkOf("")
}

// exchange is what a caller saw of one request.
type exchange struct {
	id     string
	script requestScript
	// firstByteAt is just before its first byte was sent, zero if none was.
	firstByteAt time.Time
	// status is 0 until a head was received. whole is set if the answer is complete, closes
	// if it ends the connection.
	status int
	text   string
	whole  bool
	closes bool
	err    error
	// answered is closed once the answer has ended, mayContinue once an interim answer or
	// the end has come.
	answered    chan struct{}
	mayContinue chan struct{}
	// left is set if the caller had left before the answer ended, halfClosed if it had
	// closed its sending side.
	left       bool
	halfClosed bool
}

// scriptedCaller is a caller with one connection.
type scriptedCaller struct {
	script callerScript
	conn   net.Conn
	// connectedAt is before the connection was made.
	connectedAt time.Time
	exchanges   []*exchange
	// held is the end of a request that is sent together with the next one.
	held string
	// readDone is closed once no more answers are read.
	readDone chan struct{}
}

func dialScriptedCaller(name, address string, script callerScript) (*scriptedCaller, error) {
	connectedAt := time.Now()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &scriptedCaller{script: script, conn: conn, connectedAt: connectedAt, readDone: make(chan struct{})}
	for n, r := range script.Requests {
		c.exchanges = append(c.exchanges, &exchange{id: fmt.Sprintf("%s-%d", name, n), script: r, answered: make(chan struct{}), mayContinue: make(chan struct{})})
	}
	return c, nil
}

// run plays the script.
func (c *scriptedCaller) run() {
	defer func() { _ = c.conn.Close() }()
	go c.readAnswers()
	for n, e := range c.exchanges {
		if n > 0 && !e.script.Pipelined {
			<-c.exchanges[n-1].answered
			if !c.exchanges[n-1].whole || c.exchanges[n-1].closes {
				break
			}
		}
		holdsEnd := n+1 < len(c.exchanges) && c.exchanges[n+1].script.Pipelined
		if !c.send(e, holdsEnd) {
			break
		}
	}
	switch c.script.End {
	case endHalfClosed:
		c.markUnanswered(func(e *exchange) { e.halfClosed = true })
		_ = c.conn.(*net.TCPConn).CloseWrite()
	case endLeaves:
		select {
		case <-time.After(c.script.LeavesAfter):
		case <-c.readDone:
		}
		c.leave()
	case endAfterAnswers:
	}
	<-c.readDone
}

// leave closes the connection without waiting for the answers.
func (c *scriptedCaller) leave() {
	c.markUnanswered(func(e *exchange) { e.left = true })
	_ = c.conn.Close()
}

// markUnanswered calls mark for each request whose answer has not ended.
func (c *scriptedCaller) markUnanswered(mark func(*exchange)) {
	for _, e := range c.exchanges {
		select {
		case <-e.answered:
		default:
			mark(e)
		}
	}
}

// send sends a request in its parts and reports whether that succeeded. With holdsEnd its
// end is sent with the beginning of the next request.
func (c *scriptedCaller) send(e *exchange, holdsEnd bool) bool {
	if !e.script.Pipelined {
		time.Sleep(e.script.Idle)
	}
	head, body := e.script.head(e.id), e.script.body(e.id)
	e.firstByteAt = time.Now()
	if e.script.ExpectContinue {
		if !c.sendParts(head, e.script.Parts, e.script.Pause, false) {
			return false
		}
		<-e.mayContinue
		return c.sendParts(body, nil, 0, holdsEnd)
	}
	return c.sendParts(head+body, e.script.Parts, e.script.Pause, holdsEnd)
}

// sendParts sends a text with a pause after each of the numbers of bytes.
func (c *scriptedCaller) sendParts(text string, parts []int, pause time.Duration, holdsEnd bool) bool {
	for _, n := range parts {
		n = min(n, len(text))
		if !c.write(text[:n]) {
			return false
		}
		text = text[n:]
		time.Sleep(pause)
	}
	if holdsEnd {
		c.held += text
		return true
	}
	return c.write(text)
}

func (c *scriptedCaller) write(text string) bool {
	_, err := io.WriteString(c.conn, c.held+text)
	c.held = ""
	return err == nil
}

// readAnswers reads the answers to all requests in their order.
func (c *scriptedCaller) readAnswers() {
	defer close(c.readDone)
	reader := bufio.NewReader(c.conn)
	ended := false
	for _, e := range c.exchanges {
		if !ended {
			e.read(reader)
			ended = !e.whole || e.closes
		}
		select {
		case <-e.mayContinue:
		default:
			close(e.mayContinue)
		}
		close(e.answered)
	}
}

// read reads the answer of one request.
func (e *exchange) read(reader *bufio.Reader) {
	response, err := http.ReadResponse(reader, nil)
	for err == nil && response.StatusCode == http.StatusContinue {
		close(e.mayContinue)
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		e.err = err
		return
	}
	e.status, e.closes = response.StatusCode, response.Close
	text, err := io.ReadAll(response.Body)
	e.text, e.err, e.whole = string(text), err, err == nil
}
