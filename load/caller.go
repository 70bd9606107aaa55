package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisylb/daisylb/caller"
	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/standin/engine"
)

// maxAttempts bounds the attempts of one request. Each goes to the next endpoint
// of the list.
const maxAttempts = 3

// maxErrorBytes bounds the body of an error response.
const maxErrorBytes = 1 << 16

// callerPool simulates the callers of one deployment's online mixes. It is safe
// for concurrent use.
type callerPool struct {
	client *http.Client
	users  map[*OnlineMix][]*virtualUser
	// runID is part of every prompt, so that no two runs send the same prompts.
	runID string
}

func newCallerPool(d Deployment, mixes []*OnlineMix, runID string) *callerPool {
	c := &callerPool{
		client: newHTTPClient(),
		users:  map[*OnlineMix][]*virtualUser{},
		runID:  runID,
	}
	for _, m := range mixes {
		for i := range m.Callers {
			u := &virtualUser{client: c.client, key: m.Key, seeds: d.Instances, dataCentre: d.DataCentre, rotation: i}
			if len(m.Direct) > 0 {
				u.seeds, u.fixed = m.Direct, true
			}
			c.users[m] = append(c.users[m], u)
		}
	}
	return c
}

// idleConnections bounds the idle connections to one address.
const idleConnections = 4096

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}}
}

func (c *callerPool) close() { c.client.CloseIdleConnections() }

// send implements sender. Like a real caller it tries the next endpoint when
// one cannot be reached, is draining or has no configuration.
func (c *callerPool) send(ctx context.Context, a *arrival, due time.Time) outcome {
	users := c.users[a.mix]
	u := users[a.index%len(users)]
	messages := a.messages(c.runID)
	body := a.body(messages)
	want := engine.Answer(messages, a.answerTokens)
	var result outcome
	for attempt := range maxAttempts {
		result = c.attempt(ctx, u, a, body, want, due, attempt)
		result.moves = attempt
		if !canTryNextEndpoint(result.ending) || ctx.Err() != nil {
			break
		}
		u.expire()
	}
	return result
}

// canTryNextEndpoint reports whether a request that ended with e may be sent to
// another endpoint.
func canTryNextEndpoint(e Ending) bool {
	return e.Kind == NoConnection || e.Number == code.Draining || e.Number == code.NoConfiguration
}

// attempt sends the request once and reads the answer. tried is the number of
// endpoints that were tried before.
func (c *callerPool) attempt(ctx context.Context, u *virtualUser, a *arrival, body []byte, want string, due time.Time, tried int) outcome {
	address, err := u.address(ctx, tried)
	if err != nil {
		return outcome{ending: Ending{Kind: NoConnection}, total: time.Since(due)}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return outcome{ending: errorEnding(err), total: time.Since(due)}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.mix.Key)
	if a.mix.Deadline > 0 {
		request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(a.mix.Deadline.Milliseconds(), 10))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return outcome{ending: Ending{Kind: NoConnection}, total: time.Since(due)}
	}
	defer response.Body.Close()
	reader := answerReader{due: due, want: want}
	switch {
	case response.StatusCode != http.StatusOK:
		reader.outcome.ending = readError(response)
	case a.mix.Stream:
		reader.stream(response.Body)
	default:
		reader.object(response.Body)
	}
	reader.outcome.total = time.Since(due)
	return reader.outcome
}

// readError reads the body of a response whose status is not 200.
func readError(response *http.Response) Ending {
	var body code.Body
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	if err != nil || body.Error.Number == 0 {
		return Ending{Kind: BrokenAnswer}
	}
	return errorEnding(body.Err())
}

// messages returns the prompt of a request. It is unique to the request and the
// run.
func (a *arrival) messages(runID string) []contract.Message {
	var list []contract.Message
	if n := a.mix.SystemBytes; n > 0 {
		list = append(list, message("system", pad(a.mix.Name+" assistant ", n)))
	}
	prefix := fmt.Sprintf("%s %s %d ", runID, a.mix.Name, a.index)
	if !a.measured() {
		prefix = "warm " + prefix
	}
	return append(list, message("user", pad(prefix, a.promptBytes)))
}

func message(role, text string) contract.Message {
	content, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return contract.Message{Role: role, Content: content}
}

// pad appends "x" to text until it has n bytes.
func pad(text string, n int) string {
	if len(text) >= n {
		return text
	}
	return text + strings.Repeat("x", n-len(text))
}

// chatBody returns a request for an answer of exactly tokens tokens: ignore_eos
// keeps the engine from ending earlier.
func chatBody(service string, messages []contract.Message, tokens int, stream bool) contract.ChatRequest {
	return contract.ChatRequest{
		Model:     service,
		Messages:  messages,
		MaxTokens: tokens,
		Stream:    stream,
		Extra:     map[string]json.RawMessage{"ignore_eos": json.RawMessage("true")},
	}
}

func (a *arrival) body(messages []contract.Message) []byte {
	body, err := json.Marshal(chatBody(a.mix.Service, messages, a.answerTokens, a.mix.Stream))
	if err != nil {
		panic(err)
	}
	return body
}
