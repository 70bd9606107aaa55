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

// States of a job. Finished and cancelled are final.
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

// newMachine returns the state machine of a job that is in state s.
func newMachine(s State) *fsm.FSM {
	return fsm.NewFSM(string(s), fsm.Events{
		{Name: eventFinish, Src: []string{string(StateOpen)}, Dst: string(StateFinished)},
		{Name: eventCancel, Src: []string{string(StateOpen)}, Dst: string(StateCancelled)},
	}, nil)
}

// OnInvalid says what happens to lines that are not valid items.
type OnInvalid string

const (
	// Refuse refuses the whole job; the error names the lines.
	Refuse OnInvalid = "refuse"
	// FailItem accepts the job; the lines complete as failed.
	FailItem OnInvalid = "fail_item"
)

// Settings of a job.
type Settings struct {
	// Deadline is the time from submission within which the job should finish; 0
	// means DefaultDeadline. It orders the work and drops nothing.
	Deadline time.Duration `json:"deadline_ns"`
	// OnInvalid defaults to Refuse.
	OnInvalid OnInvalid `json:"on_invalid"`
}

// Bounds of Settings.Deadline.
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

// Request asks for a job. Either Input or InputObject is set.
type Request struct {
	Settings Settings
	// Input is read as JSONL to its end.
	Input io.Reader
	// InputObject names an object under CallerInputPrefix.
	InputObject string
}

// Job is what a caller sees of a job.
type Job struct {
	ID        string    `json:"id"`
	Key       string    `json:"key,omitempty"`
	State     State     `json:"status"`
	CreatedAt time.Time `json:"created_at"`
	Deadline  time.Time `json:"deadline"`
	OnInvalid OnInvalid `json:"on_invalid"`
	Counts    Counts    `json:"request_counts"`
}

// Counts are numbers of items. Completed and Failed hold committed items only.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Finished returns the number of items that have a committed result.
func (c Counts) Finished() int { return c.Completed + c.Failed }

// jobRow is the row of a job. It is written by the submission, by the
// cancellation or by the end of the last segment, and at no other time, so its
// version stands for "the job is open".
type jobRow struct {
	Job
	Account string `json:"account"`
	Content string `json:"content"`
	// Upload names the input objects, of which there are Objects. The manifest of
	// the segments begins at byte Manifest of the last one.
	Upload   string `json:"upload"`
	Objects  int    `json:"objects"`
	Manifest int64  `json:"manifest"`
	Segments int    `json:"segments"`
	// OpenKey is the job's row in the index of open jobs.
	OpenKey string `json:"open_key"`
}

// openRow is the value in the index of open jobs.
type openRow struct {
	Items    int   `json:"items"`
	Segments int   `json:"segments"`
	Deadline int64 `json:"deadline_ms"`
}

// keyRow binds a caller's key to a job.
type keyRow struct {
	Job string `json:"job"`
}

// writes are the writes of the job's row and of its copy in the account's list.
func (j jobRow) writes() []storage.Write {
	return []storage.Write{
		{Key: jobKey(j.ID), Value: encode(j)},
		{Key: accountKey(j.Account, j.CreatedAt, j.ID), Value: encode(j.Job)},
	}
}

// boundKey is the key that the job's key row stands under. A job without a
// caller's key has the name of its upload.
func (j jobRow) boundKey() string {
	if j.Key == "" {
		return j.Upload
	}
	return j.Key
}

// expiryRow lists a job under the time from which it may be removed.
type expiryRow struct {
	Job    string `json:"job"`
	Upload string `json:"upload"`
}

// uploadRow announces input objects whose job does not exist yet.
type uploadRow struct {
	Started int64 `json:"started_ms"`
	// Dropped is set before the objects are removed; the job cannot be made after
	// that.
	Dropped bool `json:"dropped,omitempty"`
}

// jobID derives the id, so that a resend has the id of the first submission.
func jobID(account, key, content string) string {
	h := sha256.New()
	for _, part := range []string{account, key, content} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return "job-" + hex.EncodeToString(h.Sum(nil)[:16])
}

// encode marshals a row of this package, which cannot fail.
func encode[T any](v T) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func decode[T any](row storage.Row) (T, error) {
	var v T
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, code.Wrap(code.Internal, err, "row %q is damaged", row.Key)
	}
	return v, nil
}
