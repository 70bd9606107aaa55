package link

import (
	"errors"
	"net/http"
)

var errUnframed = errors.New("the answer has neither a length nor chunks")

// FramedClient makes requests with Client and returns an error for a response whose body
// only the end of its connection ends. A message that a failed peer cut between two of
// its fields can be decoded, as one with fewer rows. It is safe for concurrent use if
// Client is.
type FramedClient struct {
	Client interface {
		Do(*http.Request) (*http.Response, error)
	}
}

// Do implements connect.HTTPClient.
func (c FramedClient) Do(r *http.Request) (*http.Response, error) {
	response, err := c.Client.Do(r)
	if err != nil {
		return nil, err
	}
	return checkFraming(response)
}

// checkFraming returns the response, or an error if only the end of its connection ends
// it. HTTP/2 marks the end of each body.
func checkFraming(r *http.Response) (*http.Response, error) {
	if r.ProtoMajor > 1 || r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody {
		return r, nil
	}
	_ = r.Body.Close()
	return nil, errUnframed
}
