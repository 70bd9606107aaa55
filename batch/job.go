package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/looplab/fsm"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/storage"
)

// State is the state of a job.
type State string

// States of a job. StateFinished and StateCancelled are final.
const (
	StateOpen      State = "in_progress"
	StateFinished  State = "completed"
	StateCancelled State = "cancelled"
)

// Events of the job's state machine.
const (
	eventFinish = "finish"
	eventCancel = "cancel"
)

// newJobFSM returns the state machine of a job, in state s.
func newJobFSM(s State) *fsm.FSM {
	return fsm.NewFSM(string(s), fsm.Events{
		{Name: eventFinish, Src: []string{string(StateOpen)}, Dst: string(StateFinished)},
		{Name: eventCancel, Src: []string{string(StateOpen)}, Dst: string(StateCancelled)},
	}, nil)
}

// OnInvalid selects what happens when lines of the input are not valid items.
type OnInvalid string

const (
	// Refuse rejects the whole job; the error names the lines.
	Refuse OnInvalid = "refuse"
	// FailItem accepts the job; the invalid lines complete as failed.
	FailItem OnInvalid = "fail_item"
)

// Settings are the settings of a job that a caller may choose.
type Settings struct {
	// Deadline is the time from submission within which the job should finish; 0
	// means DefaultDeadline. Jobs are ordered by it; a job that is past it still
	// runs to its end.
	Deadline time.Duration `json:"deadline_ns"`
	// OnInvalid defaults to Refuse.
	OnInvalid OnInvalid `json:"on_invalid"`
}

// Default and limits of Settings.Deadline.
const (
	DefaultDeadline = 24 * time.Hour
	minDeadline     = time.Second
	maxDeadline     = 30 * 24 * time.Hour
)

func (s Settings) withDefaults() Settings {
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if s.OnInvalid == "" {
		s.OnInvalid = Refuse
	}
	return s
}

func (s Settings) check() error {
	if s.Deadline < minDeadline || s.Deadline > maxDeadline {
		return code.New(code.InvalidDeadline, "deadline %v is outside %v to %v", s.Deadline, minDeadline, maxDeadline)
	}
	if s.OnInvalid != Refuse && s.OnInvalid != FailItem {
		return code.New(code.InvalidField, "on_invalid is %q, want %q or %q", s.OnInvalid, Refuse, FailItem)
	}
	return nil
}

// Request is a request to create a job. Either Input or InputObject is set.
type Request struct {
	Settings Settings
	// Input is read as JSONL to its end.
	Input io.Reader
	// InputObject names an object under CallerInputPrefix.
	InputObject string
}

// Job is the description of a job that a caller receives.
type Job struct {
	ID        string    `json:"id"`
	Key       string    `json:"key,omitempty"`
	State     State     `json:"status"`
	CreatedAt time.Time `json:"created_at"`
	Deadline  time.Time `json:"deadline"`
	OnInvalid OnInvalid `json:"on_invalid"`
	Counts    Counts    `json:"request_counts"`
}

// Counts are numbers of items of a job. Completed and Failed count committed
// items only.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Finished returns the number of items that have a committed result.
func (c Counts) Finished() int { return c.Completed + c.Failed }

// jobRow is the row of a job. It is written when the job is accepted, when it is
// cancelled and when its last segment is finished, and at no other time.
// Transactions on the condition that it still has its first version therefore
// apply only while the job is open.
type jobRow struct {
	Job
	Account string `json:"account"`
	// Content is the SHA-256 sum of the input followed by the encoded settings.
	Content string `json:"content"`
	// Upload is the id of the upload that stored the input, in a number of Objects.
	// The manifest of the segments begins at byte ManifestOffset of the last one.
	Upload         string `json:"upload"`
	Objects        int    `json:"objects"`
	ManifestOffset int64  `json:"manifest"`
	Segments       int    `json:"segments"`
	// OpenKey is the key of the job's row in the index of open jobs.
	OpenKey string `json:"open_key"`
	// ConfigVersion is the version of the document under which the job was accepted.
	ConfigVersion uint64 `json:"config_version,omitempty"`
}

// openRow is the value of a row in the index of open jobs.
type openRow struct {
	Items          int   `json:"items"`
	Segments       int   `json:"segments"`
	DeadlineMillis int64 `json:"deadline_ms"`
}

// jobRef refers to a job. It is the value of the rows of idempotency keys and of
// the list of cancellations.
type jobRef struct {
	Job string `json:"job"`
}

// writes returns the writes of the job's row and of its copy in the account's
// list.
func (j jobRow) writes() []storage.Write {
	return []storage.Write{
		{Key: jobKey(j.ID), Value: encode(j)},
		{Key: accountKey(j.Account, j.CreatedAt, j.ID), Value: encode(j.Job)},
	}
}

// idempotencyKey returns the key that is bound to the job: the caller's key, or
// the id of the upload if the caller sent none.
func (j jobRow) idempotencyKey() string {
	if j.Key == "" {
		return j.Upload
	}
	return j.Key
}

// expiryRow is the value of a row in the list of jobs sorted by the time from
// which they may be removed.
type expiryRow struct {
	Job    string `json:"job"`
	Upload string `json:"upload"`
}

// uploadRow records an upload whose job does not exist yet, so that its input
// objects are found if the submission never ends.
type uploadRow struct {
	StartedMillis int64 `json:"started_ms"`
	// Dropped is set before the objects are removed; after that the job cannot be
	// created.
	Dropped bool `json:"dropped,omitempty"`
}

// jobID derives the id of a job from its account, key and content, so that a
// resent submission gets the id of the first one.
func jobID(account, key, content string) string {
	h := sha256.New()
	for _, part := range []string{account, key, content} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return "job-" + hex.EncodeToString(h.Sum(nil)[:16])
}

// encode marshals a value to JSON. It panics if that fails, which the types of
// this package exclude.
func encode[T any](v T) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// decode unmarshals the value of a row. Errors are code.Internal.
func decode[T any](row storage.Row) (T, error) {
	var v T
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, code.Wrap(code.Internal, err, "row %q is damaged", row.Key)
	}
	return v, nil
}
