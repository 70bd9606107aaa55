// Package relay lets an instance that cannot reach the store, or whose calls
// the store rejects, make its calls through another instance. It stores nothing
// and decides nothing: every result comes from the store. A call whose outcome
// is unknown is never repeated.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/relay/relaypb"
	"github.com/daisylb/daisylb/relay/relaypb/relaypbconnect"
	"github.com/daisylb/daisylb/storage"
)

// Options configures a Store.
type Options struct {
	// Direct is the store without a relay; required.
	Direct storage.RowStore
	// Peers returns the peer addresses, IP:port, of the other live instances;
	// required.
	Peers func() []string
	// Client makes the calls to peers; required.
	Client connect.HTTPClient
	// Log may be nil.
	Log *zap.Logger
}

const (
	// minRelayPeriod and maxRelayPeriod bound the time for which calls go
	// through peers after the store could not be reached. The next call then
	// tries the store directly. The time doubles with each failed attempt.
	minRelayPeriod = 500 * time.Millisecond
	maxRelayPeriod = 4 * time.Second
	// peerOutageBackoff is the mean time without calls through peers after no
	// peer of a call could reach the store either. It limits useless calls in
	// an outage of the whole store.
	peerOutageBackoff = time.Second
	// maxPeersPerCall bounds the peers that are tried for one call.
	// peerBackoff is how long a peer is not used after it could not reach the
	// store, and maxPeerBackoffs bounds the number of peers in such a backoff.
	maxPeersPerCall = 2
	peerBackoff     = 3 * time.Second
	maxPeerBackoffs = 1 << 10
	// callTimeout bounds a call through a peer.
	callTimeout = 2 * time.Second
	// maxFeedWait bounds the wait of a feed at a peer, and feedGrace is the
	// time that the call may take beyond that. Two unresponsive peers thus
	// delay a feed by 1.6 s.
	maxFeedWait = 400 * time.Millisecond
	feedGrace   = 400 * time.Millisecond
	// maxMessageBytes is the largest size of a message. It holds an object of 8 MB,
	// the largest that the platform stores.
	maxMessageBytes = 8<<20 + 64<<10
	// maxFeedBytes bounds the changes in one response of a peer. A page of a table
	// has at most half of that.
	maxFeedBytes = 2 << 20
)

// Store is a storage.RowStore that makes calls through peers while the store
// cannot be reached directly. It is safe for concurrent use.
type Store struct {
	options Options

	mu sync.Mutex
	// relayUntil is the end of the current relay period, in which calls go
	// through peers. relayPeriod is the length of the last one, 0 if the store
	// was reached directly since. Until noPeersUntil, no peer is called.
	relayUntil   time.Time
	relayPeriod  time.Duration
	noPeersUntil time.Time
	// peerRetryAt is when a peer that could not reach the store may be used
	// again, by address.
	peerRetryAt map[string]time.Time
	// relayEnded is closed and replaced when the store is reached directly
	// after relay periods.
	relayEnded chan struct{}
}

var _ storage.RowStore = (*Store)(nil)

// New returns a Store.
func New(o Options) *Store {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	o.Client = link.FramedClient{Client: o.Client}
	return &Store{options: o, peerRetryAt: map[string]time.Time{}, relayEnded: make(chan struct{})}
}

// call is one call of the store, made directly or through a peer.
type call[T any] struct {
	direct func() (T, error)
	peer   func(ctx context.Context, c relaypbconnect.RelayServiceClient) (T, error)
	// readOnly calls are made directly as soon as relaying ends, because the
	// peer may be isolated or frozen. A write is not: its outcome at the peer
	// would be unknown.
	readOnly bool
}

// notAccepted reports whether err shows that the store did not accept the call,
// so that it did not take effect.
func notAccepted(err error) bool {
	n := code.Of(err)
	return n == code.StoreUnavailable || n == code.StoreThrottled
}

// runCall makes the call directly or, if that is not possible at the moment,
// through up to maxPeersPerCall peers. It tries the next way only if the store
// did not accept the call.
func runCall[T any](ctx context.Context, s *Store, c call[T]) (T, error) {
	now := time.Now()
	peers := s.pickPeers(now)
	var v T
	var err error
	if len(peers) == 0 || !s.relaying(now) {
		v, err = c.direct()
		if !notAccepted(err) {
			// A lost response does not show that the store can be reached.
			if code.Of(err) != code.StoreUnknown {
				s.endRelaying()
			}
			return v, err
		}
		s.extendRelaying(time.Now(), err)
	}
	relayCtx, cancel := s.relayContext(ctx, c.readOnly)
	defer cancel()
	for _, address := range peers {
		client := relaypbconnect.NewRelayServiceClient(s.options.Client, link.URL(address), link.ClientOptions(), connect.WithReadMaxBytes(maxMessageBytes))
		v, err = c.peer(relayCtx, client)
		if !notAccepted(err) {
			return v, err
		}
		if relayCtx.Err() != nil && ctx.Err() == nil {
			return c.direct()
		}
		s.recordPeerFailure(address, time.Now())
	}
	if len(peers) > 0 {
		s.recordAllPeersFailed(time.Now())
	}
	return v, err
}

// relaying reports whether calls go through peers at the moment.
func (s *Store) relaying(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.relayUntil)
}

// relayContext returns the context for calls through peers. For read-only calls
// it ends when the store is reached directly again.
func (s *Store) relayContext(ctx context.Context, readOnly bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if !readOnly {
		return ctx, cancel
	}
	s.mu.Lock()
	relayEnded := s.relayEnded
	s.mu.Unlock()
	go func() {
		select {
		case <-relayEnded:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// endRelaying records that the store was reached directly.
func (s *Store) endRelaying() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayPeriod > 0 {
		s.options.Log.Info("store reached directly again")
		close(s.relayEnded)
		s.relayEnded = make(chan struct{})
	}
	s.relayUntil, s.relayPeriod = time.Time{}, 0
}

// extendRelaying records that the store was not reached directly. It starts a
// relay period, or the next one of twice the length.
func (s *Store) extendRelaying(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayPeriod == 0 {
		s.options.Log.Info("store not reached directly; calling it through peers", zap.Error(err))
	}
	s.relayPeriod = min(max(2*s.relayPeriod, minRelayPeriod), maxRelayPeriod)
	s.relayUntil = now.Add(s.relayPeriod)
}

// recordPeerFailure records that a peer could not reach the store either.
func (s *Store) recordPeerFailure(address string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peerRetryAt) > maxPeerBackoffs {
		clear(s.peerRetryAt)
	}
	s.peerRetryAt[address] = now.Add(peerBackoff)
}

// recordAllPeersFailed records that no peer of a call could reach the store.
// The next call goes to the store directly.
func (s *Store) recordAllPeersFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noPeersUntil = now.Add(peerOutageBackoff/2 + rand.N(peerOutageBackoff))
	s.relayUntil = time.Time{}
}

// pickPeers returns random peers for one call, or none before noPeersUntil.
func (s *Store) pickPeers(now time.Time) []string {
	all := s.options.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.noPeersUntil) {
		return nil
	}
	var picked []string
	for _, i := range rand.Perm(len(all)) {
		if now.Before(s.peerRetryAt[all[i]]) {
			continue
		}
		if picked = append(picked, all[i]); len(picked) == maxPeersPerCall {
			break
		}
	}
	return picked
}

// readError converts the error of a read through a peer. Any error that is not
// a result of the store becomes code.StoreUnavailable, since a read may be
// repeated.
func readError(err error) error {
	switch code.Of(err) {
	case 0, code.StoreConflict, code.StoreNotFound, code.StoreHistoryGone, code.StoreTooLarge, code.StoreFull:
		return err
	}
	return code.Wrap(code.StoreUnavailable, err, "the store can't be reached through a peer")
}

// writeError converts the error of a write through a peer. Any error that is
// not a result of the store becomes code.StoreUnknown, since the peer may have
// made the call although its response was lost.
func writeError(err error) error {
	switch code.Of(err) {
	case 0, code.StoreConflict, code.StoreTooLarge, code.StoreFull, code.StoreUnavailable, code.StoreThrottled:
		return err
	}
	return code.Wrap(code.StoreUnknown, err, "the answer of a peer was lost")
}

// GetRows implements storage.Rows.
func (s *Store) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	return runCall(ctx, s, call[storage.RowPage]{
		readOnly: true,
		direct:   func() (storage.RowPage, error) { return s.options.Direct.GetRows(ctx, table, part, from, to) },
		peer: func(ctx context.Context, c relaypbconnect.RelayServiceClient) (storage.RowPage, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			m := &relaypb.GetRowsRequest{Table: table, Part: part, From: from, To: to}
			return pageOf(c.GetRows(ctx, connect.NewRequest(m)))
		},
	})
}

func pageOf(r *connect.Response[relaypb.Page], err error) (storage.RowPage, error) {
	if err != nil {
		return storage.RowPage{}, readError(err)
	}
	return decodePage(r.Msg)
}

// ApplyRows implements storage.Rows.
func (s *Store) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	return runCall(ctx, s, call[storage.RowPage]{
		direct: func() (storage.RowPage, error) { return s.options.Direct.ApplyRows(ctx, t) },
		peer: func(ctx context.Context, c relaypbconnect.RelayServiceClient) (storage.RowPage, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := c.ApplyRows(ctx, connect.NewRequest(encodeTransaction(t)))
			if err != nil {
				return storage.RowPage{}, writeError(err)
			}
			return decodePage(r.Msg)
		},
	})
}

// RowChanges implements storage.Rows.
func (s *Store) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	return runCall(ctx, s, call[storage.RowPage]{
		readOnly: true,
		direct:   func() (storage.RowPage, error) { return s.options.Direct.RowChanges(ctx, table, after, wait) },
		peer: func(ctx context.Context, c relaypbconnect.RelayServiceClient) (storage.RowPage, error) {
			wait := min(wait, maxFeedWait)
			ctx, cancel := context.WithTimeout(ctx, wait+feedGrace)
			defer cancel()
			m := &relaypb.RowChangesRequest{Table: table, After: after, WaitMs: wait.Milliseconds()}
			return pageOf(c.RowChanges(ctx, connect.NewRequest(m)))
		},
	})
}

// RowParts implements storage.Rows. It is never made through a peer.
func (s *Store) RowParts(ctx context.Context, table string) ([]string, error) {
	return s.options.Direct.RowParts(ctx, table)
}

// PutBlob implements storage.Blobs.
func (s *Store) PutBlob(ctx context.Context, name string, body []byte) error {
	_, err := runCall(ctx, s, call[struct{}]{
		direct: func() (struct{}, error) { return struct{}{}, s.options.Direct.PutBlob(ctx, name, body) },
		peer: func(ctx context.Context, c relaypbconnect.RelayServiceClient) (struct{}, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, err := c.PutBlob(ctx, connect.NewRequest(&relaypb.Blob{Name: name, Body: body}))
			return struct{}{}, writeError(err)
		},
	})
	return err
}

// GetBlob implements storage.Blobs.
func (s *Store) GetBlob(ctx context.Context, name string) ([]byte, error) {
	return runCall(ctx, s, call[[]byte]{
		readOnly: true,
		direct:   func() ([]byte, error) { return s.options.Direct.GetBlob(ctx, name) },
		peer: func(ctx context.Context, c relaypbconnect.RelayServiceClient) ([]byte, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := c.GetBlob(ctx, connect.NewRequest(&relaypb.BlobName{Name: name}))
			if err != nil {
				return nil, readError(err)
			}
			return r.Msg.GetBody(), nil
		},
	})
}

// DropBlob implements storage.Blobs. It is never made through a peer.
func (s *Store) DropBlob(ctx context.Context, name string) error {
	return s.options.Direct.DropBlob(ctx, name)
}
