package job

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// touch is a time in which this instance reaches the store or another instance.
type touch struct {
	ctx  context.Context
	lose context.CancelFunc
}

func newTouch(base context.Context) *touch {
	t := &touch{}
	t.ctx, t.lose = context.WithCancel(base)
	return t
}

// touchInterval is the time between two looks at whether this instance is
// isolated, a small part of the time in which the others find that out.
const touchInterval = 100 * time.Millisecond

// watchTouch ends the runs of items when this instance becomes isolated, and
// lets them go on from where they were when it is back. What is isolated can't
// learn that a job was ended or taken over by another instance.
func (s *Service) watchTouch(context.Context) {
	isolated := s.options.Fleet().Isolated
	switch {
	case isolated && s.inTouch():
		s.options.Log.Warn("isolated, items wait", zap.Int("jobs", s.Owned()))
		s.touch.Load().lose()
	case !isolated && !s.inTouch() && s.base.Err() == nil:
		s.options.Log.Info("in touch again, items go on", zap.Int("jobs", s.Owned()))
		s.touch.Store(newTouch(s.base))
	}
}

// inTouch reports whether items may run.
func (s *Service) inTouch() bool { return s.touch.Load().ctx.Err() == nil }

// whileInTouch returns a context that ends with ctx or when this instance
// becomes isolated.
func (s *Service) whileInTouch(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.touch.Load().ctx, cancel)
	return ctx, func() { stop(); cancel() }
}
