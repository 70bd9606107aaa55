package upstream

import (
	"net/http"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// Wire writes and reads the headers that are exchanged with the upstreams of routed
// services. Its methods are called concurrently.
type Wire interface {
	// Header returns the headers of a request to a worker. lastEventID is the event
	// after which a stream resumes, "" at its beginning; remaining is the time until
	// the caller's deadline.
	Header(f *contract.ForwardRequest, worker, lastEventID string, remaining time.Duration) http.Header
	// Head interprets the status and the headers of a response.
	Head(status int, h http.Header) Head
	// EndToEnd returns the headers of a response that are passed to the caller.
	EndToEnd(h http.Header) http.Header
}

// Head is what the status and the headers of a response say.
type Head struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// NotRun is set if the upstream reports that it did not run the request.
	NotRun bool
	// Misplaced is set if another upstream now has the address.
	Misplaced bool
	// Leaving is set if the upstream announces that it shuts down.
	Leaving bool
	// LoadKnown is set if the response reports a load: Running and Waiting count the
	// requests at the upstream.
	LoadKnown bool
	Running   int
	Waiting   int
}
