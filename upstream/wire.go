package upstream

import (
	"net/http"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// Wire speaks to the upstreams of routed services.
type Wire interface {
	// Header returns the headers of a request to a worker. lastEvent is the event
	// after which a stream goes on, "" at its beginning; left is what remains of
	// the caller's time.
	Header(f *contract.Forwarding, worker, lastEvent string, left time.Duration) http.Header
	// Head reads the headers of an answer.
	Head(status int, h http.Header) Head
	// EndToEnd returns the headers of an answer that pass to the caller.
	EndToEnd(h http.Header) http.Header
}

// Head is what the headers of an answer say.
type Head struct {
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Signed answers carry the upstream's signature.
	Signed bool
	// NotRun is set when the upstream says that it did not run the request.
	NotRun bool
	// Misplaced is set when another upstream has the address.
	Misplaced bool
	// Leaving is set when the upstream is about to end.
	Leaving bool
	// Running and Waiting count the requests at the upstream.
	LoadKnown bool
	Running   int
	Waiting   int
}
