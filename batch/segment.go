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

// segmentRow is the row of a segment. A missing row is a segment that was never
// leased.
type segmentRow struct {
	// Holder has the lease until Expires (Unix ms) by the clocks of others.
	Holder  string `json:"holder,omitempty"`
	Expires int64  `json:"expires_ms,omitempty"`
	// Token grows with every lease of the segment.
	Token uint64 `json:"token"`
	// Done are the items with a result in Parts.
	Done      bitmap `json:"done,omitempty"`
	Parts     []part `json:"parts,omitempty"`
	Completed int    `json:"completed,omitempty"`
	Failed    int    `json:"failed,omitempty"`
	// Finished is set when every item is in Done.
	Finished bool `json:"finished,omitempty"`
	// Attempts are the failed attempts of items that are not done.
	Attempts map[int]int `json:"attempts,omitempty"`
	// Lapses counts the holders that were lost without a commit in between.
	Lapses int `json:"lapses,omitempty"`
	// Suspects are the only items that ran since the row was written. They are
	// kept for a segment with many lapses.
	Suspects []int `json:"suspects,omitempty"`
}

// cautiousLapses is the number of lapses from which the items of a segment run
// in groups that are announced, so that an item that stops its instance is
// found. A group has cautiousGroup items at first and a quarter of that after
// each further lapse.
const (
	cautiousLapses = 2
	cautiousGroup  = 16
)

func (s segmentRow) cautious() bool { return s.Lapses >= cautiousLapses }

// group returns the number of items that run between two announcements.
func (s segmentRow) group() int {
	return max(1, cautiousGroup>>min(2*(s.Lapses-cautiousLapses), 30))
}

// takenOver returns the row as the next holder begins with it. A holder that
// gave its lease back is no lapse.
func (s segmentRow) takenOver(items int) segmentRow {
	next := s.clone(items)
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

// part names an object with committed results in the order of the items.
type part struct {
	Object string `json:"object"`
}

func (s segmentRow) expired(now time.Time, skew time.Duration) bool {
	return now.UnixMilli() > s.Expires+skew.Milliseconds()
}

// clone copies what a commit changes.
func (s segmentRow) clone(items int) segmentRow {
	done := newBitmap(items)
	copy(done, s.Done)
	s.Done = done
	s.Parts = append([]part(nil), s.Parts...)
	return s
}

// entry says where the input of a segment lies.
type entry struct {
	// Object is the number of the input object; Offset and Length are bytes.
	Object, Offset, Length uint32
	// First is the number of the first item in the job; Items the item count.
	First, Items uint32
}

// entryBytes is the size of an entry in the manifest.
const entryBytes = 20

func appendEntry(b []byte, e entry) []byte {
	for _, v := range []uint32{e.Object, e.Offset, e.Length, e.First, e.Items} {
		b = binary.BigEndian.AppendUint32(b, v)
	}
	return b
}

func decodeManifest(b []byte, segments int) ([]entry, error) {
	if len(b) != segments*entryBytes {
		return nil, code.New(code.Internal, "manifest has %d bytes, want %d", len(b), segments*entryBytes)
	}
	entries := make([]entry, segments)
	for i := range entries {
		var v [5]uint32
		for j := range v {
			v[j] = binary.BigEndian.Uint32(b[i*entryBytes+4*j:])
		}
		entries[i] = entry{v[0], v[1], v[2], v[3], v[4]}
	}
	return entries, nil
}
