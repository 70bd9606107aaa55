package hostile

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// wantStatusOK sends a GET request, each time on a new connection, until it is answered with
// 200 and a text that contains part.
func (p *process) wantStatusOK(url, part string) {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: checkTime}
	var seen string
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(retryInterval) {
		response, err := client.Get(url)
		if err != nil {
			seen = err.Error()
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(text), part) {
			return
		}
		seen = fmt.Sprintf("status %d, %q, %v", response.StatusCode, text, err)
	}
	p.t.Errorf("no answer of %s; last seen: %s", url, seen)
}

// checkTime is how long one of these requests may take.
const checkTime = 5 * time.Second

// wantReady waits until a readiness check is answered with 200.
func (p *process) wantReady() {
	p.t.Helper()
	p.wantStatusOK("http://"+p.readiness+"/api/readyz", "")
}

// wantEndpoints waits until an endpoint query is answered with the address for callers.
func (p *process) wantEndpoints() {
	p.t.Helper()
	p.wantStatusOK("http://"+p.directory+"/api/resolve?name=h&region=r&zone=z", p.address)
}

// crowdOfHeads returns clients that send heads of many lines, heads without end, and nothing.
func crowdOfHeads(path string) []client {
	head := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	return []client{
		sendText(head + shortLines(longHeadBytes)),
		sendText(head + sameLines(longHeadBytes)),
		repeat(head, shortLines(headBytes), endlessHeadBytes),
		repeat("", strings.Repeat("\r\n", headBytes/2), endlessHeadBytes),
		func(net.Conn) {},
	}
}

// TestCrowdAtTheDirectory guards against the end of a process by callers of the port for
// endpoint queries, which has no other protection than that of the port for requests.
func TestCrowdAtTheDirectory(t *testing.T) {
	few := smallest
	few.maxDescriptors = 600
	p := start(t, few)
	p.bringTo(p.directory, 900, crowdOfHeads("/api/resolve?name=h&region=r&zone=z")...)
	p.check()
}

// TestCrowdAtTheReadinessCheck guards against the end of a process by clients of the port for
// readiness checks.
func TestCrowdAtTheReadinessCheck(t *testing.T) {
	few := smallest
	few.maxDescriptors = 600
	p := start(t, few)
	p.bringTo(p.readiness, 900, crowdOfHeads("/api/readyz")...)
	p.check()
}
