package roster

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/route"
	"github.com/daisylb/daisylb/storage"
)

// In a large fleet rows are written so seldom that a lost member would be noticed
// late. Members that tell each other their load hear of each other many times a
// second, so one that falls silent is doubted by a few of those that heard it: a
// doubt is a row of its own, and the member answers it by writing its row. Who has
// seen a doubt that stays unanswered counts the member as lost. The time to notice
// does not grow with the fleet, and neither silence nor a doubt alone takes anybody
// off the list.

const (
	// doubtSilence is over twice the pause after which an unchanged load is told
	// again (upstream.Broadcast).
	doubtSilence = 1600 * time.Millisecond
	// doubtAnswer is how long a doubted member has. It covers its reading of the
	// feed, at most feedPause late, and its write.
	doubtAnswer = time.Second
	// doubtTurn is the time between the doubters, so that one is enough as a rule;
	// maxDoubtRank bounds how long the last ones wait.
	doubtTurn    = 100 * time.Millisecond
	maxDoubtRank = 8
	// maxDoubts bounds the doubts that one look brings.
	maxDoubts = 16
	// doubtTimeout bounds the write of a doubt.
	doubtTimeout = time.Second
	// doubtPrefix begins the key of a doubt, followed by the member's name.
	doubtPrefix = "doubt/"
)

// doubt is the row that asks a member whether it lives.
type doubt struct {
	Name string `json:"name"`
	ID   string `json:"id"`
	By   string `json:"by"`
}

// asked is a doubt as this instance sees it.
type asked struct {
	doubt
	version uint64
	// seen is when it was read.
	seen time.Time
}

// silenceLimit is how long a member is silent at the least before it can count as
// lost.
func (r *Roster) silenceLimit() time.Duration {
	limit := time.Duration(aliveIntervals * float64(r.interval()))
	if r.doubts() {
		limit = min(limit, doubtSilence+doubtAnswer)
	}
	return limit
}

// doubts reports whether the fleet is so large that rows alone tell a loss late.
func (r *Roster) doubts() bool {
	return r.options.Heard != nil && float64(r.interval())*aliveIntervals > float64(doubtSilence+doubtAnswer)
}

// takeDoubt takes in a row of a doubt and reports whether it is one. The lock is
// held.
func (r *Roster) takeDoubt(row storage.TableRow, now time.Time) bool {
	name, ok := strings.CutPrefix(row.Key, doubtPrefix)
	if !ok {
		return false
	}
	if row.Removed {
		delete(r.asked, name)
		return true
	}
	a := asked{version: row.Version, seen: now}
	if err := json.Unmarshal(row.Value, &a.doubt); err != nil || a.Name != name {
		r.options.Log.Warn("doubt left out", zap.String("key", row.Key), zap.Error(err))
		return true
	}
	r.asked[name] = a
	if name == r.self.Load().Name && a.ID == r.self.Load().ID {
		r.options.Log.Info("answering a doubt", zap.String("by", a.By))
		r.wakeWriter()
		return true
	}
	r.options.Log.Info("instance doubted", zap.String("member", name), zap.String("by", a.By))
	return true
}

// answered reports whether a member's row is newer than the doubt. The lock is
// held.
func (r *Roster) answered(e *entry) bool {
	a, ok := r.asked[e.Name]
	return !ok || e.version > a.version
}

// lostByDoubt reports whether the doubt of a member has stayed unanswered, though
// the store has been read again since. After a gap in which the store was not
// followed, the member has its time to answer anew. The lock is held.
func (r *Roster) lostByDoubt(e *entry, read time.Time) bool {
	if r.answered(e) {
		return false
	}
	since := r.asked[e.Name].seen
	if r.heardSince.After(since) {
		since = r.heardSince
	}
	return read.Sub(since) >= doubtAnswer
}

// silent returns the members to doubt now. A member that hears few of those that
// it should hear doubts nobody: the fault may be its own.
func (r *Roster) silent(now time.Time) []entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap := now.Sub(r.judged)
	r.judged = now
	if gap > doubtSilence/2 {
		// What came meanwhile may not have been read yet.
		r.calmSince = now
	}
	if !r.doubts() || !r.Followed() || now.Sub(r.calmSince) < doubtSilence {
		return nil
	}
	var mute []entry
	var fresh []string
	for _, m := range r.View().Alive {
		at, ok := r.options.Heard(m.ID)
		switch {
		case !ok:
		case now.Sub(at) < doubtSilence:
			fresh = append(fresh, m.ID)
		default:
			if e, known := r.members[m.Name]; known && e.ID == m.ID {
				mute = append(mute, e)
			}
		}
	}
	if len(mute) > len(fresh) {
		return nil
	}
	var due []entry
	for _, e := range mute {
		at, _ := r.options.Heard(e.ID)
		rank := route.Rank(e.ID, r.self.Load().ID, slices.Values(fresh), maxDoubtRank)
		patience := doubtSilence + time.Duration(rank)*doubtTurn
		if r.answered(&e) && now.Sub(at) >= patience && !r.askedSince(e.ID, e.Name, at) {
			due = append(due, e)
		}
	}
	return due[:min(len(due), maxDoubts)]
}

// askedSince reports whether a process was doubted after it was heard last. One
// that has answered is judged by its row until it is heard again. The lock is held.
func (r *Roster) askedSince(id, name string, at time.Time) bool {
	a, ok := r.asked[name]
	return ok && a.ID == id && a.seen.After(at)
}

// ask writes the doubt of a member, if its row and earlier doubts are as known.
func (r *Roster) ask(ctx context.Context, e entry) {
	value, err := json.Marshal(doubt{Name: e.Name, ID: e.ID, By: r.self.Load().ID})
	if err != nil {
		panic(err) // Strings only.
	}
	key := storage.RowKey{Table: Table, Key: doubtPrefix + e.Name}
	r.mu.Lock()
	before := r.asked[e.Name].version
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, doubtTimeout)
	defer cancel()
	_, err = r.options.Rows.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{
			{RowKey: storage.RowKey{Table: Table, Key: e.Name}, Version: e.version},
			{RowKey: key, Version: before},
		},
		Puts: []storage.TableRow{{RowKey: key, Value: value}},
	})
	r.options.Log.Info("doubting an instance", zap.String("member", e.Name), zap.String("process", e.ID),
		zap.Int("number", int(code.Of(err))))
}
