package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// cases are the scripts by the number of their folder. Each reports whether the rule was
// broken.
var cases = map[string]func(*world) (bool, error){
	"config": caseConfig, "overdue": caseOverdue, "drain": caseDrain, "crash": caseCrash, "flap": caseFlap,
}

// main plays the case of its first argument and writes record.txt into the folder of its
// second one. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) == 7 && os.Args[1] == "worker" {
		slots, _ := strconv.Atoi(os.Args[3])
		first, _ := time.ParseDuration(os.Args[5])
		interval, _ := time.ParseDuration(os.Args[6])
		return serveWorker(os.Args[2], slots, os.Args[4] == "true", first, interval)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return 2
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w)
	if err != nil {
		w.logf("not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken {
		w.logf("the rule was broken")
		return 1
	}
	w.logf("the rule held")
	return 0
}
