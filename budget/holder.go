package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// ConnectionBytes is the cost of a connection: the stacks of its goroutines and the buffers
// of net/http.
const ConnectionBytes = 20 << 10

// Caller is a caller that may be given up. Its methods are called with the budget's lock
// held.
type Caller interface {
	// GiveUp begins to end the connection, and reports false if it must go on: an answer is
	// due and the caller is not late in reading it. It must not block.
	GiveUp(f Facts) bool
}

// Facts are the reasons for which a caller is given up.
type Facts struct {
	Held     int64
	Moved    int64
	Elapsed  time.Duration
	Inactive time.Duration
}

// Holder accounts for what is held for one connection. A nil Holder accounts for nothing. It
// is safe for concurrent use.
type Holder struct {
	budget *Budget
	caller Caller
	moved  atomic.Int64
	// startedAt and activeAt are times in nanoseconds: when the request began, and when bytes
	// were last transferred.
	startedAt atomic.Int64
	activeAt  atomic.Int64
	// answering is set once a part of the answer has been charged.
	answering atomic.Bool
	// leaving is set while the caller is being given up.
	leaving atomic.Bool

	// mu may be acquired while the budget's lock is held, never the reverse.
	mu   sync.Mutex
	held int64
	// kernel is the part of held that the kernel holds.
	kernel int64
	// closed is set when nothing is charged any more.
	closed bool
}

// Take charges n bytes before they are allocated. If they don't fit, the slowest callers are
// given up. Errors: code.MemoryExhausted, upon which nothing is charged.
func (h *Holder) Take(n int64) error {
	if h == nil || n == 0 {
		return nil
	}
	if h.add(n) <= h.budget.limits.Bytes || n < 0 || h.budget.reclaim(h) {
		return nil
	}
	h.add(-n)
	return h.budget.exhausted()
}

// Stay records that the caller is not given up after all, since bytes have arrived.
func (h *Holder) Stay() {
	if h != nil {
		h.leaving.Store(false)
	}
}

// Add charges n bytes that are few, without a refusal.
func (h *Holder) Add(n int64) {
	if h != nil {
		h.add(n)
	}
}

// Release gives back n bytes.
func (h *Holder) Release(n int64) {
	if h != nil {
		h.add(-n)
	}
}

// add charges n bytes and returns what is held for all callers.
func (h *Holder) add(n int64) (used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addLocked(n)
}

func (h *Holder) addLocked(n int64) (used int64) {
	if h.closed {
		n = 0
	}
	h.held += n
	return h.budget.used.Add(n)
}

// heldBytes returns what is held.
func (h *Holder) heldBytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// TakeAnswer charges n bytes of an answer that has been received from an upstream; errors as
// Take. The progress of the caller is counted anew from the first of them: the time that the
// upstream needed is not the caller's.
func (h *Holder) TakeAnswer(n int64) error {
	if h == nil {
		return nil
	}
	if !h.answering.Swap(true) {
		h.restart(time.Now())
	}
	h.moved.Add(n)
	return h.Take(n)
}

// restart counts the progress from now on.
func (h *Holder) restart(now time.Time) {
	h.moved.Store(0)
	h.startedAt.Store(now.UnixNano())
	h.activeAt.Store(now.UnixNano())
}

// Moved records that n bytes were received from the caller or sent to it.
func (h *Holder) Moved(n int, now time.Time) {
	if h == nil || n == 0 {
		return
	}
	h.moved.Add(int64(n))
	h.activeAt.Store(now.UnixNano())
}

// Begin records that a request begins. It must not run at the same time as GiveUp of the
// caller: an idle connection on which a request arrives is no longer given up.
func (h *Holder) Begin(now time.Time) {
	if h != nil {
		h.leaving.Store(false)
		h.answering.Store(false)
		h.restart(now)
	}
}

// SetKernel charges the n bytes that the kernel holds for the connection, instead of those
// before. They exist already, so that they are not refused.
func (h *Holder) SetKernel(n int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addLocked(n - h.kernel)
	h.kernel = n
}

// End releases what is held for the request, but neither for the connection nor the kept bytes,
// which wait for the caller.
func (h *Holder) End(kept int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kernel = 0
	h.addLocked(ConnectionBytes + kept - h.held)
}

// Close releases all. Nothing is charged afterwards.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.holders, h)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addLocked(-h.held)
	h.closed = true
}

func (h *Holder) state(now time.Time) state {
	return state{
		held:     h.heldBytes(),
		moved:    h.moved.Load(),
		elapsed:  time.Duration(now.UnixNano() - h.startedAt.Load()),
		inactive: time.Duration(now.UnixNano() - h.activeAt.Load()),
	}
}

// ErrGivenUp is the error of reading from or writing to a caller that has been given up. It is
// a timeout, so that net/http ends the connection without an answer of its own.
var ErrGivenUp error = givenUpError{}

type givenUpError struct{}

// Error implements error.
func (givenUpError) Error() string { return "the caller was given up, since memory is used up" }

// Timeout implements net.Error.
func (givenUpError) Timeout() bool { return true }

// Temporary implements net.Error.
func (givenUpError) Temporary() bool { return false }

// holderKey is the key of the Holder in the context of a request.
type holderKey struct{}

// WithHolder returns a context with a holder.
func WithHolder(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// FromContext returns the holder of a request's connection, or nil.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}
