package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/storage"
)

const (
	// firstTrialDelay is the time from the last evidence to the first trial of a part. It
	// grows by trialDelayFactor with every trial that crashed its upstream, up to
	// maxTrialDelay, or maxContestedTrialDelay while upstreams crash as often without the
	// part.
	firstTrialDelay        = 3 * time.Second
	trialDelayFactor       = 4
	maxTrialDelay          = 10 * time.Minute
	maxContestedTrialDelay = 2 * firstTrialDelay
	// trialReportTimeout is the longest time until the next trial while neither a crash nor
	// an answer of the last one is known: its instance may have ended.
	trialReportTimeout = 8 * time.Second
	// jointTrialDelay is the further delay of a trial with more than one quarantined part.
	// Until then, requests with a single one of them can show which parts are innocent.
	jointTrialDelay = firstTrialDelay
	// claimTimeout bounds the time for which a request waits for its trial.
	claimTimeout = 300 * time.Millisecond
	// returnedTrialTTL is how long a trial that no upstream ran can be used.
	returnedTrialTTL = 5 * time.Second
)

// trial is the last trial of a quarantined part.
type trial struct {
	At time.Duration `json:"at"`
	// Number is one more than the number of earlier trials that crashed their upstreams.
	Number int `json:"number"`
	// By is the instance that sends one request.
	By string `json:"by"`
}

// trialDueAt returns when a request with these quarantined parts may be a trial. The
// caller holds the lock.
func (l *List) trialDueAt(held []uint64, now time.Time) time.Time {
	var dueAt time.Time
	for _, id := range held {
		if at := l.partTrialDueAt(l.parts[id], now); at.After(dueAt) {
			dueAt = at
		}
	}
	if len(held) > 1 {
		dueAt = dueAt.Add(jointTrialDelay)
	}
	return dueAt
}

// partTrialDueAt returns when a part may be tried. That is soon after upstreams have stopped
// crashing without the part, if they did so since the last evidence. The caller holds the lock.
func (l *List) partTrialDueAt(p *part, now time.Time) time.Time {
	delay := p.trialDelay()
	contested, lastWithout := l.contest(p, now)
	if contested {
		delay = min(delay, maxContestedTrialDelay)
	}
	dueAt := p.changedAt.Add(delay)
	if contested && lastWithout > p.lastAt() {
		calmAt := l.localTime(lastWithout).Add(firstTrialDelay)
		if earliest := p.changedAt.Add(firstTrialDelay); calmAt.Before(earliest) {
			calmAt = earliest
		}
		if calmAt.Before(dueAt) {
			return calmAt
		}
	}
	return dueAt
}

// trialDelay returns the time from the last evidence to the next trial of the part, while the
// part alone explains the crashes.
func (p *part) trialDelay() time.Duration {
	delay := firstTrialDelay
	for n := 0; n < p.trial.Number && delay < maxTrialDelay; n++ {
		delay *= trialDelayFactor
	}
	if p.trial.Number > 0 && !p.hasCrashSince(p.trial.At) {
		delay = min(delay, trialReportTimeout)
	}
	return min(delay, maxTrialDelay)
}

// trialClaim is a trial to be claimed: the parts, in the order of the rows to be written.
type trialClaim struct {
	parts       []uint64
	trials      []trial
	transaction storage.RowTransaction
}

// newTrialClaim returns the claim of a trial of the parts, which are quarantined. Its write
// is conditioned on the previous trial, so that one instance of the fleet succeeds. The
// caller holds the lock.
func (l *List) newTrialClaim(parts []uint64, now time.Time) *trialClaim {
	claim := &trialClaim{parts: parts}
	for _, id := range parts {
		p := l.parts[id]
		next := trial{At: l.storeTime(now), Number: p.trial.Number, By: l.options.InstanceID}
		if next.Number == 0 || p.hasCrashSince(p.trial.At) {
			next.Number++
		}
		value, err := encode(next)
		if err != nil {
			l.options.Log.Error("trial not claimed", zap.Error(err))
			return nil
		}
		key := trialKey(id)
		claim.trials = append(claim.trials, next)
		claim.transaction.Conditions = append(claim.transaction.Conditions, storage.RowCondition{RowKey: l.rowKey(key), Version: p.trialVersion})
		claim.transaction.Puts = append(claim.transaction.Puts, l.row(key, value))
	}
	return claim
}

// claimTrial writes a claim and reports whether this instance has the trial.
func (l *List) claimTrial(ctx context.Context, claim *trialClaim) bool {
	var err error
	if l.options.Rows != nil {
		err = l.write(ctx, claim.transaction, claimTimeout)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claiming = false
	if err != nil && !l.hasClaim(claim) {
		l.options.Log.Info("trial not claimed", zap.Uint64s("parts", claim.parts), zap.Error(err))
		return false
	}
	for i, id := range claim.parts {
		if p, ok := l.parts[id]; ok {
			p.trial, p.changedAt = claim.trials[i], time.Now()
		}
	}
	l.options.Log.Info("trial of quarantined prompt parts", zap.Uint64s("parts", claim.parts), zap.Int("number", claim.trials[0].Number))
	return true
}

// hasClaim reports whether the rows of a claim were read, although the response to its
// write was lost. The caller holds the lock.
func (l *List) hasClaim(claim *trialClaim) bool {
	for i, id := range claim.parts {
		if p, ok := l.parts[id]; !ok || p.trial != claim.trials[i] {
			return false
		}
	}
	return true
}

// ReturnTrial records that no upstream ran the trial of these parts, so that another
// request may be the trial.
func (l *List) ReturnTrial(parts []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range parts {
		if p, ok := l.parts[id]; ok && p.quarantined {
			p.returnedUntil = time.Now().Add(returnedTrialTTL)
		}
	}
}
