package job_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/job"
)

// TestQuotaOfEachAccount guards against an account that uses up the waiting tokens of
// another one on the same route, and against items that run without their account.
func TestQuotaOfEachAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(r *contract.Route) { r.MaxWaitingTokens = 250 })
		defer f.close()
		time.Sleep(time.Second)
		submit := func(i int, account, id string, items ...string) error {
			sub := f.submission(job.IDOf(account, id), items...)
			sub.Account = account
			return f.instances[i].Submit(t.Context(), sub)
		}
		if err := submit(0, "a", "j", "endless1", "endless2"); err != nil {
			t.Fatal(err)
		}
		if err := submit(1, "a", "k", "endless3"); code.Of(err) != code.QuotaExceeded {
			t.Errorf("a job over the account's quota: %v", err)
		}
		if err := submit(1, "b", "j", "endless4", "endless5"); err != nil {
			t.Errorf("a job of another account: %v", err)
		}
		if err := submit(1, "a", "j", "endless1", "endless2"); err != nil {
			t.Errorf("the first job again: %v", err)
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		for item, want := range map[string]string{"endless1": "a", "endless4": "b"} {
			if got := f.accounts[item]; got != want {
				t.Errorf("item %s ran for account %q, want %q", item, got, want)
			}
		}
	})
}

// TestIDsNeverReachIntoRowsOfOtherJobs guards against results of another job, whose id looks like
// the key of a result.
func TestIDsNeverReachIntoRowsOfOtherJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		jobs := map[string][]string{}
		// Some of them are in the same part.
		for i := range 12 {
			id := "j" + strconv.Itoa(i)
			jobs[id], jobs[id+"/00000"] = []string{"poison-a" + id, "b" + id}, []string{"poison-c" + id, "d" + id}
		}
		for id, names := range jobs {
			if err := f.instances[0].Submit(t.Context(), f.submission(job.IDOf("", id), names...)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * itemEvents * eventTime)
		for id, names := range jobs {
			wantAll(t, f.read(f.instances[1], job.IDOf("", id))[1:], names[1])
		}
	})
}
