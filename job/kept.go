package job

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
)

// DefaultMaxKeptBytes is the default of Options.MaxKeptBytes: over 10,000 jobs of ordinary size.
const DefaultMaxKeptBytes = 12 << 20

const (
	// headBytes is the memory for a head beside its texts and lists, doneBytes for an entry of
	// its list of items.
	headBytes = 512
	doneBytes = 8
	// keptRetryAfter is the time after which some jobs are likely to be past their retention.
	keptRetryAfter = 5 * time.Second
)

// keptBytes returns the estimated memory of the head of a job with an id, with a list of all
// its items while it is open.
func (v *versionedHead) keptBytes(id string) int64 {
	done := 0
	if v.open() {
		done = v.Total
	}
	return int64(headBytes + len(id) + len(v.Route) + len(v.Host) + len(v.Account) + len(v.Owner) + doneBytes*done)
}

// kept counts the memory of the heads of all jobs that the store keeps: each instance holds
// them, whoever runs the jobs. It is guarded by the service's lock.
type kept struct {
	bytes     int64
	byAccount map[string]int64
}

// change counts bytes of a job of an account.
func (k *kept) change(account string, bytes int64) {
	k.bytes += bytes
	if k.byAccount[account] += bytes; k.byAccount[account] <= 0 {
		delete(k.byAccount, account)
	}
}

// checkKept returns code.MemoryExhausted if there is no room for the head of another job. An
// account may have as much as is left free, so that one account alone uses half of the room,
// and there is always some for another.
func (s *Service) checkKept(sub *Submission) error {
	limit := s.options.MaxKeptBytes
	s.mu.Lock()
	used, ofAccount := s.kept.bytes, s.kept.byAccount[sub.Account]
	s.mu.Unlock()
	n := int64(headBytes + doneBytes*len(sub.Items))
	if used+n <= limit && (sub.Account == "" || ofAccount+n <= limit-used) {
		return nil
	}
	s.options.Log.Warn("job refused, too many are kept", zap.String("job", sub.ID), zap.String("account", sub.Account),
		zap.Int64("kept_bytes", used), zap.Int64("kept_of_account_bytes", ofAccount), zap.Int64("limit_bytes", limit))
	return code.New(code.MemoryExhausted, "too many jobs are kept").WithRetryAfter(keptRetryAfter)
}

// KeptBytes returns the estimated memory of the heads of all jobs that the store keeps.
func (s *Service) KeptBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept.bytes
}

// setHead replaces what is known of a job. The lock is held.
func (s *Service) setHead(id string, v versionedHead) {
	s.dropHead(id)
	v = v.compact()
	s.heads[id] = v
	s.kept.change(v.Account, v.keptBytes(id))
	s.options.hold(v.keptBytes(id))
}

// dropHead removes what is known of a job. The lock is held.
func (s *Service) dropHead(id string) {
	if known, ok := s.heads[id]; ok {
		s.kept.change(known.Account, -known.keptBytes(id))
		s.options.hold(-known.keptBytes(id))
		delete(s.heads, id)
	}
}
