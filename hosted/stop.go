package hosted

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/roster"
)

// requestEnds are the times of a planned stop that requests have to respect.
type requestEnds struct {
	// cutAt is when open requests are ended.
	cutAt time.Time
	// lastTakenAt is until when callers that know no other instance accept that a request
	// is cut.
	lastTakenAt time.Time
}

// admit rejects an online request that may still run when a planned stop ends the open
// requests, if the caller can use another instance instead or the request comes late in
// the stop.
func (i *Instance) admit(deadline time.Time) error {
	ends := i.requestEnds.Load()
	if ends == nil || !deadline.After(ends.cutAt) {
		return nil
	}
	retryAfter := drainingRetryAfter
	if !i.othersAcceptCallers() {
		if time.Now().Before(ends.lastTakenAt) {
			return nil
		}
		retryAfter = time.Until(ends.cutAt)
	}
	return code.New(code.Draining, "the instance is stopping before the request's deadline").WithRetryAfter(retryAfter)
}

// othersAcceptCallers reports whether another instance accepts callers. The view may still
// have this one as accepting them.
func (i *Instance) othersAcceptCallers() bool {
	return slices.ContainsFunc(i.roster.View().Alive, func(m roster.Member) bool { return m.ID != i.id && acceptsCallers(m) })
}

// shutdown carries out the planned stop. The instance is removed from endpoint
// answers, keeps serving for as long as callers may keep an earlier answer, hands
// its jobs over and waits for open requests. stopListening closes the callers'
// listener.
func (i *Instance) shutdown(stopListening func()) {
	startedAt := time.Now()
	grace := i.settings.Load().Bounds.GracePeriod
	deadline := startedAt.Add(grace - exitReserve)
	i.mu.Lock()
	i.leaving = true
	i.mu.Unlock()
	i.log.Info("leaving")
	i.roster.UpdateSelf(func(m *roster.Member) { m.Leaving, m.Ready = true, false })
	linger := min(time.Duration(endpointLingerTTLs*float64(i.endpointTTL)), grace/2)
	time.Sleep(linger / 2)
	// From now on, answers carry "Connection: close", so that callers with open
	// connections move to other instances.
	i.requestEnds.Store(&requestEnds{cutAt: deadline, lastTakenAt: startedAt.Add(lateRequestTime)})
	i.connections.closeAfterAnswer.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	handOverCtx, cancelHandOver := context.WithTimeout(ctx, linger/2)
	i.jobs.Stop(handOverCtx)
	cancelHandOver()
	time.Sleep(time.Until(startedAt.Add(linger)))
	i.relayStopping.Store(true)
	stopListening()
	i.log.Info("no longer listening", zap.Int("open_connections", i.connections.count()))
	// http.Server.Shutdown is not used: it closes connections whose requests have been
	// read but not parsed.
	if err := i.connections.drain(ctx); err != nil {
		i.log.Warn("requests were still open at the end of the grace period", zap.Int("open_connections", i.connections.count()), zap.Error(err))
		answerCtx, cancelAnswer := context.WithTimeout(context.Background(), lastAnswerTime)
		if err := i.connections.endRequests(answerCtx, code.New(code.Draining, "the instance is stopping")); err != nil {
			i.log.Warn("requests were cut at the end of the grace period", zap.Int("open_connections", i.connections.count()), zap.Error(err))
		}
		cancelAnswer()
	}
	i.finishRelayedCalls(deadline.Add(lastAnswerTime))
	_ = i.callerServer.Close()
	_ = i.directory.server.Close()
	_ = i.readiness.server.Close()
	_ = i.metricsServer.Close()
	_ = i.relayServer.Close()
}

// finishRelayedCalls waits until the calls of the store that peers make through this
// instance have ended, or until a deadline. A peer whose call is cut does not know
// whether it took effect.
func (i *Instance) finishRelayedCalls(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := i.relayServer.Shutdown(ctx); err != nil {
		i.log.Warn("calls of peers were cut at the end of the grace period", zap.Error(err))
	}
}
