// Package budget accounts for the memory and the connections that an instance holds for
// callers, and decides which callers are given up when there is no more. Package hosted
// builds the budget and charges connections and heads, package entry bodies, package upstream
// answers. The package does no input or output.
package budget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisylb/daisylb/code"
)

// Limits are the limits of a Budget.
type Limits struct {
	// Bytes is the largest estimated memory that is held for callers.
	Bytes int64
	// Connections is the largest number of callers' connections; 0 means without limit.
	Connections int
}

const (
	// budgetShare is the part of the memory that may be held for callers, in eighths. The
	// rest is for the program (about 30 MB), for garbage, and for errors of the estimates.
	budgetShare = 3
	// collectorShare is the part of the memory at which Go's collector works against further
	// growth, in eighths. The program's text (about 10 MB) and the sockets need the rest.
	collectorShare = 6
	eighths        = 8
	// reservedDescriptors are for files, by the platform's rules.
	reservedDescriptors = 200
	// ownDescriptors are for the listeners, the store, peers and logs.
	ownDescriptors = 64
	// descriptorsPerCaller are one for the caller and one for the upstream of its request.
	descriptorsPerCaller = 2
	// minConnectionShare is the least part of the descriptors that callers get where there
	// are hardly more than the reserved ones.
	minConnectionShare = 8
	// portShare is the part of the limits, as a divisor, that a port beside that for requests
	// has for itself, so that a crowd at one port does not keep callers from the others.
	// portConnectionShare is larger: its requests need no descriptor for an upstream.
	portShare           = 16
	portConnectionShare = 8
	// minPortBytes lets some connections be served at each port, however small the machine is.
	minPortBytes = 512 << 10
)

// LimitsFor returns the limits for a machine with so much memory and so many descriptors.
func LimitsFor(memoryBytes int64, maxDescriptors int) Limits {
	l := Limits{Bytes: memoryBytes / eighths * budgetShare}
	if maxDescriptors > 0 {
		free := maxDescriptors - reservedDescriptors - ownDescriptors
		l.Connections = max(free/descriptorsPerCaller, maxDescriptors/minConnectionShare, 1)
	}
	return l
}

// Split divides the limits between the port for requests and other ports, which get equal
// parts.
func (l Limits) Split(ports int) (requests, port Limits) {
	port = Limits{Bytes: l.Bytes / portShare}
	requests = Limits{Bytes: l.Bytes - int64(ports)*port.Bytes}
	port.Bytes = max(port.Bytes, minPortBytes)
	if l.Connections > 0 {
		port.Connections = max(l.Connections/portConnectionShare, 1)
		requests.Connections = max(l.Connections-ports*port.Connections/descriptorsPerCaller, 1)
	}
	return requests, port
}

// CollectorLimit returns the memory limit in bytes for Go's collector on a machine with so
// much memory.
func CollectorLimit(memoryBytes int64) int64 { return memoryBytes / eighths * collectorShare }

// Budget is the memory and the connections that an instance may hold for callers. It is
// safe for concurrent use.
type Budget struct {
	limits  Limits
	used    atomic.Int64
	refused atomic.Int64
	givenUp atomic.Int64

	// mu is acquired before any lock of a Caller.
	mu      sync.Mutex
	holders map[*Holder]struct{}
}

// New returns a Budget.
func New(l Limits) *Budget { return &Budget{limits: l, holders: map[*Holder]struct{}{}} }

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often bytes were not granted.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// GivenUp returns the number of callers that were given up.
func (b *Budget) GivenUp() int64 { return b.givenUp.Load() }

// Connections returns the number of holders.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.holders)
}

// Open returns a holder for a connection, which must be closed.
func (b *Budget) Open(c Caller, now time.Time) *Holder {
	h := &Holder{budget: b, caller: c}
	h.startedAt.Store(now.UnixNano())
	h.activeAt.Store(now.UnixNano())
	b.mu.Lock()
	b.holders[h] = struct{}{}
	b.mu.Unlock()
	// A connection is charged without a refusal: Connections bounds their number.
	h.add(ConnectionBytes)
	return h
}

// HasRoom reports whether another connection may be opened. Near the limit it gives up the
// connections that have been inactive for the longest.
func (b *Budget) HasRoom(now time.Time) bool {
	if b.limits.Connections <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	headroom := max(b.limits.Connections/connectionHeadroom, 1)
	remaining := len(b.holders)
	for h := range b.holders {
		if h.leaving.Load() {
			remaining--
		}
	}
	if excess := remaining - (b.limits.Connections - headroom); excess > 0 {
		b.giveUpLocked(inactiveFirst, now, func(*Holder) bool { excess--; return excess > 0 })
	}
	return len(b.holders) < b.limits.Connections
}

// Background returns a holder for what is held for accepted work whose callers do not wait, such
// as the items of jobs. It is never given up, and its user bounds what it takes: BackgroundBytes.
func (b *Budget) Background() *Holder { return &Holder{budget: b} }

// backgroundShare is the part of the bytes, as a divisor, that accepted work may take.
const backgroundShare = 3

// BackgroundBytes returns the most that the users of Background may hold together.
func (b *Budget) BackgroundBytes() int64 { return b.limits.Bytes / backgroundShare }

// connectionHeadroom is the part of the connections, as a divisor, that is kept free: ending
// an idle connection takes a while.
const connectionHeadroom = 8

const (
	// reclaimHeadroom is the part of the bytes, as a divisor, that is freed beyond the need,
	// so that not every charge has to look for callers to give up.
	reclaimHeadroom = 16
	// reclaimTime is how long a charge waits until callers that were given up have released
	// their bytes. They do so as soon as their goroutines run.
	reclaimTime     = 250 * time.Millisecond
	reclaimInterval = 2 * time.Millisecond
	// retryAfter is the time in which callers that were given up have released their bytes.
	retryAfter = time.Second
)

// reclaim gives up the slowest callers until the bytes that h has been charged fit, and waits
// until they do. It reports false if h is the slowest or they don't fit.
func (b *Budget) reclaim(h *Holder) bool {
	for deadline := time.Now().Add(reclaimTime); ; time.Sleep(reclaimInterval) {
		now := time.Now()
		if !b.giveUpSlowest(h, now) {
			return false
		}
		if b.used.Load() <= b.limits.Bytes {
			return true
		}
		if now.After(deadline) {
			return false
		}
	}
}

// Reclaim gives up the slowest callers if more is held than the budget allows, and does not
// wait.
func (b *Budget) Reclaim(now time.Time) {
	if b.used.Load() > b.limits.Bytes {
		b.giveUpSlowest(nil, now)
	}
}

// giveUpSlowest gives up the slowest callers until the bytes of all others fit. It reports
// false if these don't fit without giving up h.
func (b *Budget) giveUpSlowest(h *Holder, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.used.Load()
	for other := range b.holders {
		if other.leaving.Load() {
			remaining -= other.heldBytes()
		}
	}
	if remaining <= b.limits.Bytes {
		return true
	}
	target := b.limits.Bytes - b.limits.Bytes/reclaimHeadroom
	b.giveUpLocked(slowestFirst, now, func(victim *Holder) bool {
		if victim == h {
			return false
		}
		remaining -= victim.heldBytes()
		return remaining > target
	}, h)
	return remaining <= b.limits.Bytes
}

// exhausted returns the error of a charge that was refused.
func (b *Budget) exhausted() error {
	b.refused.Add(1)
	return code.New(code.MemoryExhausted, "the memory for callers is used up").WithRetryAfter(retryAfter)
}
