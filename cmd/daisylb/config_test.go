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

// noPeers is the peer list of an instance that has no peers.
type noPeers struct{}

func (noPeers) Addresses() []string      { return nil }
func (noPeers) HTTP() connect.HTTPClient { return http.DefaultClient }

// cli runs command lines against the configuration interface of one instance.
type cli struct {
	t       *testing.T
	address string
	store   *memory.Store
}

func newCLI(t *testing.T) *cli {
	t.Helper()
	platform := memory.New()
	s, err := config.New(config.Options{Table: platform, Objects: platform, Peers: noPeers{}, Address: "127.0.0.1:1"})
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
	return &cli{t: t, address: server.URL, store: platform}
}

func (s *cli) run(line ...string) (output string, status subcommands.ExitStatus) {
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

// expect runs a command line and checks that it exits with status and that its
// output contains part.
func (s *cli) expect(status subcommands.ExitStatus, part string, line ...string) {
	s.t.Helper()
	output, got := s.run(line...)
	if got != status || !strings.Contains(output, part) {
		s.t.Errorf("%q: exit %d, want %d, want %q in:\n%s", line, got, status, part, output)
	}
}

// TestOperatorCommands runs the config and preset commands in the order in which
// an operator uses them, with invalid files, version conflicts, lost responses of
// the store and an instance that does not answer.
func TestOperatorCommands(t *testing.T) {
	s := newCLI(t)
	const document = "../../examples/coordinacion/document.jsonc"
	invalid := filepath.Join(t.TempDir(), "bad.jsonc")
	if err := os.WriteFile(invalid, []byte("{\n  \"preset\": 1,\n  \"speed\": 2,\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.expect(0, "document.jsonc: valid", "config", "check", document)
	s.expect(exitSettings, invalid+":3:3: speed: unknown field", "config", "check", document, invalid)
	s.expect(exitSettings, `"line": 2`, "config", "check", "-json", invalid)
	s.expect(exitSettings, invalid+":2:13: preset: found 1", "config", "apply", invalid)
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
	outdated := filepath.Join(t.TempDir(), "old.json")
	edited := strings.Replace(shown, `"batch_share": 0.4`, `"batch_share": 0.3`, 1)
	if err := os.WriteFile(outdated, []byte(edited), 0o600); err != nil || edited == shown {
		t.Fatal("document not edited", err)
	}
	s.expect(0, "version 3 accepted", "preset", "switch", "ordinary")
	s.expect(exitConflict, "made version 3", "config", "apply", outdated)

	s.store.Faults().LoseResponses(5)
	s.expect(0, "version 4 accepted before", "preset", "switch", "-id", "market", "peak")
	s.expect(0, "version 4 accepted before", "preset", "switch", "-id", "market", "peak")

	s.address = newAbortingServer(t, s.address)
	s.expect(exitUnknown, "run the command again with -id rain", "preset", "switch", "-id", "rain", "ordinary")
	s.address = "127.0.0.1:1"
	s.expect(subcommands.ExitFailure, "did not answer", "preset", "switch", "peak")
}

// newAbortingServer returns the URL of a server that redirects GET requests to
// address and closes the connection of every other request without a response.
func newAbortingServer(t *testing.T, address string) string {
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

// TestRoutingDocumentCheck checks documents of the users' platform: exit statuses, groups,
// and that no key is printed.
func TestRoutingDocumentCheck(t *testing.T) {
	s := newCLI(t)
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const route = `{"hostname":"h","path_prefix":"/a/","kind":"safe","service":"s"}`
	old := write("old.json", `{"version":1,"routes":[`+route+`],"services":[{"name":"s"}],"tenants":[{"name":"ada","api_keys":["secret-1"]}]}`)
	sound := write("new.json", `{"version":2,"routes":[`+route+`],"services":[{"name":"s"}],"tenants":[{"name":"ada","api_keys":["secret-2"]}]}`)
	faulty := write("bad.json", `{"version":2,"routes":[`+route+`,`+route+`],"services":[],"tenants":[{"name":"ada","api_keys":["secret-3"],"burst":1}]}`)
	s.expect(0, "new.json: valid", "config", "check", sound)
	s.expect(0, `new.json: difference: tenant "ada": api_keys: 1 removed, 1 added, 1 now`, "config", "check", sound, "-in-force", old)
	s.expect(0, `"entry": "tenant \"ada\""`, "config", "check", "-json", "-in-force", old, sound)
	s.expect(exitSettings, "is not above 2, the version in force", "config", "check", "-in-force", sound, old)
	s.expect(exitSettings, `bad.json: error: routes[0]: its service "s" is not in the document`, "config", "check", faulty)
	s.expect(exitSettings, "bad.json: never used: routes[1]: routes[0] has the same host", "config", "check", sound, faulty)
	s.expect(exitSettings, "bad.json: contradiction: tenants[0]: burst 1 has no effect", "config", "check", "-kind", "routing", faulty)
	s.expect(exitSettings, "cannot be read", "config", "check", "-in-force", filepath.Join(t.TempDir(), "none"), sound)
	s.expect(subcommands.ExitUsageError, "config check FILE", "config", "check", "-in-force", old, sound, faulty)
	s.expect(subcommands.ExitUsageError, "config check FILE", "config", "check", "-kind", "instance", "-in-force", old, sound)
	for _, file := range []string{sound, faulty} {
		for _, format := range []string{"-json", "-json=false"} {
			if output, _ := s.run("config", "check", "-in-force", old, format, file); strings.Contains(output, "secret") {
				t.Errorf("a key is printed: %s", output)
			}
		}
	}
}
