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

// silent is the connection to peers that take calls and never answer.
type silent struct{}

func (silent) Do(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, errors.Join(errors.New("cut off"), r.Context().Err())
}

// newCutOff returns an instance that the store refuses, whose peers are silent.
func newCutOff(t *testing.T) (*relay.Store, *refusing) {
	t.Helper()
	own := &refusing{RowStore: memory.NewRows()}
	own.refused.Store(true)
	peers := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	return relay.New(relay.Options{Direct: own, Peers: func() []string { return peers }, Client: silent{}}), own
}

// TestFeedThroughASilentPeerEndsWithTheDetour: another call finds that the store can be
// reached while a feed waits for a peer that is cut off.
func TestFeedThroughASilentPeerEndsWithTheDetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own := newCutOff(t)
		fed := make(chan time.Duration, 1)
		began := time.Now()
		go func() {
			page, err := s.RowChanges(t.Context(), "t", 0, 2*time.Second)
			if err != nil || len(page.Rows) != 1 {
				t.Errorf("%+v, %v", page, err)
			}
			fed <- time.Since(began)
		}()
		time.Sleep(100 * time.Millisecond)
		own.refused.Store(false)
		s.EndDetour()
		if _, err := s.ApplyRows(t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row("k", "v")}}); err != nil {
			t.Fatal(err)
		}
		if took := <-fed; took != 100*time.Millisecond {
			t.Errorf("the feed heard after %v", took)
		}
	})
}

// TestFeedThroughSilentPeersIsNotKeptForLong bounds how old a feed gets when the peers
// that are asked are cut off, and no other call finds the store.
func TestFeedThroughSilentPeersIsNotKeptForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 2 * time.Second
		s, _ := newCutOff(t)
		began := time.Now()
		if _, err := s.RowChanges(t.Context(), "t", 0, 2*time.Second); err == nil {
			t.Error("an answer from nowhere")
		}
		if took := time.Since(began); took > bound {
			t.Errorf("the feed was kept for %v", took)
		}
	})
}
