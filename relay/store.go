// Package relay keeps the store in reach of an instance that it refuses or that
// is cut off from it: calls that could not reach the store go through another
// instance. It holds nothing and agrees on nothing; the store decides as ever,
// and a call whose outcome is not known is never made a second time here.
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

// Options configure a Store.
type Options struct {
	// Direct is the store itself.
	Direct storage.RowStore
	// Peers returns the addresses of other instances that live.
	Peers func() []string
	// Client of the connections to peers.
	Client connect.HTTPClient
	Log    *zap.Logger
}

const (
	// Bounds of the time for which the store is asked through peers after it could
	// not be reached; then one call tries again.
	minDetour = 500 * time.Millisecond
	maxDetour = 4 * time.Second
	// peerPause follows a call that a peer could not make either. In an outage of
	// the whole store it bounds what is asked in vain.
	peerPause = time.Second
	// peersAsked bounds the peers of one call, peerAvoidance is how long a peer
	// that the store refuses as well is left alone.
	peersAsked    = 2
	peerAvoidance = 3 * time.Second
	maxAvoided    = 1 << 10
	// callTimeout bounds a call through a peer.
	callTimeout = 2 * time.Second
	// maxFeedWait bounds the wait of a feed through a peer, feedGrace is what it has
	// beyond that: two peers that are cut off themselves keep a feed for 1.6 s.
	maxFeedWait = 400 * time.Millisecond
	feedGrace   = 400 * time.Millisecond
)

// Store is a storage.RowStore that may take a detour. It is safe for concurrent
// use.
type Store struct {
	options Options

	mu sync.Mutex
	// detour is until when the store is asked through peers, length how long that
	// was; noPeer is until when no peer is asked.
	detour time.Time
	length time.Duration
	noPeer time.Time
	// avoid has until when a peer that could not reach the store is not asked.
	avoid map[string]time.Time
	// ended is closed when the store is reached directly after a detour.
	ended chan struct{}
}

var _ storage.RowStore = (*Store)(nil)

// New returns a Store.
func New(o Options) *Store {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Store{options: o, avoid: map[string]time.Time{}, ended: make(chan struct{})}
}

// call is one call, made directly or through a peer.
type call[T any] struct {
	direct func() (T, error)
	peer   func(ctx context.Context, c relaypbconnect.RelayServiceClient) (T, error)
	// reads are asked for directly as soon as the detour is over: a peer may be cut off
	// or frozen. The outcome of a write would not be known.
	reads bool
}

// unreached reports whether the store has not taken a call in.
func unreached(err error) bool {
	n := code.Of(err)
	return n == code.StoreUnavailable || n == code.StoreThrottled
}

func run[T any](ctx context.Context, s *Store, c call[T]) (T, error) {
	now := time.Now()
	peers := s.peers(now)
	var v T
	var err error
	if len(peers) == 0 || !s.onDetour(now) {
		v, err = c.direct()
		if !unreached(err) {
			// A lost answer does not show that the store can be reached.
			if code.Of(err) != code.StoreUnknown {
				s.reached()
			}
			return v, err
		}
		s.failed(time.Now(), err)
	}
	detour, cancel := s.whileOnDetour(ctx, c.reads)
	defer cancel()
	for _, address := range peers {
		client := relaypbconnect.NewRelayServiceClient(s.options.Client, link.URL(address), link.ClientOptions())
		v, err = c.peer(detour, client)
		if !unreached(err) {
			return v, err
		}
		if detour.Err() != nil && ctx.Err() == nil {
			return c.direct()
		}
		s.peerFailed(address, time.Now())
	}
	if len(peers) > 0 {
		s.allFailed(time.Now())
	}
	return v, err
}

func (s *Store) onDetour(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.detour)
}

// whileOnDetour returns a context of calls through peers, which for reads ends with the
// detour.
func (s *Store) whileOnDetour(ctx context.Context, reads bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if !reads {
		return ctx, cancel
	}
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	go func() {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// reached ends the detour.
func (s *Store) reached() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.length > 0 {
		s.options.Log.Info("store reached directly again")
		close(s.ended)
		s.ended = make(chan struct{})
	}
	s.detour, s.length = time.Time{}, 0
}

// failed begins or prolongs the detour.
func (s *Store) failed(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.length == 0 {
		s.options.Log.Info("store asked through peers", zap.Error(err))
	}
	s.length = min(max(2*s.length, minDetour), maxDetour)
	s.detour = now.Add(s.length)
}

// peerFailed notes a peer that could not reach the store either.
func (s *Store) peerFailed(address string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.avoid) > maxAvoided {
		clear(s.avoid)
	}
	s.avoid[address] = now.Add(peerAvoidance)
}

// allFailed notes that no peer that was asked could reach the store. The store
// itself is asked next.
func (s *Store) allFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noPeer = now.Add(peerPause/2 + rand.N(peerPause))
	s.detour = time.Time{}
}

// peers draws the peers to ask, none while that is in vain.
func (s *Store) peers(now time.Time) []string {
	all := s.options.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.noPeer) {
		return nil
	}
	var drawn []string
	for _, i := range rand.Perm(len(all)) {
		if now.Before(s.avoid[all[i]]) {
			continue
		}
		if drawn = append(drawn, all[i]); len(drawn) == peersAsked {
			break
		}
	}
	return drawn
}

// readError is the error of a read through a peer.
func readError(err error) error {
	switch code.Of(err) {
	case 0, code.StoreConflict, code.StoreNotFound, code.StoreHistoryGone, code.StoreTooLarge:
		return err
	}
	return code.Wrap(code.StoreUnavailable, err, "the store can't be reached through a peer")
}

// writeError is the error of a write through a peer: the peer may have made the
// call when its own answer is lost.
func writeError(err error) error {
	switch code.Of(err) {
	case 0, code.StoreConflict, code.StoreTooLarge, code.StoreUnavailable, code.StoreThrottled:
		return err
	}
	return code.Wrap(code.StoreUnknown, err, "the answer of a peer was lost")
}

// GetRows implements storage.Rows.
func (s *Store) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	return run(ctx, s, call[storage.RowPage]{
		reads:  true,
		direct: func() (storage.RowPage, error) { return s.options.Direct.GetRows(ctx, table, part, from, to) },
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
	return run(ctx, s, call[storage.RowPage]{
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
	return run(ctx, s, call[storage.RowPage]{
		reads:  true,
		direct: func() (storage.RowPage, error) { return s.options.Direct.RowChanges(ctx, table, after, wait) },
		peer: func(ctx context.Context, c relaypbconnect.RelayServiceClient) (storage.RowPage, error) {
			wait := min(wait, maxFeedWait)
			ctx, cancel := context.WithTimeout(ctx, wait+feedGrace)
			defer cancel()
			m := &relaypb.RowChangesRequest{Table: table, After: after, WaitMs: wait.Milliseconds()}
			return pageOf(c.RowChanges(ctx, connect.NewRequest(m)))
		},
	})
}

// RowParts implements storage.Rows; it takes no detour.
func (s *Store) RowParts(ctx context.Context, table string) ([]string, error) {
	return s.options.Direct.RowParts(ctx, table)
}

// PutBlob implements storage.Blobs.
func (s *Store) PutBlob(ctx context.Context, name string, body []byte) error {
	_, err := run(ctx, s, call[struct{}]{
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
	return run(ctx, s, call[[]byte]{
		reads:  true,
		direct: func() ([]byte, error) { return s.options.Direct.GetBlob(ctx, name) },
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

// DropBlob implements storage.Blobs; it takes no detour.
func (s *Store) DropBlob(ctx context.Context, name string) error {
	return s.options.Direct.DropBlob(ctx, name)
}
