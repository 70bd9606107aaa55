package account_test

import (
	"net/http"
	"testing"

	"github.com/daisylb/daisylb/account"
	"github.com/daisylb/daisylb/code"
)

// TestAuthenticate guards against keys that are accepted for the wrong account or in an odd
// form of the header.
func TestAuthenticate(t *testing.T) {
	var x account.Index
	x.Add("a", account.HashKey("key-a"))
	x.Add("b", account.HashKey("key-b"))
	x.Add("b", account.HashKey("key-a"))
	for value, want := range map[string]string{
		"Bearer key-a": "a", "Bearer key-b": "b", "bearer  key-b ": "b",
		"": "", "Bearer ": "", "Bearer": "", "key-a": "", "Basic key-a": "", "Bearer key-c": "",
	} {
		got, err := x.Authenticate(http.Header{"Authorization": {value}})
		if got != want || want == "" && code.Of(err) != code.Unauthenticated {
			t.Errorf("%q: account %q and %v, want %q", value, got, err, want)
		}
	}
	if _, err := (*account.Index)(nil).Authenticate(http.Header{"Authorization": {"Bearer key-a"}}); code.Of(err) != code.Unauthenticated {
		t.Errorf("an index without accounts: %v", err)
	}
}
