package instance

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/instance/instancepb"
)

// FuzzReceive merges arbitrary gossip into a table: this instance must stay
// alive in its own view, and the gossip it sends must stay within the bound.
func FuzzReceive(f *testing.F) {
	for _, health := range []instancepb.Health{0, 1, 2, 9} {
		entry := tableEntry("other", 3)
		entry.Health = health
		self := &instancepb.Entry{Handle: uint64(handleOf("self")), Incarnation: 1 << 40, Health: health}
		seed, err := proto.Marshal(&instancepb.Gossip{Sender: entry, Entries: []*instancepb.Entry{self, entry, {}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var g instancepb.Gossip
		if proto.Unmarshal(data, &g) != nil {
			return
		}
		o := Options{Self: Identity{ID: "self"}, MaxGossipBytes: minGossipBytes, Neighbours: 3, Period: time.Second}
		table := newTable(&o)
		now := time.Unix(1000, 0)
		table.receive(now, &g)
		table.expire(now.Add(time.Hour))
		table.neighbour()
		if m, ok := table.view().Find("self"); !ok || m.Health != Alive {
			t.Errorf("this instance is %v in its own view, found %v", m.Health, ok)
		}
		if size := proto.Size(table.gossip(now, 0)); size > minGossipBytes {
			t.Errorf("got %d bytes of gossip, which is over the bound", size)
		}
	})
}
