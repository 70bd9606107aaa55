package hostile

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisylb/daisylb/platform"
	standin "github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// document has a route for ordinary requests, one for streams and one for jobs, with the
// limits of docs/HARD-LOAD.md but for the bodies.
const document = `{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":60000},"routes":[
 {"name":"r","hostname":"h","path_prefix":"/a/","kind":"safe","timeout_ms":60000,"target_latency_ms":60000,"max_attempts":1,"service":"s"},
 {"name":"e","hostname":"h","path_prefix":"/e/","kind":"streaming","timeout_ms":60000,"target_latency_ms":60000,"max_attempts":1,"service":"s"},
 {"name":"j","hostname":"h","path_prefix":"/j/","kind":"batch","target_latency_ms":60000,"completion_target_ms":600000,"keep_s":600,"max_attempts":3,"max_count":2100000,"service":"b"}]}`

// world has what the processes of one test share: the program, the store and the upstreams.
type world struct {
	t       *testing.T
	program string
	store   string
	rows    *memory.Rows
	// gate is closed once the items of the crowds' jobs may end.
	gate     chan struct{}
	openGate func()
}

// batchSlots is the number of items that the upstream of the jobs runs at a time.
const batchSlots = 64

// newWorld builds the program and starts the store and the upstreams.
func newWorld(t *testing.T, maxBodyBytes int) *world {
	t.Helper()
	w := &world{t: t, program: filepath.Join(t.TempDir(), "daisylbd"), rows: memory.NewRows(), gate: make(chan struct{})}
	w.rows.SetMaxResponseTime(10 * time.Millisecond)
	w.openGate = sync.OnceFunc(func() { close(w.gate) })
	if out, err := exec.Command("go", "build", "-o", w.program, "github.com/daisylb/daisylb/cmd/daisylbd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v, %s", err, out)
	}
	w.store = w.serve(standin.NewRows(w.rows))
	upstream := w.serve(http.HandlerFunc(serveUpstream))
	items := w.serve(http.HandlerFunc(w.serveItem))
	w.put(platform.OperatorTable, platform.DocumentKey, fmt.Sprintf(document, maxBodyBytes))
	w.put(platform.WorkerTable, "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":1000,"state":"ready","born":1}`, upstream))
	w.put(platform.WorkerTable, "i-2", fmt.Sprintf(`{"service":"b","address":%q,"zone":"z","slots":%d,"state":"ready","born":1}`, items, batchSlots))
	return w
}

// serve serves a handler until the test ends, and returns its address.
func (w *world) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	w.t.Cleanup(func() {
		w.openGate()
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func (w *world) put(table, key, value string) { w.putIn(table, "", key, value) }

// putIn writes a row of a part.
func (w *world) putIn(table, part, key, value string) {
	w.t.Helper()
	row := storage.TableRow{RowKey: storage.RowKey{Table: table, Part: part, Key: key}, Value: []byte(value)}
	if _, err := w.rows.ApplyRows(w.t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
		w.t.Fatal(err)
	}
}

// eventInterval is short enough that a stream does not count as silent.
const eventInterval = 250 * time.Millisecond

// serveItem answers an item with one event a time until the gate is open, and then ends. The
// first event of one whose path contains "long" is long.
func (w *world) serveItem(answer http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	answer.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	answer.Header().Set("X-Server-Stamp", "signed")
	answer.Header().Set("Content-Type", "text/event-stream")
	text := "x"
	if strings.Contains(r.URL.Path, "long") {
		text = strings.Repeat(text, longEventBytes)
	}
	for n := 1; ; n++ {
		_, _ = fmt.Fprintf(answer, "id: %d\ndata: %s\n\n", n, text)
		_ = http.NewResponseController(answer).Flush()
		text = "x"
		select {
		case <-w.gate:
			return
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

const (
	// longEventBytes is just below the size up to which an event is passed on.
	longEventBytes = 900 << 10
	longEvents     = 16
)

// serveUpstream answers a request whose path contains "long" with long events, and one
// whose path contains "plain" with a long body. Any other request gets a short answer.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "signed")
	long := strings.Repeat("x", longEventBytes)
	switch {
	case strings.Contains(r.URL.Path, "long"):
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range longEvents {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, long); err != nil {
				return
			}
		}
	case strings.Contains(r.URL.Path, "plain"):
		for range longEvents {
			if _, err := io.WriteString(w, long); err != nil {
				return
			}
		}
	default:
		_, _ = io.WriteString(w, "ordinary")
	}
}
