// Package scenario runs scripts of failures against real processes: the stand-ins,
// several instances and the command line. Each script uses a loopback address of its
// own.
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

// programs are the commands that are built once for all scripts.
var programs = []string{"daisylb", "daisylbd", "standin"}

// scriptCount numbers the scripts of one run, so that each has its own IP address.
var scriptCount atomic.Int32

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
			ip := fmt.Sprintf("127.%d.%d.%d", 100+pid>>8&0x7f, pid&0xff, scriptCount.Add(1))
			env := newEnvironment(ip, e.WorkDir)
			e.Values[environmentKey{}] = env
			e.Setenv("IP", ip)
			e.Setenv("PATH", os.Getenv("PATH"))
			e.Setenv("DAISYLB_OPERATOR_KEY", operatorKey)
			e.Setenv("DAISYLB_KEY", callerKey)
			e.Defer(env.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deploy":   command((*environment).deploy),
			"start":    command((*environment).start),
			"signal":   command((*environment).signal),
			"await":    command((*environment).await),
			"until":    until,
			"http":     httpCommand,
			"stream":   command((*environment).stream),
			"whole":    command((*environment).whole),
			"callers":  command((*environment).callers),
			"served":   command((*environment).served),
			"items":    command((*environment).items),
			"submit":   command((*environment).submit),
			"progress": command((*environment).progress),
			"complete": command((*environment).complete),
			"once":     command((*environment).once),
			"chaos":    command((*environment).chaos),
		},
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}

// environmentKey is the key of the environment in testscript.Env.Values.
type environmentKey struct{}

// command adapts a method of environment to a script command. A command that is
// negated with "!" must fail.
func command(f func(env *environment, ts *testscript.TestScript, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts.Value(environmentKey{}).(*environment), ts, args)
		if neg {
			if err == nil {
				ts.Fatalf("succeeded")
			}
			return
		}
		ts.Check(err)
	}
}
