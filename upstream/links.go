package upstream

import (
	"net"
	"net/http"
	"time"

	"github.com/daisylb/daisylb/contract"
)

const (
	dialTimeout         = time.Second
	idleConnTimeout     = 90 * time.Second
	idleConnsPerAddress = 64
	// maxAnswerHead bounds the status line and the headers of an answer. Without it
	// net/http takes 10 MB.
	maxAnswerHead = 64 << 10
)

// links holds separate connections for each purpose, so that online work never
// waits behind batch work for a connection.
type links struct {
	online *http.Transport
	batch  *http.Transport
	// once opens a connection for each call. A kept connection would let the
	// HTTP library send a request with an idempotency key a second time.
	once    *http.Transport
	reports *http.Transport
}

func newLinks(template *http.Transport) links {
	if template == nil {
		template = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnsPerAddress,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxAnswerHead,
		}
	}
	l := links{template.Clone(), template.Clone(), template.Clone(), template.Clone()}
	l.once.DisableKeepAlives = true
	return l
}

// of returns the connections for an attempt.
func (l *links) of(g *slot) *http.Transport {
	switch {
	case g.firm:
		return l.once
	case g.class == contract.Batch:
		return l.batch
	}
	return l.online
}

func (l *links) closeIdle() {
	for _, t := range []*http.Transport{l.online, l.batch, l.once, l.reports} {
		t.CloseIdleConnections()
	}
}
