package logging_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/logging"
)

// blockedWriter blocks every Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	log, sink := logging.New(out, zap.InfoLevel)
	text := strings.Repeat("x", 1000)
	const lines = 5000
	for range lines {
		log.Info("line", zap.String("text", text))
	}
	if sink.Dropped() < lines*8/10 {
		t.Errorf("%d of %d lines dropped; the buffer held more than its limit", sink.Dropped(), lines)
	}
	close(out.unblock)
	sink.Close()
	<-sink.Done()
	out.mu.Lock()
	defer out.mu.Unlock()
	written := 0
	reported := false
	for line := range strings.Lines(out.written.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("a line is incomplete: %.80q", line)
		}
		written++
		reported = reported || fields["msg"] == "log lines dropped"
	}
	if !reported || uint64(written-1)+sink.Dropped() < lines {
		t.Errorf("%d lines written, %d dropped, drops reported: %v", written, sink.Dropped(), reported)
	}
}
