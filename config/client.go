package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
)

// clientAttempts bounds the attempts of one call. All calls may be retried,
// since a change is identified by its id.
const clientAttempts = 3

var clientBackoff = retry.Backoff{Min: 200 * time.Millisecond, Max: 2 * time.Second}

// Client calls the operators' interface of one instance. It is safe for
// concurrent use. Its errors are those of the Store, and code.PeerUnreachable
// when the instance does not answer.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a Client for an address (IP:port) or a URL. Key is the
// operator's key. Transport may be nil, which means http.DefaultClient.
func NewClient(address, key string, transport *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if transport == nil {
		transport = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(address, "/"), key: key, http: transport}
}

// Document returns the document in force; its version is 0 when there is none.
func (c *Client) Document(ctx context.Context) (*contract.Document, error) {
	d := &contract.Document{}
	err := c.call(ctx, http.MethodGet, pathConfig, nil, d)
	return d, err
}

// Submit requests a change. Its author is the operator to whom the client's key
// belongs.
func (c *Client) Submit(ctx context.Context, r Request) (Accepted, error) {
	var a Accepted
	err := c.call(ctx, http.MethodPost, pathConfig, r, &a)
	return a, err
}

// History returns up to limit changes with versions below before, newest first;
// before 0 starts at the version in force.
func (c *Client) History(ctx context.Context, before uint64, limit int) (HistoryPage, error) {
	var page HistoryPage
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s?before=%d&limit=%d", pathHistory, before, limit), nil, &page)
	return page, err
}

// Presets returns the presets and the name of the one in force.
func (c *Client) Presets(ctx context.Context) (PresetList, error) {
	var list PresetList
	err := c.call(ctx, http.MethodGet, pathPresets, nil, &list)
	return list, err
}

// SwitchPreset puts another preset in force.
func (c *Client) SwitchPreset(ctx context.Context, r SwitchRequest) (Accepted, error) {
	var a Accepted
	err := c.call(ctx, http.MethodPost, pathSwitch, r, &a)
	return a, err
}

// call makes a call and retries it when its outcome is unknown or the store was
// unavailable.
func (c *Client) call(ctx context.Context, method, path string, request, result any) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return code.Wrap(code.Internal, err, "encoding the request")
		}
	}
	unknown := false
	for attempt := 0; ; attempt++ {
		err := c.callOnce(ctx, method, path, body, result)
		if !retryable(err) {
			return err
		}
		unknown = unknown || method != http.MethodGet && code.From(err).Outcome == code.Unknown
		if attempt+1 < clientAttempts && clientBackoff.Sleep(ctx, attempt) == nil {
			continue
		}
		if unknown {
			return code.From(err).WithOutcome(code.Unknown)
		}
		return code.From(err).WithOutcome(code.NotRun)
	}
}

func retryable(err error) bool {
	switch code.Of(err) {
	case code.PeerUnreachable, code.StoreUnknown, code.StoreUnavailable, code.StoreThrottled:
		return true
	}
	return false
}

// callOnce makes one attempt of a call and decodes the response into result.
func (c *Client) callOnce(ctx context.Context, method, path string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return code.Wrap(code.InvalidSettings, err, "the operator address %q is not valid", c.base)
	}
	r.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return unreachableError(c.base, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxObjectBytes))
	if err != nil {
		return code.Wrap(code.PeerUnreachable, err, "the answer of %s broke off", c.base)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.Status, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return code.Wrap(code.Internal, err, "the answer of %s is not readable", c.base)
	}
	return nil
}

// unreachableError returns the error of a request without a response. A request
// whose connection could not be established was not run.
func unreachableError(base string, err error) error {
	e := code.Wrap(code.PeerUnreachable, err, "%s did not answer: %s", base, err)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return e.WithOutcome(code.NotRun)
	}
	return e
}

// decodeError returns the error that an error response describes.
func decodeError(status string, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Number == 0 {
		return code.New(code.Internal, "unexpected answer %s", status)
	}
	switch {
	case body.Error.Winner != nil:
		return &Conflict{BaseVersion: body.Error.BaseVersion, Winner: *body.Error.Winner}
	case len(body.Error.Faults) > 0:
		return body.Error.Faults
	}
	return code.Body{Error: body.Error.BodyDetail}.Err()
}
