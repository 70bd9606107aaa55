package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/daemon"
	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/settings"
	"github.com/daisylb/daisylb/standin"
)

// configCommands returns the command groups config and preset.
func configCommands() []subcommands.Command {
	return []subcommands.Command{
		&commandGroup{"config", "check, apply and read the configuration", []subcommands.Command{
			&configCheck{}, &configApply{}, &configShow{}, &configHistory{},
		}},
		&commandGroup{"preset", "read and switch the preset", []subcommands.Command{
			&presetList{}, &presetShow{}, &presetSwitch{},
		}},
	}
}

// configCheck checks files locally, without contacting an instance.
type configCheck struct {
	kind    string
	inForce string
	json    bool
}

// File kinds that configCheck accepts.
const (
	kindDocument = "document"
	kindInstance = "instance"
	kindStandIn  = "standin"
	// kindRouting is the operator's document of the users' platform.
	kindRouting = "routing"
)

// checkResult is the result of checking one file.
type checkResult struct {
	File   string          `json:"file"`
	Faults settings.Faults `json:"faults,omitempty"`
	// Error is set when the file could not be read or the check failed without a
	// list of faults.
	Error string `json:"error,omitempty"`
	// Routing is set for a routing document that could be read.
	Routing *platform.RoutingCheck `json:"routing,omitempty"`
}

func (c *configCheck) check(name string) checkResult {
	r := checkResult{File: name}
	kind := c.kind
	if c.inForce != "" || kind == "" && isRoutingFile(name) {
		kind = kindRouting
	}
	var err error
	if kind == kindRouting {
		r.Routing, err = checkRoutingFile(name, c.inForce)
	} else {
		err = checkFile(kind, name)
	}
	if err != nil && !errors.As(err, &r.Faults) {
		r.Error = err.Error()
	}
	return r
}

func checkFile(kind, name string) error {
	switch kind {
	case kindInstance:
		_, err := daemon.Load(name)
		return err
	case kindStandIn:
		_, err := standin.Load(name)
		return err
	}
	_, err := readDocument(name)
	return err
}

func (r checkResult) valid() bool {
	return len(r.Faults) == 0 && r.Error == "" && (r.Routing == nil || len(r.Routing.Errors) == 0)
}

func (*configCheck) Name() string { return "check" }
func (*configCheck) Synopsis() string {
	return "check documents and settings files and list every fault"
}
func (*configCheck) Usage() string {
	return `config check [-kind document|instance|standin|routing] [-json] FILE...
config check FILE [-in-force FILE] [-json]
  Without -kind, a file with routes is the operator's document of the users' platform.
  Of that, it also lists entries that nothing can use, limits that contradict each
  other, and the differences from the version in force. Exits with 2 when a file has
  faults.
`
}

// SetFlags implements subcommands.Command.
func (c *configCheck) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "", "what the files are: document, instance, standin or routing; default by their fields")
	f.StringVar(&c.inForce, "in-force", "", "routing document to compare with")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *configCheck) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	known := []string{"", kindDocument, kindInstance, kindStandIn, kindRouting}
	files, err := parseMixed(f)
	if err != nil || len(files) == 0 || !slices.Contains(known, c.kind) {
		fmt.Fprint(o.stderr(), c.Usage())
		return subcommands.ExitUsageError
	}
	if c.inForce != "" && (len(files) != 1 || c.kind != "" && c.kind != kindRouting) {
		fmt.Fprint(o.stderr(), c.Usage())
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	results := make([]checkResult, 0, len(files))
	for _, name := range files {
		r := c.check(name)
		results = append(results, r)
		if !r.valid() {
			status = exitSettings
		}
	}
	if printed := o.print(c.json, results, func(w io.Writer) { printChecked(w, results) }); printed != subcommands.ExitSuccess {
		return printed
	}
	return status
}

func printChecked(w io.Writer, results []checkResult) {
	for _, r := range results {
		switch {
		case r.valid():
			fmt.Fprintf(w, "%s: valid\n", r.File)
		case r.Error != "":
			fmt.Fprintln(w, r.Error)
		case r.Routing == nil:
			fmt.Fprintln(w, r.Faults)
		}
		if r.Routing != nil {
			printRouting(w, r.File, r.Routing)
		}
	}
}

func readDocument(name string) (*contract.Document, error) {
	data, err := settings.ReadFile(name, settings.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	return config.ParseDocument(name, data)
}

// configApply changes the configuration in force to match a document.
type configApply struct{ changeFlags }

func (*configApply) Name() string     { return "apply" }
func (*configApply) Synopsis() string { return "bring the system to a document by one change" }
func (*configApply) Usage() string {
	return `config apply [-id ID] [-note TEXT] [-json] FILE
  Checks the document and applies its difference to the configuration in force.
  A document that names a version is applied only to that version.
  Exits with 2 for faults, 3 when another change was accepted first, 4 when the
  outcome is not known.
`
}

// SetFlags implements subcommands.Command.
func (c *configApply) SetFlags(f *flag.FlagSet) { c.register(f) }

// Execute implements subcommands.Command.
func (c *configApply) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	if f.NArg() != 1 {
		fmt.Fprint(o.stderr(), c.Usage())
		return subcommands.ExitUsageError
	}
	d, err := readDocument(f.Arg(0))
	if err != nil {
		fmt.Fprintln(o.stderr(), err)
		return exitSettings
	}
	a, err := config.Bootstrap(ctx, o.config(), config.Request{ID: c.ensureID(), Note: c.note}, d)
	return c.report(o, a, err)
}

// configShow prints the configuration in force.
type configShow struct{}

func (*configShow) Name() string     { return "show" }
func (*configShow) Synopsis() string { return "print the configuration in force as JSON" }
func (*configShow) Usage() string {
	return "config show [-json]\n  The output, edited, can be given to config apply.\n"
}

// SetFlags implements subcommands.Command. The flag is accepted for consistency
// with the other commands: the output is always JSON.
func (c *configShow) SetFlags(f *flag.FlagSet) { f.Bool("json", true, "print JSON") }

// Execute implements subcommands.Command.
func (c *configShow) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	d, err := o.config().Document(ctx)
	if err != nil {
		return o.fail(err)
	}
	return o.print(true, d, nil)
}

// configHistory prints the accepted changes, their authors and times, newest first.
type configHistory struct {
	before uint64
	limit  int
	json   bool
}

func (*configHistory) Name() string     { return "history" }
func (*configHistory) Synopsis() string { return "print who changed what and when, newest first" }
func (*configHistory) Usage() string {
	return "config history [-limit N] [-before VERSION] [-json]\n"
}

// SetFlags implements subcommands.Command.
func (c *configHistory) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.before, "before", 0, "print changes below this version; 0 means from the newest")
	f.IntVar(&c.limit, "limit", 20, fmt.Sprintf("number of changes, at most %d", config.MaxHistory))
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *configHistory) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	page, err := o.config().History(ctx, c.before, c.limit)
	if err != nil {
		return o.fail(err)
	}
	return o.print(c.json, page, func(w io.Writer) { printHistory(w, page) })
}

func printHistory(w io.Writer, page config.HistoryPage) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VERSION\tTIME\tAUTHOR\tCHANGE\tEDITS\tNOTE")
	for _, c := range page.Changes {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\n", c.Version, c.Time.Format(time.RFC3339), c.Author, c.ID, c.Edits, c.Note)
	}
	_ = t.Flush()
}
