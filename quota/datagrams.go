package quota

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// datagram is an encoded message that waits to be sent.
type datagram struct {
	address netip.AddrPort
	data    []byte
}

// maxOutgoing is several times the messages that an instance sends within answerTimeout at
// a thousand requests a second. Further ones count as lost.
const maxOutgoing = 256

// transmit sends the queued datagrams until ctx ends. A failed send is handled like a lost
// datagram.
func (l *Limiter) transmit(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-l.outgoing:
			_, _ = l.options.Conn.WriteToUDPAddrPort(d.data, d.address)
		}
	}
}

// grant grants tokens of a share that this instance owns. An account without a limit by the
// document in force here gets what it asks for. l.mu must be held.
func (l *Limiter) grant(name string, share, want int, now time.Duration) Grant {
	limit, ok := l.options.Limit(name)
	switch {
	case !ok:
		return Grant{Status: NotOwner}
	case limit.PerSecond <= 0:
		return Grant{Status: Granted, Tokens: want}
	}
	g := l.owner.grant(name, share, want, limit, now)
	l.metrics.granted.Add(float64(g.Tokens))
	if g.Status == Denied {
		l.metrics.denied.Inc()
	}
	return g
}

// receive handles messages until the connection is closed.
func (l *Limiter) receive() {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := l.options.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.options.Log.Warn("quota message not received", zap.Error(err))
			time.Sleep(answerTimeout)
			continue
		}
		l.handle(buffer[:n], from)
	}
}

// handle handles a datagram.
func (l *Limiter) handle(data []byte, from netip.AddrPort) {
	m, err := decodeMessage(data)
	if err != nil {
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	if !m.isAnswer {
		g := l.grant(m.account, m.share, m.tokens, now)
		answer := message{id: m.id, share: m.share, tokens: g.Tokens, isAnswer: true, status: g.Status, wait: g.Wait}
		l.send(from, answer.append(nil))
		return
	}
	q := l.pending[m.id]
	if q == nil || q.address != from || q.share != m.share {
		return
	}
	delete(l.pending, m.id)
	delete(l.skippedUntil, q.owner)
	l.metrics.answerTime.Observe((now - q.sentAt).Seconds())
	l.apply(q, Grant{m.status, m.tokens, m.wait}, now)
}

// finish wakes the requests that wait for an answer. l.mu must be held.
func (l *Limiter) finish(q *ask) {
	if q.account.ask == q {
		q.account.ask = nil
		close(q.done)
	}
}

// apply applies the answer to a request for tokens. l.mu must be held.
func (l *Limiter) apply(q *ask, g Grant, now time.Duration) {
	switch g.Status {
	case Granted:
		q.account.add(g.Tokens, q.sentAt, now)
	case Denied:
		q.account.deny(q.share, g.Wait, now)
	default:
		q.account.unavailableUntil[q.share] = now + notOwnerTime
	}
	l.finish(q)
}
