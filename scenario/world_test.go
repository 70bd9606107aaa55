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
	// pollInterval spaces the looks of a command that waits for a condition.
	pollInterval = 20 * time.Millisecond
	// patience ends a wait for a condition that does not come to hold, so that
	// the script fails with what was seen last.
	patience = 2 * time.Minute
)

// world is the processes and callers of one script.
type world struct {
	ip  string
	dir string

	processes map[string]*process
	streams   map[string]*openStream
	crowds    map[string]*crowd
}

type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func newWorld(ip, dir string) *world {
	return &world{
		ip:        ip,
		dir:       dir,
		processes: map[string]*process{},
		streams:   map[string]*openStream{},
		crowds:    map[string]*crowd{},
	}
}

// close kills what the script has left running.
func (w *world) close() {
	for _, c := range w.crowds {
		c.stop()
	}
	for _, p := range w.processes {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// start NAME PROGRAM [ARG...] starts a process; its output goes to NAME.log.
func (w *world) start(ts *testscript.TestScript, args []string) error {
	name := args[0]
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	path, err := exec.LookPath(args[1])
	if err != nil {
		return err
	}
	p := &process{cmd: exec.Command(path, args[2:]...), ended: make(chan struct{})}
	p.cmd.Dir = w.dir
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	w.processes[name] = p
	return nil
}

// signal NAME TERM|KILL|STOP|CONT sends a signal.
func (w *world) signal(ts *testscript.TestScript, args []string) error {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	return w.processes[args[0]].cmd.Process.Signal(signals[args[1]])
}

// await NAME [STATUS] waits for the end of a process.
func (w *world) await(ts *testscript.TestScript, args []string) error {
	p := w.processes[args[0]]
	<-p.ended
	if len(args) > 1 {
		if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
			log, _ := os.ReadFile(filepath.Join(w.dir, args[0]+".log"))
			return fmt.Errorf("exit status %s, want %s; log:\n%s", got, args[1], log)
		}
	}
	return nil
}

// until REGEXP COMMAND... repeats a program or http until its output matches.
func until(ts *testscript.TestScript, neg bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	want := regexp.MustCompile(args[0])
	out := ""
	for end := time.Now().Add(limit()); time.Now().Before(end); time.Sleep(pollInterval) {
		out = w.output(ts, args[1:])
		if want.MatchString(out) != neg {
			return
		}
	}
	ts.Fatalf("the condition does not hold; last output:\n%s", out)
}

// limit is patience, or what SCENARIO_PATIENCE names, for work on a script.
func limit() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("SCENARIO_PATIENCE")); err == nil {
		return d
	}
	return patience
}

// output runs a program or the http command and returns all that it printed.
func (w *world) output(ts *testscript.TestScript, args []string) string {
	if args[0] == "http" {
		out, err := w.http(ts, args[1:])
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

// httpCommand METHOD URL [KEY [BODY [HEADER: VALUE...]]] prints status and body.
func httpCommand(ts *testscript.TestScript, neg bool, args []string) {
	out, err := ts.Value(worldKey{}).(*world).http(ts, args)
	if neg {
		if err == nil {
			ts.Fatalf("answered: %s", out)
		}
		return
	}
	ts.Check(err)
	fmt.Fprint(ts.Stdout(), out)
}

func (w *world) http(ts *testscript.TestScript, args []string) (string, error) {
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
