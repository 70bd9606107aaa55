package quota

import (
	"testing"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// ownRing returns a ring in which m owns all shares, with another possible owner if two is set.
func ownRing(now time.Duration, grants, two, startsEmpty bool) *Ring {
	r := &Ring{self: "m", possible: []ringMember{{name: "m"}}, startsEmpty: startsEmpty}
	if two {
		r.possible = append(r.possible, ringMember{name: "z"})
	}
	if grants {
		r.grantsUntil = now + ringTTL
	}
	return r
}

// TestChangesOfTheRingAddNoTokens guards against buckets that are filled each time that the
// owner loses its lease or the members change.
func TestChangesOfTheRingAddNoTokens(t *testing.T) {
	limit, bounds := contract.RateLimit{PerSecond: 4, Burst: 40}, Bounds{5 * time.Second, 0.1, 20}
	for name, change := range map[string]func(o *owner, now time.Duration){
		"lease lost and held again": func(o *owner, now time.Duration) {
			o.setRing(ownRing(now, false, false, false), now)
			o.setRing(ownRing(now, true, false, false), now)
		},
		"share lost and owned again": func(o *owner, now time.Duration) {
			o.setRing(&Ring{self: "m", grantsUntil: now + ringTTL}, now)
			o.setRing(ownRing(now, true, false, false), now)
		},
		"member added": func(o *owner, now time.Duration) { o.setRing(ownRing(now, true, true, false), now) },
	} {
		t.Run(name, func(t *testing.T) {
			o := &owner{bounds: bounds, buckets: map[shareKey]*bucket{}}
			now := time.Hour
			o.setRing(ownRing(now, true, false, false), now)
			granted := 0
			for range 20 {
				granted += o.grant("a", 0, 100, limit, now).Tokens
				change(o, now)
			}
			if granted == 0 || granted > 10 {
				t.Errorf("one share granted %d tokens at once, its burst is 10", granted)
			}
		})
	}
}

// TestRestartInQuickSuccessionBeginsEmpty guards against a process that fills its buckets when
// the members change, though its predecessor has filled them within the window.
func TestRestartInQuickSuccessionBeginsEmpty(t *testing.T) {
	limit, bounds := contract.RateLimit{PerSecond: 4, Burst: 40}, Bounds{5 * time.Second, 0.1, 20}
	o := &owner{bounds: bounds, buckets: map[shareKey]*bucket{}}
	now := time.Hour
	o.setRing(ownRing(now, true, false, true), now)
	o.setRing(ownRing(now, true, true, true), now)
	if g := o.grant("a", 0, 100, limit, now); g.Tokens != 0 {
		t.Errorf("granted %d tokens", g.Tokens)
	}
	now += bounds.granting() + clockMargin
	o.setRing(ownRing(now, true, false, true), now)
	if g := o.grant("b", 0, 100, limit, now); g.Tokens == 0 {
		t.Error("an account that was not used has no tokens after the time of the restart")
	}
}

// TestTokensOfTheStock guards against tokens that are used twice, live too long or never end.
func TestTokensOfTheStock(t *testing.T) {
	var s stock
	s.add(0, 0, 0)
	if _, ok := s.take(0); ok {
		t.Error("a grant of no tokens gave one")
	}
	s.add(2, 0, 0)
	expiresAt, ok := s.take(time.Millisecond)
	s.giveBack(expiresAt, 2*time.Millisecond)
	if !ok || expiresAt != grantTTL || s.held() != 2 {
		t.Errorf("%v, %v, %d tokens held after one was given back", expiresAt, ok, s.held())
	}
	s.giveBack(expiresAt, grantTTL)
	if _, ok := s.take(grantTTL); ok || s.expired != 2 {
		t.Errorf("took a token after its time: %v, %d expired", ok, s.expired)
	}
	s.add(3, grantTTL, grantTTL)
	s.drop()
	if _, ok := s.take(grantTTL); ok || s.expired != 5 {
		t.Errorf("took a token of a limit that was lowered: %v, %d expired", ok, s.expired)
	}
}
