package quota

import (
	"testing"
	"time"

	"github.com/daisylb/daisylb/roster"
)

// TestOwnersByLease guards against a share with two owners: a member that grants before others
// have read of it, or others that take over before it has stopped.
func TestOwnersByLease(t *testing.T) {
	const storeNow, now = 1000 * time.Second, time.Hour
	for name, c := range map[string]struct {
		// joined and leased are the times since then in the row of the only member, confirmed
		// that of the lease which the store has confirmed. extended and read are times ago.
		joined, leased, confirmed, extended, read time.Duration
		asked, stopsOthers, grants                bool
	}{
		"joined a moment ago":           {time.Second, 0, time.Second, 0, 0, false, false, false},
		"others stop":                   {41 * time.Second, 0, 41 * time.Second, 0, 0, false, true, false},
		"asked, nobody grants":          {46 * time.Second, 0, 46 * time.Second, 0, 0, true, true, false},
		"grants":                        {51 * time.Second, 0, 51 * time.Second, 0, 0, true, true, true},
		"row extended 46 s ago":         {100 * time.Second, 46 * time.Second, 100 * time.Second, 21 * time.Second, 0, false, true, false},
		"row extended 51 s ago":         {100 * time.Second, 51 * time.Second, 100 * time.Second, 0, 0, false, false, false},
		"confirmed extension 19 s ago":  {100 * time.Second, 0, 100 * time.Second, 19 * time.Second, 0, true, true, true},
		"confirmed extension 21 s ago":  {100 * time.Second, 0, 100 * time.Second, 21 * time.Second, 0, true, true, false},
		"view 21 s old":                 {100 * time.Second, 0, 100 * time.Second, 0, 21 * time.Second, true, true, false},
		"own row older than the lease":  {100 * time.Second, 30 * time.Second, time.Second, 0, 0, true, true, false},
		"from the first start":          {storeNow, 0, storeNow, 0, 0, true, true, true},
		"first start, not extended yet": {storeNow, 0, storeNow, now, 0, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			leases := roster.Leases{
				Members:  []roster.Lease{{Name: "m", Address: "10.0.0.1:1", Joined: storeNow - c.joined, Leased: storeNow - c.leased}},
				StoreNow: storeNow, Joined: storeNow - c.confirmed, ExtendedAt: now - c.extended, ReadAt: now - c.read,
			}
			r := NewRing("m", &leases, 5*time.Second, now)
			_, _, asked := r.Owner("a", 0)
			if stops := r.owns("a", 0); asked != c.asked || stops != c.stopsOthers || r.Grants("a", 0, now) != c.grants {
				t.Errorf("asked %v, stops others %v, grants %v; want %v, %v, %v", asked, stops, r.Grants("a", 0, now), c.asked, c.stopsOthers, c.grants)
			}
			if r.Grants("a", 0, now+ringTTL+time.Millisecond) {
				t.Error("grants by a ring that is out of date")
			}
		})
	}
}
