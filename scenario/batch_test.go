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

// itemTokens is the length of the answer to a model item.
const itemTokens = 40

// items implements the script command
//
//	items FILE CHATS PICKUPS
//
// It writes the input of a job: CHATS items for the model, then PICKUPS calls of the
// plain service, each of which must run at most once.
func (env *environment) items(ts *testscript.TestScript, args []string) error {
	chats, pickups, err := parseInts(args[1], args[2])
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
	return os.WriteFile(filepath.Join(env.dir, args[0]), []byte(b.String()), 0o644)
}

func parseInts(a, b string) (int, int, error) {
	x, err := strconv.Atoi(a)
	if err != nil {
		return 0, 0, err
	}
	y, err := strconv.Atoi(b)
	return x, y, err
}

// submit implements the script command
//
//	submit VARIABLE ADDRESS FILE KEY
//
// It submits a job, retries until it is accepted, and sets VARIABLE to its id. A key
// that was used with other content is an error at once.
func (env *environment) submit(ts *testscript.TestScript, args []string) error {
	input := ts.ReadFile(args[2])
	client := &batch.Client{Endpoint: args[1], Key: callerKey}
	for deadline := time.Now().Add(waitTimeout()); ; time.Sleep(pollInterval) {
		job, err := client.Submit(context.Background(), args[3], batch.Settings{}, strings.NewReader(input))
		if err == nil {
			ts.Setenv(args[0], job.ID)
			return nil
		}
		if time.Now().After(deadline) || code.From(err).Number == code.JobKeyConflict {
			return err
		}
	}
}

// progress implements the script command
//
//	progress ADDRESS ID N
//
// It waits until N items of a job have results.
func (env *environment) progress(ts *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	client := &batch.Client{Endpoint: args[0], Key: callerKey}
	var job batch.Job
	for deadline := time.Now().Add(waitTimeout()); time.Now().Before(deadline); time.Sleep(pollInterval) {
		job, err = client.Status(context.Background(), args[1])
		if err == nil && job.Counts.Finished() >= n {
			return nil
		}
	}
	return fmt.Errorf("job %+v: %w", job, err)
}

// complete implements the script command
//
//	complete ADDRESS ID CHATS PICKUPS
//
// It checks the results of a finished job: one result per item, complete answers, and
// no pickup that ran twice.
func (env *environment) complete(ts *testscript.TestScript, args []string) error {
	chats, pickups, err := parseInts(args[2], args[3])
	if err != nil {
		return err
	}
	var out bytes.Buffer
	client := &batch.Client{Endpoint: args[0], Key: callerKey}
	if _, err := client.Results(context.Background(), args[1], 0, &out); err != nil {
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

// checkResult returns an error unless the result is a complete answer. For a pickup it
// also accepts code.OutcomeUnknown, since a call whose outcome is unknown is not run
// again.
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

// once implements the script command
//
//	once ADDRESS
//
// It fails when the plain service's stand-in has run any key more than once.
func (env *environment) once(ts *testscript.TestScript, args []string) error {
	text, err := env.http(ts, []string{"GET", args[0] + "/admin/runs"})
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
