package batch

import (
	"encoding/binary"
	"maps"
	"math/bits"
	"time"

	"github.com/daisylb/daisylb/code"
)

// bitmap is a set of item numbers, counted from the start of the segment.
type bitmap []byte

func newBitmap(n int) bitmap { return make(bitmap, (n+7)/8) }

func (b bitmap) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b bitmap) set(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitmap) count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// segmentRow is the value of the row of a segment. A segment that was never
// leased has no row.
type segmentRow struct {
	// Holder holds the lease. Others may take over when ExpiresMillis, in Unix
	// milliseconds, has passed by their own clocks.
	Holder        string `json:"holder,omitempty"`
	ExpiresMillis int64  `json:"expires_ms,omitempty"`
	// Token is the fencing token; it increases with every lease of the segment.
	Token uint64 `json:"token"`
	// Done are the items that have a result in Parts.
	Done      bitmap       `json:"done,omitempty"`
	Parts     []resultPart `json:"parts,omitempty"`
	Completed int          `json:"completed,omitempty"`
	Failed    int          `json:"failed,omitempty"`
	// Finished is set when every item is in Done.
	Finished bool `json:"finished,omitempty"`
	// Attempts are the numbers of failed attempts of items that are not done, by the
	// number of the item.
	Attempts map[int]int `json:"attempts,omitempty"`
	// Lapses counts the leases taken over from holders that had not released them.
	// A commit of results resets it, unless the items run in groups.
	Lapses int `json:"lapses,omitempty"`
	// Suspects are the only items that may have run since the row was written. They
	// are recorded only in a segment whose items run in groups.
	Suspects []int `json:"suspects,omitempty"`
}

// groupedLapses is the number of lapses from which the items of a segment run in
// groups that are recorded in the row before they run, so that an item that
// crashes its instance is found. A group has maxGroupItems items at first and a
// quarter as many after each further lapse.
const (
	groupedLapses = 2
	maxGroupItems = 16
)

// grouped reports whether the items run in groups.
func (s segmentRow) grouped() bool { return s.Lapses >= groupedLapses }

// groupSize returns the number of items of a group.
func (s segmentRow) groupSize() int {
	return max(1, maxGroupItems>>min(2*(s.Lapses-groupedLapses), 30))
}

// forNextHolder returns the row with which the next holder begins. If the last
// holder did not release the lease, that counts as a lapse, and as a failed
// attempt of the item if there is only one suspect.
func (s segmentRow) forNextHolder(items int) segmentRow {
	next := s.cloneProgress(items)
	next.Token++
	next.Suspects = nil
	if s.Holder == "" {
		return next
	}
	next.Lapses++
	if len(s.Suspects) == 1 {
		next.Attempts = maps.Clone(s.Attempts)
		if next.Attempts == nil {
			next.Attempts = map[int]int{}
		}
		next.Attempts[s.Suspects[0]]++
	}
	return next
}

// resultPart refers to an object with committed results in the order of the
// items.
type resultPart struct {
	Object string `json:"object"`
}

// expired reports whether the lease has expired, allowing for a clock skew
// between the instances.
func (s segmentRow) expired(now time.Time, skew time.Duration) bool {
	return now.UnixMilli() > s.ExpiresMillis+skew.Milliseconds()
}

// cloneProgress returns a copy of the row with its own Done and Parts, which a
// commit changes. items is the number of items of the segment.
func (s segmentRow) cloneProgress(items int) segmentRow {
	done := newBitmap(items)
	copy(done, s.Done)
	s.Done = done
	s.Parts = append([]resultPart(nil), s.Parts...)
	return s
}

// manifestEntry is the location of the input of a segment.
type manifestEntry struct {
	// Object is the number of the input object; Offset and Length are bytes.
	Object, Offset, Length uint32
	// First is the number in the job of the first item; Items is the number of items.
	First, Items uint32
}

// manifestEntryBytes is the size of an entry in the manifest.
const manifestEntryBytes = 20

func appendEntry(b []byte, e manifestEntry) []byte {
	for _, v := range []uint32{e.Object, e.Offset, e.Length, e.First, e.Items} {
		b = binary.BigEndian.AppendUint32(b, v)
	}
	return b
}

// decodeManifest decodes the manifest of a job.
func decodeManifest(b []byte, segments int) ([]manifestEntry, error) {
	if len(b) != segments*manifestEntryBytes {
		return nil, code.New(code.Internal, "manifest has %d bytes, want %d", len(b), segments*manifestEntryBytes)
	}
	entries := make([]manifestEntry, segments)
	for i := range entries {
		var v [5]uint32
		for j := range v {
			v[j] = binary.BigEndian.Uint32(b[i*manifestEntryBytes+4*j:])
		}
		entries[i] = manifestEntry{v[0], v[1], v[2], v[3], v[4]}
	}
	return entries, nil
}
