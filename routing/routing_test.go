package routing_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/routing"
	"github.com/daisylb/daisylb/storage"
)

func row(key, value string, version uint64) storage.TableRow {
	return storage.TableRow{RowKey: storage.RowKey{Key: key}, Value: []byte(value), Version: version, Removed: value == ""}
}

func decodeRouting(data []byte) (*contract.Routing, error) {
	var d contract.Routing
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, code.Wrap(code.InvalidField, err, "invalid document")
	}
	return &d, nil
}

func TestDocumentVersionNeverDecreases(t *testing.T) {
	d := &routing.Document{Key: "c", Decode: decodeRouting, Log: zap.NewNop()}
	var inForce []uint64
	for i, value := range []string{`{"Version":2}`, `{"Version":7}`, `{"Version":5}`, `no document`, ``, `{"Version":9}`} {
		d.Update(feed.Update{Rows: []storage.TableRow{row("c", value, uint64(i+1)), row("other", `{"Version":100}`, uint64(i+1))}})
		inForce = append(inForce, d.Current().Version)
	}
	if diff := cmp.Diff([]uint64{2, 7, 7, 7, 7, 9}, inForce); diff != "" {
		t.Error(diff)
	}
}

func decodeWorker(id string, data []byte) (contract.Worker, error) {
	w := contract.Worker{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 8}
	switch string(data) {
	case "ready":
	case "draining":
		w.Draining = true
	case "again":
		w.StartedMillis = 2
	default:
		return w, code.New(code.InvalidField, "invalid entry")
	}
	return w, nil
}

func newWorkers() *routing.Workers {
	return &routing.Workers{Decode: decodeWorker, Log: zap.NewNop()}
}

// usable returns the ids of the workers that may be given new work, sorted.
func usable(w *routing.Workers) []string {
	var ids []string
	for id, u := range w.Current().Upstreams {
		if !u.Draining {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func TestWorkersWithInvalidEntriesAreNotUsed(t *testing.T) {
	w := newWorkers()
	w.Update(feed.Update{Rows: []storage.TableRow{row("a", "ready", 1), row("b", "?", 1), row("c", "draining", 1), row("d", "ready", 1)}})
	w.Update(feed.Update{Rows: []storage.TableRow{row("d", "?", 2)}})
	if d := cmp.Diff([]string{"a"}, usable(w)); d != "" {
		t.Error(d)
	}
}

// TestRewrittenInvalidEntryIsLoggedOnce rewrites an invalid entry, as its writer may do
// with each heartbeat, beside changes of another worker.
func TestRewrittenInvalidEntryIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	w := newWorkers()
	w.Log = zap.New(core)
	version := uint64(0)
	update := func(key, value string) {
		version++
		w.Update(feed.Update{Rows: []storage.TableRow{row(key, value, version)}})
	}
	for i := range 20 {
		update("odd", fmt.Sprintf("invalid %d", i))
		update("a", []string{"ready", "again"}[i%2])
	}
	if n := logs.Len(); n != 1 {
		t.Errorf("%d lines for an entry that stayed invalid, want 1", n)
	}
	update("odd", "ready")
	update("odd", "invalid again")
	if n := logs.Len(); n != 2 {
		t.Errorf("%d lines after the entry was valid in between, want 2", n)
	}
	update("odd", "")
	update("odd", "invalid after its removal")
	if n := logs.Len(); n != 3 {
		t.Errorf("%d lines after the entry was removed in between, want 3", n)
	}
	if d := cmp.Diff([]string{"a"}, usable(w)); d != "" {
		t.Error(d)
	}
}

func TestRemovedWorkerIsUnusableAtOnce(t *testing.T) {
	w := newWorkers()
	w.Update(feed.Update{Rows: []storage.TableRow{row("a", "ready", 1), row("b", "ready", 1)}})
	w.Update(feed.Update{Rows: []storage.TableRow{row("a", "", 2)}})
	if d := cmp.Diff([]string{"b"}, usable(w)); d != "" {
		t.Error(d)
	}
}

func TestEntriesExpiredInAnOutageHaveGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers()
		w.Update(feed.Update{Rows: []storage.TableRow{row("back", "ready", 1), row("gone", "ready", 1), row("draining", "draining", 1)}})
		w.Update(feed.Update{Recovered: true, FullRead: true, Rows: []storage.TableRow{row("back", "", 2), row("gone", "", 2), row("draining", "", 2)}})
		time.Sleep(routing.ReregistrationGrace - time.Millisecond)
		if d := cmp.Diff([]string{"back", "gone"}, usable(w)); d != "" {
			t.Errorf("within the grace period:\n%s", d)
		}
		w.Update(feed.Update{Rows: []storage.TableRow{row("back", "ready", 3)}})
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		if d := cmp.Diff([]string{"back"}, usable(w)); d != "" {
			t.Errorf("after the grace period:\n%s", d)
		}
	})
}

// TestWorkerMissingOverTwoOutagesIsGoneAfterTheSecond has an outage that begins within the
// grace period of the one before.
func TestWorkerMissingOverTwoOutagesIsGoneAfterTheSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers()
		w.Update(feed.Update{Rows: []storage.TableRow{row("gone", "ready", 1), row("other", "ready", 1)}})
		w.Update(feed.Update{Recovered: true, FullRead: true, Rows: []storage.TableRow{row("gone", "", 2)}})
		time.Sleep(routing.ReregistrationGrace / 2)
		w.Update(feed.Update{Recovered: true})
		time.Sleep(routing.ReregistrationGrace - time.Millisecond)
		if d := cmp.Diff([]string{"gone", "other"}, usable(w)); d != "" {
			t.Errorf("within the second grace period:\n%s", d)
		}
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		if d := cmp.Diff([]string{"other"}, usable(w)); d != "" {
			t.Errorf("after the second grace period:\n%s", d)
		}
	})
}

func TestRestartedWorkerIsDistinguished(t *testing.T) {
	w := newWorkers()
	w.Update(feed.Update{Rows: []storage.TableRow{row("a", "ready", 1)}})
	before := w.Current().Upstreams["a"]
	w.Update(feed.Update{Rows: []storage.TableRow{row("a", "again", 2)}})
	if after := w.Current().Upstreams["a"]; after.StartedMillis == before.StartedMillis {
		t.Error("StartedMillis did not change with a restart")
	}
}

// TestPeersAreNotifiedOfSharedWorkersOnly checks that an instance sends the load of
// a worker to exactly the peers that use the worker too.
func TestPeersAreNotifiedOfSharedWorkersOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names []string
		for i := range rapid.IntRange(1, 100).Draw(t, "instances") {
			names = append(names, fmt.Sprintf("i%d", i))
		}
		var rows []storage.TableRow
		for i := range rapid.IntRange(1, 80).Draw(t, "workers") {
			rows = append(rows, row(fmt.Sprintf("w%d", i), "ready", 1))
		}
		view := func(self string) *routing.Workers {
			w := newWorkers()
			w.Update(feed.Update{Rows: rows})
			w.SetInstances(self, names)
			return w
		}
		a, b := rapid.SampledFrom(names).Draw(t, "a"), rapid.SampledFrom(names).Draw(t, "b")
		self, peer := view(a), view(b)
		notified := func(worker string) bool {
			for _, group := range self.PeerGroups() {
				if slices.Contains(group.Instances, b) {
					return self.UsedBy(group.Cell, worker)
				}
			}
			return false
		}
		for _, worker := range usable(self) {
			if _, uses := peer.Current().Upstreams[worker]; uses != notified(worker) {
				t.Fatalf("%s notifies %s of %s: %v; it is used there: %v", a, b, worker, notified(worker), uses)
			}
		}
	})
}

func TestLargeFleetUsesAllWorkersAndEachInstanceFew(t *testing.T) {
	const instances, workers = 81, 60
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	var rows []storage.TableRow
	for i := range workers {
		rows = append(rows, row(fmt.Sprintf("w%d", i), "ready", 1))
	}
	users := map[string]int{}
	for _, self := range names {
		w := newWorkers()
		w.Update(feed.Update{Rows: rows})
		w.SetInstances(self, names)
		ids := usable(w)
		if len(ids) > workers/3 || len(ids) < 8 {
			t.Errorf("%s uses %d workers", self, len(ids))
		}
		peers := 0
		for _, group := range w.PeerGroups() {
			peers += len(group.Instances)
		}
		if peers > instances/2 {
			t.Errorf("%s notifies %d peers", self, peers)
		}
		for _, id := range ids {
			users[id]++
		}
	}
	for id, n := range users {
		if n < 10 || n > 40 {
			t.Errorf("worker %s is used by %d instances", id, n)
		}
	}
	if len(users) != workers {
		t.Errorf("%d of %d workers are used", len(users), workers)
	}
}

// TestOnlyUnannouncedEndsOfWorkersAreReported guards against planned ends, and entries that
// expired while the store was down, that pass for crashes.
func TestOnlyUnannouncedEndsOfWorkersAreReported(t *testing.T) {
	gone := func(id string) storage.TableRow {
		return storage.TableRow{RowKey: storage.RowKey{Key: id}, Version: 9, Removed: true}
	}
	for name, c := range map[string]struct {
		updates []feed.Update
		want    []string
	}{
		"first read":                 {nil, nil},
		"entry removed":              {[]feed.Update{{Rows: []storage.TableRow{gone("a")}}}, []string{"a/0"}},
		"new start, same id":         {[]feed.Update{{Rows: []storage.TableRow{row("a", "again", 2)}}}, []string{"a/0"}},
		"entry unchanged":            {[]feed.Update{{Rows: []storage.TableRow{row("a", "ready", 2)}}}, nil},
		"removed while draining":     {[]feed.Update{{Rows: []storage.TableRow{row("a", "draining", 2)}}, {Rows: []storage.TableRow{gone("a")}}}, nil},
		"new start while draining":   {[]feed.Update{{Rows: []storage.TableRow{row("a", "draining", 2)}}, {Rows: []storage.TableRow{row("a", "again", 3)}}}, nil},
		"removed after an outage":    {[]feed.Update{{Recovered: true, Rows: []storage.TableRow{gone("a")}}}, nil},
		"removed in a full read":     {[]feed.Update{{FullRead: true, Rows: []storage.TableRow{gone("a")}}}, nil},
		"unknown entry removed":      {[]feed.Update{{Rows: []storage.TableRow{gone("z")}}}, nil},
		"two at the same time":       {[]feed.Update{{Rows: []storage.TableRow{gone("a"), row("b", "again", 2)}}}, []string{"a/0", "b/0"}},
		"not reported a second time": {[]feed.Update{{Rows: []storage.TableRow{gone("a")}}, {Rows: []storage.TableRow{row("c", "ready", 3)}}}, []string{"a/0"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkers()
				var got []string
				w.Ended = func(id string, startedMillis int64) { got = append(got, fmt.Sprint(id, "/", startedMillis)) }
				w.Update(feed.Update{Rows: []storage.TableRow{row("a", "ready", 1), row("b", "ready", 1)}})
				for _, u := range c.updates {
					w.Update(u)
				}
				time.Sleep(2 * routing.ReregistrationGrace)
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestWorkerThatLeftWhileTheStoreWasNotReachedIsNotKept guards against a grace period, made for
// outages of the store, for workers that left while this instance alone could not reach it.
func TestWorkerThatLeftWhileTheStoreWasNotReachedIsNotKept(t *testing.T) {
	rows := func(value string, version uint64, ids ...string) (all []storage.TableRow) {
		for _, id := range ids {
			all = append(all, row(id, value, version))
		}
		return all
	}
	others := []string{"b", "c", "d", "e"}
	for name, c := range map[string]struct {
		updates []feed.Update
		want    []string
	}{
		"others have written": {[]feed.Update{
			{Recovered: true, Rows: append(rows("ready", 3, others...), row("a", "", 2))},
		}, others},
		"others write soon after": {[]feed.Update{
			{Recovered: true, Rows: append(rows("ready", 3, "b", "c"), row("a", "", 2))},
			{Rows: rows("ready", 4, "d", "e")},
		}, others},
		"removal read after the recovery": {[]feed.Update{
			{Recovered: true, Rows: rows("ready", 3, others...)},
			{Rows: rows("", 4, "a")},
		}, others},
		"one has not written": {[]feed.Update{
			{Recovered: true, Rows: append(rows("ready", 3, "b", "c", "d"), row("a", "", 2))},
		}, append([]string{"a"}, others...)},
		"written before the recovery only": {[]feed.Update{
			{Rows: rows("ready", 2, others...)},
			{Recovered: true, Rows: rows("", 3, "a")},
		}, append([]string{"a"}, others...)},
		"many missing": {[]feed.Update{
			{Recovered: true, Rows: append(rows("ready", 3, "c", "d", "e"), rows("", 2, "a", "b")...)},
		}, append([]string{"a"}, others...)},
		"all missing": {[]feed.Update{
			{Recovered: true, Rows: rows("", 2, append([]string{"a"}, others...)...)},
		}, append([]string{"a"}, others...)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkers()
				w.Update(feed.Update{Rows: rows("ready", 1, append([]string{"a"}, others...)...)})
				for _, u := range c.updates {
					w.Update(u)
				}
				if diff := cmp.Diff(c.want, usable(w)); diff != "" {
					t.Error(diff)
				}
				time.Sleep(2 * routing.ReregistrationGrace)
			})
		})
	}
}
