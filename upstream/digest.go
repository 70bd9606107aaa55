package upstream

import (
	"slices"
	"strings"
	"time"
)

// PeerLoad is what one instance has in flight on one upstream.
type PeerLoad struct {
	Upstream string
	Online   int
	Batch    int
}

// Digest is the load of one instance on the upstreams that it uses now.
// Upstreams without requests are left out. A later digest has a higher
// Sequence.
type Digest struct {
	Sequence uint64
	Loads    []PeerLoad
	// BatchWaiting counts the batch requests that wait for a slot.
	BatchWaiting int
	// BatchLate counts those of them that can't be done in time any more.
	BatchLate int
	// OnlineWaiting counts the online requests that do.
	OnlineWaiting int
	// OnlineLate counts those of them that can't be on time any more.
	OnlineLate int
}

// of returns the part of a digest that concerns peers who use some upstreams; nil
// means all.
func (g Digest) of(uses func(upstream string) bool) Digest {
	if uses == nil {
		return g
	}
	part := g
	part.Loads = nil
	for _, l := range g.Loads {
		if uses(l.Upstream) {
			part.Loads = append(part.Loads, l)
		}
	}
	return part
}

// same reports whether two digests say the same.
func (g Digest) same(other Digest) bool {
	return g.BatchWaiting == other.BatchWaiting && g.BatchLate == other.BatchLate &&
		g.OnlineWaiting == other.OnlineWaiting && g.OnlineLate == other.OnlineLate && slices.Equal(g.Loads, other.Loads)
}

// peerLoad is the sum of what the other instances have in flight.
type peerLoad struct {
	online int
	batch  int
}

type peerDigest struct {
	Digest
	received time.Time
}

const (
	// onlineLifetime is how long the online requests of a digest count. Old
	// ones must not keep online work from free slots.
	onlineLifetime = 2 * time.Second
	// batchLifetime is how long its batch requests count.
	batchLifetime = 10 * time.Second
	// peerInterval is the time between two looks at the age of the digests.
	peerInterval = 200 * time.Millisecond
	// maxPeers bounds the digests that are kept. An instance hears a few dozen peers;
	// datagrams may bear any name.
	maxPeers = 1 << 10
)

// Digest returns this instance's load for its peers.
func (d *Dispatcher) Digest() Digest {
	s := d.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	digest, now := Digest{Sequence: s.sequence}, time.Now()
	for _, p := range s.fleet.pools {
		digest.BatchWaiting += len(p.batch)
		for _, w := range p.batch {
			if w.work.Late(now) {
				digest.BatchLate++
			}
		}
		digest.OnlineLate += p.short.late(now, p.prior) + p.history.long.late(now, p.prior)
		digest.OnlineWaiting += p.short.waiting + p.history.long.waiting
	}
	for id, t := range s.fleet.targets {
		if t.online+t.batch > 0 {
			digest.Loads = append(digest.Loads, PeerLoad{id, t.online, t.batch})
		}
	}
	slices.SortFunc(digest.Loads, func(a, b PeerLoad) int { return strings.Compare(a.Upstream, b.Upstream) })
	return digest
}

// ObserveDigest takes in the load of a peer. Batch attempts of this instance
// yield at once to online work that the peer reports.
func (d *Dispatcher) ObserveDigest(peer string, digest Digest) {
	s := d.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.peers[peer]
	if known && before.Sequence >= digest.Sequence || !known && len(s.peers) >= maxPeers {
		return
	}
	now := time.Now()
	s.peerHeard = now
	freed := s.replaceDigest(peer, &peerDigest{digest, now}, now)
	for _, load := range digest.Loads {
		if t, ok := s.fleet.targets[load.Upstream]; ok && load.Online > 0 {
			s.yield(t, now)
		}
	}
	if freed {
		s.pump()
	}
}

// PeerHeard returns when a digest of any peer was taken in last, the zero time
// before the first.
func (d *Dispatcher) PeerHeard() time.Time {
	d.sched.mu.Lock()
	defer d.sched.mu.Unlock()
	return d.sched.peerHeard
}

// PeerHeardOf returns when a digest of a peer was taken in last, and false when
// there is none that counts.
func (d *Dispatcher) PeerHeardOf(peer string) (time.Time, bool) {
	d.sched.mu.Lock()
	defer d.sched.mu.Unlock()
	digest, ok := d.sched.peers[peer]
	if !ok {
		return time.Time{}, false
	}
	return digest.received, true
}

// replaceDigest takes the load of a peer's earlier digest off the targets and
// adds that of the new one. It reports whether a target has less load than
// before. The lock is held.
func (s *scheduler) replaceDigest(peer string, digest *peerDigest, now time.Time) bool {
	if before, ok := s.peers[peer]; !ok || now.Sub(before.received) > onlineLifetime {
		s.peers[peer] = digest
		s.applyPeers(now)
		return false
	}
	freed := false
	for _, load := range s.peers[peer].Loads {
		if t, ok := s.fleet.targets[load.Upstream]; ok {
			t.takeOff(peer, load)
			freed = true
		}
	}
	for _, load := range digest.Loads {
		if t, ok := s.fleet.targets[load.Upstream]; ok {
			t.peers.online += load.Online
			t.hold(peer, load.Batch)
		}
	}
	s.peers[peer] = digest
	return freed
}

// batchPeers returns the peers whose batch work is in the way of online work,
// as far as their digests tell.
func (d *Dispatcher) batchPeers() map[string]bool {
	s := d.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := map[string]bool{}
	for peer, digest := range s.peers {
		for _, load := range digest.Loads {
			if t, ok := s.fleet.targets[load.Upstream]; ok && load.Batch > 0 && t.online > 0 {
				holders[peer] = true
			}
		}
	}
	return holders
}

// expirePeers forgets old digests. The lock is held.
func (s *scheduler) expirePeers(now time.Time) {
	if now.Sub(s.peersAt) < peerInterval {
		return
	}
	for peer, digest := range s.peers {
		if now.Sub(digest.received) > batchLifetime {
			delete(s.peers, peer)
		}
	}
	s.applyPeers(now)
}

// applyPeers sums the digests up. The lock is held.
func (s *scheduler) applyPeers(now time.Time) {
	s.peersAt = now
	for _, t := range s.fleet.targets {
		t.peers = peerLoad{}
		clear(t.holders)
	}
	for peer, digest := range s.peers {
		counts := now.Sub(digest.received) <= onlineLifetime
		for _, load := range digest.Loads {
			t, ok := s.fleet.targets[load.Upstream]
			if !ok {
				continue
			}
			t.hold(peer, load.Batch)
			if counts {
				t.peers.online += load.Online
			}
		}
	}
}

// setUrgent sets what is called when batch work of peers is in the way.
func (s *scheduler) setUrgent(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.urgent = f
}

// hold adds batch requests of a peer.
func (t *target) hold(peer string, batch int) {
	t.peers.batch += batch
	if batch == 0 {
		return
	}
	if t.holders == nil {
		t.holders = map[string]int{}
	}
	t.holders[peer] += batch
}

// takeOff removes what an earlier digest of a peer added.
func (t *target) takeOff(peer string, load PeerLoad) {
	t.peers.online -= load.Online
	t.peers.batch -= load.Batch
	delete(t.holders, peer)
}
