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
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	callTimeout   = 6 * time.Second
	probeInterval = 150 * time.Millisecond
	readInterval  = 400 * time.Millisecond
	// failedAddressBackoff is how long a caller skips an address that failed.
	failedAddressBackoff = 2 * time.Second
	// One online request in longShare is long.
	longShare = 12
	// After one read in resubmitShare of an open job, the job is submitted again.
	resubmitShare = 4
)

// callerPool simulates callers: they resolve the addresses of instances, use
// these for a while, and reuse open connections. It is safe for concurrent use.
type callerPool struct {
	history   *History
	instances []*instance
	// proxyAddresses maps the address of each instance to that of the proxy in
	// front of it.
	proxyAddresses map[string]string
	client         *http.Client
	lastRequest    atomic.Int64
}

func newCallerPool(h *History, instances []*instance, proxyAddresses map[string]string) *callerPool {
	c := &callerPool{history: h, instances: instances, proxyAddresses: proxyAddresses}
	dialer := &net.Dialer{Timeout: time.Second}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if proxyAddress, ok := proxyAddresses[address]; ok {
				address = proxyAddress
			}
			return dialer.DialContext(ctx, network, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     reuseTime(slices.Min(idleLimits)),
	}}
	return c
}

// resolve queries the instances in random order for the addresses to use. It
// returns nil when none responds with any.
func (c *callerPool) resolve(ctx context.Context) []string {
	for _, i := range rand.Perm(len(c.instances)) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.instances[i].directoryAddress()+"/api/resolve?name="+hostName+"&zone=z", nil)
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

// virtualUser is one caller with the addresses that it resolved last.
type virtualUser struct {
	*callerPool
	addresses  []string
	resolvedAt time.Time
	failedAt   map[string]time.Time
}

// addressTTL is how long a caller uses resolved addresses.
const addressTTL = time.Second

// pickAddress returns an address at random, or an empty string when none is
// known or all have failed recently.
func (u *virtualUser) pickAddress(ctx context.Context) string {
	if time.Since(u.resolvedAt) > addressTTL || len(u.addresses) == 0 {
		if answer := u.resolve(ctx); answer != nil {
			u.addresses, u.resolvedAt = answer, time.Now()
		}
	}
	for _, i := range rand.Perm(len(u.addresses)) {
		if time.Since(u.failedAt[u.addresses[i]]) > failedAddressBackoff {
			return u.addresses[i]
		}
	}
	return ""
}

// sendRequests sends one request after another until ctx ends.
func (c *callerPool) sendRequests(ctx context.Context) {
	u := &virtualUser{callerPool: c, failedAt: map[string]time.Time{}}
	for ctx.Err() == nil {
		address := u.pickAddress(ctx)
		if address == "" {
			wait(ctx, probeInterval)
			continue
		}
		once := rand.IntN(2) == 0
		prefix := retryPrefix
		if once {
			prefix = oncePrefix
		}
		kind := "r"
		if rand.IntN(longShare) == 0 {
			kind = longPrefix
		}
		if rand.IntN(4) == 0 {
			prefix += splitPart
		}
		a := c.attempt(address, prefix, fmt.Sprintf("%s%d", kind, c.lastRequest.Add(1)), once)
		if a.Status == 0 {
			u.failedAt[address] = time.Now()
		}
		wait(ctx, time.Duration(rand.IntN(120))*time.Millisecond)
	}
}

// attempt sends one request and records the result. It does not end with the
// context of the soak: a cut that is recorded must have been caused by the
// daemon.
func (c *callerPool) attempt(address, prefix, id string, once bool) Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a := Attempt{Request: id, Once: once, Instance: address, Changing: prefix == changePrefix, SentAt: time.Now()}
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }})
	request := c.newRequest(ctx, http.MethodPost, address, prefix+id, id, strings.NewReader(requestBody(id)))
	request.GetBody = nil
	for name, value := range promptHeaders(id) {
		request.Header.Set(name, value)
	}
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err == nil {
		a.Status, a.Stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
		a.Events, a.Completed = readEvents(response.Body)
		_ = response.Body.Close()
	}
	a.DoneAt = time.Now()
	// A request that reached its own timeout was not cut by the instance.
	a.Written = written.Load() && ctx.Err() == nil
	c.history.update(func() { c.history.Attempts = append(c.history.Attempts, a) })
	return a
}

func (c *callerPool) newRequest(ctx context.Context, method, address, path, id string, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		panic(err) // The address is an IP and a port.
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", id)
	if c.history.Accounts {
		request.Header.Set("Authorization", authorization(id))
	}
	return request
}

// readEvents returns the data of the complete events of a stream. complete is
// false when the stream ended with an error.
func readEvents(body io.Reader) (data []string, complete bool) {
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

// probeInstances sends requests for the changing route to each instance until
// ctx ends.
func (c *callerPool) probeInstances(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range c.instances {
			id := fmt.Sprintf("p%d", c.lastRequest.Add(1))
			a := c.attempt(i.callerAddress(), changePrefix, id, true)
			if a.Status == http.StatusOK || a.Status == http.StatusNotFound {
				p := Probe{Prefix: changePrefix, Instance: i.callerAddress(), SentAt: a.SentAt}
				if a.Status == http.StatusOK {
					p.Service = c.history.serviceOf(id)
				}
				c.history.update(func() { c.history.Probes = append(c.history.Probes, p) })
			}
		}
		wait(ctx, probeInterval)
	}
}

// runJob submits a job until it is accepted and reads its results. The first submission
// is sent to the given address. About one job in five is cancelled, every other of them at once
// and the rest after their first results.
func (c *callerPool) runJob(ctx context.Context, n int, random *rand.Rand, first string) {
	j := &Job{ID: fmt.Sprintf("j%d", n), SubmittedAt: time.Now()}
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
		items = append(items, item{id, batchPrefix + id, promptHeaders(id), []byte(requestBody(id)), itemTokens})
	}
	body, err := json.Marshal(map[string]any{"requests": items})
	if err != nil {
		panic(err) // Strings and numbers only.
	}
	willCancel := random.IntN(5) == 0
	c.history.update(func() { c.history.Jobs[j.ID] = j })
	for address := first; ctx.Err() == nil && !c.submit(j, body, address); address = c.anyAddress() {
		wait(ctx, readInterval)
	}
	if willCancel && n%2 == 0 && ctx.Err() == nil {
		c.cancelJob(ctx, j, random)
		return
	}
	for after := 0; ctx.Err() == nil && after < len(j.Items); wait(ctx, readInterval) {
		from := after
		if random.IntN(4) == 0 {
			from = 0
		}
		if r := c.readJob(j.ID, c.instances[random.IntN(len(c.instances))].callerAddress(), from, false); r.Status == http.StatusOK {
			after = max(after, from+len(r.Results))
		}
		if !willCancel && after < len(j.Items) {
			c.readBody(j.ID, j.Items[random.IntN(len(j.Items))], c.anyAddress())
		}
		if rand.IntN(resubmitShare) == 0 {
			c.submit(j, body, c.anyAddress())
		}
		if willCancel && after > 0 {
			c.cancelJob(ctx, j, random)
			return
		}
	}
}

// anyAddress returns the address of an instance.
func (c *callerPool) anyAddress() string {
	return c.instances[rand.IntN(len(c.instances))].callerAddress()
}

// submit sends a job once and reports whether it was accepted.
func (c *callerPool) submit(j *Job, body []byte, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, sentAt := 0, time.Now()
	response, err := c.client.Do(c.newRequest(ctx, http.MethodPost, address, batchPrefix+j.ID, j.ID, bytes.NewReader(body)))
	if err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	c.history.update(func() {
		j.Statuses = append(j.Statuses, status)
		if !j.AcceptedAt.IsZero() {
			c.history.Again = append(c.history.Again, Resubmission{j.ID, address, sentAt, time.Now(), status})
		} else if status == http.StatusAccepted {
			j.AcceptedAt = time.Now()
		}
	})
	return status == http.StatusAccepted
}

// readJob reads the results of a job after a position and records them.
func (c *callerPool) readJob(job, address string, after int, final bool) JobRead {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r := JobRead{Job: job, Instance: address, SentAt: time.Now(), After: after, Final: final}
	response, err := c.client.Do(c.newRequest(ctx, http.MethodGet, address, fmt.Sprintf("/api/lots/%s?after=%d", job, after), job, nil))
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
		for _, result := range answer.Results {
			r.Results = append(r.Results, Result{Item: result.ID, Succeeded: result.State == "succeeded", Text: result.Text})
		}
		_ = response.Body.Close()
	}
	r.DoneAt = time.Now()
	c.history.update(func() { c.history.Reads = append(c.history.Reads, r) })
	return r
}

// readBody reads the body of an item and records it.
func (c *callerPool) readBody(job, item, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r := BodyRead{Job: job, Item: item, Instance: address, SentAt: time.Now()}
	response, err := c.client.Do(c.newRequest(ctx, http.MethodGet, address, fmt.Sprintf("/api/items/%s?id=%s", job, item), job, nil))
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			r.Status, r.Unchanged = response.StatusCode, string(body) == requestBody(item)
		}
	}
	r.DoneAt = time.Now()
	c.history.update(func() { c.history.BodyReads = append(c.history.BodyReads, r) })
}

// cancelJob cancels a job, repeatedly until that is acknowledged.
func (c *callerPool) cancelJob(ctx context.Context, j *Job, random *rand.Rand) {
	c.history.update(func() { j.Cancelling = true })
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
		call := CancelCall{Instance: c.instances[random.IntN(len(c.instances))].callerAddress(), SentAt: time.Now()}
		response, err := c.client.Do(c.newRequest(callCtx, http.MethodDelete, call.Instance, "/api/lots/"+j.ID, j.ID, nil))
		if err == nil {
			call.Status = response.StatusCode
			_ = response.Body.Close()
		}
		cancel()
		call.DoneAt = time.Now()
		if call.Status == http.StatusOK {
			c.history.update(func() { j.CancelledAt = call.DoneAt })
			return
		}
		c.history.update(func() { j.RefusedCancels = append(j.RefusedCancels, call) })
		wait(ctx, readInterval)
	}
	// A cancellation that was sent but not acknowledged may or may not have
	// taken effect, so the job is not checked for completeness.
	c.history.update(func() { j.AcceptedAt = time.Time{} })
}
