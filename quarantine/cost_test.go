package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/daisylb/daisylb/feed"
	"github.com/daisylb/daisylb/quarantine"
	"github.com/daisylb/daisylb/storage"
)

func BenchmarkAnswerWhileManyPartsAreSuspected(b *testing.B) {
	l := quarantine.New(quarantine.Options{Table: table})
	const now, parts, crashes = time.Hour, 300, 5
	for k := range parts * crashes {
		part, crash := k%parts, k/parts
		at := now - time.Duration(crashes-crash)*9*time.Second + time.Duration(part)*30*time.Millisecond
		l.Update(feed.Update{Now: now, Rows: []storage.TableRow{{
			RowKey: storage.RowKey{Table: table, Part: quarantine.Part, Key: fmt.Sprintf("quarantine/crash/%016x/%016x", 1000+part, 5000+(part*7+crash*13)%900)},
			Value:  fmt.Appendf(nil, `{"at":%d,"upstream":"u","request":"r%d"}`, at, k),
		}}})
	}
	for b.Loop() {
		l.RecordAnswer([]uint64{shared})
		l.RecordCrash([]uint64{rare}, "u", 1, "r")
	}
}
