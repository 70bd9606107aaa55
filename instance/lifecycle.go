package instance

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/looplab/fsm"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
)

// Events of the lifecycle.
const (
	eventServe = "serve"
	eventDrain = "drain"
	eventStop  = "stop"
)

// Lifecycle is the state of this instance: starting, serving, draining,
// stopped. It never returns to an earlier state. It is safe for concurrent use.
type Lifecycle struct {
	log     *zap.Logger
	machine *fsm.FSM
	state   atomic.Value
	// rejecting is set once a draining instance no longer accepts requests.
	rejecting atomic.Bool

	// transitionMu serializes transitions, including their hooks.
	transitionMu sync.Mutex
	// mu guards hooks.
	mu    sync.Mutex
	hooks []func(from, to State)
}

// NewLifecycle returns a lifecycle in Starting. The logger may be nil.
func NewLifecycle(logger *zap.Logger) *Lifecycle {
	if logger == nil {
		logger = zap.NewNop()
	}
	l := &Lifecycle{log: logger}
	l.state.Store(Starting)
	l.machine = fsm.NewFSM(string(Starting), fsm.Events{
		{Name: eventServe, Src: []string{string(Starting)}, Dst: string(Serving)},
		{Name: eventDrain, Src: []string{string(Starting), string(Serving)}, Dst: string(Draining)},
		{Name: eventStop, Src: []string{string(Starting), string(Serving), string(Draining)}, Dst: string(Stopped)},
	}, fsm.Callbacks{"enter_state": l.onEnterState})
	return l
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.state.Load().(State) }

// Accepting reports whether a request that arrives now is accepted: while
// serving, and while draining for as long as callers may hold an old endpoint
// answer.
func (l *Lifecycle) Accepting() bool {
	switch l.State() {
	case Serving:
		return true
	case Draining:
		return !l.rejecting.Load()
	}
	return false
}

// OnChange registers a hook that is called after every later transition, in the
// order of the transitions. The hook must neither block nor change the state
// itself.
func (l *Lifecycle) OnChange(hook func(from, to State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hooks = append(l.hooks, hook)
}

// Serve moves from starting to serving. It returns code.Draining if the
// instance is already draining or stopped.
func (l *Lifecycle) Serve() error { return l.transitionTo(eventServe, Serving) }

// StartDrain moves to draining; it does nothing if the instance is draining
// already. It returns code.Draining if the instance is stopped.
func (l *Lifecycle) StartDrain() error { return l.transitionTo(eventDrain, Draining) }

// Stop moves to stopped; it does nothing if the instance is stopped already.
func (l *Lifecycle) Stop() error { return l.transitionTo(eventStop, Stopped) }

func (l *Lifecycle) transitionTo(event string, target State) error {
	l.transitionMu.Lock()
	defer l.transitionMu.Unlock()
	if l.State() == target {
		return nil
	}
	if err := l.machine.Event(context.Background(), event); err != nil {
		return code.Wrap(code.Draining, err, "the instance is %s", l.State())
	}
	return nil
}

func (l *Lifecycle) onEnterState(_ context.Context, e *fsm.Event) {
	from, to := State(e.Src), State(e.Dst)
	l.state.Store(to)
	l.log.Info("lifecycle changed", zap.String("from", e.Src), zap.String("to", e.Dst))
	l.mu.Lock()
	hooks := slices.Clone(l.hooks)
	l.mu.Unlock()
	for _, hook := range hooks {
		hook(from, to)
	}
}
