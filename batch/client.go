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
// use. Errors carry the numbers of the instance; code.PeerUnreachable means
// that no answer came.
type Client struct {
	// Endpoint is the instance's address, with or without a scheme.
	Endpoint string
	// Key is the caller's API key; "" sends none.
	Key string
	// HTTP is used for the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// Submit sends a job with inline input. A non-empty key makes a resend safe.
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

// SubmitObject sends a job whose input is an object of the account.
func (c *Client) SubmitObject(ctx context.Context, key string, s Settings, object string) (Job, error) {
	body := SubmitBody{InputObject: object, OnInvalid: s.OnInvalid}
	if s.Deadline != 0 {
		body.Deadline = s.Deadline.String()
	}
	return c.submit(ctx, key, jobsPath, jsonType, bytes.NewReader(encode(body)))
}

func (c *Client) submit(ctx context.Context, key, path, kind string, input io.Reader) (Job, error) {
	header := http.Header{"Content-Type": {kind}}
	if key != "" {
		header.Set(keyHeader, key)
	}
	return ask[Job](ctx, c, http.MethodPost, path, header, input)
}

// Status returns the job.
func (c *Client) Status(ctx context.Context, id string) (Job, error) {
	return ask[Job](ctx, c, http.MethodGet, jobPath(id), nil, nil)
}

// Cancel cancels the job.
func (c *Client) Cancel(ctx context.Context, id string) (Job, error) {
	return ask[Job](ctx, c, http.MethodPost, jobPath(id)+"/cancel", nil, nil)
}

// List returns a page of jobs behind the job after, the newest first. limit 0
// means the longest page.
func (c *Client) List(ctx context.Context, after string, limit int) (JobList, error) {
	query := url.Values{}
	if after != "" {
		query.Set("after", after)
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return ask[JobList](ctx, c, http.MethodGet, jobsPath+"?"+query.Encode(), nil, nil)
}

// Results writes the committed results from item from on and returns the
// number of the next item to ask for.
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

func ask[T any](ctx context.Context, c *Client, method, path string, header http.Header, body io.Reader) (T, error) {
	var answer T
	response, err := c.do(ctx, method, path, header, body)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, code.Wrap(code.PeerUnreachable, err, "the answer of %s is not whole", c.Endpoint)
	}
	return answer, nil
}

// do sends a request and returns an answer with status 200.
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
	return nil, readError(response)
}

func (c *Client) base() string {
	if strings.Contains(c.Endpoint, "://") {
		return strings.TrimSuffix(c.Endpoint, "/")
	}
	return "http://" + c.Endpoint
}

// readError returns the error that an answer carries.
func readError(response *http.Response) error {
	var body ErrorBody
	limited := io.LimitReader(response.Body, maxSettingsBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil || body.Error.Number == 0 {
		return code.New(code.PeerUnreachable, "answer with status %d", response.StatusCode)
	}
	return code.New(body.Error.Number, "%s", body.Error.Message).WithOutcome(body.Error.Outcome)
}
