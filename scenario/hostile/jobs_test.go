package hostile

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	maxItems = 200
	// jobBytes is the size of a large submission inside the limits of the document.
	jobBytes = 800 << 10
	// jobClients is the number of clients that submit jobs at the same time, manyJobClients that
	// of a large crowd.
	jobClients     = 8
	manyJobClients = 64
)

// jobOf returns a submission with a number of items, each with a body of bodyBytes.
func jobOf(items, bodyBytes int, tokens string) string {
	body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", bodyBytes)))
	var list []string
	for i := range items {
		list = append(list, fmt.Sprintf(`{"id":"%d","path":"/j/i","headers":{"X-Model":"m"},"body":%q%s}`, i, body, tokens))
	}
	return `{"requests":[` + strings.Join(list, ",") + `]}`
}

// listOf returns a submission of about size bytes whose items are all the same text.
func listOf(item string, size int) string {
	return `{"requests":[` + strings.Repeat(item+",", size/(len(item)+1)-len(`{"requests":[]}`)) + item + `]}`
}

// itemOfHeaders returns a submission of about size bytes with a single item with as many
// headers as fit.
func itemOfHeaders(size int) string {
	var b strings.Builder
	b.WriteString(`{"requests":[{"id":"1","path":"/j/i","headers":{`)
	for n := 0; b.Len() < size-100; n++ {
		fmt.Fprintf(&b, `"%x":"",`, n)
	}
	b.WriteString(`"z":""},"tokens":1}]}`)
	return b.String()
}

// submit submits a job once and returns the status of the answer, 0 if there is none.
func (p *process) submit(id, body string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTime}
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/j/x", strings.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return 0
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// submitAll submits n jobs with the same body, each once, at the processes in turn, and
// returns the ids of those that were accepted. It samples the processes meanwhile.
func submitAll(n int, body string, processes ...*process) (accepted []string) {
	return submitAtOnce(jobClients, n, body, processes...)
}

// crowds counts the crowds, so that the ids of their jobs differ.
var crowds atomic.Int64

// submitAtOnce is like submitAll with a number of clients.
func submitAtOnce(clients, n int, body string, processes ...*process) (accepted []string) {
	name := fmt.Sprintf("crowd-%d", crowds.Add(1))
	var mu sync.Mutex
	var group sync.WaitGroup
	next := make(chan int)
	for range clients {
		group.Go(func() {
			for i := range next {
				id := fmt.Sprintf("%s-%d", name, i)
				if processes[i%len(processes)].submit(id, body) == http.StatusAccepted {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}
		})
	}
	for i := range n {
		next <- i
		processes[i%len(processes)].sample()
	}
	close(next)
	group.Wait()
	processes[0].t.Logf("%d of %d jobs accepted", len(accepted), n)
	return accepted
}

// results is the answer to a call for the results of a job.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"results"`
}

// read reads the results of a job from a position on.
func (p *process) read(id string, after int) (results, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTime}
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/api/lots/%s?after=%d", p.address, id, after), nil)
	if err != nil {
		return results{}, err
	}
	request.Host = "h"
	response, err := client.Do(request)
	if err != nil {
		return results{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return results{}, fmt.Errorf("status %d", response.StatusCode)
	}
	var r results
	return r, json.NewDecoder(response.Body).Decode(&r)
}

// wantComplete waits until all items of a job are listed as succeeded, each once.
func (p *process) wantComplete(id string, items int) {
	p.t.Helper()
	seen := map[string]bool{}
	var last error
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(retryInterval) {
		r, err := p.read(id, len(seen))
		last = err
		for _, result := range r.Results {
			if seen[result.ID] || result.State != "succeeded" {
				p.t.Fatalf("item %s of job %s: listed before %v, %s", result.ID, id, seen[result.ID], result.State)
			}
			seen[result.ID] = true
		}
		if err == nil && len(seen) == items && r.Total == items {
			return
		}
	}
	p.t.Errorf("%d of %d items of job %s are listed, %v", len(seen), items, id, last)
}

// ordinaryItems is the number of items of an ordinary job.
const ordinaryItems = 10

// submitOrdinary submits an ordinary job, again after a refusal, until it is accepted.
func (p *process) submitOrdinary(id string) {
	p.t.Helper()
	body := jobOf(ordinaryItems, 100, `,"tokens":500`)
	status := 0
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(retryInterval) {
		if status = p.submit(id, body); status == http.StatusAccepted {
			return
		}
	}
	p.t.Errorf("an ordinary job was not accepted; last status %d", status)
}

// wantOrdinaryJob submits an ordinary job and waits until it is complete.
func (p *process) wantOrdinaryJob() {
	p.t.Helper()
	p.submitOrdinary("ordinary")
	p.wantComplete("ordinary", ordinaryItems)
}

// checkJobs checks the process beside jobs that wait, and that all of them and an ordinary
// one are complete once their items may end.
func (p *process) checkJobs(accepted []string, items int) {
	p.t.Helper()
	if len(accepted) == 0 {
		p.t.Error("no job was accepted")
	}
	time.Sleep(settleTime)
	p.check()
	p.submitOrdinary("ordinary")
	p.world.openGate()
	p.wantComplete("ordinary", ordinaryItems)
	for _, id := range accepted {
		p.wantComplete(id, items)
	}
	p.check()
}

// TestSubmissionsThatAreNoJobs guards against the end of a process by submissions of legal
// size whose decoded form is many times as large.
func TestSubmissionsThatAreNoJobs(t *testing.T) {
	legal := smallest
	legal.maxBodyBytes = 4 << 20
	for _, c := range []struct {
		name, body string
		clients    int
	}{
		{"one of empty items", listOf("{}", legal.maxBodyBytes), 1},
		{"one of numbers", listOf("1", legal.maxBodyBytes), 1},
		{"many of empty items", listOf("{}", 1<<20), 40},
		{"many with an item of very many headers", itemOfHeaders(1 << 20), 40},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			p := start(t, legal)
			text := post("/j/x") + fmt.Sprintf("X-Request-Id: odd\r\nContent-Length: %d\r\n\r\n", len(c.body)) + c.body
			p.bring(c.clients, sendText(text))
			p.check()
			p.world.openGate()
			p.wantOrdinaryJob()
		})
	}
}

// TestLargeJobs guards against the end of a process by accepted jobs whose bodies exceed its
// memory together.
func TestLargeJobs(t *testing.T) {
	p := start(t, smallest)
	accepted := submitAll(320, jobOf(1, jobBytes*3/4, ""), p)
	p.checkJobs(accepted, 1)
}

// TestJobsOfManyItems guards against the end of a process by accepted jobs whose items are
// small, but many.
func TestJobsOfManyItems(t *testing.T) {
	p := start(t, smallest)
	accepted := submitAll(80, jobOf(maxItems, 20, ""), p)
	p.checkJobs(accepted, maxItems)
}

// TestLongTexts guards against the end of a process by what upstreams have sent for items that
// are not complete.
func TestLongTexts(t *testing.T) {
	p := start(t, smallest)
	accepted := submitAll(200, strings.ReplaceAll(jobOf(1, 20, ""), "/j/i", "/j/long"), p)
	p.checkJobs(accepted, 1)
}

// TestLongTextsAreTakenOver guards against the same by what a takeover reads of them.
func TestLongTextsAreTakenOver(t *testing.T) {
	p := start(t, smallest)
	accepted := submitAll(40, strings.ReplaceAll(jobOf(5, 20, ""), "/j/i", "/j/long"), p)
	time.Sleep(settleTime)
	p.kill()
	p.run()
	p.checkJobs(accepted, 5)
}

// TestSubmissionsBesideVeryManyJobs guards against the end of a process by what it knows of each
// job that is kept, and by what it reads of all of them for each submission.
func TestSubmissionsBesideVeryManyJobs(t *testing.T) {
	w := newWorld(t, smallest.maxBodyBytes)
	done := strings.Repeat("1,", maxItems-1) + "1"
	for i := range 10_000 {
		w.putIn("jobs", "0", fmt.Sprintf("old-%d", i), fmt.Sprintf(`{"route":"j","host":"h","total":%d,"listed":%d,"done":[%s],"tokens":0,"accepted_ms":1,"keep_ms":600000,"owner":"m-127.0.9.1/00000000"}`,
			maxItems, maxItems, done))
	}
	p := w.start(firstIP, smallest)
	submitAtOnce(manyJobClients, 1000, jobOf(maxItems, 20, ""), p)
	time.Sleep(settleTime)
	p.check()
}

// TestRestartWithAcceptedJobs guards against a process that ends again and again because it
// takes up all accepted jobs at its start.
func TestRestartWithAcceptedJobs(t *testing.T) {
	p := start(t, smallest)
	accepted := submitAll(80, jobOf(maxItems, 20, ""), p)
	p.kill()
	p.run()
	p.checkJobs(accepted, maxItems)
}

// TestLastInstanceTakesTheJobsOfAll guards against the end of the last of three instances
// by the jobs of the others.
func TestLastInstanceTakesTheJobsOfAll(t *testing.T) {
	w := newWorld(t, smallest.maxBodyBytes)
	first, second, last := w.start(firstIP, smallest), w.start("127.0.9.2", smallest), w.start("127.0.9.3", smallest)
	accepted := submitAll(120, jobOf(maxItems, 20, ""), first, second, last)
	first.kill()
	second.kill()
	last.checkJobs(accepted, maxItems)
}
