package hosted_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// runOddJob submits a job with a number of items and waits until its last one is listed.
func (s *testPlatform) runOddJob(r *runningInstance, host, id string, items int) {
	s.t.Helper()
	var list []string
	for i := range items {
		list = append(list, fmt.Sprintf(`{"id":"item-%d","path":"/l/x","tokens":1}`, i))
	}
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+r.settings.CallerAddress+"/l/x", strings.NewReader(`{"requests":[`+strings.Join(list, ",")+`]}`))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		s.t.Errorf("answered with status %d", response.StatusCode)
		return
	}
	s.waitFor("the last result", func() bool {
		response, err := s.send(r, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", url.PathEscape(id), items-1), "", "")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var answer struct{ Results []json.RawMessage }
		return json.NewDecoder(response.Body).Decode(&answer) == nil && len(answer.Results) == 1
	})
}

// TestJobOfACallerWithALongHostIsListed guards against a job whose head outgrows a row of the
// store, since it holds the host that the caller named.
func TestJobOfACallerWithALongHostIsListed(t *testing.T) {
	s := newTestPlatform(t)
	r := s.start("127.0.0.2")
	defer func() { r.stop(); <-r.done }()
	// An ampersand takes six bytes in JSON.
	s.runOddJob(r, "h:"+strings.Repeat("&", 10840), "job-1", 150)
}

// TestJobWithAnyIDIsListed guards against jobs that are accepted and never listed, since their
// ids make the keys of rows too long for the store or are written differently by it.
func TestJobWithAnyIDIsListed(t *testing.T) {
	s := newTestPlatform(t)
	r := s.start("127.0.0.2")
	defer func() { r.stop(); <-r.done }()
	for _, id := range []string{"short", strings.Repeat("j", 195), strings.Repeat("j", 1000), "not UTF-8 \xff"} {
		s.runOddJob(r, "h", id, 1)
	}
}
