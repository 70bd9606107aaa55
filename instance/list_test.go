package instance

import (
	"context"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/storage"
)

// fixedList is an instance list.
type fixedList []storage.ListedInstance

func (l fixedList) Instances(context.Context) ([]storage.ListedInstance, error) { return l, nil }

func TestUnreadableEntryOfTheListIsIgnoredAndLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	client, err := link.NewClient(link.Options{Key: peerKey})
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(Options{
		Self:      Identity{ID: "self", DataCentre: "d", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"},
		Lifecycle: NewLifecycle(nil),
		List:      fixedList{{}, {ID: "other", DataCentre: "d", PeerAddress: "10.0.0.2:2"}},
		Prober:    NewProber(client),
		Version:   func() uint64 { return 0 },
		Load:      func() Load { return Load{} },
		Logger:    zap.New(core),
	})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		m.readList(t.Context())
	}
	if n := logs.Len(); n != 1 {
		t.Errorf("%d lines, want 1", n)
	}
	if _, ok := m.table.candidates[handleOf("other")]; !ok || len(m.table.candidates) != 1 {
		t.Errorf("got candidates %v, want the other instance only", m.table.candidates)
	}
}
