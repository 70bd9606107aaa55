package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDelayStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Backoff{Min: time.Millisecond, Max: time.Second}
		attempt := rapid.IntRange(0, 1000).Draw(t, "attempt")
		if delay := b.Delay(attempt); delay < 0 || delay >= b.Max {
			t.Fatalf("attempt %d has a delay of %v, want at least 0 and less than Max", attempt, delay)
		}
	})
}

func TestBudgetBoundsRetriesToShare(t *testing.T) {
	const share, reserve = 0.1, 5
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(share, reserve)
		firsts, retries := 0, 0
		for _, first := range rapid.SliceOf(rapid.Bool()).Draw(t, "attempts") {
			if first {
				b.Earn()
				firsts++
			} else if b.Spend() {
				retries++
			}
		}
		if float64(retries) > reserve+share*float64(firsts)+1e-9 {
			t.Fatalf("%d retries for %d first attempts, over the reserve and the share", retries, firsts)
		}
	})
}
