package upstream

import (
	"slices"
	"strings"
	"time"
)

// PeerLoad is what one instance has in flight at one upstream.
type PeerLoad struct {
	Upstream string
	Online   int
	Batch    int
	// Spacing is the mean time between events of the running answers, 0 if unknown or
	// unless Options.LearnCapacity is set.
	Spacing time.Duration
}

// equal reports whether two loads are the same apart from Spacing, which changes with
// each event.
func (l PeerLoad) equal(other PeerLoad) bool {
	return l.Upstream == other.Upstream && l.Online == other.Online && l.Batch == other.Batch
}

// Digest is the current load of one instance on the upstreams that it uses. Upstreams
// without requests are left out. A later digest has a higher Sequence.
type Digest struct {
	Sequence uint64
	Loads    []PeerLoad
	// BatchWaiting counts the batch requests that wait for a slot.
	BatchWaiting int
	// BatchLate counts those of them that can no longer finish in time.
	BatchLate int
	// OnlineWaiting counts the online requests that wait for a slot.
	OnlineWaiting int
	// OnlineLate counts those of them that can no longer be on time.
	OnlineLate int
	// Accounts has the accounts with the most online requests in flight. It is empty
	// unless online requests wait at any instance.
	Accounts []AccountLoad
	// Observations has the upstreams that this instance sees as not responding, and those
	// that respond to it although a peer sees them so. Empty unless
	// Options.LearnCapacity is set.
	Observations []Observation

	// unknownLoads has the loads of a peer on upstreams that this instance does not use. It
	// may begin to use them.
	unknownLoads []hashedLoad
}

// maxUnknownLoads is several times the number of upstreams that one instance uses.
const maxUnknownLoads = 256

// hashedLoad is a load whose upstream is known by its hashUpstream only.
type hashedLoad struct {
	hash uint32
	load PeerLoad
}

// resolve moves the loads of upstreams that f has from unknownLoads to Loads.
func (d *Digest) resolve(f *fleet) {
	d.unknownLoads = slices.DeleteFunc(d.unknownLoads, func(u hashedLoad) bool {
		id, ok := f.idsByHash[u.hash]
		if ok {
			u.load.Upstream = id
			d.Loads = append(d.Loads, u.load)
		}
		return ok
	})
}

// filter returns the part of a digest for the upstreams that uses accepts; nil accepts
// all.
func (d Digest) filter(uses func(upstream string) bool) Digest {
	if uses == nil {
		return d
	}
	part := d
	part.Loads, part.Observations = nil, nil
	for _, o := range d.Observations {
		if uses(o.Upstream) {
			part.Observations = append(part.Observations, o)
		}
	}
	for _, l := range d.Loads {
		if uses(l.Upstream) {
			part.Loads = append(part.Loads, l)
		}
	}
	return part
}

// equal reports whether two digests have the same content apart from Sequence.
func (d Digest) equal(other Digest) bool {
	return d.BatchWaiting == other.BatchWaiting && d.BatchLate == other.BatchLate &&
		d.OnlineWaiting == other.OnlineWaiting && d.OnlineLate == other.OnlineLate &&
		slices.EqualFunc(d.Loads, other.Loads, PeerLoad.equal) && slices.Equal(d.Observations, other.Observations) && slices.Equal(d.Accounts, other.Accounts)
}

// peerLoad is the sum of what the other instances have in flight at one upstream.
type peerLoad struct {
	online int
	batch  int
}

// peerDigest is the last digest received from a peer.
type peerDigest struct {
	Digest
	receivedAt time.Time
}

const (
	// onlineDigestTTL is how long the online requests of a digest count. It is short,
	// so that an outdated digest does not keep online work from free slots.
	onlineDigestTTL = 2 * time.Second
	// batchDigestTTL is how long the batch requests of a digest count.
	batchDigestTTL = 10 * time.Second
	// digestExpiryInterval is the time between two checks for expired digests.
	digestExpiryInterval = 200 * time.Millisecond
	// maxPeers limits the number of digests that are kept. An instance has a few dozen
	// peers, but a datagram may carry any instance id.
	maxPeers = 1 << 10
)

// Digest returns this instance's load for its peers. Each call uses up a sequence
// number.
func (d *Dispatcher) Digest() Digest {
	s := d.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	digest, now := Digest{Sequence: s.sequence}, time.Now()
	for _, p := range s.fleet.pools {
		digest.BatchWaiting += len(p.batchQueue)
		for _, w := range p.batchQueue {
			if w.batchWork.Late(now) {
				digest.BatchLate++
			}
		}
		s.markOverShare(&p.shortQueue)
		s.markOverShare(&p.poolState.longQueue)
		digest.OnlineLate += p.shortQueue.countLate(now, p.medianFirstToken) + p.poolState.longQueue.countLate(now, p.medianFirstToken)
		digest.OnlineWaiting += p.shortQueue.waiting + p.poolState.longQueue.waiting
	}
	if digest.OnlineWaiting > 0 || s.peerOnlineWaiting(now) > 0 {
		digest.Accounts = s.largestAccounts()
	}
	for id, t := range s.fleet.targets {
		if t.online+t.batch > 0 {
			digest.Loads = append(digest.Loads, PeerLoad{Upstream: id, Online: t.online, Batch: t.batch, Spacing: t.spacingForPeers(now)})
		}
	}
	if s.watch != nil {
		digest.Observations = s.watch.own
	}
	slices.SortFunc(digest.Loads, func(a, b PeerLoad) int { return strings.Compare(a.Upstream, b.Upstream) })
	return digest
}

// ObserveDigest records the load of a peer. It ignores a digest that is not newer than
// the last one. Batch attempts of this instance yield at once to online work that the
// peer reports.
func (d *Dispatcher) ObserveDigest(peer string, digest Digest) {
	s := d.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.peerDigests[peer]
	if known && before.Sequence >= digest.Sequence || !known && len(s.peerDigests) >= maxPeers {
		return
	}
	now := time.Now()
	s.lastDigestAt = now
	// The fleet may have changed since the digest was decoded.
	digest.resolve(s.fleet)
	freed := s.replaceDigest(peer, &peerDigest{digest, now}, now)
	if s.watch != nil {
		s.learnFrom(digest, now)
	}
	if s.watch != nil && (len(digest.Observations) > 0 || before != nil && len(before.Observations) > 0) {
		s.assessSuspicions(now)
	}
	for _, load := range digest.Loads {
		if t, ok := s.fleet.targets[load.Upstream]; ok && load.Online > 0 {
			s.yield(t, now)
		}
	}
	if freed {
		s.serveQueues()
	}
}

// LastDigestAt returns when the last digest of any peer was received, or the zero time
// if there was none.
func (d *Dispatcher) LastDigestAt() time.Time {
	d.sched.mu.Lock()
	defer d.sched.mu.Unlock()
	return d.sched.lastDigestAt
}

// LastDigestFrom returns when the last digest of a peer was received, or false if there is
// none or it has expired.
func (d *Dispatcher) LastDigestFrom(peer string) (time.Time, bool) {
	d.sched.mu.Lock()
	defer d.sched.mu.Unlock()
	digest, ok := d.sched.peerDigests[peer]
	if !ok {
		return time.Time{}, false
	}
	return digest.receivedAt, true
}

// replaceDigest subtracts the load of a peer's previous digest from the targets and
// adds that of the new one. It reports whether a target's load may have decreased. The
// caller holds the lock.
func (s *scheduler) replaceDigest(peer string, digest *peerDigest, now time.Time) bool {
	if before, ok := s.peerDigests[peer]; !ok || now.Sub(before.receivedAt) > onlineDigestTTL {
		s.peerDigests[peer] = digest
		s.sumPeerLoads(now)
		return false
	}
	freed := false
	for _, load := range s.peerDigests[peer].Loads {
		if t, ok := s.fleet.targets[load.Upstream]; ok {
			t.removePeerLoad(peer, load)
			freed = true
		}
	}
	s.countPeerRunning(s.peerDigests[peer].Accounts, -1)
	s.countPeerRunning(digest.Accounts, 1)
	for _, load := range digest.Loads {
		if t, ok := s.fleet.targets[load.Upstream]; ok {
			t.peers.online += load.Online
			t.addPeerBatch(peer, load.Batch)
		}
	}
	s.peerDigests[peer] = digest
	return freed
}

// peersBlockingOnline returns the peers that, according to their digests, have batch
// work on upstreams at which this instance has online work.
func (d *Dispatcher) peersBlockingOnline() map[string]bool {
	s := d.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	blocking := map[string]bool{}
	for peer, digest := range s.peerDigests {
		for _, load := range digest.Loads {
			if t, ok := s.fleet.targets[load.Upstream]; ok && load.Batch > 0 && t.online > 0 {
				blocking[peer] = true
			}
		}
	}
	return blocking
}

// expireDigests removes expired digests. The caller holds the lock.
func (s *scheduler) expireDigests(now time.Time) {
	if now.Sub(s.peerLoadsSummedAt) < digestExpiryInterval {
		return
	}
	for peer, digest := range s.peerDigests {
		if now.Sub(digest.receivedAt) > batchDigestTTL {
			delete(s.peerDigests, peer)
		}
	}
	s.sumPeerLoads(now)
}

// sumPeerLoads sets the peer load of every target to the sum of the digests. The caller
// holds the lock.
func (s *scheduler) sumPeerLoads(now time.Time) {
	s.peerLoadsSummedAt = now
	for _, t := range s.fleet.targets {
		t.peers = peerLoad{}
		clear(t.batchByPeer)
	}
	clear(s.peerRunning)
	for peer, digest := range s.peerDigests {
		onlineCounts := now.Sub(digest.receivedAt) <= onlineDigestTTL
		if onlineCounts {
			s.countPeerRunning(digest.Accounts, 1)
		}
		for _, load := range digest.Loads {
			t, ok := s.fleet.targets[load.Upstream]
			if !ok {
				continue
			}
			t.addPeerBatch(peer, load.Batch)
			if onlineCounts {
				t.peers.online += load.Online
			}
		}
	}
}

// setOnPeersBlocking sets the function that is called when batch work of peers occupies
// slots that online work needs.
func (s *scheduler) setOnPeersBlocking(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onPeersBlocking = f
}

// addPeerBatch adds the batch requests of a peer.
func (t *target) addPeerBatch(peer string, batch int) {
	t.peers.batch += batch
	if batch == 0 {
		return
	}
	if t.batchByPeer == nil {
		t.batchByPeer = map[string]int{}
	}
	t.batchByPeer[peer] += batch
}

// removePeerLoad removes what the previous digest of a peer had added.
func (t *target) removePeerLoad(peer string, load PeerLoad) {
	t.peers.online -= load.Online
	t.peers.batch -= load.Batch
	delete(t.batchByPeer, peer)
}
