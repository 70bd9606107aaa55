package caller

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/daisylb/daisylb/datacentre"
	"github.com/daisylb/daisylb/link"
)

// Client calls the endpoints of one instance that are not part of OpenAI's
// interface. It is safe for concurrent use.
type Client struct {
	base       string
	key        string
	httpClient *http.Client
}

// NewClient returns a client of the callers' listener at address, which is
// IP:port or a URL. It sends key as the bearer key.
func NewClient(address, key string, httpClient *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: address, key: key, httpClient: httpClient}
}

// Endpoints returns the instances to use, the nearest first. With an empty
// dataCentre, the instance infers where the caller is.
func (c *Client) Endpoints(ctx context.Context, dataCentre string) (datacentre.Answer, error) {
	address := c.base + datacentre.Path
	if dataCentre != "" {
		address += "?" + url.Values{"data_centre": {dataCentre}}.Encode()
	}
	return link.GetJSON[datacentre.Answer](ctx, c.httpClient, address, c.key)
}
