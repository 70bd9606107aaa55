// Package engine is a stand-in for a model engine, for tests, benchmarks and
// the development server. It speaks the OpenAI-compatible completion protocol,
// batches continuously, caches prompt prefixes in limited memory, reports its
// load with a lag and takes faults on request. It generates no language: the
// tokens of an answer are a pure function of the messages, so that any answer
// can be verified and any stream continued on another engine.
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
	// Model is the name that requests must ask for; empty accepts every name.
	Model string
	// MaxRunning is the number of sequences in the running batch; default 16.
	MaxRunning int
	// StepBase is the time of a decoding step of an empty batch; default 2 ms.
	StepBase time.Duration
	// StepPerRunning is added to a step for each running sequence; default 50 µs.
	StepPerRunning time.Duration
	// PrefillPerToken is added to a step for each uncached prompt token that the
	// step admits; default 5 µs.
	PrefillPerToken time.Duration
	// CacheTokens is the memory of the prefix cache in prompt tokens; default
	// 100,000.
	CacheTokens int
	// ReportLag is the least age of a load report; default 500 ms.
	ReportLag time.Duration
	// AnswerTokens is the length of answers that end by themselves; default 32.
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

// Counts are totals since the start of an Engine.
type Counts struct {
	// Requests that passed validation.
	Requests int64
	// Resumed requests that continued a partial answer.
	Resumed int64
	// Cancelled sequences whose caller went away before the last token.
	Cancelled int64
	// Tokens generated.
	Tokens int64
	// CachedPromptTokens were found in the prefix cache.
	CachedPromptTokens int64
}

// Engine is one stand-in engine. It is an http.Handler and safe for concurrent
// use. Close ends it.
type Engine struct {
	options Options
	mux     *http.ServeMux
	faults  atomic.Pointer[Faults]
	cache   *prefixCache
	reports reports

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence

	requests, resumed, cancelled, tokens, cached atomic.Int64

	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
	wait   sync.WaitGroup
}

// New starts an engine.
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
	e.wait.Go(e.decode)
	e.wait.Go(e.sample)
	return e, nil
}

// Close breaks off all sequences and waits for the engine's goroutines.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.closed) })
	e.wait.Wait()
}

// Counts returns the totals so far.
func (e *Engine) Counts() Counts {
	return Counts{
		Requests:           e.requests.Load(),
		Resumed:            e.resumed.Load(),
		Cancelled:          e.cancelled.Load(),
		Tokens:             e.tokens.Load(),
		CachedPromptTokens: e.cached.Load(),
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }
