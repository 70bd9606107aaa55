// Command review-case plays one case of the review: it starts instances of daisylbd as
// processes, with stand-ins of the platform's store, of workers and of clients, and
// judges what clients, workers and the store have seen. TROUBLE=0 leaves out the
// disruption. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns what broke the rule, nothing if it held.
var cases = map[string]func(w *world, trouble bool) ([]string, error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case CASE")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Getenv("TROUBLE") != "0"))
}

// longest is the longest time that a script may take.
const longest = 115 * time.Second

func play(c func(w *world, trouble bool) ([]string, error), trouble bool) int {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	// A script that is ended from outside ends what it started, and so does one that takes
	// too long.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(longest):
		}
		w.logf("ended before its time")
		w.close()
		os.Exit(2)
	}()
	w.logf("the case is played with its disruption: %v", trouble)
	broken, err := c(w, trouble)
	if err != nil {
		w.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		w.logf("BROKEN: %s", b)
		fmt.Println("BROKEN: " + b)
	}
	if len(broken) > 0 {
		return 1
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
