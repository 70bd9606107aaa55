package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// TestSplitStaysWithinTheBounds guards against shares that together grant more than a window
// allows, or less than a token at a time, for any window, overage and slack.
func TestSplitStaysWithinTheBounds(t *testing.T) {
	for _, window := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second, time.Minute, time.Hour} {
		for _, overage := range []float64{0, 0.001, 0.1, 1} {
			for _, slack := range []float64{0, 0.5, 1, 3, 20} {
				for _, rate := range []float64{0.01, 0.5, 1, 20, 157, 5000} {
					for _, burst := range []float64{0, 0.5, 1, 3, 4, 20, 1000} {
						b, limit := Bounds{window, overage, slack}, contract.RateLimit{PerSecond: rate, Burst: burst}
						checkSplit(t, b, limit)
					}
				}
			}
		}
	}
}

func checkSplit(t *testing.T, b Bounds, limit contract.RateLimit) {
	t.Helper()
	s := Split(limit, b)
	name := fmt.Sprintf("%+v with %+v: %+v", limit, b, s)
	allowed := (limit.PerSecond*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
	most := float64(s.Count) * (s.Burst + s.Initial*b.refills() + s.PerSecond*b.granting().Seconds())
	if most > allowed+1e-6 {
		t.Errorf("%s grants %g in a window, which allows %g", name, most, allowed)
	}
	if allowed >= 1 && (s.Burst < 1 || s.PerSecond < 0) || s.Count < 1 || s.Initial < 0 || s.Initial > s.Burst {
		t.Errorf("%s has no usable burst", name)
	}
	burst := max(limit.Burst/float64(s.Count), 1)
	if float64(s.Count)*s.PerSecond > limit.PerSecond*(1+1e-9) || s.Burst > burst+maxUnevenness(burst) {
		t.Errorf("%s is over the limit", name)
	}
}

// TestSplit guards against a limit whose rate or number of shares is lowered without need.
func TestSplit(t *testing.T) {
	desk := Bounds{5 * time.Second, 0.1, 20}
	for name, c := range map[string]struct {
		bounds Bounds
		limit  contract.RateLimit
		want   Shares
	}{
		"large account":                 {desk, contract.RateLimit{PerSecond: 100, Burst: 40}, Shares{4, 25, 12.5, 8.5}},
		"small account":                 {desk, contract.RateLimit{PerSecond: 1, Burst: 2}, Shares{4, 0.25, 2, 2}},
		"burst reduced, not rate":       {Bounds{5 * time.Second, 0, 0}, contract.RateLimit{PerSecond: 10, Burst: 8}, Shares{4, 2.5, 1.25, 0}},
		"initial tokens for 21 refills": {Bounds{time.Minute, 0.1, 20}, contract.RateLimit{PerSecond: 10, Burst: 40}, Shares{4, 2.5, 12.5, 17.75 / 21}},
		"fewer shares":                  {Bounds{5 * time.Second, 0, 0}, contract.RateLimit{PerSecond: 10, Burst: 5}, Shares{2, 5, 1, 0}},
		"no room for the delay":         {Bounds{4700 * time.Millisecond, 0, 0}, contract.RateLimit{PerSecond: 10, Burst: 4}, Shares{1, 10, 1, 0}},
		"rate reduced":                  {Bounds{4700 * time.Millisecond, 0, 0}, contract.RateLimit{PerSecond: 100, Burst: 6}, Shares{1, 95, 1, 0}},
		"less than one in a window":     {Bounds{5 * time.Second, 0, 0}, contract.RateLimit{PerSecond: 0.1}, Shares{Count: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			got := Split(c.limit, c.bounds)
			for _, x := range [][2]float64{{got.PerSecond, c.want.PerSecond}, {got.Burst, c.want.Burst}, {got.Initial, c.want.Initial}} {
				if d := x[0] - x[1]; got.Count != c.want.Count || d > 1e-6 || d < -1e-6 {
					t.Errorf("%+v, want %+v", got, c.want)
					break
				}
			}
		})
	}
}

// TestBucketOfALoweredLimit guards against tokens of the old limit that stay in a bucket.
func TestBucketOfALoweredLimit(t *testing.T) {
	b := bucket{tokens: 100}
	if granted, _ := b.take(Shares{1, 1, 2, 0}, 50, time.Second); granted != 2 {
		t.Errorf("granted %d, want the new burst of 2", granted)
	}
}

// TestDenialIsNeverImmediate guards against an instance that asks its own share again and again
// under the lock, since the bucket is a rounding error short of a token.
func TestDenialIsNeverImmediate(t *testing.T) {
	b := bucket{tokens: 1 - 1e-12, updatedAt: time.Hour}
	if granted, wait := b.take(Shares{1, 100, 1, 0}, 1, time.Hour); granted != 0 || wait < minDenial {
		t.Errorf("granted %d, wait %v", granted, wait)
	}
}
