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

// In a large fleet, instances write their heartbeats so rarely that rows alone
// would reveal a failed instance late. Instances that exchange load digests receive
// them many times a second, so when one of them becomes unresponsive, a few of the
// others suspect it: a suspicion is a row of its own, which the suspected instance
// refutes by writing its heartbeat. An instance that has read a suspicion and sees
// no refutation counts the suspected instance as failed.
//
// The detection time does not grow with the fleet, and neither a lack of digests
// nor a suspicion alone removes an instance from the list.
//
// Row keys and log messages call a suspicion a doubt.

const (
	// suspicionTimeout is the time without contact after which a member is
	// suspected. It is more than twice the interval at which upstream.Broadcast
	// resends an unchanged load digest.
	suspicionTimeout = 1600 * time.Millisecond
	// refutationTimeout is how long a suspected member has to refute the suspicion.
	// It covers reading the suspicion from the feed, which takes up to
	// feedInterval, and writing the heartbeat.
	refutationTimeout = time.Second
	// suspicionStagger is the delay between the members that may write a suspicion,
	// in the order of their rank, so that usually only one of them does.
	// maxSuspicionRank bounds the delay of the last ones.
	suspicionStagger = 100 * time.Millisecond
	maxSuspicionRank = 8
	// maxSuspicionsPerCheck bounds the suspicions that one check writes.
	maxSuspicionsPerCheck = 16
	// suspicionWriteTimeout bounds the write of a suspicion.
	suspicionWriteTimeout = time.Second
	// suspicionPrefix is the prefix of a suspicion's row key; the suspected
	// member's name follows.
	suspicionPrefix = "doubt/"
)

// suspicion is the row by which one member suspects another of having failed. By is
// the process that wrote it.
type suspicion struct {
	Name string `json:"name"`
	ID   string `json:"id"`
	By   string `json:"by"`
}

// suspicionRecord is a suspicion as this instance has read it.
type suspicionRecord struct {
	suspicion
	// version is the version of the row.
	version uint64
	// readAt is the time at which the row was read.
	readAt time.Time
}

// failureTimeout returns the least time without contact after which the others can count
// this instance as failed. It depends on the interval that this instance announced.
func (r *Roster) failureTimeout() time.Duration {
	interval := r.interval()
	if announced := time.Duration(r.announced.Load()); announced > 0 {
		interval = min(interval, announced)
	}
	limit := time.Duration(aliveIntervals * float64(interval))
	if r.usesSuspicion() {
		limit = min(limit, suspicionTimeout+refutationTimeout)
	}
	return limit
}

// usesSuspicion reports whether the fleet is so large that heartbeats alone reveal
// a failure later than suspicions do.
func (r *Roster) usesSuspicion() bool {
	return r.options.LastContact != nil && float64(r.interval())*aliveIntervals > float64(suspicionTimeout+refutationTimeout)
}

// applySuspicion records a changed row if it is a suspicion, and reports whether it
// is one. r.mu must be held.
func (r *Roster) applySuspicion(row storage.TableRow, now time.Time) bool {
	name, ok := strings.CutPrefix(row.Key, suspicionPrefix)
	if !ok {
		return false
	}
	if row.Removed {
		delete(r.suspicions, name)
		return true
	}
	record := suspicionRecord{version: row.Version, readAt: now}
	if err := json.Unmarshal(row.Value, &record.suspicion); err != nil || record.Name != name {
		r.options.Log.Warn("invalid suspicion row ignored", zap.String("key", row.Key), zap.Error(err))
		return true
	}
	r.suspicions[name] = record
	if name == r.self.Load().Name && record.ID == r.self.Load().ID {
		r.options.Log.Info("answering a doubt", zap.String("by", record.By))
		r.wakeWriter()
		return true
	}
	r.options.Log.Info("instance doubted", zap.String("member", name), zap.String("by", record.By))
	return true
}

// refuted reports whether the member is not suspected: there is no suspicion, or
// the member's row is newer. r.mu must be held.
func (r *Roster) refuted(e *entry) bool {
	record, ok := r.suspicions[e.Name]
	return !ok || e.version > record.version
}

// failedBySuspicion reports whether a member has not refuted a suspicion in time
// although the store has been read since. storeRead is the time of the last
// response of the store. After a gap in which the store was not followed, the
// member has the full refutationTimeout again. r.mu must be held.
func (r *Roster) failedBySuspicion(e *entry, storeRead time.Time) bool {
	if r.refuted(e) {
		return false
	}
	since := r.suspicions[e.Name].readAt
	if r.followedSince.After(since) {
		since = r.followedSince
	}
	return storeRead.Sub(since) >= refutationTimeout
}

// suspects returns the members to suspect now. An instance that has lost contact
// with more than half of the members that send it their load suspects nobody, since
// the fault may be its own.
func (r *Roster) suspects(now time.Time) []entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap := now.Sub(r.lastCheckAt)
	r.lastCheckAt = now
	if gap > suspicionTimeout/2 {
		// Digests that arrived in the meantime may not have been processed yet.
		r.checkedSince = now
	}
	if !r.usesSuspicion() || !r.UpToDate() || now.Sub(r.checkedSince) < suspicionTimeout {
		return nil
	}
	var unresponsive []entry
	var responsive []string
	for _, m := range r.View().Alive {
		lastContact, ok := r.options.LastContact(m.ID)
		switch {
		case !ok:
		case now.Sub(lastContact) < suspicionTimeout:
			responsive = append(responsive, m.ID)
		default:
			if e, known := r.members[m.Name]; known && e.ID == m.ID {
				unresponsive = append(unresponsive, e)
			}
		}
	}
	if len(unresponsive) > len(responsive) {
		return nil
	}
	var due []entry
	for _, e := range unresponsive {
		lastContact, _ := r.options.LastContact(e.ID)
		rank := route.Rank(e.ID, r.self.Load().ID, slices.Values(responsive), maxSuspicionRank)
		timeout := suspicionTimeout + time.Duration(rank)*suspicionStagger
		if r.refuted(&e) && now.Sub(lastContact) >= timeout && !r.suspectedSince(e.ID, e.Name, lastContact) && !r.awaitsFeed(&e) {
			due = append(due, e)
		}
	}
	return due[:min(len(due), maxSuspicionsPerCheck)]
}

// suspectedSince reports whether a process has been suspected since its last
// contact. A process that has refuted that suspicion is not suspected again before
// its next contact; until then its row decides. r.mu must be held.
func (r *Roster) suspectedSince(id, name string, lastContact time.Time) bool {
	record, ok := r.suspicions[name]
	return ok && record.ID == id && record.readAt.After(lastContact)
}

// awaitsFeed reports whether the store has accepted or refused a suspicion of the member
// and the feed has not delivered what it has instead. r.mu must be held.
func (r *Roster) awaitsFeed(e *entry) bool {
	read, ok := r.answered[e.Name]
	return ok && read == readVersions{e.version, r.suspicions[e.Name].version}
}

// writeSuspicion writes a suspicion of a member, provided that no other has been written
// since they were read. If the member's row has changed, the suspicion is written at once
// for the present one, so that the others read it before it is their turn.
func (r *Roster) writeSuspicion(ctx context.Context, e entry) {
	value, err := json.Marshal(suspicion{Name: e.Name, ID: e.ID, By: r.self.Load().ID})
	if err != nil {
		panic(err) // A struct of strings always encodes.
	}
	r.mu.Lock()
	read := readVersions{e.version, r.suspicions[e.Name].version}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, suspicionWriteTimeout)
	defer cancel()
	present, err := r.putSuspicion(ctx, &e, value, read)
	if code.Of(err) == code.StoreConflict && present.row != 0 && present.suspicion == read.suspicion {
		_, err = r.putSuspicion(ctx, &e, value, present)
	}
	r.options.Log.Info("doubting an instance", zap.String("member", e.Name), zap.String("process", e.ID),
		zap.Int("number", int(code.Of(err))))
	if err == nil || code.Of(err) == code.StoreConflict {
		r.mu.Lock()
		r.answered[e.Name] = read
		r.mu.Unlock()
	}
}

// readVersions are the versions of a member's row and of its suspicion, 0 for a row that
// does not exist.
type readVersions struct{ row, suspicion uint64 }

// putSuspicion writes a suspicion's row if both rows have the given versions. On a
// conflict it returns those that they have. A row of another process has none.
func (r *Roster) putSuspicion(ctx context.Context, e *entry, value []byte, read readVersions) (present readVersions, err error) {
	member := storage.RowKey{Table: Table, Key: e.Name}
	key := storage.RowKey{Table: Table, Key: suspicionPrefix + e.Name}
	page, err := r.options.Rows.ApplyRows(ctx, storage.RowTransaction{
		Conditions: []storage.RowCondition{{RowKey: member, Version: read.row}, {RowKey: key, Version: read.suspicion}},
		Puts:       []storage.TableRow{{RowKey: key, Value: value}},
	})
	for _, row := range page.Rows {
		var m Member
		switch {
		case row.Key == key.Key:
			present.suspicion = row.Version
		case row.Key == member.Key && json.Unmarshal(row.Value, &m) == nil && m.ID == e.ID:
			present.row = row.Version
		}
	}
	return present, err
}
