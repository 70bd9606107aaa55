package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client has got.
type answer struct {
	status int
	body   string
	// err is set if the answer is not complete.
	err error
}

// client sends each call on a new connection.
func client(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// send sends a request to a daemon and reads the answer.
func (w *world) send(d *daemon, method, path, id string, header map[string]string, body []byte, timeout time.Duration) answer {
	return w.sendTo(d, hostName, method, path, id, header, body, timeout)
}

// sendTo is like send with a Host header.
func (w *world) sendTo(d *daemon, host, method, path, id string, header map[string]string, body []byte, timeout time.Duration) answer {
	r, err := http.NewRequest(method, "http://"+d.front()+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	if id != "" {
		r.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := client(timeout).Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(text), err: err}
}

// stream sends a request of a streaming route.
func (w *world) stream(d *daemon, path, id string) answer {
	header := map[string]string{"X-Model": "m", "X-Token-Count": "450,40", "X-Prompt-Prefix": fmt.Sprintf("a1:100,%s:350", id[:8]), "X-Deadline-Ms": "5000"}
	a := w.send(d, http.MethodPost, path, id, header, []byte("prompt of "+id), 6*time.Second)
	w.record("client: %s at %s: status %d, %d events, error %v", id, d.name, a.status, strings.Count(a.body, "data:"), a.err)
	return a
}

// submit sends a batch job with short bodies.
func (w *world) submit(d *daemon, prefix, id string, items int) ([]string, error) {
	return w.submitSized(d, prefix, id, items, 0)
}

// submitSized sends a batch job whose items have bodies of a size at least, again after each
// failure, and returns its items once it is accepted.
func (w *world) submitSized(d *daemon, prefix, id string, items, bodyBytes int) ([]string, error) {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var ids []string
	var list []item
	for range items {
		i := newID()
		ids = append(ids, i)
		list = append(list, item{i, prefix + i, map[string]string{"X-Model": "m", "X-Token-Count": "350,213", "X-Prompt-Prefix": "b2:100," + i[:8] + ":250"},
			base64.StdEncoding.EncodeToString([]byte("prompt of " + i + strings.Repeat(".", bodyBytes))), 563})
	}
	body, err := json.Marshal(map[string]any{"requests": list})
	if err != nil {
		return nil, err
	}
	for range 5 {
		a := w.send(d, http.MethodPost, prefix+id, id, map[string]string{"Content-Type": "application/json"}, body, 5*time.Second)
		w.record("client: batch job %s at %s: status %d, error %v", id, d.name, a.status, a.err)
		if a.err == nil && a.status == http.StatusAccepted {
			return ids, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil, fmt.Errorf("batch job %s was not accepted", id)
}

// itemResult is a listed result.
type itemResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// results reads the results of a batch job until all are listed or the time is over.
func (w *world) results(d *daemon, id string, timeout time.Duration) (list []itemResult, total int) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		a := w.send(d, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, len(list)), "", map[string]string{"X-Wait-Ms": "1000"}, nil, 3*time.Second)
		var page struct {
			Total   int          `json:"total"`
			Results []itemResult `json:"results"`
		}
		if a.err == nil && a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &page) == nil {
			total = page.Total
			list = append(list, page.Results...)
			if len(list) >= total {
				return list, total
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return list, total
}
