package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/batch"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/storage/memory"
)

// jobServer starts a batch service in memory and returns its address. The key that
// a request sends serves as its account.
func jobServer(t *testing.T) string {
	t.Helper()
	document := &contract.Document{Services: map[string]contract.Service{"quote": {Kind: contract.KindPlain, Idempotent: true}}}
	service, err := batch.NewService(batch.ServiceOptions{
		Store:    memory.New(),
		Document: func() *contract.Document { return document },
	})
	if err != nil {
		t.Fatal(err)
	}
	handler, err := batch.NewHandler(batch.HandlerOptions{
		Service: service,
		Account: func(r *http.Request) string { return r.Header.Get("Authorization") },
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// command is a command on jobs.
type command interface {
	subcommands.Command
	shared() *jobFlags
}

func (j *jobFlags) shared() *jobFlags { return j }

// run executes a command with args and returns its exit status and output.
func run(t *testing.T, c command, args ...string) (status subcommands.ExitStatus, stdout, stderr string) {
	t.Helper()
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(f)
	var out, errs bytes.Buffer
	c.shared().stdout, c.shared().stderr = &out, &errs
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	return c.Execute(context.Background(), f), out.String(), errs.String()
}

// TestJobCommands submits a job and runs each command on it.
func TestJobCommands(t *testing.T) {
	endpoint := jobServer(t)
	t.Setenv(jobKeyVariable, "secret")
	file := filepath.Join(t.TempDir(), "items.jsonl")
	line := `{"custom_id":"a","method":"POST","url":"/s/quote/x","body":{}}` + "\n"
	if err := os.WriteFile(file, []byte(line+line), 0o600); err != nil {
		t.Fatal(err)
	}
	status, stdout, stderr := run(t, &jobSubmit{}, "-endpoint", endpoint, "-json", "-idempotency-key", "k", file)
	var job batch.Job
	if err := json.Unmarshal([]byte(stdout), &job); err != nil || status != subcommands.ExitSuccess || job.Counts.Total != 2 {
		t.Fatalf("submit: %v %q %q, %v", status, stdout, stderr, err)
	}
	tests := []struct {
		name     string
		c        command
		args     []string
		status   subcommands.ExitStatus
		contains string
	}{
		{"status", &jobStatus{}, []string{job.ID}, subcommands.ExitSuccess, job.ID + "  in_progress  0 of 2 items"},
		{"early results", &jobResults{}, []string{job.ID}, subcommands.ExitFailure, "6008"},
		{"list", &jobList{}, nil, subcommands.ExitSuccess, job.ID + "  in_progress"},
		{"another caller", &jobStatus{}, []string{"-key", "other", job.ID}, subcommands.ExitFailure, "6001"},
		{"cancel", &jobCancel{}, []string{job.ID}, subcommands.ExitSuccess, "cancelled"},
		{"wait", &jobStatus{}, []string{"-wait", job.ID}, subcommands.ExitSuccess, "cancelled  0 of 2 items"},
		{"no id", &jobCancel{}, nil, subcommands.ExitUsageError, "usage: cancel"},
		{"no file", &jobSubmit{}, []string{file + "x"}, subcommands.ExitFailure, "no such file"},
	}
	for _, tt := range tests {
		status, stdout, stderr := run(t, tt.c, append([]string{"-endpoint", endpoint}, tt.args...)...)
		if status != tt.status || !strings.Contains(stdout+stderr, tt.contains) {
			t.Errorf("%s: status %v, output %q %q, want status %v and %q", tt.name, status, stdout, stderr, tt.status, tt.contains)
		}
	}
	if n := len(jobCommands()); n != 1 {
		t.Errorf("%d commands, want job", n)
	}
}
