package job

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/storage"
)

// chunkRow returns the row of a chunk of progress of job "j".
func chunkRow(t *testing.T, index, number int, p progressChunk) storage.TableRow {
	t.Helper()
	value, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return storage.TableRow{RowKey: storage.RowKey{Key: fmt.Sprintf(chunkKeyFormat, "j", index, number)}, Value: value}
}

// TestProgressIsJoinedUpToTheFirstGap omits a chunk, as after a write that was lost.
// What follows the gap must not be joined to what is before it.
func TestProgressIsJoinedUpToTheFirstGap(t *testing.T) {
	rows := []storage.TableRow{
		chunkRow(t, 0, 0, progressChunk{Last: "2", Text: "1\n2"}),
		chunkRow(t, 0, 1, progressChunk{After: "2", Last: "4", Text: "\n3\n4", Failures: 1}),
		chunkRow(t, 0, 3, progressChunk{After: "6", Last: "8", Text: "\n7\n8", Failures: 2}),
		chunkRow(t, 3, 0, progressChunk{Last: "1", Text: "1"}),
		{RowKey: storage.RowKey{Key: "j/00005/000"}, Value: []byte("no piece")},
		{RowKey: storage.RowKey{Key: "odd"}},
	}
	want := map[int]itemProgress{
		0: {text: "1\n2\n3\n4", lastEvent: "4", failures: 1, nextRow: 4},
		3: {text: "1", lastEvent: "1", nextRow: 1},
	}
	if d := cmp.Diff(want, joinProgress(rows), cmp.AllowUnexported(itemProgress{})); d != "" {
		t.Error(d)
	}
}

// writeEvents lets a collector receive events with data of a size.
func writeEvents(t *testing.T, c *collector, n, size int) {
	t.Helper()
	c.status = http.StatusOK
	for i := 1; i <= n; i++ {
		if err := c.Write(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", i, strings.Repeat("<", size))); err != nil {
			t.Fatal(err)
		}
	}
}

// TestProgressIsNotLargerThanARow guards against progress that the store refuses, again and
// again, together with that of the other items.
func TestProgressIsNotLargerThanARow(t *testing.T) {
	for _, size := range []int{1, 100, storage.MaxRowBytes / 12, storage.MaxRowBytes / 6, storage.MaxRowBytes / 2, storage.MaxRowBytes} {
		c := newCollector(itemProgress{})
		writeEvents(t, c, 2, size)
		row, ok := c.progressRow("0", "j", 0, 0)
		if len(row.Value) > storage.MaxRowBytes {
			t.Errorf("two events of %d bytes: a row of %d", size, len(row.Value))
		}
		if small := 6*size+200 < storage.MaxRowBytes; small != ok {
			t.Errorf("two events of %d bytes: written %v", size, ok)
		}
	}
}

// TestTextOfSeveralRowsIsSavedAsProgress has more text since the last write than one row
// holds, as after an outage of the store.
func TestTextOfSeveralRowsIsSavedAsProgress(t *testing.T) {
	c := newCollector(itemProgress{})
	writeEvents(t, c, 100, 2<<10)
	var rows []storage.TableRow
	for {
		row, ok := c.progressRow("0", "j", 0, 0)
		if !ok {
			break
		}
		rows = append(rows, row)
	}
	got := joinProgress(rows)[0]
	if got.lastEvent != "100" || got.text != c.text.String() {
		t.Errorf("%d rows hold %d bytes up to event %q, want %d up to 100", len(rows), len(got.text), got.lastEvent, c.text.Len())
	}
}

func TestChunksOfALongResultJoinToTheSameResult(t *testing.T) {
	long := make([]byte, 3*chunkBytes)
	for i := range long {
		long[i] = byte('a' + i%26)
	}
	want := []Result{{Item: "x", Succeeded: true, Text: string(long)}, {Item: "y"}}
	var rows []storage.TableRow
	for i, r := range want {
		rows = append(rows, chunkRows(resultTable, "0", "j", 7+i, r)...)
	}
	numbers, values, err := joinChunks(rows)
	if err != nil || len(numbers) != 2 || numbers[0] != 7 || numbers[1] != 8 {
		t.Fatalf("%v, %v", numbers, err)
	}
	for i, value := range values {
		var got Result
		if err := json.Unmarshal(value, &got); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want[i], got); d != "" {
			t.Error(d)
		}
	}
}
