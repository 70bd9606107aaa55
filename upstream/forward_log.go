package upstream

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// knownLoad is what was known of the load of an upstream at one time.
type knownLoad struct {
	// online and batch count the requests of all instances at the upstream, slots the
	// requests that it runs at once.
	online int
	batch  int
	slots  int
	// reportAge is the age of the upstream's own load report, 0 if there is none.
	reportAge time.Duration
}

// logSent logs the start of an attempt with the load by which its upstream was chosen.
// If the instance is killed, this is the only log line of the request.
func (d *Dispatcher) logSent(granted *slot, f *forwarding) {
	d.log.Info("sent",
		zap.String("request", f.call.RequestID),
		zap.String("class", f.call.Class.String()),
		zap.String("upstream", f.upstreamID),
		zap.String("address", granted.target.address),
		zap.Int("known_online", f.load.online),
		zap.Int("known_batch", f.load.batch),
		zap.Int("slots", f.load.slots),
		zap.Duration("report_age", f.load.reportAge),
		zap.Duration("queued", f.queueTime),
		zap.String("after_event", f.lastEventID),
		f.accountField(),
	)
}

// logSilent logs that an attempt is ended because its upstream has been silent for too long,
// with what the limit was derived from.
func (d *Dispatcher) logSilent(granted *slot, call *contract.ForwardRequest, silent, limit time.Duration, begun bool) {
	first, spacing := d.sched.medians(granted.pool)
	fields := []zap.Field{
		zap.String("request", call.RequestID),
		zap.String("class", call.Class.String()),
		zap.String("upstream", granted.target.id),
		zap.Bool("begun", begun),
		zap.Duration("silent", silent),
		zap.Duration("limit", limit),
		zap.Duration("median_first", first),
		zap.Duration("median_spacing", spacing),
		zap.Duration("left", time.Until(call.Deadline)),
	}
	if !call.Due.IsZero() {
		fields = append(fields, zap.Duration("due_in", time.Until(call.Due)))
	}
	d.log.Info("upstream silent", fields...)
}

// accountField returns the account of a request, its priority and its share as one log
// field, which adds nothing if it has no account.
func (f *forwarding) accountField() zap.Field {
	if f.call.Account == "" {
		return zap.Skip()
	}
	return zap.Inline(accountFields{f.call})
}

// accountFields implements zapcore.ObjectMarshaler.
type accountFields struct{ call *contract.ForwardRequest }

// MarshalLogObject adds the account, the priority and the share of a request.
func (a accountFields) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("account", a.call.Account)
	e.AddInt("priority", a.call.Priority)
	e.AddFloat64("share", a.call.Share)
	return nil
}

// logForward logs the end of a request and updates its metrics.
func (d *Dispatcher) logForward(f *forwarding, err error) {
	fields := []zap.Field{
		zap.String("request", f.call.RequestID),
		zap.String("class", f.call.Class.String()),
		zap.String("upstream", f.upstreamID),
		zap.Duration("first", f.firstEvent),
		zap.Duration("took", time.Since(f.startedAt)),
		zap.Int("events", f.events),
		zap.String("last_event", f.lastEventID),
		zap.Int("failed_runs", f.failedRuns),
		zap.Int("refusals", f.refusals),
		zap.Int("unreachable", f.unreachable),
		zap.Int("yields", f.preemptions),
		f.accountField(),
	}
	if f.call.Account != "" {
		fields = append(fields, zap.String("account", f.call.Account))
	}
	d.metrics.forwarded.WithLabelValues(f.call.Class.String(), resultOf(err)).Inc()
	if f.upstreamID != "" {
		d.metrics.forwardQueued.WithLabelValues(f.call.Class.String()).Observe(f.queueTime.Seconds())
	}
	if f.firstEvent > 0 {
		d.metrics.forwardFirstEvent.WithLabelValues(f.call.Class.String()).Observe(f.firstEvent.Seconds())
	}
	if err == nil {
		d.log.Info("forwarded", fields...)
		return
	}
	fields = append(fields, zap.String("cause", string(f.endCause(err))), zap.String("believed", f.targetStatus),
		zap.Duration("left", time.Until(f.call.Deadline)), zap.Int("number", int(code.Of(err))), zap.Error(err))
	d.log.Info("forwarding failed", fields...)
}

// resultOf returns the metric label of a result.
func resultOf(err error) string {
	if err == nil {
		return "whole"
	}
	return code.Describe(code.Of(err)).Name
}
