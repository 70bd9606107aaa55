package job

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// connectivity is a period in which this instance reaches the store or another
// instance. Its context ends when the instance becomes isolated.
type connectivity struct {
	ctx context.Context
	end context.CancelFunc
}

func newConnectivity(parent context.Context) *connectivity {
	c := &connectivity{}
	c.ctx, c.end = context.WithCancel(parent)
	return c
}

// connectivityInterval is the time between two checks whether this instance is
// isolated. It is a small part of the time in which the other instances detect that
// it is unreachable.
const connectivityInterval = 100 * time.Millisecond

// checkConnectivity stops the runs of items when this instance becomes isolated, and
// lets them resume where they stopped when it is connected again. An isolated
// instance can't learn that a job was ended or taken over by another one.
func (s *Service) checkConnectivity(context.Context) {
	isolated := s.options.Fleet().Isolated
	switch {
	case isolated && s.connected():
		s.options.Log.Warn("isolated, items wait", zap.Int("jobs", s.Owned()))
		s.connectivity.Load().end()
	case !isolated && !s.connected() && s.runsCtx.Err() == nil:
		s.options.Log.Info("in touch again, items go on", zap.Int("jobs", s.Owned()))
		s.connectivity.Store(newConnectivity(s.runsCtx))
	}
}

// connected reports whether this instance is not isolated, so that items may run.
func (s *Service) connected() bool { return s.connectivity.Load().ctx.Err() == nil }

// whileConnected returns a context that ends with ctx or when this instance becomes
// isolated.
func (s *Service) whileConnected(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.connectivity.Load().ctx, cancel)
	return ctx, func() { stop(); cancel() }
}
