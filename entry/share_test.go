package entry_test

import (
	"net/http"
	"testing"

	"github.com/daisylb/daisylb/contract"
)

// TestShareAndPriorityNeedAccounts guards against an order by the priority of routes in
// deployments without accounts, and against requests of accounts without a share.
func TestShareAndPriorityNeedAccounts(t *testing.T) {
	without := *document
	without.Routes = append([]contract.Route{}, document.Routes...)
	for i := range without.Routes {
		without.Routes[i].Priority = 3
	}
	with := *withAccounts()
	with.Routes = without.Routes
	with.AccountWeights = with.Accounts["a"].Weight() + with.Accounts["b"].Weight()
	for name, c := range map[string]struct {
		document     *contract.Routing
		key          string
		wantPriority int
		wantShare    float64
	}{
		"no accounts":                {&without, "", 0, 0},
		"priority of the account":    {&with, "key-a", 7, 1. / 7}, // 1 of 1, 3 and 3 for requests without an account
		"priority of the route of b": {&with, "key-b", 3, 3. / 7},
	} {
		s := newTestServer(t, c.document, respond(200, http.Header{"X-Server-Stamp": {"sig"}}, "x"))
		if _, _, err := s.send(t, http.MethodPost, "/once/x", "q", "X-Request-Id", "r", "Authorization", "Bearer "+c.key); err != nil {
			t.Fatal(err)
		}
		if f := s.forwarder.lastRequest; f.Priority != c.wantPriority || f.Share != c.wantShare {
			t.Errorf("%s: priority %d and share %.3f, want %d and %.3f", name, f.Priority, f.Share, c.wantPriority, c.wantShare)
		}
	}
}
