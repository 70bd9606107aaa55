package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/instance/instancepb"
	"github.com/daisylb/daisylb/retry"
	"github.com/daisylb/daisylb/storage"
)

const (
	// listTimeout bounds one read of the list.
	listTimeout = 5 * time.Second
	// joinAttempts is the number of listed instances that may fail to answer in
	// turn before a new instance assumes that it is the first. It also bounds
	// the attempts of a synchronisation after a pause.
	joinAttempts = 5
	// syncTimeoutFactor is how many probe timeouts a synchronisation may take.
	syncTimeoutFactor = 6
)

// listBackoff spaces the reads of the list while the platform fails.
var listBackoff = retry.Backoff{Min: 2 * time.Second, Max: time.Minute}

// pollList reads the platform's list until ctx ends. While reads fail, the last
// list stays in use.
func (m *Membership) pollList(ctx context.Context) {
	for {
		delay := m.readList(ctx)
		if !m.sleep(ctx, delay) {
			return
		}
	}
}

// readList reads the list once and returns the delay until the next read.
func (m *Membership) readList(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.options.List.Instances(ctx)
	m.options.pausePoint()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if m.listFailures == 0 {
			m.log.Warn("reading the instance list failed; using the last one", zap.Error(err))
		}
		m.listFailures++
		m.metrics.countListRead("failed")
		return listBackoff.Min/2 + listBackoff.Delay(m.listFailures)
	}
	m.listFailures = 0
	m.listReadAt = time.Now()
	m.logUnreadableEntries(list)
	m.table.setList(m.listReadAt, list)
	m.metrics.countListRead("read")
	return m.listPollDelay()
}

// logUnreadableEntries logs the number of entries without an ID, which are ignored,
// when it has changed. m.mu is held.
func (m *Membership) logUnreadableEntries(list []storage.ListedInstance) {
	unreadable := 0
	for _, l := range list {
		if l.ID == "" {
			unreadable++
		}
	}
	if unreadable > 0 && unreadable != m.unreadableEntries {
		m.log.Warn("entries of the instance list ignored", zap.Int("unreadable", unreadable), zap.Int("entries", len(list)))
	}
	m.unreadableEntries = unreadable
}

// listPollDelay returns the delay until the next read, randomised to spread the
// reads of all instances evenly. m.mu is held.
func (m *Membership) listPollDelay() time.Duration {
	interval := m.options.listInterval(m.table.live())
	return interval/2 + time.Duration(m.table.random.Int64N(int64(interval)))
}

// syncLoop joins the other instances and then synchronises with a random member
// at random intervals, which repairs what gossip lost.
func (m *Membership) syncLoop(ctx context.Context) {
	m.join(ctx)
	m.joinOnce.Do(func() { close(m.joined) })
	for m.sleep(ctx, m.syncDelay()) {
		m.syncWithRandomMember(ctx)
	}
}

// syncWithRandomMember synchronises with a random alive member and reports
// whether it answered.
func (m *Membership) syncWithRandomMember(ctx context.Context) bool {
	m.mu.Lock()
	r, ok := m.table.pickRandom(func(r *record) bool { return r.member.Health == Alive })
	address := ""
	if ok {
		address = r.member.PeerAddress
	}
	m.mu.Unlock()
	return ok && m.sync(ctx, address)
}

// syncAfterPause synchronises with random members until one answers, at most
// joinAttempts times.
func (m *Membership) syncAfterPause(ctx context.Context) {
	for range joinAttempts {
		if m.syncWithRandomMember(ctx) || ctx.Err() != nil {
			return
		}
	}
}

func (m *Membership) syncDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := m.options.SyncInterval
	return interval/2 + time.Duration(m.table.random.Int64N(int64(interval)))
}

// join synchronises with listed instances until one answers. It gives up when
// the list has been read and names no other instance, or when joinAttempts
// attempts failed.
func (m *Membership) join(ctx context.Context) {
	for failures := 0; failures < joinAttempts; {
		m.mu.Lock()
		_, address, ok := m.table.nonMember()
		listRead := !m.listReadAt.IsZero()
		joined := m.table.live() > 1
		m.mu.Unlock()
		if joined || listRead && !ok || ok && m.sync(ctx, address) {
			return
		}
		if listRead {
			failures++
		}
		if !m.sleep(ctx, m.jitter(m.options.Period/2)) {
			return
		}
	}
}

// sync synchronises memberships with the instance at the address: each side
// receives the live members that it does not know. It reports whether that
// instance answered.
func (m *Membership) sync(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, m.scaleTimeout(syncTimeoutFactor*m.options.ProbeTimeout))
	defer cancel()
	response, err := m.options.Prober.Sync(ctx, address, m.syncRequest(nil))
	m.options.pausePoint()
	if err != nil {
		return false
	}
	m.receive(response.GetGossip())
	if len(response.GetEntries()) == 0 {
		return true
	}
	m.mu.Lock()
	m.mergeAndRefute(func() { m.table.receiveAll(time.Now(), response.GetEntries()) })
	missing := m.table.missingEntries(response.GetEntries())
	m.mu.Unlock()
	m.publish(false)
	if len(missing) > 0 {
		// If this fails, the next synchronisation sends the missing entries.
		_, _ = m.options.Prober.Sync(ctx, address, m.syncRequest(missing))
	}
	return true
}

func (m *Membership) syncRequest(entries []*instancepb.Entry) *instancepb.SyncRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.table.gossip(time.Now(), 0)
	g.Sender = m.table.self.entry(true)
	return &instancepb.SyncRequest{Gossip: g, Fingerprint: m.table.fingerprint(), Entries: entries}
}
