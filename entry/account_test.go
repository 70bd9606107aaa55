package entry_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/account"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/entry"
	"github.com/daisylb/daisylb/job"
)

// withAccounts returns a document with the accounts a (priority 7, with a quota) and b, and
// a public route.
func withAccounts() *contract.Routing {
	d, priority := *document, 7
	d.Accounts = map[string]contract.RoutedAccount{
		"a": {Name: "a", Priority: &priority, Quota: contract.RateLimit{PerSecond: 1}},
		"b": {Name: "b"},
	}
	d.Keys = &account.Index{}
	d.Keys.Add("a", account.HashKey("key-a"))
	d.Keys.Add("b", account.HashKey("key-b"))
	d.Routes = append([]contract.Route{{Name: "open", Host: "h", Prefix: "/open/", Kind: contract.RouteStream, MaxAttempts: 1, Public: true, Split: document.Routes[0].Split}}, document.Routes...)
	return &d
}

// TestAccountOfRequest guards against requests that run without a valid key, for the wrong
// account, or with the key passed on.
func TestAccountOfRequest(t *testing.T) {
	s := newTestServer(t, withAccounts(), respond(200, http.Header{"X-Server-Stamp": {"sig"}}, "x"))
	for name, c := range map[string]struct {
		path, key    string
		wantStatus   int
		wantAccount  string
		wantPriority int
	}{
		"key of a":          {"/once/x", "Bearer key-a", 200, "a", 7},
		"key of b":          {"/once/x", "Bearer key-b", 200, "b", 0},
		"unknown key":       {"/once/x", "Bearer key-c", 401, "", 0},
		"no key":            {"/once/x", "", 401, "", 0},
		"public, no key":    {"/open/x", "", 200, "", 0},
		"public, with key":  {"/open/x", "Bearer key-b", 200, "b", 0},
		"public, wrong key": {"/open/x", "Bearer key-c", 200, "", 0},
		"job, no key":       {"/api/lots/j", "", 401, "", 0},
		"submit, no key":    {"/lot/x", "", 401, "", 0},
	} {
		s.forwarder.lastRequest = nil
		header := []string{"X-Request-Id", "r", "X-Tenant", "c"}
		if c.key != "" {
			header = append(header, "Authorization", c.key)
		}
		response, _, err := s.send(t, http.MethodPost, c.path, "q", header...)
		if err != nil || response.StatusCode != c.wantStatus {
			t.Errorf("%s: %v, %+v", name, err, response)
			continue
		}
		f := s.forwarder.lastRequest
		if c.wantStatus != 200 {
			if f != nil {
				t.Errorf("%s: forwarded", name)
			}
			continue
		}
		if f.Account != c.wantAccount || f.Header.Get("X-Tenant") != c.wantAccount || f.Header.Get("Authorization") != "" || f.Priority != c.wantPriority {
			t.Errorf("%s: forwarded for account %q with priority %d and headers %v", name, f.Account, f.Priority, f.Header)
		}
	}
}

// TestUnknownKeyIsRefusedBeforeTheBody guards against a body that is read for a caller
// without a key: the answer must come while the body is missing.
func TestUnknownKeyIsRefusedBeforeTheBody(t *testing.T) {
	s := newTestServer(t, withAccounts(), respond(200, http.Header{}, "x"))
	answer := s.sendRaw(t, "POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer no\r\nConnection: close\r\nContent-Length: 90\r\n\r\nx")
	if !strings.HasPrefix(answer, "HTTP/1.1 401 ") {
		t.Errorf("got %q", answer)
	}
}

// TestJobsOfOtherAccountsAreUnknown guards against a job that another account can find: the
// ids under which jobs are kept must differ by account, and not by key.
func TestJobsOfOtherAccountsAreUnknown(t *testing.T) {
	d := withAccounts()
	d.Keys.Add("a", account.HashKey("second-key-a"))
	s := newTestServer(t, d, nil)
	submit := func(key string) string {
		response, _, err := s.send(t, http.MethodPost, "/lot/x", `{"requests":[{"id":"a","path":"/lot/x","tokens":9}]}`, "X-Request-Id", "j", "Authorization", "Bearer "+key)
		if err != nil || response.StatusCode != 202 {
			t.Fatalf("%v, %+v", err, response)
		}
		return s.jobs.submitted.ID
	}
	first, second, other := submit("key-a"), submit("second-key-a"), submit("key-b")
	if first != second || first == other || first != job.IDOf("a", "j") || s.jobs.submitted.Account != "b" {
		t.Errorf("ids %q, %q, %q", first, second, other)
	}
}

// stubQuota refuses with err, if set, and counts what was admitted and released.
type stubQuota struct {
	err                error
	admitted, released int
}

func (q *stubQuota) Admit(_ context.Context, name string, limit contract.RateLimit) (func(), error) {
	if q.err != nil {
		return nil, q.err
	}
	q.admitted++
	return func() { q.released++ }, nil
}

// TestQuotaOfAccount guards against requests over a quota that run, and against requests that
// are refused for another reason and count all the same.
func TestQuotaOfAccount(t *testing.T) {
	for name, c := range map[string]struct {
		key                string
		quotaErr, runErr   error
		wantStatus         int
		admitted, released int
	}{
		"within":                {key: "key-a", wantStatus: 200, admitted: 1},
		"over":                  {key: "key-a", quotaErr: code.New(code.AccountLimit, "over"), wantStatus: 429},
		"without quota":         {key: "key-b", quotaErr: code.New(code.AccountLimit, "over"), wantStatus: 200},
		"refused otherwise":     {key: "key-a", runErr: code.New(code.Overloaded, "full"), wantStatus: 429, admitted: 1, released: 1},
		"failed after dispatch": {key: "key-a", runErr: code.New(code.UpstreamFailed, "broke").WithOutcome(code.Unknown), wantStatus: 502, admitted: 1},
	} {
		t.Run(name, func(t *testing.T) {
			q, d := &stubQuota{err: c.quotaErr}, withAccounts()
			s := &testServer{forwarder: &stubForwarder{serve: func(ctx context.Context, sink contract.ForwardSink) error {
				if c.runErr != nil {
					return c.runErr
				}
				return respond(200, http.Header{"X-Server-Stamp": {"sig"}}, "x")(ctx, sink)
			}}}
			s.Server = httptest.NewServer(entry.NewHandler(entry.Options{
				Routing: func() *contract.Routing { return d }, Forwarder: s.forwarder, Jobs: &stubJobs{}, Quota: q, Log: zap.NewNop(),
			}))
			defer s.Close()
			response, _, err := s.send(t, http.MethodPost, "/once/x", "q", "Authorization", "Bearer "+c.key)
			if err != nil || response.StatusCode != c.wantStatus || q.admitted != c.admitted || q.released != c.released {
				t.Errorf("%v, %+v, admitted %d, released %d", err, response, q.admitted, q.released)
			}
		})
	}
}

// TestOldKeysAreNotTrusted guards against removed keys that stay in force at an instance
// which can't follow the store, where the settings set a limit.
func TestOldKeysAreNotTrusted(t *testing.T) {
	var stale error
	s := &testServer{forwarder: &stubForwarder{serve: respond(200, http.Header{"X-Server-Stamp": {"sig"}}, "x")}}
	s.Server = httptest.NewServer(entry.NewHandler(entry.Options{
		Routing: func() *contract.Routing { return withAccounts() }, Forwarder: s.forwarder, Jobs: &stubJobs{}, Log: zap.NewNop(),
		CheckKeys: func() error { return stale },
	}))
	defer s.Close()
	for _, c := range []struct {
		stale      error
		path       string
		wantStatus int
	}{
		{nil, "/once/x", 200},
		{code.New(code.NoConfiguration, "old"), "/once/x", 503},
		{code.New(code.NoConfiguration, "old"), "/open/x", 200},
	} {
		stale = c.stale
		response, _, err := s.send(t, http.MethodPost, c.path, "q", "Authorization", "Bearer key-a")
		if err != nil || response.StatusCode != c.wantStatus {
			t.Errorf("%s with %v: %v, %+v", c.path, errors.Unwrap(c.stale), err, response)
		}
	}
}
