// Package engine is a stand-in for a model engine, for tests, benchmarks and the
// development server. It serves the OpenAI-compatible completion protocol with
// continuous batching and a prefix cache of limited size, reports its load with a
// delay and injects faults on request. It runs no model: the tokens of an answer are
// a pure function of the messages, so that tests can verify every answer and a
// stream can continue on another engine.
package engine

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options configure an Engine. The zero value of a field takes its default.
type Options struct {
	// Model is the name that requests must have in their model field; empty
	// accepts every name.
	Model string
	// MaxRunning is the number of sequences in the running batch; default 16.
	MaxRunning int
	// StepBase is the fixed part of the duration of a decoding step; default 2 ms.
	StepBase time.Duration
	// StepPerRunning is added to a step for each running sequence; default 50 µs.
	StepPerRunning time.Duration
	// PrefillPerToken is added to a step for each uncached prompt token that the
	// step admits; default 5 µs.
	PrefillPerToken time.Duration
	// CacheTokens is the capacity of the prefix cache in prompt tokens; default
	// 100,000.
	CacheTokens int
	// ReportLag is the interval between load samples and the minimum age of a
	// published load report; default 500 ms.
	ReportLag time.Duration
	// AnswerTokens is the length of answers that are not limited by the request;
	// default 32.
	AnswerTokens int
}

const (
	defaultMaxRunning      = 16
	defaultStepBase        = 2 * time.Millisecond
	defaultStepPerRunning  = 50 * time.Microsecond
	defaultPrefillPerToken = 5 * time.Microsecond
	defaultCacheTokens     = 100_000
	defaultReportLag       = 500 * time.Millisecond
	defaultAnswerTokens    = 32
)

func (o *Options) setDefaults() {
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.StepBase, defaultStepBase)
	setDefault(&o.StepPerRunning, defaultStepPerRunning)
	setDefault(&o.PrefillPerToken, defaultPrefillPerToken)
	setDefault(&o.CacheTokens, defaultCacheTokens)
	setDefault(&o.ReportLag, defaultReportLag)
	setDefault(&o.AnswerTokens, defaultAnswerTokens)
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Counts are totals since the start of the engine.
type Counts struct {
	// Requests is the number of requests that passed validation.
	Requests int64
	// Resumed is the number of requests that continued a partial answer.
	Resumed int64
	// Cancelled is the number of sequences that ended before their last token:
	// the caller disconnected, a fault ended the stream or the engine was closed.
	Cancelled int64
	// Tokens is the number of generated tokens.
	Tokens int64
	// CachedPromptTokens is the number of prompt tokens found in the prefix cache.
	CachedPromptTokens int64
}

// Engine is a stand-in engine. It implements http.Handler and is safe for
// concurrent use. It must be closed after use.
type Engine struct {
	options Options
	mux     *http.ServeMux
	faults  atomic.Pointer[Faults]
	cache   *prefixCache
	reports loadReports

	// mu guards the waiting queue and the running batch.
	mu      sync.Mutex
	waiting []*sequence
	running []*sequence

	requests, resumed, cancelled, tokens, cachedTokens atomic.Int64

	// wake has a value when a sequence was submitted, closed is closed by Close.
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	tasks     sync.WaitGroup
}

// New starts an engine. It returns an error when an option is out of range.
func New(o Options) (*Engine, error) {
	o.setDefaults()
	if o.MaxRunning < 1 || o.StepBase < 0 || o.ReportLag < 0 {
		return nil, errors.New("engine: options out of range")
	}
	e := &Engine{
		options: o,
		cache:   newPrefixCache(o.CacheTokens),
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
	}
	e.faults.Store(&Faults{})
	e.reports.init(time.Now())
	e.mux = e.routes()
	e.tasks.Go(e.decode)
	e.tasks.Go(e.sampleLoad)
	return e, nil
}

// Close ends all sequences and waits for the engine's goroutines.
func (e *Engine) Close() {
	e.closeOnce.Do(func() { close(e.closed) })
	e.tasks.Wait()
}

// Counts returns the totals so far.
func (e *Engine) Counts() Counts {
	return Counts{
		Requests:           e.requests.Load(),
		Resumed:            e.resumed.Load(),
		Cancelled:          e.cancelled.Load(),
		Tokens:             e.tokens.Load(),
		CachedPromptTokens: e.cachedTokens.Load(),
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }
