package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/contract"
)

func messages(text string) []contract.Message {
	content, _ := json.Marshal(text)
	return []contract.Message{{Role: "user", Content: content}}
}

// TestResumeContinuesAtAnyByte cuts an answer at a random byte, also inside a
// character, and checks that the rest completes it.
func TestResumeContinuesAtAnyByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := messages(rapid.String().Draw(t, "prompt"))
		n := rapid.IntRange(1, 40).Draw(t, "tokens")
		full := Answer(m, n)
		cut := rapid.IntRange(0, len(full)-1).Draw(t, "cut")
		index, skipBytes, ok := resumePoint(seed(m), full[:cut])
		if !ok {
			t.Fatalf("prefix of %d bytes was refused", cut)
		}
		rest := Token(m, index)[skipBytes:]
		for i := index + 1; i < n; i++ {
			rest += Token(m, i)
		}
		if full[:cut]+rest != full {
			t.Fatalf("cut at %d gave %q, want %q", cut, full[:cut]+rest, full)
		}
	})
}

func TestBufferedAnswerMatchesMessages(t *testing.T) {
	defer goleak.VerifyNone(t)
	e, err := New(Options{StepBase: time.Microsecond, StepPerRunning: time.Microsecond})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	server := httptest.NewServer(e)
	defer server.Close()
	body, _ := json.Marshal(contract.ChatRequest{Model: "m", Messages: messages("hola"), MaxTokens: 9})
	response, err := server.Client().Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v: %s", response.StatusCode, err, data)
	}
	var a completionResponse
	if err := json.Unmarshal(data, &a); err != nil {
		t.Fatal(err)
	}
	if want := Answer(messages("hola"), 9); a.Choices[0].Message.Content != want {
		t.Fatalf("got %q, want %q", a.Choices[0].Message.Content, want)
	}
}

func TestPrefixCacheStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newPrefixCache(50)
		for _, text := range rapid.SliceOfN(rapid.StringN(0, 100, 400), 1, 30).Draw(t, "prompts") {
			total, cached := c.add(messages(text))
			if cached > total || c.usedTokens > c.capacityTokens {
				t.Fatalf("%d of %d cached, %d of %d used", cached, total, c.usedTokens, c.capacityTokens)
			}
		}
	})
}
