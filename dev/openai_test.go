package dev_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/dev"
	"github.com/daisylb/daisylb/standin/engine"

	"github.com/daisylb/daisylb/contract"
)

// start runs an environment until the test ends and returns it when its document is
// in force.
func start(t *testing.T) *dev.Environment {
	t.Helper()
	environment, err := dev.Start(dev.Options{Listen: "127.0.0.1:0", Operators: "127.0.0.1:0", Engines: 3, LogLevel: "error"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- environment.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("run: %v", err)
		}
	})
	if err := environment.Configured(t.Context()); err != nil {
		t.Fatal(err)
	}
	return environment
}

func sdk(e *dev.Environment, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+e.Daemon.CallerAddress()+"/v1/"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
}

func question(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "asistente-bolero",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// expected returns the answer of the stand-in engines to a question.
func expected(text string, tokens int) string {
	return engine.Answer([]contract.Message{{Role: "user", Content: []byte(`"` + text + `"`)}}, tokens)
}

// TestOfficialSDK uses OpenAI's Go SDK with daisylb: answers, streams, the model
// list, typed errors and cancellation.
func TestOfficialSDK(t *testing.T) {
	environment := start(t)
	client := sdk(environment, dev.CallerKey)

	t.Run("completes", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(t.Context(), question("hola", 8))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := answer.Choices[0].Message.Content, expected("hola", 8); got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
		if answer.Usage.CompletionTokens != 8 {
			t.Errorf("usage %+v", answer.Usage)
		}
	})
	t.Run("streams", func(t *testing.T) {
		params := question("streams", 12)
		params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		var accumulated openai.ChatCompletionAccumulator
		for stream.Next() {
			accumulated.AddChunk(stream.Current())
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if got, want := accumulated.Choices[0].Message.Content, expected("streams", 12); got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
		if accumulated.Usage.CompletionTokens != 12 {
			t.Errorf("usage %+v", accumulated.Usage)
		}
	})
	t.Run("lists models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for _, m := range page.Data {
			names = append(names, m.ID)
		}
		if got := strings.Join(names, " "); got != "asistente-bolero deskmate" {
			t.Errorf("models %q", got)
		}
	})
	t.Run("typed errors", func(t *testing.T) {
		unknown := question("hola", 1)
		unknown.Model = "none"
		_, err := client.Chat.Completions.New(t.Context(), unknown)
		wantError(t, err, 404, code.UnknownService)
		other := sdk(environment, "guess")
		_, err = other.Chat.Completions.New(t.Context(), question("hola", 1))
		wantError(t, err, 401, code.Unauthenticated)
	})
	t.Run("cancels", func(t *testing.T) {
		before := cancelled(environment)
		ctx, cancel := context.WithCancel(t.Context())
		stream := client.Chat.Completions.NewStreaming(ctx, question("long", 2000))
		if !stream.Next() {
			t.Fatal(stream.Err())
		}
		cancel()
		stream.Close()
		waitUntil(t, func() bool { return cancelled(environment) > before })
	})
}

func wantError(t *testing.T, err error, status int, number code.Number) {
	t.Helper()
	var failure *openai.Error
	if !errors.As(err, &failure) {
		t.Fatalf("not a typed error: %v", err)
	}
	if failure.StatusCode != status || failure.Code != code.Describe(number).Name {
		t.Errorf("status %d code %q, want %d %q", failure.StatusCode, failure.Code, status, code.Describe(number).Name)
	}
}

// cancelled returns the number of sequences that the engines cancelled.
func cancelled(e *dev.Environment) int64 {
	var n int64
	for _, running := range e.StandIns.Engines {
		n += running.Counts().Cancelled
	}
	return n
}

// waitUntil returns when the condition holds. The timeout of go test bounds the
// wait.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for !condition() {
		<-poll.C
	}
}
