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
	// Addresses returns the peer addresses, IP:port, of the other live
	// instances.
	Addresses() []string
	// HTTP returns the client for calls to peers.
	HTTP() connect.HTTPClient
}

// Options configures a Store. Table, Objects, Peers and Address are required.
type Options struct {
	Table   storage.Table
	Objects storage.Objects
	Peers   Peers
	// Address is this instance's peer address, IP:port.
	Address string
	// IsolationLimit is how long the instance accepts new work without contact
	// with the table or any peer; 0 means no limit.
	IsolationLimit time.Duration
	// KeptChanges is the number of changes that the history holds and whose ids
	// are remembered. It is at least 384; 0 means DefaultKeptChanges.
	KeptChanges int
	// Backoff spaces the retries of store operations; the zero value means 50
	// ms to 1 s.
	Backoff retry.Backoff
	// Registerer registers the metrics; it may be nil.
	Registerer prometheus.Registerer
	// Logger may be nil.
	Logger *zap.Logger
}

// DefaultIsolationLimit is the IsolationLimit that the daemon uses by default.
const DefaultIsolationLimit = 12 * time.Second

// maxRecentChanges bounds the changes that are kept in memory for peers.
const maxRecentChanges = 256

// Store holds the configuration in force on this instance, accepts changes from
// operators and peers, and follows the table. It is safe for concurrent use.
type Store struct {
	options   Options
	createdAt time.Time
	metrics   *metrics
	logger    *zap.Logger

	// version is nil until the instance has read a configuration, or has read
	// that there is none.
	version atomic.Pointer[version]
	// confirmedAt is the time of the last contact with the table or a peer, in
	// nanoseconds since createdAt.
	confirmedAt atomic.Int64

	// mu guards pendingHint.
	mu          sync.Mutex
	pendingHint hint
	// wake is signalled when pendingHint is set.
	wake chan struct{}
	// firstPublished is closed when the first version is published.
	firstPublished chan struct{}
}

// version is one immutable version of the document and the changes that led to
// it.
type version struct {
	document *contract.Document
	// recent are the last changes up to the document, in order and without
	// gaps.
	recent []*Change
	// replaced is closed when a higher version is in force.
	replaced chan struct{}
}

// hint is a higher version and the peer that reported it.
type hint struct {
	version uint64
	address string
}

// New returns a Store without a configuration, which Run reads. It returns
// code.InvalidSettings if an option is missing or invalid.
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
	s := &Store{options: o, createdAt: time.Now(), logger: o.Logger, wake: make(chan struct{}, 1), firstPublished: make(chan struct{})}
	s.metrics = newMetrics(s, o.Registerer)
	return s, nil
}

// Current returns the document in force, or nil if there is none. The document
// is immutable.
func (s *Store) Current() *contract.Document {
	v := s.version.Load()
	if v == nil || v.document.Version == 0 {
		return nil
	}
	return v.document
}

// Ready returns nil if new work may be served under the current document. It
// returns code.NoConfiguration if there is no document, or if the instance has
// had no contact with the table or any peer for longer than the isolation
// limit.
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
// document. It returns the error of ctx if that ends first.
func (s *Store) Watch(ctx context.Context, after uint64) (*contract.Document, error) {
	for {
		wait := s.firstPublished
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

// Observe records the version that a peer reported in any call or message. If
// it is higher than the current one, the store pulls from that peer. Observe
// does not block.
func (s *Store) Observe(version uint64, address string) {
	s.confirm()
	if version <= s.inForce() {
		return
	}
	s.mu.Lock()
	if version > s.pendingHint.version {
		s.pendingHint = hint{version, address}
	}
	s.mu.Unlock()
	s.signal()
}

// signal wakes followOnce.
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
	h := s.pendingHint
	s.pendingHint = hint{}
	return h
}

// confirm records a contact with the table or a peer.
func (s *Store) confirm() { s.confirmedAt.Store(int64(time.Since(s.createdAt))) }

// confirmedAge returns the time since the last contact.
func (s *Store) confirmedAge() time.Duration {
	return time.Since(s.createdAt) - time.Duration(s.confirmedAt.Load())
}

// started reports whether the instance has read a configuration or the absence
// of one.
func (s *Store) started() bool { return s.version.Load() != nil }

// inForce returns the version in force, 0 if there is none.
func (s *Store) inForce() uint64 {
	if v := s.version.Load(); v != nil {
		return v.document.Version
	}
	return 0
}

// publish puts next in force if its version is higher than the current one, and
// reports whether it did.
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
			close(s.firstPublished)
		} else {
			close(cur.replaced)
		}
		s.logger.Info("configuration in force", zap.Uint64("version", next.document.Version), zap.String("preset", next.document.Preset))
		return true
	}
}

// applyChanges returns the version that results from applying the changes to v.
// It skips changes that v has already, and returns code.VersionGap if the
// others are not consecutive.
func (v *version) applyChanges(changes []*Change) (*version, error) {
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
	if n := len(next.recent); n > maxRecentChanges {
		next.recent = next.recent[n-maxRecentChanges:]
	}
	return next, nil
}

// changesAfter returns the changes after a version, or false if some of them
// are not in memory.
func (v *version) changesAfter(after uint64) ([]*Change, bool) {
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
