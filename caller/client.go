package caller

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/daisylb/daisylb/datacentre"
	"github.com/daisylb/daisylb/link"
)

// Client asks one instance for what is not part of OpenAI's interface. It is
// safe for concurrent use.
type Client struct {
	base       string
	key        string
	httpClient *http.Client
}

// NewClient returns a client of the callers' listener at address, which is
// IP:port or a URL.
func NewClient(address, key string, calls *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: address, key: key, httpClient: calls}
}

// Endpoints returns the instances to use, the nearest first. An empty data
// centre leaves it to the instance.
func (c *Client) Endpoints(ctx context.Context, dataCentre string) (datacentre.Answer, error) {
	address := c.base + datacentre.Path
	if dataCentre != "" {
		address += "?" + url.Values{"data_centre": {dataCentre}}.Encode()
	}
	return link.GetJSON[datacentre.Answer](ctx, c.httpClient, address, c.key)
}
