package main

import (
	"fmt"
	"net/http"

	"time"
)

func init() {
	cases["empty"] = playEmpty
}

// playEmpty runs a job whose workers begin each answer with an event that has no text, as
// servers of models do that send the first event before the first text.
func playEmpty(w *world, trouble bool) ([]string, error) {
	s := shape{slots: 8, events: 20, interval: 20 * time.Millisecond}
	if trouble {
		s.data = func(request string, n int) string {
			if n == 1 {
				return ""
			}
			return fmt.Sprintf("%s-%d", request, n)
		}
	}
	return w.playTexts(s, 8)
}

// playTexts runs a job and compares its texts with the whole outputs of its items.
func (w *world) playTexts(s shape, count int) ([]string, error) {
	if err := w.startAll(3, 4, s); err != nil {
		return nil, err
	}
	const job = "7c41e09b52d60000"
	sent := newItems(job, count)
	if status := w.submit(w.instances[0], job, sent); status != http.StatusAccepted {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	_, results := w.follow(job, nil, time.Now().Add(20*time.Second))
	broken := w.unlisted(job, sent, results)
	for _, r := range results {
		if whole := s.text(r.ID); r.State != "succeeded" || r.Text != whole {
			broken = append(broken, fmt.Sprintf("MIXED: item %s is %s with a text of %d bytes that begins with %.30q; its whole output has %d bytes and begins with %.30q",
				r.ID, r.State, len(r.Text), r.Text, len(whole), whole))
		}
	}
	return broken, nil
}
