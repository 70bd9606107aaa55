package job_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage"
)

// overwrite gives a row another value.
func (f *fleet) overwrite(key storage.RowKey, value string) {
	f.t.Helper()
	row := storage.TableRow{RowKey: key, Value: []byte(value)}
	if _, err := f.store.ApplyRows(f.t.Context(), storage.RowTransaction{Puts: []storage.TableRow{row}}); err != nil {
		f.t.Fatal(err)
	}
}

// onlyRow returns the row of a table that has one row only.
func (f *fleet) onlyRow(table string) storage.TableRow {
	f.t.Helper()
	var all []storage.TableRow
	for _, rows := range f.rowsOf(table) {
		all = append(all, rows...)
	}
	if len(all) != 1 {
		f.t.Fatalf("%d rows in %s, want 1", len(all), table)
	}
	return all[0]
}

// TestJobIsFinishedAfterItsHeadWasUnreadable makes a head unreadable until after the
// items have finished. The job must then be complete, and few calls must be made for
// it in the meantime.
func TestJobIsFinishedAfterItsHeadWasUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "short-a", "short-b")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		head := f.onlyRow("jobs")
		f.overwrite(head.RowKey, "\x00\xff")
		time.Sleep(15 * time.Second)
		if n := f.instances[0].Owned(); n != 0 {
			t.Errorf("%d jobs still run", n)
		}
		const period, maxCallsPerSecond = 20, 2
		before := f.store.Counts().Transactions
		time.Sleep(period * time.Second)
		if n := f.store.Counts().Transactions - before; n > period*maxCallsPerSecond {
			t.Errorf("%d transactions in %d s while the head was unreadable", n, period)
		}
		f.overwrite(head.RowKey, string(head.Value))
		wantAll(t, f.read(f.instances[1], "j"), "short-a", "short-b")
	})
}

func TestUnreadableReservationDoesNotStopSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 1000 })
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j1", "a")); err != nil {
			t.Fatal(err)
		}
		f.overwrite(f.onlyRow("job_gates").RowKey, "\x00\xff")
		for _, m := range f.instances {
			if err := m.Submit(t.Context(), f.submission("j2", "b")); err != nil {
				t.Error(err)
			}
		}
		wantAll(t, f.read(f.instances[1], "j2"), "b")
	})
}
