package upstream

import (
	"testing"

	"github.com/daisylb/daisylb/code"
)

// TestServiceWithoutWorkersAsksToRetry sends a request to a service of which no worker
// is registered.
func TestServiceWithoutWorkersAsksToRetry(t *testing.T) {
	d := newForwarder(t)
	call := streamCall("a", true)
	call.Service = "restarting"
	err := d.Forward(t.Context(), call, &answerSink{})
	if e := code.From(err); e.Number != code.NoUpstream || e.Outcome != code.NotRun || e.RetryAfter <= 0 {
		t.Errorf("got %v with retry after %v, want no_upstream with a time to retry after", err, e.RetryAfter)
	}
}
