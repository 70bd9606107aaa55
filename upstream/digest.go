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

// digestLifetime is how long a digest counts.
const digestLifetime = 3 * time.Second

// Digest returns this instance's load for its peers.
func (d *Dispatcher) Digest() Digest {
	s := d.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := Digest{Sequence: uint64(time.Now().UnixNano())}
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
	if before, ok := s.peers[peer]; ok && before.Sequence >= digest.Sequence {
		return
	}
	now := time.Now()
	s.peers[peer] = &peerDigest{digest, now}
	s.applyPeers()
	for _, load := range digest.Loads {
		if t, ok := s.fleet.targets[load.Upstream]; ok && load.Online > 0 {
			s.yield(t, now)
		}
	}
}

func (s *scheduler) expirePeers(now time.Time) {
	expired := false
	for peer, digest := range s.peers {
		if now.Sub(digest.received) > digestLifetime {
			delete(s.peers, peer)
			expired = true
		}
	}
	if expired {
		s.applyPeers()
	}
}

// applyPeers sums the digests up. The lock is held.
func (s *scheduler) applyPeers() {
	for _, t := range s.fleet.targets {
		t.peers = peerLoad{}
	}
	for _, digest := range s.peers {
		for _, load := range digest.Loads {
			if t, ok := s.fleet.targets[load.Upstream]; ok {
				t.peers.online += load.Online
				t.peers.batch += load.Batch
			}
		}
	}
}
