// Package logging writes structured logs without ever holding up the code that
// logs: lines go into a buffer of fixed size that a goroutine of its own writes
// out. Lines that do not fit are dropped and counted.
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

// maxBufferedBytes bounds the bytes that wait to be written.
const maxBufferedBytes = 256 << 10

// Sink is a zapcore.WriteSyncer. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu       sync.Mutex
	wake     *sync.Cond
	pending  bytes.Buffer
	closed   bool
	dropped  atomic.Uint64
	reported uint64
	done     chan struct{}
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{})}
	s.wake = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// New returns a logger of JSON lines with the level and a sink.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, *Sink) {
	sink := NewSink(out)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.EpochMillisTimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	encoder.StacktraceKey = zapcore.OmitKey
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, level)
	return zap.New(&uptimeCore{core, time.Now()}), sink
}

// Write keeps a line, or drops it when the buffer is full. It never blocks on
// the output.
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

// Sync implements zapcore.WriteSyncer; it does not wait.
func (s *Sink) Sync() error { return nil }

// Dropped counts the lines that did not fit.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits and ends the sink. An output that nobody reads is
// left behind.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
}

// Done is closed when all lines are written after Close.
func (s *Sink) Done() <-chan struct{} { return s.done }

func (s *Sink) run() {
	defer close(s.done)
	var batch bytes.Buffer
	for {
		s.mu.Lock()
		for s.pending.Len() == 0 && !s.closed {
			s.wake.Wait()
		}
		if s.pending.Len() == 0 {
			s.mu.Unlock()
			return
		}
		batch, s.pending = s.pending, batch
		s.pending.Reset()
		s.mu.Unlock()
		if n := s.dropped.Load(); n > s.reported {
			fmt.Fprintf(&batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n)
			s.reported = n
		}
		_, _ = s.out.Write(batch.Bytes())
	}
}
