package main

import (
	"flag"
	"fmt"
	"io"

	"github.com/daisylb/daisylb/platform"
	"github.com/daisylb/daisylb/settings"
)

// isRoutingFile reports whether a file is JSON with routes or client accounts, which the
// product's own document does not have.
func isRoutingFile(name string) bool {
	data, err := settings.ReadFile(name, settings.MaxDocumentBytes)
	if err != nil {
		return false
	}
	return platform.IsRouting(data)
}

// checkRoutingFile checks a routing document, and compares it with that in the file inForce
// unless inForce is "".
func checkRoutingFile(name, inForce string) (*platform.RoutingCheck, error) {
	data, err := settings.ReadFile(name, settings.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	var old []byte
	if inForce != "" {
		if old, err = settings.ReadFile(inForce, settings.MaxDocumentBytes); err != nil {
			return nil, err
		}
	}
	check := platform.CheckRouting(data, old)
	return &check, nil
}

// printRouting prints the findings of a check, one a line.
func printRouting(w io.Writer, file string, c *platform.RoutingCheck) {
	for _, group := range []struct {
		title    string
		findings []platform.Finding
	}{
		{"error", c.Errors}, {"never used", c.Unused}, {"contradiction", c.Contradictions}, {"difference", c.Differences},
	} {
		for _, f := range group.findings {
			fmt.Fprintf(w, "%s: %s: %s\n", file, group.title, f)
		}
	}
}

// parseMixed returns the arguments that are not flags. It also accepts flags after them.
func parseMixed(f *flag.FlagSet) (files []string, err error) {
	rest := f.Args()
	for len(rest) > 0 {
		files = append(files, rest[0])
		if err := f.Parse(rest[1:]); err != nil {
			return nil, err
		}
		rest = f.Args()
	}
	return files, nil
}
