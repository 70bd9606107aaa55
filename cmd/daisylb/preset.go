package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/config"
	"github.com/daisylb/daisylb/contract"
)

// presetList prints all presets.
type presetList struct{ json bool }

func (*presetList) Name() string     { return "list" }
func (*presetList) Synopsis() string { return "print the presets and the one in force" }
func (*presetList) Usage() string    { return "preset list [-json]\n" }

// SetFlags implements subcommands.Command.
func (c *presetList) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

// Execute implements subcommands.Command.
func (c *presetList) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	list, err := o.config().Presets(ctx)
	if err != nil {
		return o.fail(err)
	}
	return o.print(c.json, list, func(w io.Writer) { printPresets(w, list) })
}

func printPresets(w io.Writer, list config.PresetList) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PRESET\tIN FORCE\tDESCRIPTION")
	for _, name := range slices.Sorted(maps.Keys(list.Presets)) {
		inForce := ""
		if name == list.Active {
			inForce = "yes"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", name, inForce, list.Presets[name].Description)
	}
	_ = t.Flush()
}

// presetShow prints one preset.
type presetShow struct{ json bool }

// namedPreset is the output of preset show.
type namedPreset struct {
	Name    string          `json:"name"`
	InForce bool            `json:"in_force"`
	Version uint64          `json:"version"`
	Preset  contract.Preset `json:"preset"`
}

func (*presetShow) Name() string     { return "show" }
func (*presetShow) Synopsis() string { return "print one preset, by default the one in force" }
func (*presetShow) Usage() string    { return "preset show [-json] [NAME]\n" }

// SetFlags implements subcommands.Command.
func (c *presetShow) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

// Execute implements subcommands.Command.
func (c *presetShow) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	list, err := o.config().Presets(ctx)
	if err != nil {
		return o.fail(err)
	}
	name := list.Active
	if f.NArg() > 0 {
		name = f.Arg(0)
	}
	p, ok := list.Presets[name]
	if !ok {
		return o.fail(code.New(code.UnknownPreset, "no preset %q", name))
	}
	shown := namedPreset{name, name == list.Active, list.Version, p}
	return o.print(c.json, shown, func(w io.Writer) { printPreset(w, shown) })
}

func printPreset(w io.Writer, p namedPreset) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "preset\t%s\n", p.Name)
	fmt.Fprintf(t, "in force\t%t (version %d)\n", p.InForce, p.Version)
	fmt.Fprintf(t, "description\t%s\n", p.Preset.Description)
	fmt.Fprintf(t, "batch share\t%g\n", p.Preset.BatchShare)
	fmt.Fprintf(t, "headroom slots\t%d\n", p.Preset.HeadroomSlots)
	fmt.Fprintf(t, "admit online\t%t\n", p.Preset.AdmitOnline)
	fmt.Fprintf(t, "hedge share\t%g\n", p.Preset.HedgeShare)
	_ = t.Flush()
}

// presetSwitch puts another preset in force on all instances.
type presetSwitch struct{ changeFlags }

func (*presetSwitch) Name() string     { return "switch" }
func (*presetSwitch) Synopsis() string { return "put another preset in force everywhere" }
func (*presetSwitch) Usage() string {
	return `preset switch [-id ID] [-note TEXT] [-json] NAME
  Exits with 2 for an unknown preset, 3 when another change was accepted first,
  4 when the outcome is not known.
`
}

// SetFlags implements subcommands.Command.
func (c *presetSwitch) SetFlags(f *flag.FlagSet) { c.register(f) }

// Execute implements subcommands.Command.
func (c *presetSwitch) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := operatorOf(args)
	if f.NArg() != 1 {
		fmt.Fprint(o.stderr(), c.Usage())
		return subcommands.ExitUsageError
	}
	list, err := o.config().Presets(ctx)
	if err != nil {
		return o.fail(err)
	}
	a, err := o.config().SwitchPreset(ctx, config.SwitchRequest{ID: c.ensureID(), BaseVersion: list.Version, Preset: f.Arg(0), Note: c.note})
	return c.report(o, a, err)
}
