package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// pollInterval is the time between two checks of a condition that a command
	// waits for.
	pollInterval = 20 * time.Millisecond
	// defaultWaitTimeout bounds the wait for a condition, so that the script fails
	// and shows the last output.
	defaultWaitTimeout = 2 * time.Minute
)

// environment holds the processes, streams and callers of one script.
type environment struct {
	ip  string
	dir string

	processes    map[string]*process
	streams      map[string]*openStream
	callerGroups map[string]*callerGroup
}

type process struct {
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func newEnvironment(ip, dir string) *environment {
	return &environment{
		ip:           ip,
		dir:          dir,
		processes:    map[string]*process{},
		streams:      map[string]*openStream{},
		callerGroups: map[string]*callerGroup{},
	}
}

// close stops the callers and kills the processes that the script has left running.
func (env *environment) close() {
	for _, c := range env.callerGroups {
		c.stop()
	}
	for _, p := range env.processes {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// start implements the script command
//
//	start NAME PROGRAM [ARG...]
//
// It starts a process and appends its output to NAME.log.
func (env *environment) start(ts *testscript.TestScript, args []string) error {
	name := args[0]
	log, err := os.OpenFile(filepath.Join(env.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	path, err := exec.LookPath(args[1])
	if err != nil {
		return err
	}
	p := &process{cmd: exec.Command(path, args[2:]...), ended: make(chan struct{})}
	p.cmd.Dir = env.dir
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	env.processes[name] = p
	return nil
}

// signal implements the script command
//
//	signal NAME TERM|KILL|STOP|CONT
//
// It sends a signal to a process.
func (env *environment) signal(ts *testscript.TestScript, args []string) error {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	return env.processes[args[0]].cmd.Process.Signal(signals[args[1]])
}

// await implements the script command
//
//	await NAME [STATUS]
//
// It waits for the end of a process and, when STATUS is given, checks its exit status.
func (env *environment) await(ts *testscript.TestScript, args []string) error {
	p := env.processes[args[0]]
	<-p.ended
	if len(args) > 1 {
		if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
			log, _ := os.ReadFile(filepath.Join(env.dir, args[0]+".log"))
			return fmt.Errorf("exit status %s, want %s; log:\n%s", got, args[1], log)
		}
	}
	return nil
}

// until implements the script command
//
//	until REGEXP COMMAND...
//
// It repeats a program or the http command until its output matches or, when negated
// with "!", does not match.
func until(ts *testscript.TestScript, neg bool, args []string) {
	env := ts.Value(environmentKey{}).(*environment)
	want := regexp.MustCompile(args[0])
	out := ""
	for deadline := time.Now().Add(waitTimeout()); time.Now().Before(deadline); time.Sleep(pollInterval) {
		out = env.output(ts, args[1:])
		if want.MatchString(out) != neg {
			return
		}
	}
	ts.Fatalf("the condition does not hold; last output:\n%s", out)
}

// waitTimeout returns the time that a command waits for a condition:
// defaultWaitTimeout, or the duration in the environment variable SCENARIO_PATIENCE,
// which is useful while writing a script.
func waitTimeout() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("SCENARIO_PATIENCE")); err == nil {
		return d
	}
	return defaultWaitTimeout
}

// output runs a program or the http command and returns its output, with the error
// when it fails.
func (env *environment) output(ts *testscript.TestScript, args []string) string {
	if args[0] == "http" {
		out, err := env.http(ts, args[1:])
		if err != nil {
			return err.Error()
		}
		return out
	}
	if err := ts.Exec(args[0], args[1:]...); err != nil {
		return ts.ReadFile("stdout") + ts.ReadFile("stderr") + err.Error()
	}
	return ts.ReadFile("stdout") + ts.ReadFile("stderr")
}

// httpCommand implements the script command
//
//	http METHOD URL [KEY [BODY [HEADER:VALUE...]]]
//
// It sends a request and prints the status and the body of the response. A BODY of
// @FILE is read from the file.
func httpCommand(ts *testscript.TestScript, neg bool, args []string) {
	out, err := ts.Value(environmentKey{}).(*environment).http(ts, args)
	if neg {
		if err == nil {
			ts.Fatalf("answered: %s", out)
		}
		return
	}
	ts.Check(err)
	fmt.Fprint(ts.Stdout(), out)
}

// http sends a request with the arguments of httpCommand and returns the status and
// the body.
func (env *environment) http(ts *testscript.TestScript, args []string) (string, error) {
	body := ""
	if len(args) > 3 {
		body = args[3]
		if file, ok := strings.CutPrefix(body, "@"); ok {
			body = ts.ReadFile(file)
		}
	}
	r, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	if err != nil {
		return "", err
	}
	if len(args) > 2 && args[2] != "" {
		r.Header.Set("Authorization", "Bearer "+args[2])
	}
	for _, h := range args[min(len(args), 4):] {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, strings.TrimSpace(value))
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d\n%s\n", response.StatusCode, bytes.TrimSpace(text)), err
}

var errUsage = errors.New("wrong number of arguments")
