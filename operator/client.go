package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/daisylb/daisylb/instance"
	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/upstream"
)

// Paths of the read-only views for operators.
const (
	PathState     = "/debug/state"
	PathInstances = "/v1/instances"
	PathUpstreams = "/v1/upstreams"
)

// Client reads the views of one instance. It is safe for concurrent use.
type Client struct {
	base       string
	key        string
	httpClient *http.Client
}

// NewClient returns a client of the operators' listener at address, which is
// IP:port or a URL. It sends key as the bearer key.
func NewClient(address, key string, httpClient *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: address, key: key, httpClient: httpClient}
}

// Dump returns the state dump of the instance as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return link.GetJSON[json.RawMessage](ctx, c.httpClient, c.base+PathState, c.key)
}

// Instances returns the members that are live in the view of the instance.
func (c *Client) Instances(ctx context.Context) ([]instance.Member, error) {
	return link.GetJSON[[]instance.Member](ctx, c.httpClient, c.base+PathInstances, c.key)
}

// Upstreams returns the state of the upstreams that the instance uses.
func (c *Client) Upstreams(ctx context.Context) (upstream.State, error) {
	return link.GetJSON[upstream.State](ctx, c.httpClient, c.base+PathUpstreams, c.key)
}
