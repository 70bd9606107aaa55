// Command review3 runs the scripts of the third review: the store and the callers in this
// process, the workers and the daemons as processes of their own. All addresses are loopback
// addresses. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name.
var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		os.Exit(runWorker(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns the exit code.
func runCase(name, recordPath string) int {
	w, err := newWorld(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		w.close()
		os.Exit(exitNotRun)
	}()
	w.record("case %s, trouble %v", name, w.trouble)
	if err := cases[name](w); err != nil {
		w.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range w.broken {
		w.record("BROKEN %s", b)
	}
	w.record("%d times broken", len(w.broken))
	fmt.Printf("%s: trouble %v, broken %d times\n", name, w.trouble, len(w.broken))
	if len(w.broken) > 0 {
		fmt.Println(w.broken[0])
		return exitBroken
	}
	return exitHeld
}
