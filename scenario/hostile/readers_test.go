package hostile

import (
	"fmt"
	"net"
	"strings"
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
