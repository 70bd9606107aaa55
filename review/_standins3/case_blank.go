package main

import (
	"fmt"
	"time"
)

func init() { cases["blank"] = caseBlank }

// caseBlank runs a batch job whose items' outputs begin with an event of empty data.
func caseBlank(w *world) error {
	const events, items = 20, 8
	blank := 0
	if w.trouble {
		blank = 1
	}
	for n := range 3 {
		if _, err := w.startWorker(fmt.Sprintf("w%d", n+1), "-blank", fmt.Sprint(blank), "-events", fmt.Sprint(events), "-gap", "10ms"); err != nil {
			return err
		}
	}
	w.configure(batchRoute("/sheets/"))
	if err := w.startDaemons(2); err != nil {
		return err
	}
	id := newID()
	if _, err := w.submit(w.daemons[0], "/sheets/", id, items); err != nil {
		return err
	}
	list, total := w.results(w.daemons[1], id, 20*time.Second)
	if total != items || len(list) != items {
		return fmt.Errorf("%d of %d results came", len(list), total)
	}
	for _, r := range list {
		w.record("client: result of %s: %s, %q", r.ID, r.State, r.Text)
		if want := wholeText(r.ID, events, blank); r.State == "succeeded" && r.Text != want {
			w.breaks("MIXED: the text of %s has %d bytes, the whole output %d", r.ID, len(r.Text), len(want))
		}
	}
	return nil
}
