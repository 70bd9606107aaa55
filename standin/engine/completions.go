package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/daisylb/daisylb/contract"
)

// maxRequestBytes is the limit on the body of a request.
const maxRequestBytes = 16 << 20

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /admin/faults", e.serveFaults)
	return mux
}

// completion is a validated request and the answer that it gets.
type completion struct {
	id    string
	model string
	// seed determines the tokens of the answer.
	seed uint64
	// firstToken is the index of the first token to generate, skipBytes the number
	// of its bytes that a resumed answer already has.
	firstToken int
	skipBytes  int
	// length is the number of tokens to generate, finish the finish reason.
	length int
	finish string
	// uncachedTokens is the number of prompt tokens that are not in the prefix cache.
	uncachedTokens int
	usage          contract.Usage
	stream         bool
	includeUsage   bool
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	faults := e.faults.Load()
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if faults.Refuse || faults.Draining {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "the engine takes no requests")
		return
	}
	if faults.Hang {
		e.hang(r)
		return
	}
	c, err := e.parse(body, r.Header.Get("X-Request-Id"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.requests.Add(1)
	if c.stream {
		e.serveStream(w, r, c)
		return
	}
	e.serveBuffered(w, r, c)
}

// hang blocks until the request is cancelled or the engine is closed.
func (e *Engine) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.closed:
	}
}

// parse validates a request and plans its answer. An empty id is replaced by a new
// one.
func (e *Engine) parse(body []byte, id string) (*completion, error) {
	var request contract.ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if e.options.Model != "" && request.Model != e.options.Model {
		return nil, errors.New("no such model")
	}
	if id == "" {
		id = uuid.NewString()
	}
	c := &completion{id: "chatcmpl-" + id, model: request.Model, stream: request.Stream, includeUsage: request.IncludeUsage}
	messages, err := e.resume(&request, c)
	if err != nil {
		return nil, err
	}
	e.setLength(&request, c)
	total, cached := e.cache.add(request.Messages)
	e.cachedTokens.Add(int64(cached))
	c.uncachedTokens = total - cached
	c.seed = seed(messages)
	c.usage = contract.Usage{PromptTokens: total, CompletionTokens: c.length, TotalTokens: total + c.length}
	return c, nil
}

// resume handles a request to continue a partial answer, which sets
// continue_final_message to true and add_generation_prompt to false and has the
// partial answer as its last message. It returns the messages without the partial
// answer. Other requests are left as they are.
func (e *Engine) resume(request *contract.ChatRequest, c *completion) ([]contract.Message, error) {
	messages := request.Messages
	if string(request.Extra["continue_final_message"]) != "true" {
		return messages, nil
	}
	if string(request.Extra["add_generation_prompt"]) != "false" {
		return nil, errors.New("continue_final_message needs add_generation_prompt to be false")
	}
	last := messages[len(messages)-1]
	partial, ok := contentText(last)
	if last.Role != "assistant" || !ok {
		return nil, errors.New("the last message is not a partial answer")
	}
	messages = messages[:len(messages)-1]
	c.firstToken, c.skipBytes, ok = resumePoint(seed(messages), partial)
	if !ok {
		return nil, errors.New("the partial answer is not the beginning of the answer")
	}
	e.resumed.Add(1)
	return messages, nil
}

// setLength sets the number of tokens to generate and the finish reason.
func (e *Engine) setLength(request *contract.ChatRequest, c *completion) {
	fullLength := max(e.options.AnswerTokens-c.firstToken, 1)
	c.length, c.finish = fullLength, "stop"
	ignoreEnd := string(request.Extra["ignore_eos"]) == "true"
	if request.MaxTokens > 0 && (request.MaxTokens < fullLength || ignoreEnd) {
		c.length, c.finish = request.MaxTokens, "length"
	}
}

// token returns the text of the generated token i, counted from 0. For the first
// token it leaves out the bytes that a resumed answer already has.
func (c *completion) token(i int) string {
	token := tokenOf(c.seed, c.firstToken+i)
	if i == 0 {
		return token[c.skipBytes:]
	}
	return token
}

// awaitToken waits for one generated token. When the request is cancelled or the
// engine is closed, it cancels the sequence and reports false.
func (e *Engine) awaitToken(r *http.Request, s *sequence) bool {
	select {
	case <-s.ready:
		return true
	case <-r.Context().Done():
	case <-e.closed:
	}
	e.cancel(s)
	return false
}

// serveBuffered generates the answer and sends it in one response.
func (e *Engine) serveBuffered(w http.ResponseWriter, r *http.Request, c *completion) {
	s := e.submit(c.length, c.uncachedTokens)
	var text strings.Builder
	for i := range c.length {
		if !e.awaitToken(r, s) {
			return
		}
		text.WriteString(c.token(i))
	}
	writeJSON(w, http.StatusOK, completionResponse{
		ID: c.id, Object: "chat.completion", Created: time.Now().Unix(), Model: c.model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: text.String()}, FinishReason: &c.finish}},
		Usage:   &c.usage,
	})
}

// completionResponse is the body of a response, or one chunk of a stream.
type completionResponse struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *contract.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	type body struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}
	writeJSON(w, status, struct {
		Error body `json:"error"`
	}{body{message, "engine_error"}})
}
