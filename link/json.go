package link

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/daisylb/daisylb/code"
)

// maxResponseBytes is the largest response body that GetJSON reads.
const maxResponseBytes = 64 << 20

// GetJSON gets url and decodes the JSON body into a T. It sends key as the bearer key;
// an empty key is not sent. Errors: the numbered error in the response,
// code.InvalidField for an invalid url, code.PeerUnreachable and code.MalformedBody.
func GetJSON[T any](ctx context.Context, httpClient *http.Client, url, key string) (T, error) {
	var value T
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return value, code.Wrap(code.InvalidField, err, "the address %q is not valid", url)
	}
	if key != "" {
		r.Header.Set(keyHeader, keyScheme+key)
	}
	response, err := httpClient.Do(r)
	if err != nil {
		return value, code.Wrap(code.PeerUnreachable, err, "%s does not answer: %v", r.URL.Host, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return value, code.Wrap(code.PeerUnreachable, err, "the answer of %s broke off", r.URL.Host)
	}
	if response.StatusCode != http.StatusOK {
		return value, responseError(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, code.Wrap(code.MalformedBody, err, "the answer of %s is not the JSON expected", r.URL.Host)
	}
	return value, nil
}

// responseError returns the numbered error in the body of a response, or
// code.PeerUnreachable when there is none.
func responseError(status int, body []byte) error {
	var b code.Body
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Number == 0 {
		return code.New(code.PeerUnreachable, "answer with status %d and without a numbered error", status)
	}
	return b.Err()
}
