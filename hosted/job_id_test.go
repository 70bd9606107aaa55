package hosted_test

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// TestJobWithAnyIDIsListed guards against jobs that are accepted and never listed, since their
// ids make the keys of rows too long for the store or are written differently by it.
func TestJobWithAnyIDIsListed(t *testing.T) {
	s := newTestPlatform(t)
	r := s.start("127.0.0.2")
	defer func() { r.stop(); <-r.done }()
	for name, id := range map[string]string{"short": "job-1", "long": strings.Repeat("j", 195), "over the limit of keys": strings.Repeat("j", 1000), "not UTF-8": "job-\xff"} {
		body := `{"requests":[{"id":"item-1","path":"/l/x","tokens":1}]}`
		response, err := s.send(r, http.MethodPost, "/l/x", id, body)
		if err != nil || response.StatusCode != http.StatusAccepted {
			t.Errorf("%s: %v, %v", name, err, response)
			continue
		}
		_ = response.Body.Close()
		s.waitFor("the result of a job with an id that is "+name, func() bool {
			response, err := s.send(r, http.MethodGet, "/api/lots/"+url.PathEscape(id)+"?after=0", "", "")
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			var answer struct{ Results []json.RawMessage }
			return json.NewDecoder(response.Body).Decode(&answer) == nil && len(answer.Results) == 1
		})
	}
}
