package main

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/storage/memory"
)

// alone is the peers of the only instance.
type alone struct{}

func (alone) Addresses() []string      { return nil }
func (alone) HTTP() connect.HTTPClient { return http.DefaultClient }

// shell runs command lines against one instance.
type shell struct {
	t       *testing.T
	address string
	store   *memory.Store
}

func newShell(t *testing.T) *shell {
	t.Helper()
	platform := memory.New()
	s, err := config.New(config.Options{Table: platform, Objects: platform, Peers: alone{}, Address: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(config.Handler(s, func(*http.Request) string { return "ana" }))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	return &shell{t: t, address: server.URL, store: platform}
}

func (s *shell) run(line ...string) (output string, status subcommands.ExitStatus) {
	s.t.Helper()
	f := flag.NewFlagSet("daisylb", flag.ContinueOnError)
	var out bytes.Buffer
	o := &operatorFlags{out: &out, err: &out}
	o.register(f)
	commander := subcommands.NewCommander(f, "daisylb")
	commander.Output, commander.Error = &out, &out
	for _, c := range configCommands() {
		commander.Register(c, "")
	}
	if err := f.Parse(append([]string{"-operator", s.address}, line...)); err != nil {
		s.t.Fatal(err)
	}
	status = commander.Execute(context.Background(), o)
	return out.String(), status
}

// expect runs a command line and checks its exit status and a part of its output.
func (s *shell) expect(status subcommands.ExitStatus, part string, line ...string) {
	s.t.Helper()
	output, got := s.run(line...)
	if got != status || !strings.Contains(output, part) {
		s.t.Errorf("%q: exit %d, want %d, want %q in:\n%s", line, got, status, part, output)
	}
}

func TestOperatorsSession(t *testing.T) {
	s := newShell(t)
	const document = "../../examples/coordinacion/document.jsonc"
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	if err := os.WriteFile(bad, []byte("{\n  \"preset\": 1,\n  \"speed\": 2,\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.expect(0, "document.jsonc: valid", "config", "check", document)
	s.expect(exitSettings, bad+":3:3: speed: unknown field", "config", "check", document, bad)
	s.expect(exitSettings, `"line": 2`, "config", "check", "-json", bad)
	s.expect(exitSettings, bad+":2:13: preset: found 1", "config", "apply", bad)
	s.expect(subcommands.ExitUsageError, "config apply", "config", "apply")
	s.expect(0, "version 1 accepted (change boot), in force at 1 of 1 instances", "config", "apply", "-id", "boot", document)
	s.expect(0, "nothing to change, version 1", "config", "apply", document)
	s.expect(0, "peak", "preset", "list")
	s.expect(exitSettings, "no preset", "preset", "switch", "nap")
	s.expect(0, "version 2 accepted", "preset", "switch", "-id", "sunday", "-note", "fair", "peak")
	s.expect(0, "version 2 accepted before", "preset", "switch", "-id", "sunday", "peak")
	s.expect(exitConflict, "5004 change_id_conflict", "preset", "switch", "-id", "sunday", "ordinary")
	s.expect(0, "true (version 2)", "preset", "show")
	s.expect(0, "preset peak", "config", "history")
	s.expect(0, `"note": "fair"`, "config", "history", "-json", "-limit", "1")
	s.expect(0, "Exits with 2", "preset", "help", "switch")

	shown, _ := s.run("config", "show")
	old := filepath.Join(t.TempDir(), "old.json")
	edited := strings.Replace(shown, `"batch_share": 0.4`, `"batch_share": 0.3`, 1)
	if err := os.WriteFile(old, []byte(edited), 0o600); err != nil || edited == shown {
		t.Fatal("document not edited", err)
	}
	s.expect(0, "version 3 accepted", "preset", "switch", "ordinary")
	s.expect(exitConflict, "made version 3", "config", "apply", old)

	s.store.Faults().LoseAnswers(5)
	s.expect(0, "version 4 accepted before", "preset", "switch", "-id", "market", "peak")
	s.expect(0, "version 4 accepted before", "preset", "switch", "-id", "market", "peak")

	s.address = abortingPosts(t, s.address)
	s.expect(exitUnknown, "run the command again with -id rain", "preset", "switch", "-id", "rain", "ordinary")
	s.address = "127.0.0.1:1"
	s.expect(subcommands.ExitFailure, "did not answer", "preset", "switch", "peak")
}

// abortingPosts returns the address of a server that sends GET on to address
// and breaks the connection of every other request.
func abortingPosts(t *testing.T, address string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			panic(http.ErrAbortHandler)
		}
		http.Redirect(w, r, address+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	}))
	t.Cleanup(server.Close)
	return server.URL
}
