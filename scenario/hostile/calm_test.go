package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// headPieces is the number of pieces in which a slow head is sent, one in pieceInterval. All
// of them take less than the header timeout of the document, 3 s.
const (
	headPieces    = 10
	pieceInterval = 200 * time.Millisecond
)

// inPieces sends a text in pieces.
func inPieces(text string) client {
	return func(conn net.Conn) {
		size := len(text)/headPieces + 1
		for ; len(text) > 0; time.Sleep(pieceInterval) {
			n := min(size, len(text))
			_, _ = io.WriteString(conn, text[:n])
			text = text[n:]
		}
	}
}

// TestSingleRequestsInsideTheLimits guards against limits that a request inside the limits of
// the document reaches on the smallest instance in calm.
func TestSingleRequestsInsideTheLimits(t *testing.T) {
	legal := smallest
	legal.maxBodyBytes = 4 << 20
	p := start(t, legal)
	head := post("/a/x") + "X-Request-Id: r\r\n"
	body := strings.Repeat("x", legal.maxBodyBytes)
	chunks := strings.Repeat(fmt.Sprintf("1000\r\n%s\r\n", body[:0x1000]), legal.maxBodyBytes/0x1000) + "0\r\n\r\n"
	empty := "Content-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name string
		send client
	}{
		{"head of different short lines", sendText(head + shortLines(headBytes-200) + empty)},
		{"head of equal short lines", sendText(head + sameLines(headBytes-200) + empty)},
		{"head of one long line", sendText(head + "L: " + strings.Repeat("x", headBytes-200) + "\r\n" + empty)},
		{"slow head", inPieces(head + shortLines(headBytes-200) + empty)},
		{"body with a length", sendText(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body)},
		{"body in chunks", sendText(head + "Transfer-Encoding: chunked\r\n\r\n" + chunks)},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			conn, err := net.Dial("tcp4", p.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			c.send(conn)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			text, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK || string(text) != "ordinary" {
				t.Errorf("answered with status %d, %q, %v, want 200", response.StatusCode, text, err)
			}
		})
	}
	p.wantWithinLimits()
}
