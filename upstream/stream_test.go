package upstream

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/contract"
)

// readStream reads an event stream as an attempt does.
func readStream(body string) (text, finish string, f *failure) {
	c := &completion{maxAnswerBytes: 1 << 20, sink: func(chunk contract.Chunk) error {
		text += chunk.Text
		finish = chunk.FinishReason
		return nil
	}}
	silence := &silenceTimer{limit: func(time.Time, bool) time.Duration { return time.Hour }, end: func() {}}
	silence.start()
	s := &stream{
		slot: &slot{startedAt: time.Now()}, body: io.NopCloser(strings.NewReader(body)),
		events: newEventReader(strings.NewReader(body), maxStreamBytes(c.maxAnswerBytes)), decoder: chunkDecoder{attemptID: "dlb-1"},
		silence: silence,
	}
	defer s.close()
	if f = s.advance(); f == nil {
		f = s.deliver(c)
	}
	return text, finish, f
}

// eventStream returns a stream of n chunks and the answer that it contains.
func eventStream(n int, id string) (body, answer string) {
	for i := range n {
		word := fmt.Sprintf(" ñ%d", i)
		body += fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, word)
		answer += word
	}
	return body + fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id), answer
}

func TestStreamThatIsCutAnywhereIsNeverTakenForWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body, answer := eventStream(rapid.IntRange(1, 20).Draw(t, "chunks"), "chatcmpl-dlb-1")
		end := strings.Index(body, `"finish_reason"`)
		if _, _, f := readStream(body[:rapid.IntRange(0, end).Draw(t, "cut")]); f == nil {
			t.Fatal("a truncated stream was accepted as complete")
		}
		if text, finish, f := readStream(body); f != nil || text != answer || finish != "stop" {
			t.Fatalf("got %q with finish reason %q and %+v, want %q", text, finish, f, answer)
		}
	})
}

func TestChunkOfAnotherAnswerIsRefused(t *testing.T) {
	own, _ := eventStream(2, "chatcmpl-dlb-1")
	other, _ := eventStream(2, "chatcmpl-dlb-2")
	plain, _ := eventStream(2, "x")
	for name, body := range map[string]string{
		"from the start":          other,
		"after own chunks":        own[:strings.Index(own, "\n\n")+2] + other,
		"without our identifiers": plain[:strings.Index(plain, "\n\n")+2] + own,
	} {
		if _, _, f := readStream(body); f == nil || !errors.Is(f.err, errMismatchedID) {
			t.Errorf("%s: got %+v, want %v", name, f, errMismatchedID)
		}
	}
}

func FuzzEventStream(f *testing.F) {
	body, _ := eventStream(3, "x")
	f.Add(body)
	f.Add("data: {\"choices\":[{},{}]}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		text, finish, failed := readStream(body)
		if failed == nil && finish == "" || len(text) > len(body)*maxDecodedGrowth {
			t.Fatalf("stream %q was accepted as the complete answer %q", body, text)
		}
	})
}

// maxDecodedGrowth is the factor by which a decoded string may be longer than its JSON:
// a byte that is not valid UTF-8 becomes three.
const maxDecodedGrowth = 3
