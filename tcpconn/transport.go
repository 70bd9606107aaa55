package tcpconn

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// silenceTime is how long a request must have waited in vain for its connection to count as
// silent.
const silenceTime = time.Second

// Transport is an http.Transport that closes its idle connections when a request has got no
// response in its time. Connections go silent together, when a path or a translation of addresses
// is lost; without this, each of the next requests would wait for one of them.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	sentAt := time.Now()
	response, err := t.Transport.RoundTrip(r)
	if err != nil && errors.Is(r.Context().Err(), context.DeadlineExceeded) && time.Since(sentAt) >= silenceTime {
		t.CloseIdleConnections()
	}
	return response, err
}
