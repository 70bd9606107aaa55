package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/standin/engine"
)

// openStream is a streamed answer that a script waits for.
type openStream struct {
	prompt string
	tokens int
	// ended is closed when text and err are set.
	ended chan struct{}
	text  string
	err   error
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"deskmate","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
}

// expected returns the complete answer to a prompt.
func expected(prompt string, tokens int) string {
	return engine.Answer([]contract.Message{{Role: "user", Content: json.RawMessage(strconv.Quote(prompt))}}, tokens)
}

// stream implements the script command
//
//	stream NAME URL TOKENS
//
// It opens a stream with NAME as prompt and returns after the first token.
func (env *environment) stream(ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	tokens, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	s := &openStream{prompt: args[0], tokens: tokens, ended: make(chan struct{})}
	firstToken := make(chan struct{})
	go func() {
		defer close(s.ended)
		s.text, s.err = readStream(args[1], chatBody(s.prompt, tokens, true), sync.OnceFunc(func() { close(firstToken) }))
	}()
	env.streams[args[0]] = s
	select {
	case <-firstToken:
		return nil
	case <-s.ended:
		return s.err
	}
}

// whole implements the script command
//
//	whole NAME
//
// It waits for the end of a stream and checks that the answer is complete.
func (env *environment) whole(ts *testscript.TestScript, args []string) error {
	s := env.streams[args[0]]
	<-s.ended
	if s.err != nil {
		return s.err
	}
	if want := expected(s.prompt, s.tokens); s.text != want {
		return fmt.Errorf("stream has %d bytes, want %d:\n%s", len(s.text), len(want), s.text)
	}
	return nil
}

var errTruncated = errors.New("the stream ended without [DONE]")

// readStream requests a streamed answer and returns its text. It calls onToken for
// each token.
func readStream(address, body string, onToken func()) (string, error) {
	r, err := http.NewRequest(http.MethodPost, address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return "", fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return readEvents(response.Body, onToken)
}

// readEvents reads server-sent events up to [DONE] and returns the text of the
// answer.
func readEvents(body io.Reader, onToken func()) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
			Error   json.RawMessage
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return text.String(), err
		}
		if event.Error != nil {
			return text.String(), fmt.Errorf("error event %s", event.Error)
		}
		for _, c := range event.Choices {
			text.WriteString(c.Delta.Content)
			onToken()
		}
	}
	return text.String(), errors.Join(errTruncated, lines.Err())
}

// callerGroup is a group of concurrent callers. Each gets an endpoint answer, uses it
// for its lifetime and sends one request after the other to the first address, or to
// the next one when the connection is refused.
type callerGroup struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	// served counts complete answers.
	served int
	// failovers counts refused connections.
	failovers int
	// failure joins the errors of failed requests. A caller stops at its first.
	failure error
}

func (c *callerGroup) stop() {
	c.cancel()
	c.done.Wait()
}

// callers implements the script command
//
//	callers NAME COUNT URL...
//
// It starts a group of COUNT callers that get endpoint answers from the URLs.
func (env *environment) callers(ts *testscript.TestScript, args []string) error {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &callerGroup{cancel: cancel}
	for i := range count {
		c.done.Go(func() { c.runCaller(ctx, i, args[2:]) })
	}
	env.callerGroups[args[0]] = c
	return nil
}

// served implements the script command
//
//	served NAME COUNT [stop]
//
// It waits until the group of callers has COUNT more complete answers, and stops the
// group when the third argument is given. A failed request fails the script.
func (env *environment) served(ts *testscript.TestScript, args []string) error {
	c := env.callerGroups[args[0]]
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	c.mu.Lock()
	target := c.served + count
	c.mu.Unlock()
	for {
		c.mu.Lock()
		served, failure := c.served, c.failure
		c.mu.Unlock()
		if failure != nil {
			return failure
		}
		if served >= target {
			break
		}
		time.Sleep(pollInterval)
	}
	if len(args) > 2 {
		c.stop()
		ts.Logf("served %d, moved to another address %d times", c.served, c.failovers)
		return c.failure
	}
	return nil
}

// runCaller sends requests until ctx ends or a request fails. seed numbers the
// callers of the group.
func (c *callerGroup) runCaller(ctx context.Context, seed int, addresses []string) {
	var endpoints []string
	var expires time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Now().After(expires) {
			endpoints, expires = c.fetchEndpoints(addresses[(seed+i)%len(addresses):], addresses)
		}
		prompt := fmt.Sprintf("caller %d request %d", seed, i)
		if err := c.request(endpoints, prompt); err != nil {
			c.mu.Lock()
			c.failure = errors.Join(c.failure, fmt.Errorf("%s: %w", prompt, err))
			c.mu.Unlock()
			return
		}
		c.mu.Lock()
		c.served++
		c.mu.Unlock()
	}
}

// fetchEndpoints queries the instances of order in turn. It returns the endpoints of the
// first answer that has any, and the time when they expire. Without such an answer it
// returns addresses, which expire at once.
func (c *callerGroup) fetchEndpoints(order, addresses []string) ([]string, time.Time) {
	for _, address := range order {
		r, _ := http.NewRequest(http.MethodGet, address+"/v1/endpoints", nil)
		r.Header.Set("Authorization", "Bearer "+callerKey)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		var answer struct {
			TTL       int `json:"ttl_s"`
			Endpoints []struct{ Address string }
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err != nil || len(answer.Endpoints) == 0 {
			continue
		}
		var list []string
		for _, e := range answer.Endpoints {
			list = append(list, "http://"+e.Address)
		}
		return list, time.Now().Add(time.Duration(answer.TTL) * time.Second)
	}
	return addresses, time.Now()
}

// requestTokens is the length of the answer to each request.
const requestTokens = 20

// request gets one complete answer from the first endpoint that accepts the
// connection.
func (c *callerGroup) request(endpoints []string, prompt string) error {
	var failures error
	for _, address := range endpoints {
		text, err := readStream(address, chatBody(prompt, requestTokens, true), func() {})
		if connectFailed(err) {
			c.mu.Lock()
			c.failovers++
			c.mu.Unlock()
			failures = errors.Join(failures, err)
			continue
		}
		if err != nil {
			return err
		}
		if want := expected(prompt, requestTokens); text != want {
			return fmt.Errorf("answer %q, want %q", text, want)
		}
		return nil
	}
	return errors.Join(errors.New("no address connects"), failures)
}

// connectFailed reports whether the connection was refused.
func connectFailed(err error) bool {
	return err != nil && strings.Contains(err.Error(), "connect: connection refused")
}
