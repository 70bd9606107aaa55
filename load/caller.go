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

// maxTries bounds the endpoints that one request is offered to.
const maxTries = 3

// maxErrorBytes bounds the body of an error.
const maxErrorBytes = 1 << 16

// callers sends the requests of one deployment's online mixes. It is safe for
// concurrent use.
type callers struct {
	calls *http.Client
	users map[*OnlineMix][]*user
	// round tells the prompts of different runs apart.
	round string
}

func newCallers(d Deployment, mixes []*OnlineMix, round string) *callers {
	c := &callers{
		calls: newHTTPClient(),
		users: map[*OnlineMix][]*user{},
		round: round,
	}
	for _, m := range mixes {
		for i := range m.Callers {
			u := &user{calls: c.calls, key: m.Key, seeds: d.Instances, dataCentre: d.DataCentre, turn: i}
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

func (c *callers) close() { c.calls.CloseIdleConnections() }

// ask implements asker. Like a real caller it goes on to the next endpoint
// when one cannot be reached or is leaving.
func (c *callers) ask(ctx context.Context, a *arrival, due time.Time) outcome {
	users := c.users[a.mix]
	u := users[a.index%len(users)]
	messages := a.messages(c.round)
	body := a.body(messages)
	want := engine.Answer(messages, a.answer)
	var o outcome
	for try := range maxTries {
		o = c.try(ctx, u, a, body, want, due, try)
		o.moves = try
		if !elsewhere(o.ending) || ctx.Err() != nil {
			break
		}
		u.expire()
	}
	return o
}

// elsewhere says whether another endpoint may take the request.
func elsewhere(e Ending) bool {
	return e.Kind == NoConnection || e.Number == code.Draining || e.Number == code.NoConfiguration
}

func (c *callers) try(ctx context.Context, u *user, a *arrival, body []byte, want string, due time.Time, tried int) outcome {
	address, err := u.address(ctx, tried)
	if err != nil {
		return outcome{ending: Ending{Kind: NoConnection}, whole: time.Since(due)}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return outcome{ending: refused(err), whole: time.Since(due)}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.mix.Key)
	if a.mix.Deadline > 0 {
		request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(a.mix.Deadline.Milliseconds(), 10))
	}
	response, err := c.calls.Do(request)
	if err != nil {
		return outcome{ending: Ending{Kind: NoConnection}, whole: time.Since(due)}
	}
	defer response.Body.Close()
	reader := answerReader{due: due, want: want}
	switch {
	case response.StatusCode != http.StatusOK:
		reader.o.ending = readError(response)
	case a.mix.Stream:
		reader.stream(response.Body)
	default:
		reader.object(response.Body)
	}
	reader.o.whole = time.Since(due)
	return reader.o
}

func readError(response *http.Response) Ending {
	var body code.Body
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	if err != nil || body.Error.Number == 0 {
		return Ending{Kind: BrokenStream}
	}
	return refused(body.Err())
}

// messages returns the prompt of a request, which no other request has.
func (a *arrival) messages(round string) []contract.Message {
	var list []contract.Message
	if n := a.mix.SystemBytes; n > 0 {
		list = append(list, message("system", filler(a.mix.Name+" assistant ", n)))
	}
	start := fmt.Sprintf("%s %s %d ", round, a.mix.Name, a.index)
	if !a.measured() {
		start = "warm " + start
	}
	return append(list, message("user", filler(start, a.prompt)))
}

func message(role, text string) contract.Message {
	content, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return contract.Message{Role: role, Content: content}
}

// filler lengthens text to n bytes.
func filler(text string, n int) string {
	if len(text) >= n {
		return text
	}
	return text + strings.Repeat("x", n-len(text))
}

// chatBody returns the request for an answer of exactly tokens tokens.
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
	body, err := json.Marshal(chatBody(a.mix.Service, messages, a.answer, a.mix.Stream))
	if err != nil {
		panic(err)
	}
	return body
}
