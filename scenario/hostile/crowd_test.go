package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// The limits of the smallest instance of docs/HARD-LOAD.md. maxBodyBytes is lowered, so that
// the bodies of a small crowd exceed the memory.
var smallest = limits{memoryMB: 144, maxDescriptors: 3075, maxBodyBytes: 1 << 20}

const (
	// headBytes is just below the limit of the document.
	headBytes = 16000
	// longHeadBytes is over the limit of the document and below that of net/http.
	longHeadBytes = 60 << 10
	// endlessHeadBytes is far over all limits of a head.
	endlessHeadBytes = 8 << 20
	// sendTime bounds the sending of a client, which a process that stops reading blocks.
	sendTime = 15 * time.Second
	// settleTime lets the process read what the clients have sent.
	settleTime     = 3 * time.Second
	sampleInterval = 20 * time.Millisecond
)

// client sends a part of a request. The connection stays open until the test ends.
type client func(conn net.Conn)

// bring lets n clients connect at the same time and send, and samples the process until
// they have sent all or were closed, and for settleTime after that. The client with number i
// is kinds[i%len(kinds)].
func (p *process) bring(n int, kinds ...client) {
	p.t.Helper()
	p.bringTo(p.address, n, kinds...)
}

// bringTo is like bring for the listener at an address.
func (p *process) bringTo(address string, n int, kinds ...client) {
	p.t.Helper()
	var group sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	p.t.Cleanup(func() {
		for _, c := range open {
			_ = c.Close()
		}
	})
	for i := range n {
		group.Go(func() {
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			kinds[i%len(kinds)](conn)
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	var settled <-chan time.Time
	for ticker := time.Tick(sampleInterval); ; {
		select {
		case <-done:
			done, settled = nil, time.After(settleTime)
		case <-settled:
			return
		case <-ticker:
			p.sample()
		}
	}
}

// check checks the process beside the open crowd.
func (p *process) check() {
	p.t.Helper()
	p.wantOrdinaryAnswer()
	p.wantReady()
	p.wantEndpoints()
	p.sample()
	p.wantWithinLimits()
}

// shortLines returns lines of a head of about size bytes, with names that all differ.
func shortLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%s:\r\n", name(n))
	}
	return b.String()
}

// name returns the nth name of three characters.
func name(n int) string {
	const letters = "bcdfghjklmnpqrstvwxyz0123456789"
	return string([]byte{letters[n%31], letters[n/31%31], letters[n/961%31]})
}

// sameLines returns lines of a head of about size bytes, with the same name.
func sameLines(size int) string { return strings.Repeat("a:\r\n", size/4) }

func post(path string) string { return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" }

func sendText(text string) client {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// repeat sends text again and again, total bytes in all, after start.
func repeat(start, text string, total int) client {
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, start)
		for sent := 0; err == nil && sent < total; sent += len(text) {
			_, err = io.WriteString(conn, text)
		}
	}
}

// TestHeadsOfManyShortLines guards against the end of a process by heads of legal size,
// whose lines cost many times their size once they are parsed.
func TestHeadsOfManyShortLines(t *testing.T) {
	p := start(t, smallest)
	different, same := shortLines(headBytes), sameLines(headBytes)
	p.bring(900,
		sendText(post("/a/x")+different),
		sendText(post("/a/x")+same),
		sendText(post("/a/x")+different+"Content-Length: 10\r\n\r\n"),
		sendText(post("/e/long")+different+"X-Request-Id: slow\r\nContent-Length: 0\r\n\r\n"),
	)
	p.check()
}

// TestHeadsOverTheLimit guards against the end of a process by heads that exceed the limit
// or never end, and by empty lines without end before a request.
func TestHeadsOverTheLimit(t *testing.T) {
	p := start(t, smallest)
	p.bring(400,
		sendText(post("/a/x")+shortLines(longHeadBytes)),
		sendText(post("/a/x")+sameLines(longHeadBytes)),
		repeat(post("/a/x"), shortLines(headBytes), endlessHeadBytes),
		repeat("POST /", strings.Repeat("x", headBytes), endlessHeadBytes),
		repeat("", strings.Repeat("\r\n", headBytes/2), endlessHeadBytes),
		repeat(post("/a/x")+"Content-Length: 0\r\n\r\n", strings.Repeat("\r\n", headBytes/2), endlessHeadBytes),
	)
	p.check()
}

// TestBodiesOfLegalSize guards against the end of a process by many bodies of legal size,
// most of which stop just short of their end.
func TestBodiesOfLegalSize(t *testing.T) {
	p := start(t, smallest)
	size := smallest.maxBodyBytes
	body := strings.Repeat("x", size-1)
	chunk := fmt.Sprintf("1000\r\n%s\r\n", body[:0x1000])
	chunks := strings.Repeat(chunk, size/0x1000-1)
	short := sendText(post("/a/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + body)
	shortChunks := sendText(post("/a/x") + "Transfer-Encoding: chunked\r\n\r\n" + chunks)
	whole := sendText(post("/a/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", size-1) + body)
	p.bring(240, short, shortChunks, short, shortChunks, whole)
	p.check()
}

// TestSlowReaders guards against the end of a process by callers that don't read long
// answers.
func TestSlowReaders(t *testing.T) {
	p := start(t, smallest)
	p.bring(240,
		sendText(post("/e/long")+"X-Request-Id: slow\r\nContent-Length: 0\r\n\r\n"),
		sendText(post("/a/plain")+"X-Request-Id: slow\r\nContent-Length: 0\r\n\r\n"),
	)
	p.check()
}

// TestManyConnections guards against the use of all descriptors by connections that send
// nothing, a part of a head, or a request now and then.
func TestManyConnections(t *testing.T) {
	few := smallest
	few.maxDescriptors = 400
	p := start(t, few)
	p.bring(900,
		func(net.Conn) {},
		sendText("POST"),
		sendText(post("/a/x")+"X-Request-Id: r\r\nContent-Length: 0\r\n\r\n"),
	)
	p.check()
}
