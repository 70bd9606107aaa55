package upstream

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
)

// placement is what was known of an upstream when it was chosen.
type placement struct {
	// online and batch count the requests of all instances there, slots what it
	// runs at once.
	online int
	batch  int
	slots  int
	// reportAge is the age of the upstream's own figures, 0 when there are none.
	reportAge time.Duration
}

// logSent writes the line of an attempt, with what decided its place. It is the
// only one of a request whose instance is killed.
func (d *Dispatcher) logSent(given *slot, f *forwarding) {
	d.log.Info("sent",
		zap.String("request", f.call.RequestID),
		zap.String("class", f.call.Class.String()),
		zap.String("upstream", f.placed),
		zap.String("address", given.target.address),
		zap.Int("known_online", f.load.online),
		zap.Int("known_batch", f.load.batch),
		zap.Int("slots", f.load.slots),
		zap.Duration("report_age", f.load.reportAge),
		zap.Duration("queued", f.queued),
		zap.String("after_event", f.last),
	)
}

// logForward writes the line at the end of a request.
func (d *Dispatcher) logForward(f *forwarding, err error) {
	fields := []zap.Field{
		zap.String("request", f.call.RequestID),
		zap.String("class", f.call.Class.String()),
		zap.String("upstream", f.placed),
		zap.Duration("first", f.first),
		zap.Duration("took", time.Since(f.arrived)),
		zap.Int("events", f.events),
		zap.String("last_event", f.last),
		zap.Int("failed_runs", f.runs),
		zap.Int("refusals", f.refusals),
		zap.Int("unreachable", f.unreachable),
		zap.Int("yields", f.yields),
	}
	d.metrics.forwarded.WithLabelValues(f.call.Class.String(), resultOf(err)).Inc()
	if f.placed != "" {
		d.metrics.forwardQueued.WithLabelValues(f.call.Class.String()).Observe(f.queued.Seconds())
	}
	if f.first > 0 {
		d.metrics.forwardFirst.WithLabelValues(f.call.Class.String()).Observe(f.first.Seconds())
	}
	if err == nil {
		d.log.Info("forwarded", fields...)
		return
	}
	fields = append(fields, zap.String("cause", string(f.endCause(err))), zap.String("believed", f.belief),
		zap.Duration("left", time.Until(f.call.Deadline)), zap.Int("number", int(code.Of(err))), zap.Error(err))
	d.log.Info("forwarding failed", fields...)
}

// resultOf names a result for metrics.
func resultOf(err error) string {
	if err == nil {
		return "whole"
	}
	return code.Describe(code.Of(err)).Name
}
