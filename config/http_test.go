package config

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/settings"
	"github.com/daisylb/daisylb/standin/pipes"
	"github.com/daisylb/daisylb/storage/memory"
)

// lossyTransport loses the response of the next POST after the instance has
// processed it, if lose is set. Lost counts the responses lost.
type lossyTransport struct {
	lose bool
	lost int
}

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && l.lose && r.Method == http.MethodPost {
		l.lose = false
		l.lost++
		response.Body.Close()
		return nil, errors.New("connection reset")
	}
	return response, err
}

func newTestClient(t *testing.T, s *Store) (*Client, *lossyTransport) {
	t.Helper()
	author := func(r *http.Request) string { return r.Header.Get("Authorization") }
	server := httptest.NewServer(Handler(s, author))
	transport := &lossyTransport{}
	t.Cleanup(func() {
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		server.Close()
	})
	return NewClient(server.URL, "ana", &http.Client{Transport: transport}), transport
}

func TestOperatorsInterface(t *testing.T) {
	sys := newSystem(2)
	s := sys.store(0)
	c, transport := newTestClient(t, s)
	ctx := t.Context()
	if _, err := s.Document(ctx); code.Of(err) != code.NoConfiguration {
		t.Fatalf("before the start: got %v, want NoConfiguration", err)
	}
	for i := range 2 {
		if err := sys.store(i).start(ctx); err != nil {
			t.Fatal(err)
		}
	}
	transport.lose = true
	a, err := Bootstrap(ctx, c, Request{ID: "boot", Note: "first"}, example(t, "coordinacion"))
	if err != nil || transport.lost != 1 || a.Version != 1 || !a.Repeated || a.InForce != 2 {
		t.Fatalf("after %d lost responses: %+v, %v", transport.lost, a, err)
	}
	if a, err = Bootstrap(ctx, c, Request{ID: "same"}, example(t, "coordinacion")); err != nil || a.ChangeID != "" || a.Version != 1 {
		t.Errorf("the same document again: %+v, %v", a, err)
	}
	if a, err = c.SwitchPreset(ctx, SwitchRequest{ID: "sunday", BaseVersion: 1, Preset: "peak"}); err != nil || a.Version != 2 {
		t.Errorf("switch: %+v, %v", a, err)
	}
	if _, err = c.SwitchPreset(ctx, SwitchRequest{ID: "nap", BaseVersion: 2, Preset: "nap"}); code.Of(err) != code.UnknownPreset {
		t.Errorf("unknown preset: got %v, want UnknownPreset", err)
	}
	var conflict *Conflict
	if _, err = c.SwitchPreset(ctx, SwitchRequest{ID: "late", BaseVersion: 1, Preset: "ordinary"}); !errors.As(err, &conflict) || conflict.Winner.ChangeID != "sunday" {
		t.Errorf("late switch: got %v, want a conflict with sunday", err)
	}
	var faults settings.Faults
	invalid := Request{ID: "Bad", BaseVersion: 2, Edits: Edits{}}
	if _, err = c.Submit(ctx, invalid); !errors.As(err, &faults) || len(faults) != 2 {
		t.Errorf("invalid request: got %v, want 2 faults", err)
	}
	page, err := c.History(ctx, 0, 10)
	if err != nil || len(page.Changes) != 2 || page.Changes[0].ID != "sunday" || page.Changes[1].Author != "Bearer ana" || page.Changes[1].Note != "first" {
		t.Errorf("history: %+v, %v", page, err)
	}
	list, err := c.Presets(ctx)
	if err != nil || list.Active != "peak" || len(list.Presets) != 3 || list.Version != 2 {
		t.Errorf("presets: %+v, %v", list, err)
	}
	d, err := c.Document(ctx)
	if err != nil || d.Version != 2 || d.Preset != "peak" {
		t.Errorf("document: %v", err)
	}
}

// peerList implements Peers over real HTTP connections.
type peerList struct {
	mu   sync.Mutex
	list []string
	http *http.Client
}

func (p *peerList) Addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

func (p *peerList) HTTP() connect.HTTPClient { return p.http }

// TestExchangeOverHTTP runs in virtual time, so that no push is late because
// the machine is busy.
func TestExchangeOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := memory.New()
		network := pipes.Network{}
		transport := network.Transport()
		defer transport.CloseIdleConnections()
		var stores []*Store
		var lists []*peerList
		var servers []*httptest.Server
		for range 10 {
			server := network.NewUnstartedServer(nil)
			peers := &peerList{http: &http.Client{Transport: transport}}
			s, err := New(Options{Table: platform, Objects: platform, Peers: peers, Address: server.Listener.Addr().String()})
			if err != nil {
				t.Fatal(err)
			}
			_, server.Config.Handler = s.PeerHandler()
			server.Start()
			defer server.Close()
			stores, lists, servers = append(stores, s), append(lists, peers), append(servers, server)
		}
		for i, l := range lists {
			l.mu.Lock()
			for j, server := range servers {
				if i != j {
					l.list = append(l.list, server.Listener.Addr().String())
				}
			}
			l.mu.Unlock()
			if err := stores[i].start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		a, err := Bootstrap(context.Background(), stores[0], Request{ID: "boot", Author: "ana"}, example(t, "loomcare"))
		if err != nil || a.InForce != 10 {
			t.Fatalf("first change: got %+v, %v, want 10 in force", a, err)
		}
		platform.Faults().SetDown(true)
		for i, s := range stores {
			if s.inForce() != 1 || s.Ready() != nil {
				t.Errorf("instance %d has version %d: %v", i, s.inForce(), s.Ready())
			}
		}
		if _, err := stores[3].Submit(t.Context(), Request{ID: "down", BaseVersion: 1, Edits: Edits{Preset: "peak"}}); code.Of(err) != code.StoreUnavailable {
			t.Errorf("a change while the table is down: got %v, want StoreUnavailable", err)
		}
		var none *contract.Document
		if d := stores[3].Current(); d == none || d.Preset != "ordinary" {
			t.Error("a rejected change is in force")
		}
	})
}
