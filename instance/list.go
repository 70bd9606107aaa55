package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/instance/instancepb"
	"github.com/daisylb/daisylb/retry"
)

const (
	// listTimeout bounds one read of the list.
	listTimeout = 5 * time.Second
	// joinAttempts is how many outsiders in turn may leave a new instance
	// without an answer before it takes itself for the first.
	joinAttempts = 5
	// syncTimeouts is how many probe timeouts a comparison may take.
	syncTimeouts = 6
)

// listBackoff spaces reads of the list while the platform fails.
var listBackoff = retry.Backoff{Min: 2 * time.Second, Max: time.Minute}

// pollList reads the platform's list. While the platform is down the last list
// stays in use.
func (m *Membership) pollList(ctx context.Context) {
	for {
		wait := m.readList(ctx)
		if !m.sleep(ctx, wait) {
			return
		}
	}
}

// readList reads the list once and returns the time until the next read.
func (m *Membership) readList(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.options.List.Instances(ctx)
	m.options.gate()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if m.listFails == 0 {
			m.log.Warn("instance list not read, the last one stays in use", zap.Error(err))
		}
		m.listFails++
		m.metrics.list("failed")
		return listBackoff.Min/2 + listBackoff.Wait(m.listFails)
	}
	m.listFails = 0
	m.listRead = time.Now()
	m.table.setList(m.listRead, list)
	m.metrics.list("read")
	return m.listWait()
}

// listWait spreads the reads of all instances evenly; m.mu is held.
func (m *Membership) listWait() time.Duration {
	interval := m.options.listInterval(m.table.live())
	return interval/2 + time.Duration(m.table.random.Int64N(int64(interval)))
}

// compare joins the others and then compares whole memberships with a random
// member now and then, which mends what gossip lost.
func (m *Membership) compare(ctx context.Context) {
	m.join(ctx)
	m.joinOnce.Do(func() { close(m.joined) })
	for m.sleep(ctx, m.syncWait()) {
		m.compareOnce(ctx)
	}
}

// compareOnce compares memberships with a random member and reports success.
func (m *Membership) compareOnce(ctx context.Context) bool {
	m.mu.Lock()
	r, ok := m.table.draw(func(r *record) bool { return r.member.Health == Alive })
	address := ""
	if ok {
		address = r.member.PeerAddress
	}
	m.mu.Unlock()
	return ok && m.sync(ctx, address)
}

// catchUp compares memberships with the first of several members that answers.
func (m *Membership) catchUp(ctx context.Context) {
	for range joinAttempts {
		if m.compareOnce(ctx) || ctx.Err() != nil {
			return
		}
	}
}

func (m *Membership) syncWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := m.options.SyncInterval
	return interval/2 + time.Duration(m.table.random.Int64N(int64(interval)))
}

// join compares memberships with listed instances until one answers. It gives
// up when the list has been read and names no other, or several in turn do not
// answer.
func (m *Membership) join(ctx context.Context) {
	for failures := 0; failures < joinAttempts; {
		m.mu.Lock()
		_, address, ok := m.table.outsider()
		read := !m.listRead.IsZero()
		known := m.table.live() > 1
		m.mu.Unlock()
		if known || read && !ok || ok && m.sync(ctx, address) {
			return
		}
		if read {
			failures++
		}
		if !m.sleep(ctx, m.jitter(m.options.Period/2)) {
			return
		}
	}
}

// sync compares memberships with the instance at the address and makes both
// complete. It reports whether that one answered.
func (m *Membership) sync(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, m.scaled(syncTimeouts*m.options.ProbeTimeout))
	defer cancel()
	answer, err := m.options.Prober.Sync(ctx, address, m.syncRequest(nil))
	m.options.gate()
	if err != nil {
		return false
	}
	m.receive(answer.GetGossip())
	if len(answer.GetEntries()) == 0 {
		return true
	}
	m.mu.Lock()
	m.refuting(func() { m.table.receiveAll(time.Now(), answer.GetEntries()) })
	lacking := m.table.lacking(answer.GetEntries())
	m.mu.Unlock()
	m.publish(false)
	if len(lacking) > 0 {
		// A lost answer is made up for by the next comparison.
		_, _ = m.options.Prober.Sync(ctx, address, m.syncRequest(lacking))
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
