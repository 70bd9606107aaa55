package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/route"
)

// AccountLoad is what an account of a service has in flight at one instance.
type AccountLoad struct {
	// Hash is a hash of the service and the name of the account. Two of 1,800 accounts have
	// the same one with a probability of 1 in 2,600; their requests then count together.
	Hash uint32
	// Running is the number of its online requests in flight.
	Running int
}

// maxAccountLoads is the number of accounts in a digest. An instance of a large fleet runs
// the requests of a few accounts at a time. Each takes 9 bytes of a datagram with up to 127
// running requests, and 11 at most.
const maxAccountLoads = 4

// accountHash returns the hash of the service and the account of a call, 0 if the account
// has no share of the capacity or the call is not online.
func accountHash(call *contract.ForwardRequest) uint32 {
	if call.Share <= 0 || call.Account == "" || call.Class != contract.Online {
		return 0
	}
	return max(uint32(xxhash.Sum64String(call.Service)^xxhash.Sum64String(call.Account)), 1)
}

// isOverShare reports whether the account of a request already uses more than its share of
// the slots, at all instances together as far as known. A request whose answer has begun is
// never over the share, since its caller has a part of the answer. The caller holds the
// lock.
func (s *scheduler) isOverShare(r *request) bool {
	return !r.begun && s.isAccountOverShare(r)
}

// isAccountOverShare is like isOverShare, but does not regard whether the answer has begun.
func (s *scheduler) isAccountOverShare(r *request) bool {
	if r.accountHash == 0 {
		return false
	}
	_, slots := r.pool.slots()
	return route.IsOverShare(r.pool.running[r.accountHash]+s.peerRunning[r.accountHash], slots, r.share)
}

// isUrgent reports whether the caller of an online request is about to leave. A request
// over the share of its account takes no slot ahead of others for that.
func (s *scheduler) isUrgent(r *request, now time.Time) bool {
	return r.onlineWork.Urgent(now, r.pool.medianFirstToken) && !s.isOverShare(r)
}

// markOverShare records which accounts of a queue use more than their share. The caller
// holds the lock.
func (s *scheduler) markOverShare(q *queue) {
	for i := range q.tenants {
		q.tenants[i].OverShare = s.isAccountOverShare(&q.waiters[i][0].request)
	}
}

// largestAccounts returns the accounts with the most online requests of this instance in
// flight, the largest first. The caller holds the lock.
func (s *scheduler) largestAccounts() (largest []AccountLoad) {
	for _, p := range s.fleet.pools {
		for hash, running := range p.running {
			largest = append(largest, AccountLoad{hash, running})
		}
	}
	slices.SortFunc(largest, func(a, b AccountLoad) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Hash, b.Hash))
	})
	return largest[:min(len(largest), maxAccountLoads)]
}

// peersAhead counts the requests that wait at other instances and are served before a
// request. Late requests, among them those over the share of their account, are served
// after a request of an account within its share. The caller holds the lock.
func (s *scheduler) peersAhead(r *request, now time.Time) int {
	ahead := s.peerOnlineWaiting(now)
	if s.turns == nil || r.accountHash == 0 || s.isOverShare(r) {
		return ahead
	}
	for _, digest := range s.peerDigests {
		if digest.OnlineWaiting > 0 && now.Sub(digest.receivedAt) <= onlineDigestTTL {
			ahead -= min(digest.OnlineLate, digest.OnlineWaiting)
		}
	}
	return ahead
}

// countPeerRunning adds n times the loads of a peer's digest to peerRunning.
func (s *scheduler) countPeerRunning(loads []AccountLoad, n int) {
	for _, a := range loads {
		if s.peerRunning[a.Hash] += n * a.Running; s.peerRunning[a.Hash] <= 0 {
			delete(s.peerRunning, a.Hash)
		}
	}
}

// countRunning adds n to the number of slots that an account holds.
func (ps *poolState) countRunning(accountHash uint32, n int) {
	if accountHash == 0 {
		return
	}
	if ps.running[accountHash] += n; ps.running[accountHash] <= 0 {
		delete(ps.running, accountHash)
	}
}

// observeOverShare logs which waiting accounts begin or cease to use more than their share.
// The caller holds the lock.
func (s *scheduler) observeOverShare() {
	var over map[uint32]string
	for _, p := range s.fleet.pools {
		for _, q := range []*queue{&p.shortQueue, &p.poolState.longQueue} {
			for i := range q.tenants {
				w := q.waiters[i][0]
				if !s.isAccountOverShare(&w.request) {
					continue
				}
				if over == nil {
					over = map[uint32]string{}
				}
				over[w.accountHash] = w.account
				if _, ok := s.overShare[w.accountHash]; !ok {
					_, slots := p.slots()
					s.log.Info("account over its share", zap.String("service", p.name), zap.String("account", w.account),
						zap.Int("running", p.running[w.accountHash]), zap.Int("running_at_peers", s.peerRunning[w.accountHash]),
						zap.Int("slots", slots), zap.Float64("share", w.share), zap.Int("waiting", q.tenants[i].Waiting))
				}
			}
		}
	}
	for hash, account := range s.overShare {
		if _, ok := over[hash]; !ok {
			s.log.Info("account within its share", zap.String("account", account))
		}
	}
	s.overShare = over
	s.metrics.overShare.Set(float64(len(over)))
}
