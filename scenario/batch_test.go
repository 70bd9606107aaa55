package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisylb/daisylb/batch"
	"github.com/daisylb/daisylb/code"
)

const itemTokens = 40

// items FILE CHATS PICKUPS writes a job: CHATS model items, then PICKUPS calls
// of the service that must run at most once.
func (w *world) items(ts *testscript.TestScript, args []string) error {
	chats, pickups, err := twoNumbers(args[1], args[2])
	if err != nil {
		return err
	}
	var b strings.Builder
	for i := range chats {
		fmt.Fprintf(&b, `{"custom_id":"chat-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", i, chatBody(fmt.Sprintf("item %d", i), itemTokens, false))
	}
	for i := range pickups {
		fmt.Fprintf(&b, `{"custom_id":"pickup-%d","method":"POST","url":"/s/pickups/confirm","body":{"rug":%d}}`+"\n", i, i)
	}
	return os.WriteFile(filepath.Join(w.dir, args[0]), []byte(b.String()), 0o644)
}

func twoNumbers(a, b string) (int, int, error) {
	x, err := strconv.Atoi(a)
	if err != nil {
		return 0, 0, err
	}
	y, err := strconv.Atoi(b)
	return x, y, err
}

// submit VARIABLE ADDRESS FILE KEY submits a job, again until it is accepted,
// and sets the variable to its id.
func (w *world) submit(ts *testscript.TestScript, args []string) error {
	input := ts.ReadFile(args[2])
	calls := &batch.Client{Endpoint: args[1], Key: callerKey}
	for end := time.Now().Add(limit()); ; time.Sleep(pollInterval) {
		job, err := calls.Submit(context.Background(), args[3], batch.Settings{}, strings.NewReader(input))
		if err == nil {
			ts.Setenv(args[0], job.ID)
			return nil
		}
		if time.Now().After(end) || code.From(err).Number == code.JobKeyConflict {
			return err
		}
	}
}

// progress ADDRESS ID N waits until N items of a job have results.
func (w *world) progress(ts *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	calls := &batch.Client{Endpoint: args[0], Key: callerKey}
	var job batch.Job
	for end := time.Now().Add(limit()); time.Now().Before(end); time.Sleep(pollInterval) {
		job, err = calls.Status(context.Background(), args[1])
		if err == nil && job.Counts.Finished() >= n {
			return nil
		}
	}
	return fmt.Errorf("job %+v: %w", job, err)
}

// complete ADDRESS ID CHATS PICKUPS compares the results of a finished job with
// its items: every item once, every answer whole, no pickup run twice.
func (w *world) complete(ts *testscript.TestScript, args []string) error {
	chats, pickups, err := twoNumbers(args[2], args[3])
	if err != nil {
		return err
	}
	var out bytes.Buffer
	calls := &batch.Client{Endpoint: args[0], Key: callerKey}
	if _, err := calls.Results(context.Background(), args[1], 0, &out); err != nil {
		return err
	}
	seen := map[string]bool{}
	for line := range strings.Lines(out.String()) {
		var r batch.ResultLine
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			return err
		}
		if seen[r.CustomID] {
			return fmt.Errorf("%s has two results", r.CustomID)
		}
		seen[r.CustomID] = true
		if err := checkResult(r); err != nil {
			return err
		}
	}
	if len(seen) != chats+pickups {
		return fmt.Errorf("%d results, want %d", len(seen), chats+pickups)
	}
	return nil
}

// checkResult accepts a whole answer, and for a pickup also the error that says
// that its one run has an unknown outcome.
func checkResult(r batch.ResultLine) error {
	number, isChat := strings.CutPrefix(r.CustomID, "chat-")
	if r.Error != nil {
		if !isChat && r.Error.Number == code.OutcomeUnknown {
			return nil
		}
		return fmt.Errorf("%s failed: %+v", r.CustomID, *r.Error)
	}
	body := string(r.Response.Body)
	if !isChat {
		if !strings.Contains(body, `"run":1`) {
			return fmt.Errorf("%s: %s", r.CustomID, body)
		}
		return nil
	}
	want, err := json.Marshal(expected("item "+number, itemTokens))
	if err != nil {
		return err
	}
	if !strings.Contains(body, string(want)) {
		return fmt.Errorf("%s: %s, want %s", r.CustomID, body, want)
	}
	return nil
}

// once ADDRESS asks the plain service's stand-in whether any key ran twice.
func (w *world) once(ts *testscript.TestScript, args []string) error {
	text, err := w.http(ts, []string{"GET", args[0] + "/admin/runs"})
	if err != nil {
		return err
	}
	_, body, _ := strings.Cut(text, "\n")
	var runs map[string]int
	if err := json.Unmarshal([]byte(body), &runs); err != nil {
		return err
	}
	for key, n := range runs {
		if n > 1 {
			return fmt.Errorf("%s ran %d times", key, n)
		}
	}
	return nil
}
