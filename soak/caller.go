package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	callTime  = 6 * time.Second
	probePace = 150 * time.Millisecond
	readPace  = 400 * time.Millisecond
	// forgetAfter is how long a caller leaves an address alone that failed it.
	forgetAfter = 2 * time.Second
)

// callers use the instances as the users' callers do: they ask which addresses to
// use, keep the answer a while, and stay on open connections.
type callers struct {
	history   *History
	instances []*instance
	// dial has the proxy in front of each instance by its address.
	dial   map[string]string
	client *http.Client
	number atomic.Int64
}

func newCallers(h *History, instances []*instance, dial map[string]string) *callers {
	c := &callers{history: h, instances: instances, dial: dial}
	dialer := &net.Dialer{Timeout: time.Second}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if through, ok := dial[address]; ok {
				address = through
			}
			return dialer.DialContext(ctx, network, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     10 * time.Second,
	}}
	return c
}

// resolve asks instances which addresses to use.
func (c *callers) resolve(ctx context.Context) []string {
	for _, i := range rand.Perm(len(c.instances)) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.instances[i].directory()+"/api/resolve?name="+hostName+"&zone=z", nil)
		var answer struct{ Addresses []string }
		if err == nil {
			if response, doErr := c.client.Do(request); doErr == nil {
				err = json.NewDecoder(response.Body).Decode(&answer)
				_ = response.Body.Close()
			}
		}
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// person is one caller with an answer of the directory.
type person struct {
	*callers
	addresses []string
	asked     time.Time
	failed    map[string]time.Time
}

const keepAnswer = time.Second

func (p *person) pick(ctx context.Context) string {
	if time.Since(p.asked) > keepAnswer || len(p.addresses) == 0 {
		if answer := p.resolve(ctx); answer != nil {
			p.addresses, p.asked = answer, time.Now()
		}
	}
	for _, i := range rand.Perm(len(p.addresses)) {
		if time.Since(p.failed[p.addresses[i]]) > forgetAfter {
			return p.addresses[i]
		}
	}
	return ""
}

// live sends one request after another until ctx ends.
func (c *callers) live(ctx context.Context) {
	p := &person{callers: c, failed: map[string]time.Time{}}
	for ctx.Err() == nil {
		address := p.pick(ctx)
		if address == "" {
			wait(ctx, probePace)
			continue
		}
		once := rand.IntN(2) == 0
		prefix := againPrefix
		if once {
			prefix = oncePrefix
		}
		a := c.call(address, prefix, fmt.Sprintf("r%d", c.number.Add(1)), once)
		if a.Status == 0 {
			p.failed[address] = time.Now()
		}
		wait(ctx, time.Duration(rand.IntN(120))*time.Millisecond)
	}
}

// call makes one attempt and records it. It is not broken off at the end of a
// soak, so that what it shows is the daemon's doing.
func (c *callers) call(address, prefix, id string, once bool) Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	a := Attempt{Request: id, Once: once, Instance: address, Sent: time.Now()}
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { wrote.Store(i.Err == nil) }})
	request := c.request(ctx, http.MethodPost, address, prefix+id, id, strings.NewReader(bodyOf(id)))
	request.GetBody = nil
	request.Header.Set("X-Model", modelName)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTime.Milliseconds()))
	response, err := c.client.Do(request)
	if err == nil {
		a.Status = response.StatusCode
		a.Text, a.Whole = readEvents(response.Body)
		_ = response.Body.Close()
	}
	a.Done = time.Now()
	// Who left at the end of its own time was not cut.
	a.Read = wrote.Load() && ctx.Err() == nil
	c.history.record(func() { c.history.Attempts = append(c.history.Attempts, a) })
	return a
}

func (c *callers) request(ctx context.Context, method, address, path, id string, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		panic(err) // The address is an IP and a port.
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", id)
	return request
}

// readEvents returns the data of the whole events of a stream.
func readEvents(body io.Reader) (data []string, whole bool) {
	lines := bufio.NewScanner(body)
	pending := ""
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "data: "):
			pending = strings.TrimPrefix(line, "data: ")
		case line == "" && pending != "":
			data, pending = append(data, pending), ""
		}
	}
	return data, lines.Err() == nil
}

// probe asks each instance for the route that changes, until ctx ends.
func (c *callers) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range c.instances {
			id := fmt.Sprintf("p%d", c.number.Add(1))
			a := c.call(i.callers(), changePrefix, id, true)
			if a.Status == http.StatusOK || a.Status == http.StatusNotFound {
				p := Probe{Prefix: changePrefix, Instance: i.callers(), Sent: a.Sent, Found: a.Status == http.StatusOK}
				c.history.record(func() { c.history.Probes = append(c.history.Probes, p) })
			}
		}
		wait(ctx, probePace)
	}
}

// keepJob submits a job until it is accepted, reads it and sometimes ends it.
func (c *callers) keepJob(ctx context.Context, n int, random *rand.Rand) {
	j := &Job{ID: fmt.Sprintf("j%d", n)}
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var items []item
	for k := range 2 + random.IntN(6) {
		id := fmt.Sprintf("%si%d", j.ID, k)
		j.Items = append(j.Items, id)
		items = append(items, item{id, batchPrefix + id, map[string]string{"X-Model": modelName}, []byte(bodyOf(id)), itemTokens})
	}
	body, err := json.Marshal(map[string]any{"requests": items})
	if err != nil {
		panic(err) // Strings and numbers only.
	}
	endIt := random.IntN(5) == 0
	c.history.record(func() { c.history.Jobs[j.ID] = j })
	for ctx.Err() == nil && !c.submit(j, body) {
		wait(ctx, readPace)
	}
	for after := 0; ctx.Err() == nil && after < len(j.Items); wait(ctx, readPace) {
		from := after
		if random.IntN(4) == 0 {
			from = 0
		}
		if r := c.read(j.ID, c.instances[random.IntN(len(c.instances))].callers(), from, false); r.Status == http.StatusOK {
			after = max(after, from+len(r.Results))
		}
		if endIt && after > 0 {
			c.end(ctx, j, random)
			return
		}
	}
}

// submit sends a job once and reports whether it was accepted.
func (c *callers) submit(j *Job, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	status := 0
	address := c.instances[rand.IntN(len(c.instances))].callers()
	response, err := c.client.Do(c.request(ctx, http.MethodPost, address, batchPrefix+j.ID, j.ID, bytes.NewReader(body)))
	if err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	c.history.record(func() {
		j.Statuses = append(j.Statuses, status)
		if status == http.StatusAccepted {
			j.Accepted = time.Now()
		}
	})
	return status == http.StatusAccepted
}

// read reads a job from a position on and records what came.
func (c *callers) read(job, address string, after int, final bool) Read {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	r := Read{Job: job, Instance: address, Sent: time.Now(), After: after, Final: final}
	response, err := c.client.Do(c.request(ctx, http.MethodGet, address, fmt.Sprintf("/api/lots/%s?after=%d", job, after), job, nil))
	if err == nil {
		r.Status = response.StatusCode
		var answer struct {
			Total   int
			Results []struct{ ID, State, Text string }
		}
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil && r.Status == http.StatusOK {
			r.Status = 0
		}
		r.Total = answer.Total
		for _, x := range answer.Results {
			r.Results = append(r.Results, Result{Item: x.ID, Succeeded: x.State == "succeeded", Text: x.Text})
		}
		_ = response.Body.Close()
	}
	c.history.record(func() { c.history.Reads = append(c.history.Reads, r) })
	return r
}

// end ends a job, again until that is acknowledged.
func (c *callers) end(ctx context.Context, j *Job, random *rand.Rand) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(context.Background(), callTime)
		address := c.instances[random.IntN(len(c.instances))].callers()
		response, err := c.client.Do(c.request(call, http.MethodDelete, address, "/api/lots/"+j.ID, j.ID, nil))
		if err == nil {
			_ = response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode == http.StatusOK {
			c.history.record(func() { j.Ended = time.Now() })
			return
		}
		wait(ctx, readPace)
	}
	// What was asked and not acknowledged may or may not be ended.
	c.history.record(func() { j.Accepted = time.Time{} })
}
