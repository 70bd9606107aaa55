package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/daisylb/daisylb/code"
)

// Client calls the HTTP interface of an instance. It is safe for concurrent
// use. Errors carry the number that the instance sent; code.PeerUnreachable
// means that no valid response was received.
type Client struct {
	// Endpoint is the instance's address, with or without a scheme.
	Endpoint string
	// Key is the caller's API key; "" sends none.
	Key string
	// HTTP is the client used for the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Submit submits a job with inline input. With a non-empty idempotency key, a
// resent submission creates no second job.
func (c *Client) Submit(ctx context.Context, key string, s Settings, input io.Reader) (Job, error) {
	query := url.Values{}
	if s.Deadline != 0 {
		query.Set("deadline", s.Deadline.String())
	}
	if s.OnInvalid != "" {
		query.Set("on_invalid", string(s.OnInvalid))
	}
	return c.submit(ctx, key, jobsPath+"?"+query.Encode(), jsonLinesType, input)
}

// SubmitObject submits a job whose input is an object of the account.
func (c *Client) SubmitObject(ctx context.Context, key string, s Settings, object string) (Job, error) {
	body := SubmitBody{InputObject: object, OnInvalid: s.OnInvalid}
	if s.Deadline != 0 {
		body.Deadline = s.Deadline.String()
	}
	return c.submit(ctx, key, jobsPath, jsonType, bytes.NewReader(encode(body)))
}

func (c *Client) submit(ctx context.Context, key, path, contentType string, input io.Reader) (Job, error) {
	header := http.Header{"Content-Type": {contentType}}
	if key != "" {
		header.Set(keyHeader, key)
	}
	return doJSON[Job](ctx, c, http.MethodPost, path, header, input)
}

// Status returns the job.
func (c *Client) Status(ctx context.Context, id string) (Job, error) {
	return doJSON[Job](ctx, c, http.MethodGet, jobPath(id), nil, nil)
}

// Cancel cancels the job and returns it.
func (c *Client) Cancel(ctx context.Context, id string) (Job, error) {
	return doJSON[Job](ctx, c, http.MethodPost, jobPath(id)+"/cancel", nil, nil)
}

// List returns a page of the account's jobs, the newest first. after is the id of
// the job that precedes the page; "" means to begin with the newest. A limit of 0
// means the maximum page size.
func (c *Client) List(ctx context.Context, after string, limit int) (JobList, error) {
	query := url.Values{}
	if after != "" {
		query.Set("after", after)
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return doJSON[JobList](ctx, c, http.MethodGet, jobsPath+"?"+query.Encode(), nil, nil)
}

// Results writes to w the committed results of the items, starting with the item
// whose number is from, and returns the number of the next item to request. An
// error with code.StreamBroken means that the results are incomplete.
func (c *Client) Results(ctx context.Context, id string, from int, w io.Writer) (next int, err error) {
	path := jobPath(id) + "/results?from=" + strconv.Itoa(from)
	response, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return from, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(w, response.Body); err != nil {
		return from, code.Wrap(code.StreamBroken, err, "the results were broken off")
	}
	next, err = strconv.Atoi(response.Trailer.Get(nextTrailer))
	if err != nil {
		return from, code.Wrap(code.StreamBroken, err, "the results have no end")
	}
	return next, nil
}

func jobPath(id string) string { return jobsPath + "/" + url.PathEscape(id) }

// doJSON sends a request and decodes the JSON body of the response.
func doJSON[T any](ctx context.Context, c *Client, method, path string, header http.Header, body io.Reader) (T, error) {
	var result T
	response, err := c.do(ctx, method, path, header, body)
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, code.Wrap(code.PeerUnreachable, err, "the answer of %s is not whole", c.Endpoint)
	}
	return result, nil
}

// do sends a request and returns the response if its status is 200. The caller
// closes its body.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base()+path, body)
	if err != nil {
		return nil, code.Wrap(code.InvalidField, err, "endpoint %q is not an address", c.Endpoint)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, code.Wrap(code.PeerUnreachable, err, "no answer from %s", c.Endpoint)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, decodeError(response)
}

// base returns the URL of the endpoint without a trailing slash.
func (c *Client) base() string {
	if strings.Contains(c.Endpoint, "://") {
		return strings.TrimSuffix(c.Endpoint, "/")
	}
	return "http://" + c.Endpoint
}

// decodeError returns the error that the body of a response describes.
func decodeError(response *http.Response) error {
	var body ErrorBody
	limited := io.LimitReader(response.Body, maxSettingsBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil || body.Error.Number == 0 {
		return code.New(code.PeerUnreachable, "answer with status %d", response.StatusCode)
	}
	return code.New(body.Error.Number, "%s", body.Error.Message).WithOutcome(body.Error.Outcome)
}
