package job

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// Tables of the store. All rows of a job are in the same part, so that one transaction can
// change its head, its results and its progress.
const (
	headTable        = "jobs"
	reservationTable = "job_gates"
	resultTable      = "job_results"
	progressTable    = "job_progress"
	// reservationPart is the part that has the reservations of all routes.
	reservationPart = "0"
	// blobPrefix is the prefix of the names of the objects that hold submissions.
	blobPrefix = "job-"
)

// head is the state of a job. Every change of the job writes it.
type head struct {
	// Route is the id of the route, Host its host. Older versions kept the host that the caller
	// had named, of any length.
	Route string `json:"route"`
	Host  string `json:"host"`
	// Account is the client account that the job belongs to, "" if there was none.
	Account string `json:"account,omitempty"`
	Total   int    `json:"total"`
	// Listed is the number of listed results. Done has the indexes of their items in
	// the submission, in the order of the results.
	Listed int   `json:"listed"`
	Done   []int `json:"done,omitempty"`
	// Ahead is the number of rows of the next results that the owner has written since
	// it listed the last ones.
	Ahead int `json:"ahead,omitempty"`
	// Tokens is the sum over the items that are not listed.
	Tokens int64 `json:"tokens"`
	// Bytes is the estimated memory of the job while an instance runs it, 0 if an older
	// version accepted it.
	Bytes int64 `json:"bytes,omitempty"`
	// ListedBytes is the size of the rows of the listed results, 0 if an older version has
	// listed some.
	ListedBytes int64 `json:"listed_bytes,omitempty"`
	// AcceptedMS is the store's clock when the job was accepted. GiveUpAfterMS is how
	// long after that its items are run; later they are listed as failed.
	AcceptedMS    int64 `json:"accepted_ms"`
	GiveUpAfterMS int64 `json:"keep_ms"`
	// Owner is the process that runs the items, "" after it has handed the job over.
	Owner string `json:"owner"`
	Ended bool   `json:"ended,omitempty"`
}

// open reports whether the job has items left to run.
func (h *head) open() bool { return !h.Ended && h.Listed < h.Total }

// loadedBytes returns the estimated memory of the job while an instance runs it.
func (h *head) loadedBytes() int64 { return cmp.Or(h.Bytes, unknownJobBytes) }

// giveUpAfter returns how long after its acceptance the items of the job are run.
func (h *head) giveUpAfter() time.Duration { return time.Duration(h.GiveUpAfterMS) * time.Millisecond }

// versionedHead is a head with what is known of the version of its row, and the part that
// holds all rows of the job.
type versionedHead struct {
	head
	version rowVersion
	part    string
}

// compact returns the head without what only its owner needs.
func (v versionedHead) compact() versionedHead {
	if !v.open() {
		v.Done = nil
	}
	return v
}

// jobParts is the number of parts over which jobs are spread. The store takes 200
// transactions a second for each part (limits of the platform). 150 items/s on
// average (the target of 13 million items a day) and three times that at peak need
// some 400 transactions a second.
const jobParts = 4

// parts has the names of the parts with jobs. Versions with a single part used the
// first.
var parts = func() (names []string) {
	for i := range jobParts {
		names = append(names, strconv.Itoa(i))
	}
	return names
}()

// partOfNewJob returns the part that holds the rows of a new job.
func partOfNewJob(id string) string { return parts[xxhash.Sum64String(id)%jobParts] }

func headKey(part, id string) storage.RowKey {
	return storage.RowKey{Table: headTable, Part: part, Key: id}
}

func decodeHead(r storage.TableRow) (versionedHead, error) {
	v := versionedHead{version: versionRead(r.Version), part: r.Part}
	if err := json.Unmarshal(r.Value, &v.head); err != nil {
		return v, code.Wrap(code.Internal, err, "the head of job %q can't be read", r.Key)
	}
	return v, nil
}

func headRow(part, id string, h *head) storage.TableRow {
	var value bytes.Buffer
	encoder := json.NewEncoder(&value)
	// Escaped, the host of an older version may take six times as much.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(h); err != nil {
		panic(err) // Every field of the type can be encoded.
	}
	return storage.TableRow{RowKey: headKey(part, id), Value: bytes.TrimSpace(value.Bytes())}
}

// chunkBytes is the most that one row holds of a value.
const chunkBytes = storage.MaxRowBytes

// chunkKeyFormat is the key of a chunk of a result or of progress: the id of the job,
// the position of the result or the index of the item, and the number of the chunk.
const chunkKeyFormat = "%s" + keySeparator + "%05d" + keySeparator + "%03d"

// keySeparator separates the id of a job from the rest of a key.
const keySeparator = "/"

// chunkRows encodes a value and splits it into as many rows as it needs.
func chunkRows(table, part, id string, n int, value any) []storage.TableRow {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // The values have only strings, numbers and booleans.
	}
	var rows []storage.TableRow
	for i := 0; len(data) > 0; i++ {
		size := min(len(data), chunkBytes)
		key := storage.RowKey{Table: table, Part: part, Key: fmt.Sprintf(chunkKeyFormat, id, n, i)}
		rows = append(rows, storage.TableRow{RowKey: key, Value: data[:size]})
		data = data[size:]
	}
	return rows
}

// joinChunks joins the chunks of one job, which must be in the order of their keys,
// and returns the values with their positions or indexes.
func joinChunks(rows []storage.TableRow) (numbers []int, values [][]byte, err error) {
	for _, r := range rows {
		fields := strings.Split(r.Key, "/")
		var n int
		if len(fields) < 3 {
			return nil, nil, code.New(code.Internal, "row %q has no number", r.Key)
		}
		if _, err := fmt.Sscanf(fields[len(fields)-2], "%d", &n); err != nil {
			return nil, nil, code.Wrap(code.Internal, err, "row %q has no number", r.Key)
		}
		if last := len(numbers) - 1; last >= 0 && numbers[last] == n {
			values[last] = append(values[last], r.Value...)
			continue
		}
		numbers = append(numbers, n)
		values = append(values, slices.Clone(r.Value))
	}
	return numbers, values, nil
}
