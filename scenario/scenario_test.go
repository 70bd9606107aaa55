// Package scenario runs scripted failures against real processes of the
// project: stand-ins, several instances and the command line, each started by
// its own command on loopback addresses of the script's own.
package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs are built once for all scripts.
var programs = []string{"daisylb", "daisylbd", "standin"}

// scripts numbers the scripts of one run, so that each has its own addresses.
var scripts atomic.Int32

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	bin, err := os.MkdirTemp("", "daisylb-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(bin)
	for _, p := range programs {
		build := exec.Command("go", "build", "-o", filepath.Join(bin, p), "../cmd/"+p)
		if text, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", p, err, text)
			return 1
		}
	}
	os.Setenv("PATH", bin+string(os.PathListSeparator)+os.Getenv("PATH"))
	return m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			pid := os.Getpid()
			ip := fmt.Sprintf("127.%d.%d.%d", 100+pid>>8&0x7f, pid&0xff, scripts.Add(1))
			w := newWorld(ip, e.WorkDir)
			e.Values[worldKey{}] = w
			e.Setenv("IP", ip)
			e.Setenv("PATH", os.Getenv("PATH"))
			e.Setenv("DAISYLB_OPERATOR_KEY", operatorKey)
			e.Setenv("DAISYLB_KEY", callerKey)
			e.Defer(w.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deploy":   command((*world).deploy),
			"start":    command((*world).start),
			"signal":   command((*world).signal),
			"await":    command((*world).await),
			"until":    until,
			"http":     httpCommand,
			"stream":   command((*world).stream),
			"whole":    command((*world).whole),
			"callers":  command((*world).callers),
			"served":   command((*world).served),
			"items":    command((*world).items),
			"submit":   command((*world).submit),
			"progress": command((*world).progress),
			"complete": command((*world).complete),
			"once":     command((*world).once),
			"chaos":    command((*world).chaos),
		},
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}

type worldKey struct{}

// command adapts a method of the world that takes arguments and may fail.
func command(f func(w *world, ts *testscript.TestScript, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts.Value(worldKey{}).(*world), ts, args)
		if neg {
			if err == nil {
				ts.Fatalf("succeeded")
			}
			return
		}
		ts.Check(err)
	}
}
