// Package logging writes structured logs without blocking the code that logs. Lines
// go into a bounded buffer, which a separate goroutine writes to the output. Lines
// that do not fit are dropped and counted. Explain reads such logs.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxBufferedBytes limits the bytes that wait to be written.
const maxBufferedBytes = 256 << 10

// Sink is a zapcore.WriteSyncer that buffers lines and writes them in the background.
// It is safe for concurrent use.
type Sink struct {
	out io.Writer

	// mu guards pending and closed. wake is signalled when either changes.
	mu      sync.Mutex
	wake    *sync.Cond
	pending bytes.Buffer
	closed  bool
	dropped atomic.Uint64
	// reported is the number of dropped lines that the log already reports.
	reported uint64
	done     chan struct{}
}

// NewSink returns a Sink that writes to out until Close is called.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{})}
	s.wake = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// New returns a logger that writes JSON lines of at least the given level to out, and
// its sink, which must be closed. Each line has the uptime of the process.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, *Sink) {
	sink := NewSink(out)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.EpochMillisTimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	encoder.StacktraceKey = zapcore.OmitKey
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, level)
	return zap.New(&uptimeCore{core, time.Now()}), sink
}

// Write buffers a line, or drops it when the buffer is full. It never waits for the
// output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.pending.Len()+len(line) > maxBufferedBytes {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.pending.Write(line)
	s.wake.Signal()
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close makes the sink write the buffered lines and stop; Done reports when it has.
// Close does not wait, since an output that blocks would block it too. Later lines are
// dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
}

// Done returns a channel that is closed when all lines have been written after Close.
func (s *Sink) Done() <-chan struct{} { return s.done }

// run writes buffered lines until the sink is closed and the buffer is empty.
func (s *Sink) run() {
	defer close(s.done)
	var lines bytes.Buffer
	for {
		s.mu.Lock()
		for s.pending.Len() == 0 && !s.closed {
			s.wake.Wait()
		}
		if s.pending.Len() == 0 {
			s.mu.Unlock()
			return
		}
		lines, s.pending = s.pending, lines
		s.pending.Reset()
		s.mu.Unlock()
		if n := s.dropped.Load(); n > s.reported {
			fmt.Fprintf(&lines, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n)
			s.reported = n
		}
		_, _ = s.out.Write(lines.Bytes())
	}
}
