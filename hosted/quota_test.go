package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/quota"
	"github.com/daisylb/daisylb/roster"
)

// startWithQuota runs an instance with request quotas, as at the first start of a system.
func (s *testPlatform) startWithQuota(ip string) *runningInstance {
	s.t.Helper()
	return s.startWith(ip, 20*time.Millisecond, func(o *platform.Settings) {
		o.LastPort, o.FirstStart = o.FirstPort+1, true
		o.Bounds.QuotaWindow, o.Bounds.QuotaOverage, o.Bounds.QuotaSlack = time.Second, 0.1, 4
	})
}

// sendWithKey sends a request with a key and returns its status and Retry-After.
func (s *testPlatform) sendWithKey(r *runningInstance, id, key string) (status int, retryAfter string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+r.settings.CallerAddress+"/a/x", strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get("Retry-After")
}

// sharedAccount returns the name of an account of which each instance owns at least one share.
func sharedAccount(instances ...*runningInstance) string {
	var leases roster.Leases
	leases.StoreNow = time.Second
	for _, r := range instances {
		leases.Members = append(leases.Members, roster.Lease{Name: r.settings.Name, Leased: time.Second})
	}
	ring := quota.NewRing("", &leases, time.Second, time.Second)
	for i := 0; ; i++ {
		name, owners := fmt.Sprint("a", i), map[string]bool{}
		for share := range 4 {
			owner, _, _ := ring.Owner(name, share)
			owners[owner] = true
		}
		if len(owners) == len(instances) {
			return name
		}
	}
}

// TestQuotaAcrossInstances guards against accounts that get their quota from each instance by
// itself, against refusals without a hint, and against an instance that serves nothing of an
// account any more when the owner of some of its shares has ended.
func TestQuotaAcrossInstances(t *testing.T) {
	s := newTestPlatform(t)
	a, b := s.startWithQuota("127.0.0.60"), s.startWithQuota("127.0.0.61")
	s.waitFor("both instances in both directories", func() bool {
		answers := a.endpoints() + b.endpoints()
		return strings.Count(answers, a.settings.CallerAddress) == 2 && strings.Count(answers, b.settings.CallerAddress) == 2
	})
	begun, served, refused := time.Now(), 0, 0
	s.put(platform.OperatorTable, platform.DocumentKey, fmt.Sprintf(`{"version":4,"routes":[
	 {"name":"r","hostname":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":20000,"target_latency_ms":20000,"max_attempts":1,"service":"s"}],
	 "tenants":[{"name":"%s","api_keys":["limited"],"rate_per_s":20,"burst":8},{"name":"other","api_keys":["free"]}]}`, sharedAccount(a, b)))
	n := 0
	send := func(r *runningInstance, key string) (int, string) {
		n++
		return s.sendWithKey(r, fmt.Sprint("q", n), key)
	}
	s.waitFor("the accounts and the tokens of both instances", func() bool {
		for _, r := range []*runningInstance{a, b} {
			if status, _ := send(r, "unknown"); status != http.StatusUnauthorized {
				return false
			}
		}
		status, _ := send(a, "limited")
		return status == http.StatusOK
	})
	served++
	for i := 0; time.Since(begun) < 2*time.Second; i++ {
		time.Sleep(5 * time.Millisecond)
		r := a
		if i%2 == 1 {
			r = b
		}
		switch status, retryAfter := send(r, "limited"); status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			refused++
			if seconds, err := strconv.ParseFloat(retryAfter, 64); err != nil || seconds <= 0 {
				t.Errorf("Retry-After is %q, want a positive number", retryAfter)
			}
		case http.StatusServiceUnavailable:
			// An owner took over 40 ms to answer, as on a busy machine.
		default:
			t.Errorf("a request was answered with %d, want 200, 429 or 503", status)
		}
	}
	// Longer than any window, so that the rate counts: that of both instances by themselves
	// would be 40 a second.
	took := time.Since(begun)
	if allowed := 20*took.Seconds()*1.1 + 8 + 4; float64(served) > allowed || refused == 0 {
		t.Errorf("%d requests served and %d refused in %v; want at most %.0f served", served, refused, took, allowed)
	}
	t.Logf("%d requests served and %d refused in %v", served, refused, took)
	if status, _ := send(b, "free"); status != http.StatusOK {
		t.Errorf("a request of an account without a quota was answered with %d", status)
	}
	a.stop()
	if err := <-a.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
	s.waitFor("a request served with the shares of the other instance", func() bool {
		status, _ := send(b, "limited")
		return status == http.StatusOK
	})
	b.stop()
	if err := <-b.done; err != nil {
		t.Errorf("the instance stopped with %v", err)
	}
}
