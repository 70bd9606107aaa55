package quarantine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

const (
	// minCrashes is the number of crashes, on as many upstreams, from which a part is
	// quarantined. minCrashesProven applies at an instance that has lately answered
	// requests with the part, and while upstreams crash as often without it.
	minCrashes       = 3
	minCrashesProven = 2 * minCrashes
	// crashSpacing is the least time between two crashes that count separately. Upstreams
	// that fail at the same moment have a cause in common that is not the prompt.
	crashSpacing = 100 * time.Millisecond
)

// crash is the evidence against a part that one crash of an upstream gives. Its time is
// read from the store's clock, which all instances share.
type crash struct {
	At       time.Duration `json:"at"`
	Upstream string        `json:"upstream"`
	// Request is the request with the part that had not been answered.
	Request string `json:"request"`
}

// neverAnswered is before all readings of a clock.
const neverAnswered time.Duration = -1

// part is what is known about one part of prompts. A part without evidence has none.
type part struct {
	// crashes is keyed by a hash of the upstream's incarnation.
	crashes map[uint64]crash
	// answeredAt is when a request with the part was last answered at this instance
	// while there was evidence, by the store's clock, or neverAnswered. Earlier crashes do
	// not count.
	answeredAt time.Duration
	// removalAt is when this instance removes the rows of earlier crashes.
	removalAt time.Time
	// trial is the last trial, and trialVersion the version of its row.
	trial        trial
	trialVersion uint64
	// changedAt is when this instance last learned something new about the part.
	changedAt time.Time
	// returnedUntil is when a trial that no upstream ran can no longer be used.
	returnedUntil time.Time
	quarantined   bool
	// quarantinedAt is when it became so, by the store's clock.
	quarantinedAt time.Duration
	// contested is what isContested reported when changedAt was contestedAt.
	contested   bool
	contestedAt time.Time
}

// crashCount returns the number of crashes that count separately.
func (p *part) crashCount() int {
	times := make([]time.Duration, 0, len(p.crashes))
	for _, c := range p.crashes {
		if c.At > p.answeredAt {
			times = append(times, c.At)
		}
	}
	return countSeparate(times)
}

// hasCrashSince reports whether a crash at a time or later counts against the part.
func (p *part) hasCrashSince(at time.Duration) bool {
	for _, c := range p.crashes {
		if c.At >= at && c.At > p.answeredAt {
			return true
		}
	}
	return false
}

// firstCrashAt returns the time of the first crash that counts against the part, by the
// store's clock, or fallback if there is none.
func (p *part) firstCrashAt(fallback time.Duration) time.Duration {
	first := fallback
	for _, c := range p.crashes {
		if c.At > p.answeredAt {
			first = min(first, c.At)
		}
	}
	return first
}

// lastAt returns the time of the newest evidence or trial, by the store's clock.
func (p *part) lastAt() time.Duration {
	last := p.trial.At
	for _, c := range p.crashes {
		last = max(last, c.At)
	}
	return last
}

// Keys of the rows: a prefix, the part and, for crashes, the upstream's incarnation, both
// as 16 hexadecimal digits.
const (
	crashPrefix = "quarantine/crash/"
	trialPrefix = "quarantine/trial/"
)

func crashKey(partID, incarnation uint64) string {
	return fmt.Sprintf("%s%016x/%016x", crashPrefix, partID, incarnation)
}

func trialKey(partID uint64) string { return fmt.Sprintf("%s%016x", trialPrefix, partID) }

// parseKey returns the part of a row and, for a crash, the upstream's incarnation.
func parseKey(key string) (partID, incarnation uint64, isTrial, ok bool) {
	if text, found := strings.CutPrefix(key, trialPrefix); found {
		partID, err := strconv.ParseUint(text, 16, 64)
		return partID, 0, true, err == nil
	}
	text, found := strings.CutPrefix(key, crashPrefix)
	if !found {
		return 0, 0, false, false
	}
	before, after, _ := strings.Cut(text, "/")
	partID, err1 := strconv.ParseUint(before, 16, 64)
	incarnation, err2 := strconv.ParseUint(after, 16, 64)
	return partID, incarnation, false, err1 == nil && err2 == nil
}

// incarnationHash identifies one incarnation of an upstream.
func incarnationHash(upstream string, startedMillis int64) uint64 {
	return xxhash.Sum64String(upstream + "/" + strconv.FormatInt(startedMillis, 10))
}

// encode returns the value of a row.
func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, code.Wrap(code.Internal, err, "the evidence can't be encoded")
	}
	return data, nil
}

// decode reads the value of a row.
func decode(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return code.Wrap(code.InvalidField, err, "the evidence can't be read")
	}
	return nil
}

// row returns a row of the table.
func (l *List) row(key string, value []byte) storage.TableRow {
	return storage.TableRow{RowKey: l.rowKey(key), Value: value}
}

func (l *List) rowKey(key string) storage.RowKey {
	return storage.RowKey{Table: l.options.Table, Part: Part, Key: key}
}
