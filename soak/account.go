package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Some soaks have client accounts: each request carries the key of its account, workers must
// get the account's name and never the key, and the accounts have request quotas.
const (
	accountCount = 3
	// Callers send about twice accountRate for each account.
	accountRate  = 5
	accountBurst = 5
	// The quota holds in each window of quotaWindow, with an overage and a slack.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// accountSeeds is the number of seeds of which one has accounts.
	accountSeeds = 3
)

// hasAccounts reports whether the deployment of a seed has client accounts.
func hasAccounts(seed uint64) bool { return seed%accountSeeds == 1 }

// accountOf returns the account of a request, or of the job of an item.
func accountOf(request string) string {
	job, _, _ := strings.Cut(request, "i")
	return fmt.Sprintf("account-%d", hashOf("account of "+job)%accountCount)
}

// authorization returns the Authorization header of a request or a job.
func authorization(request string) string { return "Bearer key of " + accountOf(request) }

// documentAccounts returns the accounts of a document.
func documentAccounts() (accounts []map[string]any) {
	for n := range accountCount {
		name := fmt.Sprintf("account-%d", n)
		accounts = append(accounts, map[string]any{"name": name, "api_keys": []string{"key of " + name}, "rate_per_s": accountRate, "burst": accountBurst})
	}
	return accounts
}

// hasAccount reports whether a request at a worker names its account and does not carry its key.
func hasAccount(h http.Header, request string) bool {
	return h.Get("X-Tenant") == accountOf(request) && h.Get("Authorization") == ""
}

// requestQuota finds windows in which more online requests of an account were both sent and run
// than its quota allows.
func requestQuota(h *History) (found []Violation) {
	if !h.Accounts {
		return nil
	}
	sentAt := map[string]time.Time{}
	for _, a := range h.Attempts {
		sentAt[a.Request] = a.SentAt
	}
	type span struct{ sent, started time.Time }
	spans := map[string][]span{}
	for _, r := range h.Runs {
		// A request that runs again counts once.
		if sent, ok := sentAt[r.Request]; ok {
			spans[accountOf(r.Request)] = append(spans[accountOf(r.Request)], span{sent, r.StartedAt})
			delete(sentAt, r.Request)
		}
	}
	allowed := int((accountRate*quotaWindow.Seconds()+accountBurst)*(1+quotaOverage) + quotaSlack)
	for account, list := range spans {
		slices.SortFunc(list, func(a, b span) int { return a.sent.Compare(b.sent) })
		for i, first := range list {
			n, end := 0, first.sent.Add(quotaWindow)
			for _, s := range list[i:] {
				if !s.started.After(end) {
					n++
				}
			}
			if n > allowed {
				found = append(found, Violation{ID: account, Detail: fmt.Sprintf("%d requests ran in the window from %s, %d are allowed", n, first.sent.Format(time.TimeOnly), allowed)})
				break
			}
		}
	}
	return found
}
