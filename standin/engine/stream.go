package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// endlessBytes is the length of a line that Faults.Endless sends.
const endlessBytes = 4 << 20

// stream sends an answer as server-sent events, one token a chunk.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	flusher.Flush()
	s := e.submit(j.length, j.uncached)
	id := j.id
	for i := range j.length {
		if !e.next(r, s) {
			return
		}
		faults := e.faults.Load()
		if e.disturb(w, faults, i, s) {
			return
		}
		if faults.SwapID && i > 0 {
			id = "chatcmpl-dlb-of-another-request"
		}
		writeEvent(w, j.chunk(id, &delta{Content: j.token(i)}, nil))
		flusher.Flush()
	}
	writeEvent(w, j.chunk(id, &delta{}, &j.finish))
	if j.inUsage {
		last := j.chunk(id, nil, nil)
		last.Choices = []choice{}
		last.Usage = &j.usage
		writeEvent(w, last)
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	flusher.Flush()
}

// disturb applies the faults of streams before token number done. It reports
// whether the stream has ended.
func (e *Engine) disturb(w http.ResponseWriter, f *Faults, done int, s *sequence) bool {
	switch {
	case f.kills(done):
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

func (j *job) chunk(id string, d *delta, finish *string) answer {
	return answer{
		ID: id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: j.model,
		Choices: []choice{{Delta: d, FinishReason: finish}},
	}
}

func writeEvent(w http.ResponseWriter, a answer) {
	line, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(line)
	_, _ = w.Write([]byte("\n\n"))
}
