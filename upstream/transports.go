package upstream

import (
	"net"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/tcpconn"
)

const (
	dialTimeout         = time.Second
	idleConnTimeout     = 90 * time.Second
	idleConnsPerAddress = 64
	// maxResponseHeadBytes limits the status line and the headers of a response.
	// Without it net/http accepts 10 MB.
	maxResponseHeadBytes = 64 << 10
)

// transports has separate connections for each purpose, so that online calls never wait
// behind batch calls for a connection.
type transports struct {
	online *http.Transport
	batch  *http.Transport
	// single opens a new connection for every call. On a kept-alive connection net/http
	// would send a request with an idempotency key a second time if the connection
	// breaks, and an upstream might write an earlier response once more: those of plain
	// services need not name their request.
	single *http.Transport
	// reports is for load reports and probes.
	reports *http.Transport
}

// newTransports returns copies of template, or of a default transport if it is nil.
func newTransports(template *http.Transport) transports {
	if template == nil {
		template = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnsPerAddress,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxResponseHeadBytes,
		}
	}
	template = template.Clone()
	if template.DialContext == nil {
		template.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	template.DialContext = tcpconn.Dialer(template.DialContext)
	ts := transports{template.Clone(), template.Clone(), template.Clone(), template.Clone()}
	ts.single.DisableKeepAlives = true
	return ts
}

// forSlot returns the transport for an attempt of a model service.
func (ts *transports) forSlot(g *slot) *http.Transport {
	switch {
	case g.dispatchOnce:
		return ts.single
	case g.class == contract.Batch:
		return ts.batch
	}
	return ts.online
}

func (ts *transports) closeIdle() {
	for _, t := range []*http.Transport{ts.online, ts.batch, ts.single, ts.reports} {
		t.CloseIdleConnections()
	}
}
