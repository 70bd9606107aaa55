package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/dev"
	"github.com/daisylb/daisylb/standin/engine"
)

// serve starts an instance that advertises the endpoints and answers chat
// requests with h. It returns its address.
func serve(t *testing.T, endpoints func() []string, h http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, _ *http.Request) {
		var list []string
		for _, e := range endpoints() {
			list = append(list, fmt.Sprintf(`{"address":%q}`, e))
		}
		fmt.Fprintf(w, `{"ttl_s":60,"endpoints":[%s]}`, strings.Join(list, ","))
	})
	mux.HandleFunc("POST /v1/chat/completions", h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// events writes each text as one event and then end as it is.
func events(w http.ResponseWriter, end string, texts ...string) {
	for _, text := range texts {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
	}
	_, _ = io.WriteString(w, end)
}

// sendOnce sends one request of two answer tokens to the instance.
func sendOnce(t *testing.T, address string) outcome {
	t.Helper()
	m := uniformMix(1)
	c := newCallerPool(Deployment{Instances: []string{address}}, []*OnlineMix{m}, "r")
	defer c.close()
	return c.send(t.Context(), &arrival{mix: m, promptBytes: 8, answerTokens: 2}, time.Now())
}

func TestAnswersAreVerified(t *testing.T) {
	a := arrival{mix: uniformMix(1), promptBytes: 8, answerTokens: 2}
	messages := a.messages("r")
	first, whole := engine.Answer(messages, 1), engine.Answer(messages, 2)
	second := strings.TrimPrefix(whole, first)
	const done = "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		answer func(w http.ResponseWriter)
		want   Ending
	}{
		"right":  {func(w http.ResponseWriter) { events(w, done, first, second) }, Ending{Kind: Right}},
		"wrong":  {func(w http.ResponseWriter) { events(w, done, first, " x") }, Ending{Kind: WrongAnswer}},
		"twice":  {func(w http.ResponseWriter) { events(w, done, first, second, second) }, Ending{Kind: WrongAnswer}},
		"short":  {func(w http.ResponseWriter) { events(w, done, first) }, Ending{Kind: ShortAnswer}},
		"broken": {func(w http.ResponseWriter) { events(w, "", first) }, Ending{Kind: BrokenAnswer}},
		"error in the stream": {
			func(w http.ResponseWriter) {
				events(w, "data: {\"error\":{\"number\":3003,\"outcome\":\"unknown\"}}\n\n", first)
			},
			Ending{NumberedError, code.StreamBroken, code.Unknown},
		},
		"refused": {
			func(w http.ResponseWriter) { code.WriteHTTP(w, "", code.New(code.Overloaded, "full")) },
			Ending{NumberedError, code.Overloaded, code.NotRun},
		},
	} {
		var address string
		address = serve(t, func() []string { return []string{address} }, func(w http.ResponseWriter, _ *http.Request) { c.answer(w) })
		if got := sendOnce(t, address).ending; got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestCallerTriesNextEndpoint(t *testing.T) {
	a := arrival{mix: uniformMix(1), promptBytes: 8, answerTokens: 2}
	good := serve(t, func() []string { return nil }, func(w http.ResponseWriter, _ *http.Request) {
		events(w, "data: [DONE]\n\n", engine.Answer(a.messages("r"), 2))
	})
	var draining string
	draining = serve(t, func() []string { return []string{draining, good} }, func(w http.ResponseWriter, _ *http.Request) {
		code.WriteHTTP(w, "", code.New(code.Draining, "stopping"))
	})
	o := sendOnce(t, draining)
	if o.ending.Kind != Right || o.moves != 1 {
		t.Errorf("got %v after %d moves, want right after 1 move", o.ending, o.moves)
	}
}

// TestRunAgainstAnInstance runs an experiment against a real instance with
// stand-in engines: every online and batch answer has the expected text, and an
// action is executed and cleared.
func TestRunAgainstAnInstance(t *testing.T) {
	environment, err := dev.Start(dev.Options{Listen: "127.0.0.1:0", Operators: "127.0.0.1:0", Engines: 2, LogLevel: "error"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = environment.Run(ctx) })
	defer running.Wait()
	defer cancel()
	for environment.Daemon.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	e, err := Parse("e", fmt.Appendf(nil, `{
  "name": "whole", "duration": "1s", "rounds": 1, "warmup": "200ms", "settle": "0s",
  "deployments": {"dev": {"instances": [%q]}},
  "online": [
    {"name": "chat", "key": %q, "service": "deskmate", "rate": 20, "stream": true, "prompt_bytes": {"median": 40}, "answer_tokens": {"median": 4}},
    {"name": "whole", "key": %[2]q, "service": "deskmate", "rate": 10, "prompt_bytes": {"median": 40}, "answer_tokens": {"median": 4}},
  ],
  "actions": [{"name": "slow", "at": "100ms", "until": "300ms", "urls": ["http://%s/admin/faults"], "body": {"slow_factor": 2}, "clear": {}}],
  "batch": [{"name": "sheets", "key": %[2]q, "service": "deskmate", "jobs": 1, "items": 5, "prompt_bytes": {"median": 40}, "answer_tokens": {"median": 4}}],
  "variants": [{"name": "all", "online": ["chat", "whole"], "batch": ["sheets"], "actions": ["slow"]}],
}`, environment.Daemon.CallerAddress(), dev.CallerKey, environment.StandIns.EngineAddresses[0]))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), e, nil)
	if err != nil {
		t.Fatal(err)
	}
	v := report.Variants[0]
	for _, o := range v.Online {
		want := []EndingCount{{Ending{Kind: Right}, o.Sent}}
		if diff := cmp.Diff(want, o.Endings); diff != "" || o.Sent == 0 {
			t.Errorf("%s: %d sent: %s", o.Mix, o.Sent, diff)
		}
	}
	if b := v.Batch[0]; b.Wrong != 0 || b.Duplicates != 0 || len(b.Errors) != 0 {
		t.Errorf("batch %+v", b)
	}
}
