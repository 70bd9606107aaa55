package httpstore_test

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
	standin "github.com/daisylb/daisylb/standin/platform"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/httpstore"
	"github.com/daisylb/daisylb/storage/memory"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// newTestStore returns a Store with a platform behind HTTP, and the memory store of
// that platform.
func newTestStore(t *testing.T, o httpstore.Options) (*httpstore.Store, *memory.Store) {
	t.Helper()
	backing := memory.New()
	server := httptest.NewServer(standin.New(backing))
	t.Cleanup(server.Close)
	o.URL = server.URL
	store, err := httpstore.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	return store, backing
}

// outcome is the result of an operation on either store.
type outcome struct {
	Row     storage.Row
	Rows    []storage.Row
	Applied storage.Applied
	Info    storage.ObjectInfo
	Infos   []storage.ObjectInfo
	Body    string
	Number  code.Number
}

// TestStoreMatchesMemoryStore runs random operations on a memory store and on a
// second one behind HTTP, also with lost responses. The results must be equal.
func TestStoreMatchesMemoryStore(t *testing.T) {
	remote, backing := newTestStore(t, httpstore.Options{})
	round := 0
	rapid.Check(t, func(r *rapid.T) {
		round++
		prefix := "run " + strconv.Itoa(round) + "/ü?&"
		local := memory.New()
		local.Faults().Set(memory.FaultSettings{})
		backing.Faults().Set(memory.FaultSettings{})
		for range rapid.IntRange(1, 30).Draw(r, "operations") {
			op := drawOperation(r, prefix)
			lose := rapid.IntRange(0, 9).Draw(r, "lose") == 0
			if lose {
				local.Faults().LoseResponses(1)
				backing.Faults().LoseResponses(1)
			}
			want, got := op(local), op(remote)
			if d := cmp.Diff(want, got, cmpopts.EquateEmpty()); d != "" {
				r.Fatalf("results of the memory store (-) and the HTTP store (+) differ:\n%s", d)
			}
			local.Faults().LoseResponses(0)
			backing.Faults().LoseResponses(0)
		}
	})
}

// drawOperation returns a random operation, which can be run on several stores.
func drawOperation(r *rapid.T, prefix string) func(storage.Store) outcome {
	ctx := context.Background()
	key := prefix + rapid.SampledFrom([]string{"a", "b", "c d", "c/é"}).Draw(r, "key")
	value := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(r, "value")
	offset := rapid.Int64Range(0, 25).Draw(r, "offset")
	length := rapid.Int64Range(-1, 25).Draw(r, "length")
	limit := rapid.IntRange(0, 3).Draw(r, "limit")
	version := rapid.Uint64Range(0, 3).Draw(r, "version")
	remove := rapid.Bool().Draw(r, "remove")
	switch rapid.SampledFrom([]string{"get", "range", "apply", "put", "open", "stat", "list", "delete"}).Draw(r, "op") {
	case "get":
		return func(s storage.Store) (o outcome) {
			row, err := s.Get(ctx, key)
			return outcome{Row: row, Number: code.Of(err)}
		}
	case "range":
		return func(s storage.Store) outcome {
			rows, err := s.Range(ctx, prefix, storage.PrefixEnd(prefix), limit)
			return outcome{Rows: rows, Number: code.Of(err)}
		}
	case "apply":
		tx := storage.Transaction{
			Conditions: []storage.Condition{{Key: key, Version: version}},
			Writes:     []storage.Write{{Key: key, Value: value, Delete: remove}},
		}
		return func(s storage.Store) outcome {
			applied, err := s.Apply(ctx, tx)
			return outcome{Applied: applied, Number: code.Of(err)}
		}
	case "put":
		return func(s storage.Store) outcome { return outcome{Number: code.Of(s.Put(ctx, key, value))} }
	case "open":
		return func(s storage.Store) outcome { return open(ctx, s, key, offset, length) }
	case "stat":
		return func(s storage.Store) outcome {
			info, err := s.Stat(ctx, key)
			return outcome{Info: info, Number: code.Of(err)}
		}
	case "list":
		return func(s storage.Store) outcome {
			infos, err := s.List(ctx, prefix, key, limit)
			return outcome{Infos: infos, Number: code.Of(err)}
		}
	}
	return func(s storage.Store) outcome { return outcome{Number: code.Of(s.Delete(ctx, key))} }
}

// open reads an object to its end.
func open(ctx context.Context, s storage.Store, key string, offset, length int64) outcome {
	body, err := s.Open(ctx, key, offset, length)
	if err != nil {
		return outcome{Number: code.Of(err)}
	}
	defer func() { _ = body.Close() }()
	all, err := io.ReadAll(body)
	return outcome{Body: string(all), Number: code.Of(err)}
}

func TestWriteWithoutResponseIsUnknown(t *testing.T) {
	withoutResponse(t, func(ctx context.Context, s *httpstore.Store) {
		_, err := s.Apply(ctx, storage.Transaction{Writes: []storage.Write{{Key: "k"}}})
		if code.Of(err) != code.StoreUnknown {
			t.Errorf("transaction without a response: got %v, want StoreUnknown", err)
		}
	})
}

func TestReadWithoutResponseIsUnavailable(t *testing.T) {
	withoutResponse(t, func(ctx context.Context, s *httpstore.Store) {
		if _, err := s.Get(ctx, "k"); code.Of(err) != code.StoreUnavailable {
			t.Errorf("read without a response: got %v, want StoreUnavailable", err)
		}
	})
}

// withoutResponse runs an operation on a store that reads the request, cancels its
// context and never responds.
func withoutResponse(t *testing.T, operation func(context.Context, *httpstore.Store)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	store, err := httpstore.New(httpstore.Options{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	operation(ctx, store)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	store, err := httpstore.New(httpstore.Options{URL: "http://" + address})
	if err != nil {
		t.Fatal(err)
	}
	_, err = store.Apply(context.Background(), storage.Transaction{})
	if code.Of(err) != code.StoreUnavailable {
		t.Errorf("refused connection: got %v, want StoreUnavailable", err)
	}
}

// TestOddEntriesDoNotHideTheInstanceList has entries of another form beside sound ones.
func TestOddEntriesDoNotHideTheInstanceList(t *testing.T) {
	for name, odd := range map[string]string{
		"number":       `7`,
		"id number":    `{"id":7,"peer_address":"10.0.0.9:1"}`,
		"deep":         strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		"leaving text": `{"id":"c","leaving":"yes"}`,
		"out of range": `{"id":1e400}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `[{"id":"a","peer_address":"10.0.0.1:1"},`+odd+`,{"id":"b","peer_address":"10.0.0.2:1"}]`)
		}))
		store, err := httpstore.New(httpstore.Options{URL: server.URL})
		if err != nil {
			t.Fatal(err)
		}
		list, err := store.Instances(t.Context())
		want := []storage.ListedInstance{{ID: "a", PeerAddress: "10.0.0.1:1"}, {}, {ID: "b", PeerAddress: "10.0.0.2:1"}}
		if d := cmp.Diff(want, list); d != "" || err != nil {
			t.Errorf("%s: %v\n%s", name, err, d)
		}
		_ = store.Close()
		server.Close()
	}
}
