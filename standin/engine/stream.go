package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// endlessBytes is the length of the line that Faults.Endless sends.
const endlessBytes = 4 << 20

// serveStream sends an answer as server-sent events, with one token per chunk.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, c *completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	flusher.Flush()
	s := e.submit(c.length, c.uncachedTokens)
	id := c.id
	for i := range c.length {
		if !e.awaitToken(r, s) {
			return
		}
		faults := e.faults.Load()
		if e.injectFault(w, faults, i, s) {
			return
		}
		if faults.SwapID && i > 0 {
			id = "chatcmpl-dlb-of-another-request"
		}
		writeEvent(w, c.chunk(id, &delta{Content: c.token(i)}, nil))
		flusher.Flush()
	}
	writeEvent(w, c.chunk(id, &delta{}, &c.finish))
	if c.includeUsage {
		last := c.chunk(id, nil, nil)
		last.Choices = []choice{}
		last.Usage = &c.usage
		writeEvent(w, last)
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	flusher.Flush()
}

// injectFault applies the faults that end a stream which has sent done tokens. It
// reports whether the stream has ended, and panics with http.ErrAbortHandler to
// close the connection.
func (e *Engine) injectFault(w http.ResponseWriter, f *Faults, done int, s *sequence) bool {
	switch {
	case f.shouldKill(done):
		e.cancel(s)
		panic(http.ErrAbortHandler)
	case f.TruncateAfter > 0 && done >= f.TruncateAfter:
	case f.Garbage:
		_, _ = w.Write([]byte("<html>502 proxy error</html>\n\n"))
	case f.Endless:
		_, _ = w.Write([]byte("data: " + strings.Repeat("x", endlessBytes)))
	default:
		return false
	}
	e.cancel(s)
	return true
}

func (c *completion) chunk(id string, d *delta, finish *string) completionResponse {
	return completionResponse{
		ID: id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: c.model,
		Choices: []choice{{Delta: d, FinishReason: finish}},
	}
}

func writeEvent(w http.ResponseWriter, a completionResponse) {
	line, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(line)
	_, _ = w.Write([]byte("\n\n"))
}
