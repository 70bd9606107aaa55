package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/daisylb/daisylb/batch"
	"github.com/daisylb/daisylb/code"
)

// jobPollInterval is the time between two status requests while a command waits for
// the end of a job.
const jobPollInterval = 2 * time.Second

// jobKeyVariable is the environment variable that holds the caller's key.
const jobKeyVariable = "DAISYLB_KEY"

// jobCommands returns the command "job".
func jobCommands() []subcommands.Command { return []subcommands.Command{&jobCommand{}} }

// jobCommand groups the commands on batch jobs.
type jobCommand struct{}

// Name implements subcommands.Command.
func (*jobCommand) Name() string { return "job" }

// Synopsis implements subcommands.Command.
func (*jobCommand) Synopsis() string { return "submit, follow and cancel batch jobs" }

// Usage implements subcommands.Command.
func (*jobCommand) Usage() string {
	return "job submit FILE | status ID | results ID | cancel ID | list\n"
}

// SetFlags implements subcommands.Command.
func (*jobCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*jobCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "daisylb job")
	commander.Register(commander.HelpCommand(), "")
	for _, c := range []subcommands.Command{&jobSubmit{}, &jobStatus{}, &jobResults{}, &jobCancel{}, &jobList{}} {
		commander.Register(c, "")
	}
	return commander.Execute(ctx, args...)
}

// jobFlags are the flags and output streams that all commands on jobs share.
type jobFlags struct {
	endpoint string
	key      string
	json     bool
	stdout   io.Writer
	stderr   io.Writer
}

// register adds the flags to f and sets the standard streams.
func (j *jobFlags) register(f *flag.FlagSet) {
	f.StringVar(&j.endpoint, "endpoint", "127.0.0.1:8080", "`address` of an instance")
	f.StringVar(&j.key, "key", "", "the caller's `key`; default from "+jobKeyVariable)
	f.BoolVar(&j.json, "json", false, "print JSON")
	j.stdout = os.Stdout
	j.stderr = os.Stderr
}

func (j *jobFlags) client() *batch.Client {
	return &batch.Client{Endpoint: j.endpoint, Key: cmp.Or(j.key, os.Getenv(jobKeyVariable))}
}

// fail prints the error and returns ExitFailure.
func (j *jobFlags) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(j.stderr, "daisylb:", err)
	return subcommands.ExitFailure
}

// usage prints the usage text and returns ExitUsageError.
func (j *jobFlags) usage(text string) subcommands.ExitStatus {
	fmt.Fprint(j.stderr, "usage: ", text)
	return subcommands.ExitUsageError
}

// print writes the id, state and counts of a job, or the job as JSON when the flag
// is set.
func (j *jobFlags) print(job batch.Job) subcommands.ExitStatus {
	if j.json {
		return j.printJSON(job)
	}
	fmt.Fprintf(j.stdout, "%s  %s\n", job.ID, progress(job))
	return subcommands.ExitSuccess
}

func (j *jobFlags) printJSON(v any) subcommands.ExitStatus {
	if err := json.NewEncoder(j.stdout).Encode(v); err != nil {
		return j.fail(err)
	}
	return subcommands.ExitSuccess
}

// progress returns the state and the counts of a job in one line.
func progress(job batch.Job) string {
	c := job.Counts
	return fmt.Sprintf("%s  %d of %d items, %d failed", job.State, c.Finished(), c.Total, c.Failed)
}

// wait polls a job until it ends, and writes a line to stderr whenever its state or
// counts change. Temporary errors don't end the wait.
func (j *jobFlags) wait(ctx context.Context, id string) (batch.Job, error) {
	last := ""
	ticker := time.NewTicker(jobPollInterval)
	defer ticker.Stop()
	for {
		job, err := j.client().Status(ctx, id)
		if err != nil && !isTemporary(err) {
			return job, err
		}
		line := "no answer; asking again"
		if err == nil {
			line = progress(job)
		}
		if line != last {
			fmt.Fprintln(j.stderr, line)
			last = line
		}
		if err == nil && job.State != batch.StateOpen {
			return job, nil
		}
		select {
		case <-ctx.Done():
			return job, ctx.Err()
		case <-ticker.C:
		}
	}
}

// isTemporary reports whether the same request may succeed later.
func isTemporary(err error) bool {
	switch code.Of(err) {
	case code.PeerUnreachable, code.StoreUnavailable, code.StoreUnknown, code.StoreThrottled, code.Draining, code.Overloaded:
		return true
	}
	return false
}

// jobSubmit submits a job.
type jobSubmit struct {
	jobFlags
	idempotencyKey string
	deadline       time.Duration
	onInvalid      string
	object         bool
	wait           bool
}

// Name implements subcommands.Command.
func (*jobSubmit) Name() string { return "submit" }

// Synopsis implements subcommands.Command.
func (*jobSubmit) Synopsis() string { return "submit a file of items as a job" }

// Usage implements subcommands.Command.
func (*jobSubmit) Usage() string {
	return "submit [flags] FILE\n  FILE is JSONL of OpenAI batch lines, or - for standard input.\n"
}

// SetFlags implements subcommands.Command.
func (c *jobSubmit) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.StringVar(&c.idempotencyKey, "idempotency-key", "", "`key` of the job, so that a resend is the same job; default a new one")
	f.DurationVar(&c.deadline, "deadline", batch.DefaultDeadline, "time within which the job should finish")
	f.StringVar(&c.onInvalid, "on-invalid", string(batch.Refuse), "what to do with broken lines: refuse or fail_item")
	f.BoolVar(&c.object, "object", false, "FILE is the key of an object of the platform")
	f.BoolVar(&c.wait, "wait", false, "wait for the end of the job")
}

// Execute implements subcommands.Command.
func (c *jobSubmit) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage(c.Usage())
	}
	if c.idempotencyKey == "" {
		c.idempotencyKey = uuid.NewString()
	}
	job, err := c.submit(ctx, f.Arg(0))
	if err != nil {
		if isTemporary(err) {
			fmt.Fprintf(c.stderr, "resend with -idempotency-key %s\n", c.idempotencyKey)
		}
		return c.fail(err)
	}
	if c.wait {
		fmt.Fprintln(c.stderr, job.ID)
		if job, err = c.jobFlags.wait(ctx, job.ID); err != nil {
			return c.fail(err)
		}
	}
	return c.print(job)
}

func (c *jobSubmit) submit(ctx context.Context, name string) (batch.Job, error) {
	settings := batch.Settings{Deadline: c.deadline, OnInvalid: batch.OnInvalid(c.onInvalid)}
	if c.object {
		return c.client().SubmitObject(ctx, c.idempotencyKey, settings, name)
	}
	if name == "-" {
		return c.client().Submit(ctx, c.idempotencyKey, settings, os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return batch.Job{}, err
	}
	defer file.Close()
	return c.client().Submit(ctx, c.idempotencyKey, settings, file)
}

// jobStatus prints the state of a job.
type jobStatus struct {
	jobFlags
	wait bool
}

// Name implements subcommands.Command.
func (*jobStatus) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*jobStatus) Synopsis() string { return "show a job" }

// Usage implements subcommands.Command.
func (*jobStatus) Usage() string { return "status [flags] ID\n" }

// SetFlags implements subcommands.Command.
func (c *jobStatus) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.BoolVar(&c.wait, "wait", false, "wait for the end of the job")
}

// Execute implements subcommands.Command.
func (c *jobStatus) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage(c.Usage())
	}
	fetch := c.client().Status
	if c.wait {
		fetch = c.jobFlags.wait
	}
	job, err := fetch(ctx, f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	return c.print(job)
}

// jobResults prints the results of a job.
type jobResults struct {
	jobFlags
	from int
	wait bool
}

// Name implements subcommands.Command.
func (*jobResults) Name() string { return "results" }

// Synopsis implements subcommands.Command.
func (*jobResults) Synopsis() string { return "print the results of a job as JSONL" }

// Usage implements subcommands.Command.
func (*jobResults) Usage() string { return "results [flags] ID\n" }

// SetFlags implements subcommands.Command.
func (c *jobResults) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.IntVar(&c.from, "from", 0, "`number` of the first item, counted from 0")
	f.BoolVar(&c.wait, "wait", false, "wait for the end of the job first")
}

// Execute implements subcommands.Command.
func (c *jobResults) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage(c.Usage())
	}
	if c.wait {
		if _, err := c.jobFlags.wait(ctx, f.Arg(0)); err != nil {
			return c.fail(err)
		}
	}
	next, err := c.client().Results(ctx, f.Arg(0), c.from, c.stdout)
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.stderr, "next item: %d\n", next)
	return subcommands.ExitSuccess
}

// jobCancel cancels a job.
type jobCancel struct{ jobFlags }

// Name implements subcommands.Command.
func (*jobCancel) Name() string { return "cancel" }

// Synopsis implements subcommands.Command.
func (*jobCancel) Synopsis() string { return "cancel a job" }

// Usage implements subcommands.Command.
func (*jobCancel) Usage() string { return "cancel [flags] ID\n" }

// SetFlags implements subcommands.Command.
func (c *jobCancel) SetFlags(f *flag.FlagSet) { c.register(f) }

// Execute implements subcommands.Command.
func (c *jobCancel) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage(c.Usage())
	}
	job, err := c.client().Cancel(ctx, f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	return c.print(job)
}

// jobList lists jobs.
type jobList struct {
	jobFlags
	after string
	limit int
}

// Name implements subcommands.Command.
func (*jobList) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (*jobList) Synopsis() string { return "list jobs, the newest first" }

// Usage implements subcommands.Command.
func (*jobList) Usage() string { return "list [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *jobList) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.StringVar(&c.after, "after", "", "`id` of the last job of the page before")
	f.IntVar(&c.limit, "limit", 20, "the most jobs to list")
}

// Execute implements subcommands.Command.
func (c *jobList) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.usage(c.Usage())
	}
	page, err := c.client().List(ctx, c.after, c.limit)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.printJSON(page)
	}
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tSTATE\tITEMS\tCREATED\tDEADLINE\tKEY")
	for _, job := range page.Data {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", job.ID, job.State, job.Counts.Total,
			job.CreatedAt.Format(time.RFC3339), job.Deadline.Format(time.RFC3339), job.Key)
	}
	if err := table.Flush(); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}
