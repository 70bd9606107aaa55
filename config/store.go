package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

// Peers gives access to the other live instances.
type Peers interface {
	// Addresses returns the peer addresses, IP:port, of the live instances
	// without this one.
	Addresses() []string
	// HTTP returns the transport for calls to peers.
	HTTP() connect.HTTPClient
}

// Options of a Store. Table, Objects, Peers and Address are required.
type Options struct {
	Table   storage.Table
	Objects storage.Objects
	Peers   Peers
	// Address is this instance's peer address, IP:port.
	Address string
	// IsolationLimit is how long the instance serves without contact with the
	// table or any peer; 0 means without end.
	IsolationLimit time.Duration
	// KeptChanges is the number of changes that the history holds, and for which
	// a change id is remembered; 0 means DefaultKeptChanges, at least 384.
	KeptChanges int
	// Backoff spaces the retries of store operations; the zero value means
	// 50 ms to 1 s.
	Backoff retry.Backoff
	// Registerer takes the metrics; nil means none.
	Registerer prometheus.Registerer
	// Logger is optional.
	Logger *zap.Logger
}

// DefaultIsolationLimit is the IsolationLimit of a daemon.
const DefaultIsolationLimit = 12 * time.Second

// recentChanges bounds the changes that are kept in memory for peers.
const recentChanges = 256

// Store holds the configuration in force at this instance, takes changes from
// operators and peers, and follows the table. It is safe for concurrent use.
type Store struct {
	options Options
	began   time.Time
	metrics *metrics
	logger  *zap.Logger

	// version is nil until the instance has read a configuration, or has read
	// that there is none.
	version atomic.Pointer[version]
	// confirmed is the time of the last contact with the table or a peer, as
	// nanoseconds since began.
	confirmed atomic.Int64

	mu     sync.Mutex
	behind hint
	wake   chan struct{}
	first  chan struct{}
}

// version is one immutable version of the document with the changes before it.
type version struct {
	document *contract.Document
	// recent are the changes up to the document, in order without gaps.
	recent []*Change
	// replaced is closed when a higher version is in force.
	replaced chan struct{}
}

// hint names a peer that reported a higher version.
type hint struct {
	version uint64
	address string
}

// New returns a Store that has no configuration yet; Run reads it.
func New(o Options) (*Store, error) {
	if o.Table == nil || o.Objects == nil || o.Peers == nil || o.Address == "" {
		return nil, code.New(code.InvalidSettings, "config: table, objects, peers and address are required")
	}
	if o.IsolationLimit < 0 {
		return nil, code.New(code.InvalidSettings, "config: the isolation limit is negative")
	}
	if o.KeptChanges == 0 {
		o.KeptChanges = DefaultKeptChanges
	}
	if o.KeptChanges < minKeptChanges {
		return nil, code.New(code.InvalidSettings, "config: %d kept changes, at least %d are needed", o.KeptChanges, minKeptChanges)
	}
	if o.Backoff == (retry.Backoff{}) {
		o.Backoff = retry.Backoff{Min: 50 * time.Millisecond, Max: time.Second}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	s := &Store{options: o, began: time.Now(), logger: o.Logger, wake: make(chan struct{}, 1), first: make(chan struct{})}
	s.metrics = newMetrics(s, o.Registerer)
	return s, nil
}

// Current returns the document in force, or nil when there is none. The
// document is immutable.
func (s *Store) Current() *contract.Document {
	v := s.version.Load()
	if v == nil || v.document.Version == 0 {
		return nil
	}
	return v.document
}

// Ready returns nil when new work may be served under the current document,
// and code.NoConfiguration when there is none or when the instance has been
// without contact with the table and every peer for the isolation limit.
func (s *Store) Ready() error {
	if s.Current() == nil {
		return code.New(code.NoConfiguration, "the instance has no configuration yet")
	}
	if age := s.confirmedAge(); s.options.IsolationLimit > 0 && age > s.options.IsolationLimit {
		return code.New(code.NoConfiguration, "the configuration was last confirmed %s ago", age.Truncate(time.Millisecond))
	}
	return nil
}

// Watch waits until a version higher than after is in force and returns its
// document.
func (s *Store) Watch(ctx context.Context, after uint64) (*contract.Document, error) {
	for {
		wait := s.first
		if v := s.version.Load(); v != nil {
			if v.document.Version > after {
				return v.document, nil
			}
			wait = v.replaced
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Observe notes the version that a peer reported in any exchange. When the
// peer is ahead, the store pulls from it. Observe does not block.
func (s *Store) Observe(version uint64, address string) {
	s.confirm()
	if version <= s.inForce() {
		return
	}
	s.mu.Lock()
	if version > s.behind.version {
		s.behind = hint{version, address}
	}
	s.mu.Unlock()
	s.signal()
}

func (s *Store) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeHint returns the pending hint and clears it.
func (s *Store) takeHint() hint {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.behind
	s.behind = hint{}
	return h
}

func (s *Store) confirm() { s.confirmed.Store(int64(time.Since(s.began))) }

func (s *Store) confirmedAge() time.Duration {
	return time.Since(s.began) - time.Duration(s.confirmed.Load())
}

// started reports whether the instance has read a configuration or its absence.
func (s *Store) started() bool { return s.version.Load() != nil }

// inForce returns the version in force, 0 for none.
func (s *Store) inForce() uint64 {
	if v := s.version.Load(); v != nil {
		return v.document.Version
	}
	return 0
}

// publish puts next in force unless its version is not higher than the present
// one. It reports whether next is in force now.
func (s *Store) publish(next *version) bool {
	for {
		cur := s.version.Load()
		if cur != nil && cur.document.Version >= next.document.Version {
			return false
		}
		if !s.version.CompareAndSwap(cur, next) {
			continue
		}
		if cur == nil {
			close(s.first)
		} else {
			close(cur.replaced)
		}
		s.logger.Info("configuration in force", zap.Uint64("version", next.document.Version), zap.String("preset", next.document.Preset))
		return true
	}
}

// follow returns the version that the changes lead to from v, or
// code.VersionGap when they do not follow each other. Changes that v has
// already are skipped.
func (v *version) follow(changes []*Change) (*version, error) {
	next := &version{document: v.document, recent: v.recent, replaced: make(chan struct{})}
	for _, c := range changes {
		if c.Version <= next.document.Version {
			continue
		}
		if c.Version != next.document.Version+1 {
			return nil, code.New(code.VersionGap, "change %d does not follow version %d", c.Version, next.document.Version)
		}
		next.document = c.Edits.apply(next.document)
		next.recent = append(next.recent[:len(next.recent):len(next.recent)], c)
	}
	if n := len(next.recent); n > recentChanges {
		next.recent = next.recent[n-recentChanges:]
	}
	return next, nil
}

// since returns the changes after a version, and false when some of them are
// not in memory.
func (v *version) since(after uint64) ([]*Change, bool) {
	if after >= v.document.Version {
		return nil, true
	}
	missing := v.document.Version - after
	if missing > uint64(len(v.recent)) {
		return nil, false
	}
	return v.recent[uint64(len(v.recent))-missing:], true
}

func newVersion(d *contract.Document) *version {
	return &version{document: d, replaced: make(chan struct{})}
}
