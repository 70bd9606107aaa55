package relay_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/storage"
	"github.com/daisylb/daisylb/storage/memory"
)

// unresponsivePeers is an HTTP client whose peers accept calls and never
// answer.
type unresponsivePeers struct{}

func (unresponsivePeers) Do(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, errors.Join(errors.New("peer is unresponsive"), r.Context().Err())
}

// newIsolated returns a relay.Store whose direct store is unavailable and whose
// peers are unresponsive, and the direct store.
func newIsolated(t *testing.T) (*relay.Store, *faultyStore) {
	t.Helper()
	direct := &faultyStore{RowStore: memory.NewRows()}
	direct.unavailable.Store(true)
	peers := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	return relay.New(relay.Options{Direct: direct, Peers: func() []string { return peers }, Client: unresponsivePeers{}}), direct
}

// TestFeedThroughAnUnresponsivePeerEndsWithTheRelayPeriod has a feed wait for
// an unresponsive peer while another call reaches the store directly. The feed
// must then be read directly at once.
func TestFeedThroughAnUnresponsivePeerEndsWithTheRelayPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, direct := newIsolated(t)
		durations := make(chan time.Duration, 1)
		startedAt := time.Now()
		go func() {
			page, err := s.RowChanges(t.Context(), "t", 0, 2*time.Second)
			if err != nil || len(page.Rows) != 1 {
				t.Errorf("%+v, %v", page, err)
			}
			durations <- time.Since(startedAt)
		}()
		time.Sleep(100 * time.Millisecond)
		direct.unavailable.Store(false)
		s.EndRelayPeriod()
		if _, err := s.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}); err != nil {
			t.Fatal(err)
		}
		if took := <-durations; took != 100*time.Millisecond {
			t.Errorf("the feed returned after %v, want 100ms", took)
		}
	})
}

// TestFeedThroughUnresponsivePeersIsBounded bounds the duration of a feed when
// the peers are unresponsive and no other call reaches the store.
func TestFeedThroughUnresponsivePeersIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 2 * time.Second
		s, _ := newIsolated(t)
		startedAt := time.Now()
		if _, err := s.RowChanges(t.Context(), "t", 0, 2*time.Second); err == nil {
			t.Error("a feed succeeded without the store and responsive peers")
		}
		if took := time.Since(startedAt); took > bound {
			t.Errorf("the feed took %v, want at most 2s", took)
		}
	})
}
