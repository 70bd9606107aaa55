package relay_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/standin/pipes"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// faultyStore is a row store with faults that a test can switch on.
type faultyStore struct {
	storage.RowStore
	// unavailable rejects every call before it takes effect.
	unavailable atomic.Bool
	// loseResponses loses the responses of transactions that were applied.
	loseResponses atomic.Bool
	// stopping is set while the instance of the store is stopping.
	stopping atomic.Bool
	calls    atomic.Int64
}

func (r *faultyStore) err() error {
	r.calls.Add(1)
	if r.unavailable.Load() {
		return code.New(code.StoreUnavailable, "refused")
	}
	return nil
}

func (r *faultyStore) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	if err := r.err(); err != nil {
		return storage.RowPage{}, err
	}
	return r.RowStore.GetRows(ctx, table, part, from, to)
}

func (r *faultyStore) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if err := r.err(); err != nil {
		return storage.RowPage{}, err
	}
	page, err := r.RowStore.ApplyRows(ctx, t)
	if r.loseResponses.Load() {
		return storage.RowPage{}, code.New(code.StoreUnknown, "the answer was lost")
	}
	return page, err
}

func (r *faultyStore) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	if err := r.err(); err != nil {
		return storage.RowPage{}, err
	}
	return r.RowStore.RowChanges(ctx, table, after, wait)
}

func (r *faultyStore) PutBlob(ctx context.Context, name string, body []byte) error {
	if err := r.err(); err != nil {
		return err
	}
	return r.RowStore.PutBlob(ctx, name, body)
}

func (r *faultyStore) GetBlob(ctx context.Context, name string) ([]byte, error) {
	if err := r.err(); err != nil {
		return nil, err
	}
	return r.RowStore.GetBlob(ctx, name)
}

// newRelayStore returns a relay.Store that uses peers, its direct store, the
// peers' stores, and the store behind all of them.
func newRelayStore(t *testing.T, peers int) (*relay.Store, *faultyStore, []*faultyStore, *memory.Rows) {
	t.Helper()
	return newRelayStoreOn(t, httptest.NewServer, &http.Transport{}, peers)
}

// newRelayStoreOn is like newRelayStore on a given network.
func newRelayStoreOn(t *testing.T, serve func(http.Handler) *httptest.Server, transport *http.Transport, peers int) (*relay.Store, *faultyStore, []*faultyStore, *memory.Rows) {
	t.Helper()
	store := memory.NewRows()
	var addresses []string
	var peerStores []*faultyStore
	for range peers {
		peerStore := &faultyStore{RowStore: store}
		mux := http.NewServeMux()
		mux.Handle(relay.NewHandler(peerStore, peerStore.stopping.Load))
		server := serve(mux)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		peerStores = append(peerStores, peerStore)
	}
	direct := &faultyStore{RowStore: store}
	client := &http.Client{Transport: transport}
	t.Cleanup(client.CloseIdleConnections)
	return relay.New(relay.Options{Direct: direct, Peers: func() []string { return addresses }, Client: client}), direct, peerStores, store
}

func row(key, value string) storage.TableRow {
	return storage.TableRow{RowKey: storage.RowKey{Table: "t", Part: "p", Key: key}, Value: []byte(value)}
}

func TestUnreachableStoreIsCalledThroughAPeer(t *testing.T) {
	s, direct, peers, _ := newRelayStore(t, 3)
	direct.unavailable.Store(true)
	peers[0].unavailable.Store(true)
	ctx := t.Context()
	for range 5 {
		if _, err := s.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}); err != nil {
			t.Fatal(err)
		}
	}
	page, err := s.GetRows(ctx, "t", "p", "", "")
	if err != nil || len(page.Rows) != 1 || page.Version != 5 || page.Now == 0 {
		t.Errorf("%+v, %v", page, err)
	}
	if page, err := s.RowChanges(ctx, "t", 4, time.Second); err != nil || len(page.Rows) != 1 {
		t.Errorf("%+v, %v", page, err)
	}
	if err := s.PutBlob(ctx, "b", []byte("body")); err != nil {
		t.Error(err)
	}
	if body, err := s.GetBlob(ctx, "b"); err != nil || string(body) != "body" {
		t.Errorf("%q, %v", body, err)
	}
	if n := direct.calls.Load(); n > 5 {
		t.Errorf("the unavailable store was called directly %d times, want at most 5", n)
	}
}

// TestObjectOverFourMegabytesPassesThroughAPeer runs in virtual time: with the race detector
// on a busy machine the copying of the object takes longer than a call may take.
func TestObjectOverFourMegabytesPassesThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipes.Network{}
		s, direct, _, _ := newRelayStoreOn(t, network.NewServer, network.Transport(), 1)
		direct.unavailable.Store(true)
		body := bytes.Repeat([]byte("x"), 5<<20)
		if err := s.PutBlob(t.Context(), "b", body); err != nil {
			t.Errorf("write: %v", err)
		}
		if got, err := s.GetBlob(t.Context(), "b"); err != nil || !bytes.Equal(body, got) {
			t.Errorf("read: %d bytes, %v", len(got), err)
		}
	})
}

// TestTableWithManyChangesIsFollowedThroughAPeer changes more rows at once than a
// message between peers holds.
func TestTableWithManyChangesIsFollowedThroughAPeer(t *testing.T) {
	s, direct, _, store := newRelayStore(t, 1)
	// The platform's pages have at most 1 MB.
	store.SetFaults(memory.RowFaults{PageRows: 16})
	direct.unavailable.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	const rows = 100
	received := map[string]bool{}
	f := feed.New(feed.Options{Rows: s, Table: "t", Parts: []string{"p"}, Update: func(u feed.Update) {
		for _, r := range u.Rows {
			received[r.Key] = true
		}
		switch {
		case len(received) > rows:
			cancel()
		case len(received) == 1:
			for i := range rows {
				r := row(strconv.Itoa(i), strings.Repeat("x", 60_000))
				if _, err := store.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{r}}); err != nil {
					t.Error(err)
				}
			}
		}
	}})
	if _, err := store.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row("first", "v")}}); err != nil {
		t.Fatal(err)
	}
	_ = f.Run(ctx)
	if len(received) != rows+1 {
		t.Errorf("%d of %d rows received", len(received), rows+1)
	}
}

func TestResultsOfTheStorePassThroughAPeer(t *testing.T) {
	s, direct, peers, store := newRelayStore(t, 1)
	direct.unavailable.Store(true)
	ctx := t.Context()
	put := storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}
	if _, err := s.ApplyRows(ctx, put); err != nil {
		t.Fatal(err)
	}
	conflict := put
	conflict.Conditions = []storage.RowCondition{{RowKey: row("k", "").RowKey}}
	page, err := s.ApplyRows(ctx, conflict)
	want := row("k", "v")
	want.Version = 1
	if d := cmp.Diff([]storage.TableRow{want}, page.Rows); code.Of(err) != code.StoreConflict || d != "" {
		t.Errorf("got %v, want StoreConflict; rows (-want +got):\n%s", err, d)
	}
	if _, err := s.GetBlob(ctx, "none"); code.Of(err) != code.StoreNotFound {
		t.Errorf("a blob that does not exist: got %v, want StoreNotFound", err)
	}
	store.DropHistory()
	if _, err := s.RowChanges(ctx, "t", 0, time.Millisecond); code.Of(err) != code.StoreHistoryGone {
		t.Errorf("a feed from before the kept history: got %v, want StoreHistoryGone", err)
	}
	peers[0].loseResponses.Store(true)
	before := peers[0].calls.Load()
	if _, err := s.ApplyRows(ctx, put); code.Of(err) != code.StoreUnknown {
		t.Errorf("a lost response: got %v, want StoreUnknown", err)
	}
	if n := peers[0].calls.Load() - before; n != 1 {
		t.Errorf("a call whose response was lost was made %d times, want once", n)
	}
}

func TestCallGoesPastAPeerThatIsStopping(t *testing.T) {
	s, direct, peers, _ := newRelayStore(t, 2)
	direct.unavailable.Store(true)
	peers[0].stopping.Store(true)
	for range 8 {
		if _, err := s.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}); err != nil {
			t.Error(err)
		}
	}
	if n := peers[0].calls.Load(); n != 0 {
		t.Errorf("%d calls were made through an instance that is stopping", n)
	}
}

func TestLostAnswerOfTheStoreItselfIsNotRepeatedThroughAPeer(t *testing.T) {
	s, direct, peers, _ := newRelayStore(t, 2)
	direct.loseResponses.Store(true)
	_, err := s.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}})
	if code.Of(err) != code.StoreUnknown || peers[0].calls.Load()+peers[1].calls.Load() != 0 {
		t.Errorf("got %v and %d calls to peers, want StoreUnknown and none", err, peers[0].calls.Load()+peers[1].calls.Load())
	}
}

func TestOutageOfTheWholeStoreLimitsCallsToPeers(t *testing.T) {
	s, direct, peers, _ := newRelayStore(t, 6)
	direct.unavailable.Store(true)
	for _, p := range peers {
		p.unavailable.Store(true)
	}
	for range 50 {
		if _, err := s.GetRows(t.Context(), "t", "p", "", ""); code.Of(err) != code.StoreUnavailable {
			t.Fatalf("got %v, want StoreUnavailable", err)
		}
	}
	calls := int64(0)
	for _, p := range peers {
		calls += p.calls.Load()
	}
	if calls > 6 {
		t.Errorf("peers were called %d times for 50 calls, want at most 6", calls)
	}
}

// TestLostResponseDoesNotEndRelaying loses the response of a direct write: that
// does not show that the store can be reached, so that relaying must not end
// until a direct call is answered.
func TestLostResponseDoesNotEndRelaying(t *testing.T) {
	s, direct, _, _ := newRelayStore(t, 1)
	ctx := t.Context()
	direct.unavailable.Store(true)
	if _, err := s.GetRows(ctx, "t", "p", "", ""); err != nil {
		t.Fatal(err)
	}
	s.EndRelayPeriod()
	direct.unavailable.Store(false)
	direct.loseResponses.Store(true)
	if _, err := s.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}); code.Of(err) != code.StoreUnknown {
		t.Fatalf("got %v, want StoreUnknown", err)
	}
	if s.ReachedDirectly() {
		t.Error("the store counts as reached directly after a lost response")
	}
	direct.loseResponses.Store(false)
	if _, err := s.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}); err != nil {
		t.Fatal(err)
	}
	if !s.ReachedDirectly() {
		t.Error("the store does not count as reached directly after an answered write")
	}
}
