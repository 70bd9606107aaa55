package hostile

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
)

// readersOf returns clients that ask for something of each of the jobs and read nothing of the
// answers.
func readersOf(jobs []string, path string) (readers []client) {
	for _, id := range jobs {
		readers = append(readers, func(conn net.Conn) {
			sendText("GET " + fmt.Sprintf(path, id) + " HTTP/1.1\r\nHost: h\r\n\r\n")(conn)
		})
	}
	return readers
}

// TestManyReadersOfResults guards against the end of a process by very many callers that ask for
// long results at the same time.
func TestManyReadersOfResults(t *testing.T) {
	p := start(t, smallest)
	p.world.openGate()
	accepted := submitAll(60, strings.ReplaceAll(jobOf(1, 20, ""), "/j/i", "/j/long"), p)
	for _, id := range accepted {
		p.wantComplete(id, 1)
	}
	p.bring(300, readersOf(accepted, "/api/lots/%s")...)
	p.check()
	p.wantOrdinaryJob()
}

// TestManyReadersOfBodies guards against the end of a process by very many callers that ask for
// the bodies of items at the same time.
func TestManyReadersOfBodies(t *testing.T) {
	p := start(t, smallest)
	accepted := submitAll(60, jobOf(1, jobBytes*3/4, ""), p)
	p.bring(300, readersOf(accepted, "/api/items/%s?id=0")...)
	p.check()
	p.world.openGate()
	p.wantOrdinaryJob()
	for _, id := range accepted {
		p.wantComplete(id, 1)
	}
}

// TestAllCrowdsTogether guards against bounds that hold for each crowd and not for all at once.
func TestAllCrowdsTogether(t *testing.T) {
	p := start(t, smallest)
	long := submitAll(20, strings.ReplaceAll(jobOf(3, 20, ""), "/j/i", "/j/long"), p)
	many := submitAll(40, jobOf(maxItems, 20, ""), p)
	large := submitAll(40, jobOf(1, jobBytes*3/4, ""), p)
	size := smallest.maxBodyBytes
	short := sendText(post("/a/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size-1))
	kinds := append(readersOf(large, "/api/items/%s?id=0"), short, sendText(post("/a/x")+shortLines(headBytes)),
		sendText(post("/e/long")+"X-Request-Id: slow\r\nContent-Length: 0\r\n\r\n"))
	var group sync.WaitGroup
	group.Go(func() { p.bringTo(p.directory, 200, crowdOfHeads("/api/resolve?name=h&region=r&zone=z")...) })
	group.Go(func() { p.bringTo(p.readiness, 200, crowdOfHeads("/api/readyz")...) })
	p.bring(600, kinds...)
	group.Wait()
	p.check()
	p.submitOrdinary("ordinary")
	p.world.openGate()
	p.wantComplete("ordinary", ordinaryItems)
	for id, items := range map[string]int{long[0]: 3, many[0]: maxItems, large[0]: 1} {
		p.wantComplete(id, items)
	}
	p.check()
}
