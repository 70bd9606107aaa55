package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// refusing is the store as an instance sees it that may be refused.
type refusing struct {
	storage.RowStore
	refused atomic.Bool
	lose    atomic.Bool
	calls   atomic.Int64
}

func (r *refusing) err() error {
	r.calls.Add(1)
	if r.refused.Load() {
		return code.New(code.StoreUnavailable, "refused")
	}
	return nil
}

func (r *refusing) GetRows(ctx context.Context, table, part, from, to string) (storage.RowPage, error) {
	if err := r.err(); err != nil {
		return storage.RowPage{}, err
	}
	return r.RowStore.GetRows(ctx, table, part, from, to)
}

func (r *refusing) ApplyRows(ctx context.Context, t storage.RowTransaction) (storage.RowPage, error) {
	if err := r.err(); err != nil {
		return storage.RowPage{}, err
	}
	page, err := r.RowStore.ApplyRows(ctx, t)
	if r.lose.Load() {
		return storage.RowPage{}, code.New(code.StoreUnknown, "the answer was lost")
	}
	return page, err
}

func (r *refusing) RowChanges(ctx context.Context, table string, after uint64, wait time.Duration) (storage.RowPage, error) {
	if err := r.err(); err != nil {
		return storage.RowPage{}, err
	}
	return r.RowStore.RowChanges(ctx, table, after, wait)
}

func (r *refusing) PutBlob(ctx context.Context, name string, body []byte) error {
	if err := r.err(); err != nil {
		return err
	}
	return r.RowStore.PutBlob(ctx, name, body)
}

func (r *refusing) GetBlob(ctx context.Context, name string) ([]byte, error) {
	if err := r.err(); err != nil {
		return nil, err
	}
	return r.RowStore.GetBlob(ctx, name)
}

// fleet has a store, peers that see it, and an instance in front.
func newFleet(t *testing.T, peers int) (*relay.Store, *refusing, []*refusing, *memory.Rows) {
	t.Helper()
	store := memory.NewRows()
	var addresses []string
	var others []*refusing
	for range peers {
		peer := &refusing{RowStore: store}
		mux := http.NewServeMux()
		mux.Handle(relay.NewHandler(peer))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		others = append(others, peer)
	}
	own := &refusing{RowStore: store}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return relay.New(relay.Options{Direct: own, Peers: func() []string { return addresses }, Client: client}), own, others, store
}

func row(key, value string) storage.TableRow {
	return storage.TableRow{RowKey: storage.RowKey{Table: "t", Part: "p", Key: key}, Value: []byte(value)}
}

func TestRefusedInstanceReachesTheStoreThroughAPeer(t *testing.T) {
	s, own, peers, _ := newFleet(t, 3)
	own.refused.Store(true)
	peers[0].refused.Store(true)
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
	if n := own.calls.Load(); n > 5 {
		t.Errorf("the store that refuses was asked %d times", n)
	}
}

func TestResultsOfTheStorePassThroughAPeer(t *testing.T) {
	s, own, peers, store := newFleet(t, 1)
	own.refused.Store(true)
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
		t.Errorf("%v\n%s", err, d)
	}
	if _, err := s.GetBlob(ctx, "none"); code.Of(err) != code.StoreNotFound {
		t.Errorf("got %v", err)
	}
	store.DropHistory()
	if _, err := s.RowChanges(ctx, "t", 0, time.Millisecond); code.Of(err) != code.StoreHistoryGone {
		t.Errorf("got %v", err)
	}
	peers[0].lose.Store(true)
	before := peers[0].calls.Load()
	if _, err := s.ApplyRows(ctx, put); code.Of(err) != code.StoreUnknown {
		t.Errorf("a lost answer: %v", err)
	}
	if n := peers[0].calls.Load() - before; n != 1 {
		t.Errorf("a call whose answer was lost was made %d times", n)
	}
}

func TestLostAnswerOfTheStoreItselfIsNotRepeatedThroughAPeer(t *testing.T) {
	s, own, peers, _ := newFleet(t, 2)
	own.lose.Store(true)
	_, err := s.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}})
	if code.Of(err) != code.StoreUnknown || peers[0].calls.Load()+peers[1].calls.Load() != 0 {
		t.Errorf("%v, peers asked %d times", err, peers[0].calls.Load()+peers[1].calls.Load())
	}
}

func TestOutageOfTheWholeStoreIsNotAskedForThroughEveryPeer(t *testing.T) {
	s, own, peers, _ := newFleet(t, 6)
	own.refused.Store(true)
	for _, p := range peers {
		p.refused.Store(true)
	}
	for range 50 {
		if _, err := s.GetRows(t.Context(), "t", "p", "", ""); code.Of(err) != code.StoreUnavailable {
			t.Fatalf("got %v", err)
		}
	}
	asked := int64(0)
	for _, p := range peers {
		asked += p.calls.Load()
	}
	if asked > 6 {
		t.Errorf("peers were asked %d times for 50 calls", asked)
	}
}

// TestLostAnswerDoesNotEndTheDetour lets the writes of an instance get no answer
// while its reads are refused: the reads go through a peer all the time.
func TestLostAnswerDoesNotEndTheDetour(t *testing.T) {
	s, own, _, _ := newFleet(t, 1)
	ctx := t.Context()
	own.refused.Store(true)
	if _, err := s.GetRows(ctx, "t", "p", "", ""); err != nil {
		t.Fatal(err)
	}
	s.EndDetour()
	own.refused.Store(false)
	own.lose.Store(true)
	if _, err := s.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}); code.Of(err) != code.StoreUnknown {
		t.Fatalf("got %v", err)
	}
	if s.ReachedDirectly() {
		t.Error("a write without an answer counts as the store reached")
	}
	own.lose.Store(false)
	if _, err := s.ApplyRows(ctx, storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}); err != nil {
		t.Fatal(err)
	}
	if !s.ReachedDirectly() {
		t.Error("an answered write does not count as the store reached")
	}
}
