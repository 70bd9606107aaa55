package job

import (
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

// Tables of the store. All rows of a job are in one part, so that its head, its
// results and its progress can be changed in one transaction.
const (
	headTable     = "jobs"
	gateTable     = "job_gates"
	resultTable   = "job_results"
	progressTable = "job_progress"
	// gatePart has the gates of all routes.
	gatePart = "0"
	// blobPrefix begins the names of objects with submissions.
	blobPrefix = "job-"
)

// head is the state of a job. Every change of the job changes it.
type head struct {
	// Route is the id of the route, Host what the submission named.
	Route string `json:"route"`
	Host  string `json:"host"`
	Total int    `json:"total"`
	// Listed is the number of results; Done has the indexes of their items in
	// the submission.
	Listed int   `json:"listed"`
	Done   []int `json:"done,omitempty"`
	// Tokens of the items that are not listed.
	Tokens int64 `json:"tokens"`
	// AcceptedMS is the store's clock at the acceptance; KeepMS is how long after
	// it items may be given up.
	AcceptedMS int64 `json:"accepted_ms"`
	KeepMS     int64 `json:"keep_ms"`
	// Owner is the process that runs the items; "" when it has handed them over.
	Owner string `json:"owner"`
	Ended bool   `json:"ended,omitempty"`
}

// open reports whether items are left to run.
func (h *head) open() bool { return !h.Ended && h.Listed < h.Total }

func (h *head) keep() time.Duration { return time.Duration(h.KeepMS) * time.Millisecond }

// versioned is a head with the version of its row and the part that has all rows of
// the job.
type versioned struct {
	head
	version uint64
	part    string
}

// jobParts is the number of parts over which jobs are spread. A part takes 200
// transactions a second (the platform's sheets); 150 items/s on average (the target of
// 13 M a day) and three times as many in peaks need some 400.
const jobParts = 4

// parts are those of jobs. Before there were several, all jobs were in the first.
var parts = func() (names []string) {
	for i := range jobParts {
		names = append(names, strconv.Itoa(i))
	}
	return names
}()

// partOf returns the part of a new job.
func partOf(id string) string { return parts[xxhash.Sum64String(id)%jobParts] }

func headKey(part, id string) storage.RowKey {
	return storage.RowKey{Table: headTable, Part: part, Key: id}
}

func decodeHead(r storage.TableRow) (versioned, error) {
	v := versioned{version: r.Version, part: r.Part}
	if err := json.Unmarshal(r.Value, &v.head); err != nil {
		return v, code.Wrap(code.Internal, err, "the head of job %q can't be read", r.Key)
	}
	return v, nil
}

func headRow(part, id string, h *head) storage.TableRow {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // The type has no field that can fail.
	}
	return storage.TableRow{RowKey: headKey(part, id), Value: value}
}

// chunkBytes leaves room in a row under the platform's least limit.
const chunkBytes = 48 << 10

// Keys of the pieces of results and of progress: the job, the position or the
// index of the item, and the piece.
const pieceKey = "%s/%05d/%03d"

// piecesOf writes a value into as many rows as it needs.
func piecesOf(table, part, id string, n int, value any) []storage.TableRow {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // Strings, numbers and booleans only.
	}
	var rows []storage.TableRow
	for i := 0; len(data) > 0; i++ {
		size := min(len(data), chunkBytes)
		key := storage.RowKey{Table: table, Part: part, Key: fmt.Sprintf(pieceKey, id, n, i)}
		rows = append(rows, storage.TableRow{RowKey: key, Value: data[:size]})
		data = data[size:]
	}
	return rows
}

// joinPieces puts the rows of one job together, in the order of their numbers.
func joinPieces(rows []storage.TableRow) (numbers []int, values [][]byte, err error) {
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
