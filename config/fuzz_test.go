package config

import (
	"os"
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/config/configpb"
	"github.com/daisylb/daisylb/contract"
)

// FuzzParseDocument expects a document that was parsed without faults to pass
// CheckDocument.
func FuzzParseDocument(f *testing.F) {
	for _, name := range []string{"coordinacion", "loomcare"} {
		data, err := os.ReadFile("../examples/" + name + "/document.jsonc")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := ParseDocument("f", data)
		if err != nil {
			return
		}
		if err := CheckDocument("f", d); err != nil {
			t.Fatalf("parsed without faults, checked with: %v", err)
		}
	})
}

// FuzzPullResponse applies arbitrary pull responses of a peer: the version must
// never decrease, and the instance must not panic.
func FuzzPullResponse(f *testing.F) {
	seed, err := proto.Marshal(&configpb.PullResponse{Version: 2, Changes: []*configpb.Change{
		{Version: 2, Id: "a", Edits: []byte(`{"preset":"peak","upstreams":{"u":null}}`)}, nil,
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m configpb.PullResponse
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		s := &Store{metrics: newMetrics(nil, nil), logger: zap.NewNop(), firstPublished: make(chan struct{})}
		s.publish(newVersion(&contract.Document{Version: 1}))
		next, err := s.version.Load().applyPull(&m)
		if err != nil {
			return
		}
		s.publish(next)
		if v := s.inForce(); v < 1 {
			t.Fatalf("version %d is in force after version 1", v)
		}
	})
}
