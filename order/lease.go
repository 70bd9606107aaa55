package order

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/looplab/fsm"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/guard"
)

// States and events of a lease.
const (
	stateWatching = "watching"
	stateHeld     = "held"

	eventAcquire = "acquire"
	eventLose    = "lose"
)

// rowPrefix is the key prefix of the rows of leases.
const rowPrefix = "order-lease/"

// leaseRow is the value of a lease's row.
type leaseRow struct {
	Holder string `json:"holder"`
	// Token is the fencing token; it increases with every acquisition.
	Token uint64 `json:"token"`
	// WriteID is unique to one write, so that a write whose response was lost can be
	// recognized in the row.
	WriteID string `json:"mark"`
	// Released is set when the holder has released the lease and has no order in
	// flight.
	Released bool `json:"released,omitempty"`
}

// Lease is the lease under which one instance at a time sends orders to a group
// of upstreams. Run acquires and renews it; Do sends orders under it. It is safe
// for concurrent use.
type Lease struct {
	options Options
	metrics *metrics
	rowKey  string

	// mu guards the fields up to inFlight.
	mu      sync.Mutex
	machine *fsm.FSM
	token   uint64
	version uint64
	// validUntil is the end of the lease by this instance's clock.
	validUntil time.Time
	// unfencedFrom is the earliest time of an order to an upstream that does not
	// check tokens.
	unfencedFrom time.Time
	// unresolvedUntil is the time until which an order with a lost response may
	// take effect.
	unresolvedUntil time.Time
	// inFlight has the ids of the upstreams with an order in flight. orderEnded is
	// signalled when an order ends.
	inFlight   map[string]bool
	orderEnded chan struct{}

	// lastRow is the row as last read, and lastRowSince the time at which it was
	// first read at that version. Only Run uses them.
	lastRow      storage.Row
	lastRowSince time.Time
}

// New returns a Lease that is not held, or code.InvalidSettings if an option is
// missing or out of range or the metrics cannot be registered.
func New(o Options) (*Lease, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Registerer, o.Group)
	if err != nil {
		return nil, err
	}
	l := &Lease{
		options:    o,
		metrics:    m,
		rowKey:     rowPrefix + o.Group,
		inFlight:   map[string]bool{},
		orderEnded: make(chan struct{}, 1),
	}
	l.machine = fsm.NewFSM(stateWatching, fsm.Events{
		{Name: eventAcquire, Src: []string{stateWatching}, Dst: stateHeld},
		{Name: eventLose, Src: []string{stateHeld}, Dst: stateWatching},
	}, nil)
	return l, nil
}

// Run acquires and renews the lease until ctx ends. Then it releases the lease and
// returns the error of ctx. It may be called only once.
func (l *Lease) Run(ctx context.Context) error {
	interval := l.options.Duration / 6
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		l.tick(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			l.release(context.WithoutCancel(ctx))
			return ctx.Err()
		}
	}
}

// tick renews, releases or tries to acquire the lease.
func (l *Lease) tick(ctx context.Context) {
	_, held := l.currentGrant(time.Now())
	switch {
	case held && l.options.Eligible():
		l.renew(ctx)
	case held:
		l.release(ctx)
	case l.options.Eligible():
		l.tryAcquire(ctx)
	}
}

// grant is the part of a held lease's state that orders need.
type grant struct {
	token        uint64
	validUntil   time.Time
	unfencedFrom time.Time
	// unresolvedUntil is the time until which an order of this holder with a lost
	// response may take effect.
	unresolvedUntil time.Time
}

// currentGrant returns the grant, and whether this instance holds the lease. A
// lease that has expired is first changed to the state of one that is not held.
func (l *Lease) currentGrant(now time.Time) (grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.Current() == stateHeld && !now.Before(l.validUntil) {
		l.transition(eventLose)
	}
	g := grant{token: l.token, validUntil: l.validUntil, unfencedFrom: l.unfencedFrom, unresolvedUntil: l.unresolvedUntil}
	return g, l.machine.Current() == stateHeld
}

// transition applies an event to the state machine. An event that does not apply
// to the state changes nothing. l.mu must be held.
func (l *Lease) transition(event string) {
	err := l.machine.Event(context.Background(), event)
	var invalid fsm.InvalidEventError
	if err != nil && !errors.As(err, &invalid) {
		l.options.Logger.Error("lease state transition failed", zap.Error(err))
		return
	}
	if err != nil {
		return
	}
	l.metrics.setHeld(event == eventAcquire)
	l.options.Logger.Info("lease changed", zap.String("group", l.options.Group), zap.String("event", event), zap.Uint64("token", l.token))
}

// drop ends the lease on this instance at once. Its row is not changed.
func (l *Lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(eventLose)
}

// tryAcquire reads the row and acquires the lease if it is free or has expired:
// the row has had the same version for the whole duration and the margin.
func (l *Lease) tryAcquire(ctx context.Context) {
	row, err := l.options.Table.Get(ctx, l.rowKey)
	if err != nil {
		return
	}
	now := time.Now()
	if l.lastRowSince.IsZero() || row.Version != l.lastRow.Version {
		l.lastRow, l.lastRowSince = row, now
	}
	var previous leaseRow
	if row.Exists() {
		if err := json.Unmarshal(row.Value, &previous); err != nil {
			l.options.Logger.Error("lease row cannot be decoded", zap.String("row", l.rowKey), zap.Error(err))
			return
		}
	}
	isFree := !row.Exists() || previous.Released
	if !isFree && now.Sub(l.lastRowSince) < l.options.Duration+l.options.Margin {
		return
	}
	l.acquire(ctx, row.Version, previous, isFree)
}

// acquire writes the row with the next token. If the previous holder did not
// release the lease, its orders may still be in flight, and orders to upstreams
// that do not check tokens must wait for them.
func (l *Lease) acquire(ctx context.Context, version uint64, previous leaseRow, isFree bool) {
	sentAt := time.Now()
	token := previous.Token + 1
	version, err := l.write(ctx, version, leaseRow{Holder: l.options.InstanceID, Token: token})
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.version = token, version
	l.validUntil = sentAt.Add(l.options.Duration - l.options.Margin)
	l.unfencedFrom = sentAt
	if !isFree {
		l.unfencedFrom = time.Now().Add(l.options.LongestOrder + l.options.Margin)
	}
	l.transition(eventAcquire)
}

// renew extends the lease. It drops the lease if another instance has changed the
// row. If the store fails, the lease stays held until it expires.
func (l *Lease) renew(ctx context.Context) {
	sentAt := time.Now()
	l.mu.Lock()
	version, token, until := l.version, l.token, l.validUntil
	l.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	version, err := l.write(ctx, version, leaseRow{Holder: l.options.InstanceID, Token: token})
	if code.Of(err) == code.StoreConflict {
		l.drop()
		return
	}
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	l.validUntil = sentAt.Add(l.options.Duration - l.options.Margin)
}

// release drops the lease and writes that it is released as soon as no order is in
// flight or unresolved. If that is not before the lease expires, the row is left to
// expire.
func (l *Lease) release(ctx context.Context) {
	held, ok := l.currentGrant(time.Now())
	if !ok {
		return
	}
	l.drop()
	ctx, cancel := context.WithDeadline(ctx, held.validUntil)
	defer cancel()
	for l.hasOrders() {
		select {
		case <-l.orderEnded:
		case <-ctx.Done():
			return
		}
	}
	l.mu.Lock()
	version, unresolvedUntil := l.version, l.unresolvedUntil
	l.mu.Unlock()
	if !sleepUntil(ctx, unresolvedUntil) {
		return
	}
	_, err := l.write(ctx, version, leaseRow{Holder: l.options.InstanceID, Token: held.token, Released: true})
	if err != nil {
		l.options.Logger.Warn("lease not released", zap.String("group", l.options.Group), zap.Error(err))
	}
}

// sleepUntil waits until t. It reports false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hasOrders reports whether an order is in flight.
func (l *Lease) hasOrders() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.inFlight) > 0
}

// write replaces the row if it has the given version, and returns the new version.
// After a lost response, the WriteID in the row shows whether the write has taken
// effect.
func (l *Lease) write(ctx context.Context, version uint64, r leaseRow) (uint64, error) {
	r.WriteID = uuid.NewString()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, code.Wrap(code.Internal, err, "a lease cannot be encoded")
	}
	t := storage.Transaction{
		Conditions: []storage.Condition{{Key: l.rowKey, Version: version}},
		Writes:     []storage.Write{{Key: l.rowKey, Value: value}},
	}
	applied, err := guard.ApplyOnce(ctx, l.options.Table, t, func(row storage.Row) bool {
		var present leaseRow
		return json.Unmarshal(row.Value, &present) == nil && present.WriteID == r.WriteID
	})
	if err != nil {
		return 0, err
	}
	return applied.Versions[0], nil
}
