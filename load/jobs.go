package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/daisylb/daisylb/batch"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/standin/engine"
)

// Interval and timeouts of the calls about jobs.
const (
	statusInterval = time.Second
	statusTimeout  = 2 * time.Second
	jobTimeout     = 10 * time.Second
)

// progress is the number of committed items at a time relative to the start of
// the measured window.
type progress struct {
	sinceStart time.Duration
	finished   int
}

// batchRecord holds the results of one batch mix. It is used by one goroutine
// at a time.
type batchRecord struct {
	mix *BatchMix
	// finished is the number of items committed within window. failed counts
	// failed items of the whole run. points has one entry per poll.
	finished int
	failed   int
	window   time.Duration
	points   []progress
	// verified counts results that were compared with the expected text. wrong
	// counts results with another text, of an unknown item or that could not be
	// parsed. duplicates counts repeated results of an item.
	verified   int
	wrong      int
	duplicates int
	// errors counts failed calls about jobs.
	errors map[Ending]int
	// meanTokens is the mean answer length of the items of the job submitted
	// last.
	meanTokens float64
}

func newBatchRecord(m *BatchMix) *batchRecord {
	return &batchRecord{mix: m, errors: map[Ending]int{}}
}

func (r *batchRecord) merge(o *batchRecord) {
	r.finished += o.finished
	r.failed += o.failed
	r.window += o.window
	r.points = append(r.points, o.points...)
	r.verified += o.verified
	r.wrong += o.wrong
	r.duplicates += o.duplicates
	for e, n := range o.errors {
		r.errors[e] += n
	}
	r.meanTokens = o.meanTokens
}

func (r *batchRecord) itemsPerSecond() float64 {
	if r.window == 0 {
		return 0
	}
	return float64(r.finished) / r.window.Seconds()
}

// jobItem is one item with the expected length of its answer.
type jobItem struct {
	messages []contract.Message
	tokens   int
}

// inputLine is one line of a job's input in the format of the OpenAI batch API.
type inputLine struct {
	CustomID string               `json:"custom_id"`
	Method   string               `json:"method"`
	URL      string               `json:"url"`
	Body     contract.ChatRequest `json:"body"`
}

// items draws the items of a job.
func (m *BatchMix) items(seed uint64, job string) []jobItem {
	random := randomFor(seed, m.Name)
	list := make([]jobItem, 0, m.Items)
	for i := range m.Items {
		prefix := fmt.Sprintf("%s %d ", job, i)
		prompt := pad(prefix, m.PromptBytes.draw(random))
		list = append(list, jobItem{[]contract.Message{message("user", prompt)}, m.AnswerTokens.draw(random)})
	}
	return list
}

// input encodes the items as the JSON lines of a job's input.
func (m *BatchMix) input(items []jobItem) ([]byte, error) {
	var b bytes.Buffer
	lines := json.NewEncoder(&b)
	for i, it := range items {
		line := inputLine{
			CustomID: strconv.Itoa(i),
			Method:   "POST",
			URL:      "/v1/chat/completions",
			Body:     chatBody(m.Service, it.messages, it.tokens, false),
		}
		if err := lines.Encode(line); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

// runningJob is a job of a run. Its id is empty when the submission failed.
type runningJob struct {
	id         string
	items      []jobItem
	lastCounts batch.Counts
}

// jobRunner submits the jobs of one mix in one run and tracks them.
type jobRunner struct {
	user   *virtualUser
	record *batchRecord
	seed   uint64
	// runID is part of the job names, so that no two runs submit the same jobs.
	runID string
	jobs  []*runningJob
}

// client returns a client for the endpoint that is listed first, which is the
// nearest.
func (j *jobRunner) client(ctx context.Context) (*batch.Client, error) {
	address, err := j.user.address(ctx, 0)
	if err != nil {
		return nil, err
	}
	return &batch.Client{Endpoint: address, Key: j.record.mix.Key, HTTP: j.user.client}, nil
}

// run submits and polls jobs until the end of the window, then cancels them and
// verifies their results.
func (j *jobRunner) run(ctx context.Context, start time.Time, warmup, window time.Duration) {
	m := j.record.mix
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	finishedAtStart := -1
	for {
		now := time.Since(start)
		if len(j.jobs) < m.Jobs && now >= -warmup+time.Duration(len(j.jobs))*m.Every {
			j.submit(ctx)
			continue
		}
		finished := j.poll(ctx)
		now = time.Since(start)
		j.record.points = append(j.record.points, progress{now, finished})
		if now >= 0 && finishedAtStart < 0 {
			finishedAtStart = finished
			j.record.window = -now
		}
		if now >= window || ctx.Err() != nil {
			j.record.finished = finished - max(finishedAtStart, 0)
			j.record.window += now
			break
		}
		<-ticker.C
	}
	j.finish(context.WithoutCancel(ctx))
}

func (j *jobRunner) submit(ctx context.Context) {
	m := j.record.mix
	name := fmt.Sprintf("%s-%s-%d", j.runID, m.Name, len(j.jobs))
	job := &runningJob{items: m.items(j.seed, name)}
	j.jobs = append(j.jobs, job)
	total := 0
	for _, it := range job.items {
		total += it.tokens
	}
	j.record.meanTokens = float64(total) / float64(len(job.items))
	input, err := m.input(job.items)
	if err != nil {
		j.recordError(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	client, err := j.client(ctx)
	if err != nil {
		j.recordError(err)
		return
	}
	submitted, err := client.Submit(ctx, name, batch.Settings{Deadline: m.Deadline}, bytes.NewReader(input))
	if err != nil {
		j.recordError(err)
		return
	}
	job.id = submitted.ID
}

// recordError counts a failed call and expires the endpoints, so that the next
// call requests them again.
func (j *jobRunner) recordError(err error) {
	j.record.errors[errorEnding(err)]++
	j.user.expire()
}

// poll returns the number of committed items of all jobs. A job whose status
// cannot be read counts with its last known status. After the first failure no
// further status is read, since each of these calls could take as long to time
// out.
func (j *jobRunner) poll(ctx context.Context) int {
	finished, failed := 0, false
	for _, job := range j.jobs {
		if job.id == "" {
			continue
		}
		if open := job.lastCounts.Total == 0 || job.lastCounts.Finished() < job.lastCounts.Total; open && !failed {
			failed = !j.status(ctx, job)
		}
		finished += job.lastCounts.Finished()
	}
	return finished
}

// status updates the counts of a job. It reports whether they could be read.
func (j *jobRunner) status(ctx context.Context, job *runningJob) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client, err := j.client(ctx)
	if err != nil {
		j.recordError(err)
		return false
	}
	status, err := client.Status(ctx, job.id)
	if err != nil {
		j.recordError(err)
		return false
	}
	job.lastCounts = status.Counts
	return true
}

// finish cancels the jobs and verifies the committed results.
func (j *jobRunner) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for _, job := range j.jobs {
		if job.id == "" {
			continue
		}
		j.record.failed += job.lastCounts.Failed
		if err := j.cancelAndVerify(ctx, job); err != nil {
			j.recordError(err)
		}
	}
}

func (j *jobRunner) cancelAndVerify(ctx context.Context, job *runningJob) error {
	client, err := j.client(ctx)
	if err != nil {
		return err
	}
	if job.lastCounts.Finished() < job.lastCounts.Total || job.lastCounts.Total == 0 {
		if _, err := client.Cancel(ctx, job.id); err != nil {
			return err
		}
	}
	var results bytes.Buffer
	for from := 0; ; {
		next, err := client.Results(ctx, job.id, from, &results)
		if err != nil {
			return err
		}
		if next <= from || next >= len(job.items) {
			break
		}
		from = next
	}
	j.verify(job, &results)
	return nil
}

// verify compares the committed answers with the expected ones.
func (j *jobRunner) verify(job *runningJob, results *bytes.Buffer) {
	seen := map[int]bool{}
	lines := bufio.NewScanner(results)
	lines.Buffer(nil, maxErrorBytes<<4)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var line batch.ResultLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			j.record.wrong++
			continue
		}
		j.verifyLine(job, line, seen)
	}
}

func (j *jobRunner) verifyLine(job *runningJob, line batch.ResultLine, seen map[int]bool) {
	index, err := strconv.Atoi(line.CustomID)
	if err != nil || index < 0 || index >= len(job.items) {
		j.record.wrong++
		return
	}
	if seen[index] {
		j.record.duplicates++
	}
	seen[index] = true
	if line.Response == nil {
		return
	}
	var answer chatEvent
	item := job.items[index]
	want := engine.Answer(item.messages, item.tokens)
	j.record.verified++
	if json.Unmarshal(line.Response.Body, &answer) != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content != want {
		j.record.wrong++
	}
}
