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

// rowPrefix precedes the rows of leases.
const rowPrefix = "order-lease/"

// record is the value of a lease's row.
type record struct {
	Holder string `json:"holder"`
	// Token is the fencing number; it grows with every change of the holder.
	Token uint64 `json:"token"`
	// Mark is unique to one write.
	Mark string `json:"mark"`
	// Released is set when the holder has given the lease up and has no order
	// under way.
	Released bool `json:"released,omitempty"`
}

// Lease is the right of one instance to give orders to a group of upstreams.
// It is safe for concurrent use. Run keeps it.
type Lease struct {
	options Options
	metrics *metrics
	row     string

	mu      sync.Mutex
	machine *fsm.FSM
	token   uint64
	version uint64
	// until is the end of the lease by this instance's clock.
	until time.Time
	// settled is the earliest time of an order to an upstream that does not
	// check tokens.
	settled time.Time
	// doubtful is the time until which an order with a lost answer may take
	// effect.
	doubtful time.Time
	// ordering are the upstreams with an order under way.
	ordering map[string]bool
	idle     chan struct{}

	// seen and seenAt are used by Run only: the row last seen, and when it was
	// first seen at that version.
	seen   storage.Row
	seenAt time.Time
}

// New returns a Lease that is not held, or code.InvalidSettings.
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
		options:  o,
		metrics:  m,
		row:      rowPrefix + o.Group,
		ordering: map[string]bool{},
		idle:     make(chan struct{}, 1),
	}
	l.machine = fsm.NewFSM(stateWatching, fsm.Events{
		{Name: eventAcquire, Src: []string{stateWatching}, Dst: stateHeld},
		{Name: eventLose, Src: []string{stateHeld}, Dst: stateWatching},
	}, nil)
	return l, nil
}

// Run acquires, renews and in the end releases the lease, until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	interval := l.options.Duration / 6
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		l.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			l.release(context.WithoutCancel(ctx))
			return ctx.Err()
		}
	}
}

// step does what is due.
func (l *Lease) step(ctx context.Context) {
	_, held := l.holding(time.Now())
	switch {
	case held && l.options.Eligible():
		l.renew(ctx)
	case held:
		l.release(ctx)
	case l.options.Eligible():
		l.watch(ctx)
	}
}

// holding is the lease as an order needs it.
type holding struct {
	token   uint64
	until   time.Time
	settled time.Time
	// doubtful is the time until which an order of this holder may yet take
	// effect.
	doubtful time.Time
}

// holding returns the lease when this instance holds it. A lease that has run
// out is lost.
func (l *Lease) holding(now time.Time) (holding, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.Current() == stateHeld && !now.Before(l.until) {
		l.move(eventLose)
	}
	h := holding{token: l.token, until: l.until, settled: l.settled, doubtful: l.doubtful}
	return h, l.machine.Current() == stateHeld
}

// move changes the state; l.mu is held. An event that does not apply changes
// nothing.
func (l *Lease) move(event string) {
	err := l.machine.Event(context.Background(), event)
	var invalid fsm.InvalidEventError
	if err != nil && !errors.As(err, &invalid) {
		l.options.Logger.Error("lease state", zap.Error(err))
		return
	}
	if err != nil {
		return
	}
	l.metrics.setHeld(event == eventAcquire)
	l.options.Logger.Info("lease changed", zap.String("group", l.options.Group), zap.String("event", event), zap.Uint64("token", l.token))
}

// lose gives the lease up at once, when another holder was met.
func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.move(eventLose)
}

// watch reads the row and acquires the lease when it is free, or when the same
// row has stood for the whole duration.
func (l *Lease) watch(ctx context.Context) {
	row, err := l.options.Table.Get(ctx, l.row)
	if err != nil {
		return
	}
	now := time.Now()
	if l.seenAt.IsZero() || row.Version != l.seen.Version {
		l.seen, l.seenAt = row, now
	}
	var previous record
	if row.Exists() {
		if err := json.Unmarshal(row.Value, &previous); err != nil {
			l.options.Logger.Error("lease not decoded", zap.String("row", l.row), zap.Error(err))
			return
		}
	}
	free := !row.Exists() || previous.Released
	if !free && now.Sub(l.seenAt) < l.options.Duration+l.options.Margin {
		return
	}
	l.acquire(ctx, row.Version, previous, free)
}

// acquire takes the lease with the next token.
func (l *Lease) acquire(ctx context.Context, version uint64, previous record, free bool) {
	sent := time.Now()
	token := previous.Token + 1
	version, err := l.write(ctx, version, record{Holder: l.options.InstanceID, Token: token})
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.version = token, version
	l.until = sent.Add(l.options.Duration - l.options.Margin)
	l.settled = sent
	if !free {
		l.settled = time.Now().Add(l.options.LongestOrder + l.options.Margin)
	}
	l.move(eventAcquire)
}

// renew prolongs the lease. While the store does not answer the lease runs on
// to its end.
func (l *Lease) renew(ctx context.Context) {
	sent := time.Now()
	l.mu.Lock()
	version, token, until := l.version, l.token, l.until
	l.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	version, err := l.write(ctx, version, record{Holder: l.options.InstanceID, Token: token})
	if code.Of(err) == code.StoreConflict {
		l.lose()
		return
	}
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	l.until = sent.Add(l.options.Duration - l.options.Margin)
}

// release gives the lease back once no order is under way or in doubt. A lease
// whose orders do not end in time is left to run out.
func (l *Lease) release(ctx context.Context) {
	held, ok := l.holding(time.Now())
	if !ok {
		return
	}
	l.lose()
	ctx, cancel := context.WithDeadline(ctx, held.until)
	defer cancel()
	for l.isOrdering() {
		select {
		case <-l.idle:
		case <-ctx.Done():
			return
		}
	}
	l.mu.Lock()
	version, doubtful := l.version, l.doubtful
	l.mu.Unlock()
	if !sleepUntil(ctx, doubtful) {
		return
	}
	_, err := l.write(ctx, version, record{Holder: l.options.InstanceID, Token: held.token, Released: true})
	if err != nil {
		l.options.Logger.Warn("lease not released", zap.String("group", l.options.Group), zap.Error(err))
	}
}

// sleepUntil reports false when ctx ends first.
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

func (l *Lease) isOrdering() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ordering) > 0
}

// write replaces the row at a version and returns the new version. A lost
// answer is resolved by the mark.
func (l *Lease) write(ctx context.Context, version uint64, r record) (uint64, error) {
	r.Mark = uuid.NewString()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, code.Wrap(code.Internal, err, "a lease cannot be encoded")
	}
	t := storage.Transaction{
		Conditions: []storage.Condition{{Key: l.row, Version: version}},
		Writes:     []storage.Write{{Key: l.row, Value: value}},
	}
	applied, err := guard.ApplyOnce(ctx, l.options.Table, t, func(row storage.Row) bool {
		var present record
		return json.Unmarshal(row.Value, &present) == nil && present.Mark == r.Mark
	})
	if err != nil {
		return 0, err
	}
	return applied.Versions[0], nil
}
