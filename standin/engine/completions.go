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

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 16 << 20

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /admin/faults", e.serveFaults)
	return mux
}

// job is a validated request.
type job struct {
	id       string
	model    string
	seed     uint64
	index    int
	have     int
	length   int
	finish   string
	uncached int
	usage    contract.Usage
	stream   bool
	inUsage  bool
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	faults := e.faults.Load()
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
	j, err := e.parse(body, r.Header.Get("X-Request-Id"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.requests.Add(1)
	if j.stream {
		e.stream(w, r, j)
		return
	}
	e.whole(w, r, j)
}

func (e *Engine) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.closed:
	}
}

func (e *Engine) parse(body []byte, id string) (*job, error) {
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
	j := &job{id: "chatcmpl-" + id, model: request.Model, stream: request.Stream, inUsage: request.IncludeUsage}
	messages, err := e.resume(&request, j)
	if err != nil {
		return nil, err
	}
	e.limit(&request, j)
	total, cached := e.cache.add(request.Messages)
	e.cached.Add(int64(cached))
	j.uncached = total - cached
	j.seed = seed(messages)
	j.usage = contract.Usage{PromptTokens: total, CompletionTokens: j.length, TotalTokens: total + j.length}
	return j, nil
}

// resume reads the pair of fields by which a request continues a partial
// answer, and returns the messages before that answer.
func (e *Engine) resume(request *contract.ChatRequest, j *job) ([]contract.Message, error) {
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
	j.index, j.have, ok = resumePoint(seed(messages), partial)
	if !ok {
		return nil, errors.New("the partial answer is not the beginning of the answer")
	}
	e.resumed.Add(1)
	return messages, nil
}

// limit sets how many tokens are generated and why the answer ends.
func (e *Engine) limit(request *contract.ChatRequest, j *job) {
	natural := max(e.options.AnswerTokens-j.index, 1)
	j.length, j.finish = natural, "stop"
	endless := string(request.Extra["ignore_eos"]) == "true"
	if request.MaxTokens > 0 && (request.MaxTokens < natural || endless) {
		j.length, j.finish = request.MaxTokens, "length"
	}
}

// token returns the text of generated token number i.
func (j *job) token(i int) string {
	token := tokenOf(j.seed, j.index+i)
	if i == 0 {
		return token[j.have:]
	}
	return token
}

// next waits for one token; it reports false when the caller or the engine is
// gone.
func (e *Engine) next(r *http.Request, s *sequence) bool {
	select {
	case <-s.ready:
		return true
	case <-r.Context().Done():
	case <-e.closed:
	}
	e.cancel(s)
	return false
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, j *job) {
	s := e.submit(j.length, j.uncached)
	var text strings.Builder
	for i := range j.length {
		if !e.next(r, s) {
			return
		}
		text.WriteString(j.token(i))
	}
	writeJSON(w, http.StatusOK, answer{
		ID: j.id, Object: "chat.completion", Created: time.Now().Unix(), Model: j.model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: text.String()}, FinishReason: &j.finish}},
		Usage:   &j.usage,
	})
}

type answer struct {
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
