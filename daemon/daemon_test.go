package daemon_test

import (
	"context"
	"strings"
	"testing"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/daemon"
	"github.com/daisylb/daisylb/storage/memory"
)

// TestStartingInstanceIsNotReady starts an instance while the store is down. The
// instance must not report that it is ready until it has a configuration.
func TestStartingInstanceIsNotReady(t *testing.T) {
	store := memory.New()
	store.Faults().SetDown(true)
	daemons, stop := startFleet(t, store, 1)
	defer stop()
	waitUntil(func() bool { return store.Faults().Counts().Injected > 0 })
	if n := code.Of(daemons[0].Ready()); n != code.NoConfiguration {
		t.Errorf("without a configuration, Ready returns error number %d, want 2005", n)
	}
	store.Faults().SetDown(false)
	configure(t, daemons[0], "127.0.0.1:1", 1)
	waitUntil(func() bool { return daemons[0].Ready() == nil })
}

// TestFailedTaskEndsRun closes the listeners of an instance before Run, so that its
// servers fail: Run must stop the instance and return the error.
func TestFailedTaskEndsRun(t *testing.T) {
	s := daemon.Default()
	s.DataCentre = "kochi"
	s.Callers.Address, s.Peers.Address, s.Operators.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.PeerKeys = []string{"failed-part-peer-key"}
	d, err := daemon.New(daemon.Options{Settings: s, Store: memory.New()})
	if err != nil {
		t.Fatal(err)
	}
	d.Close()
	err = d.Run(context.Background(), context.Background())
	if err == nil || !strings.Contains(err.Error(), "closed") {
		t.Errorf("Run returned %v, want an error about a closed socket", err)
	}
}
