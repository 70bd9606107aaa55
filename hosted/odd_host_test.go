package hosted_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestJobOfACallerWithALongHostIsListed guards against a job whose head outgrows a row of the
// store, since it holds the host that the caller named.
func TestJobOfACallerWithALongHostIsListed(t *testing.T) {
	s := newTestPlatform(t)
	r := s.start("127.0.0.2")
	defer func() { r.stop(); <-r.done }()
	const items = 150
	var list []string
	for i := range items {
		list = append(list, fmt.Sprintf(`{"id":"item-%d","path":"/l/x","tokens":1}`, i))
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.settings.CallerAddress+"/l/x", strings.NewReader(`{"requests":[`+strings.Join(list, ",")+`]}`))
	if err != nil {
		t.Fatal(err)
	}
	// An ampersand takes six bytes in JSON.
	request.Host = "h:" + strings.Repeat("&", 10840)
	request.Header.Set("X-Request-Id", "job-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != http.StatusAccepted {
		t.Fatalf("%v, %v", err, response)
	}
	_ = response.Body.Close()
	s.waitFor("all results", func() bool {
		response, err := s.send(r, http.MethodGet, fmt.Sprintf("/api/lots/job-1?after=%d", items-1), "", "")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var answer struct{ Results []json.RawMessage }
		return json.NewDecoder(response.Body).Decode(&answer) == nil && len(answer.Results) == 1
	})
}
