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
	ended  chan struct{}
	text   string
	err    error
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"deskmate","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
}

// expected is the whole answer to a prompt.
func expected(prompt string, tokens int) string {
	return engine.Answer([]contract.Message{{Role: "user", Content: json.RawMessage(strconv.Quote(prompt))}}, tokens)
}

// stream NAME URL TOKENS opens a stream and returns after its first token.
func (w *world) stream(ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	tokens, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	s := &openStream{prompt: args[0], tokens: tokens, ended: make(chan struct{})}
	first := make(chan struct{})
	go func() {
		defer close(s.ended)
		s.text, s.err = readStream(args[1], chatBody(s.prompt, tokens, true), sync.OnceFunc(func() { close(first) }))
	}()
	w.streams[args[0]] = s
	select {
	case <-first:
		return nil
	case <-s.ended:
		return s.err
	}
}

// whole NAME waits for a stream and compares its text.
func (w *world) whole(ts *testscript.TestScript, args []string) error {
	s := w.streams[args[0]]
	<-s.ended
	if s.err != nil {
		return s.err
	}
	if want := expected(s.prompt, s.tokens); s.text != want {
		return fmt.Errorf("stream has %d bytes, want %d:\n%s", len(s.text), len(want), s.text)
	}
	return nil
}

var errCutOff = errors.New("the stream ended without its end mark")

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
	return text.String(), errors.Join(errCutOff, lines.Err())
}

// crowd is a group of callers that ask for endpoints, keep the answer for its
// lifetime and send requests to the first address, moving on when it does not
// connect.
type crowd struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	served  int
	moved   int
	failure error
}

func (c *crowd) stop() {
	c.cancel()
	c.done.Wait()
}

// callers NAME COUNT URL... starts a crowd that knows the addresses of some
// instances.
func (w *world) callers(ts *testscript.TestScript, args []string) error {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	for i := range count {
		c.done.Go(func() { c.call(ctx, i, args[2:]) })
	}
	w.crowds[args[0]] = c
	return nil
}

// served NAME COUNT [stop] waits until the crowd has COUNT more whole answers;
// any failed request fails the script.
func (w *world) served(ts *testscript.TestScript, args []string) error {
	c := w.crowds[args[0]]
	more, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	c.mu.Lock()
	target := c.served + more
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
		ts.Logf("served %d, moved to another address %d times", c.served, c.moved)
		return c.failure
	}
	return nil
}

func (c *crowd) call(ctx context.Context, seed int, known []string) {
	var endpoints []string
	var expires time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Now().After(expires) {
			endpoints, expires = c.ask(known[(seed+i)%len(known):], known)
		}
		prompt := fmt.Sprintf("caller %d request %d", seed, i)
		if err := c.send(endpoints, prompt); err != nil {
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

// ask returns the endpoint answer of the first instance that gives one, and
// when it expires. Without an answer the known addresses are used once.
func (c *crowd) ask(order, known []string) ([]string, time.Time) {
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
	return known, time.Now()
}

const crowdTokens = 20

// send gets one whole answer, from the first address that connects.
func (c *crowd) send(endpoints []string, prompt string) error {
	var failures error
	for _, address := range endpoints {
		text, err := readStream(address, chatBody(prompt, crowdTokens, true), func() {})
		if connectFailed(err) {
			c.mu.Lock()
			c.moved++
			c.mu.Unlock()
			failures = errors.Join(failures, err)
			continue
		}
		if err != nil {
			return err
		}
		if want := expected(prompt, crowdTokens); text != want {
			return fmt.Errorf("answer %q, want %q", text, want)
		}
		return nil
	}
	return errors.Join(errors.New("no address connects"), failures)
}

// connectFailed reports whether no connection was made.
func connectFailed(err error) bool {
	return err != nil && strings.Contains(err.Error(), "connect: connection refused")
}
