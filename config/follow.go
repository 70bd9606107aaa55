package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/retry"
)

const (
	// refreshTimeout bounds one read of the head row and the missing changes.
	refreshTimeout = 5 * time.Second
	// maxReadsPerSecond bounds the polls of all instances together. The polling
	// interval follows from it, between minPollInterval and maxPollInterval;
	// with more than 1,200 instances, maxPollInterval takes precedence.
	maxReadsPerSecond = 20
	minPollInterval   = 5 * time.Second
	maxPollInterval   = 60 * time.Second
	// maxPullDelay bounds the random delay before a pull. It allows for a push
	// that is in flight and spreads the pulls of many instances.
	maxPullDelay = time.Second
)

// startBackoff spaces the attempts of a starting instance to read the
// configuration.
var startBackoff = retry.Backoff{Min: 200 * time.Millisecond, Max: 5 * time.Second}

// Run reads the configuration, retrying until it succeeds, and then follows the
// table and the peers until ctx ends. It always returns nil.
func (s *Store) Run(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		err := s.start(ctx)
		if err == nil {
			break
		}
		s.logger.Warn("reading the configuration failed", zap.Error(err))
		if startBackoff.Sleep(ctx, attempt) != nil {
			return nil
		}
	}
	for ctx.Err() == nil {
		s.followOnce(ctx)
	}
	return nil
}

// followOnce waits for the next poll or for a report of a higher version by a
// peer, and catches up.
func (s *Store) followOnce(ctx context.Context) {
	timer := time.NewTimer(s.pollDelay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		s.poll(ctx)
	case <-s.wake:
		s.pullFromHint(ctx)
	}
}

// pollDelay returns a random delay until the next poll. The polls of all
// instances together stay within maxReadsPerSecond. An instance without contact
// for half of its isolation limit polls sooner.
func (s *Store) pollDelay() time.Duration {
	instances := len(s.options.Peers.Addresses()) + 1
	period := time.Duration(instances) * time.Second / maxReadsPerSecond
	period = min(max(period, minPollInterval), maxPollInterval)
	limit := s.options.IsolationLimit
	if limit > 0 && s.confirmedAge() > limit/2 {
		period = min(period, limit/4)
	}
	return period/2 + rand.N(period)
}

// poll reads the head row; if the table does not respond, it queries one random
// peer.
func (s *Store) poll(ctx context.Context) {
	err := s.refresh(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	s.logger.Debug("configuration poll failed", zap.Error(err))
	addresses := s.options.Peers.Addresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	if h, err := s.peerHead(ctx, address); err == nil && h.Started {
		s.Observe(h.Version, address)
	}
}

// pullFromHint pulls from the peer that reported a higher version, or reads the
// table if that fails.
func (s *Store) pullFromHint(ctx context.Context) {
	if s.sleep(ctx, rand.N(maxPullDelay)) != nil {
		return
	}
	h := s.takeHint()
	if h.version <= s.inForce() {
		return
	}
	if s.pull(ctx, h.address, h.version) == nil {
		return
	}
	if err := s.refresh(ctx); err != nil {
		s.logger.Warn("catching up with a higher version failed", zap.Uint64("version", s.inForce()), zap.Uint64("seen", h.version), zap.Error(err))
	}
}

func (s *Store) sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// refresh reads the head row and the changes that are missing here.
func (s *Store) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	return s.catchUp(ctx, h)
}

// catchUp puts the version of the head row in force, without publishing the
// versions in between.
func (s *Store) catchUp(ctx context.Context, h head) error {
	from := s.version.Load()
	if from != nil && from.document.Version >= h.Version {
		return nil
	}
	if from == nil {
		from = newVersion(&contract.Document{})
	}
	if h.Snapshot > from.document.Version {
		d, err := s.readSnapshot(ctx, h.Snapshot)
		if err != nil {
			return err
		}
		from = newVersion(d)
	}
	changes, err := s.readChanges(ctx, from.document.Version+1, h.Version)
	if err != nil {
		return err
	}
	next, err := from.applyChanges(changes)
	if err != nil {
		return err
	}
	s.publishFrom(next, sourceTable)
	return nil
}

// publishFrom publishes a version and counts its source.
func (s *Store) publishFrom(next *version, from source) {
	if s.publish(next) {
		s.metrics.applied.WithLabelValues(string(from)).Inc()
	}
}

// start makes one attempt to read the configuration for the first time. The
// table is authoritative. If it does not respond, start takes the highest
// version among more than half of the peers: a change that was in force at more
// than half of the instances is among them.
func (s *Store) start(ctx context.Context) error {
	tableErr := s.refresh(ctx)
	if tableErr == nil {
		return nil
	}
	peerErr := s.startFromPeers(ctx)
	if peerErr == nil {
		return nil
	}
	return code.Wrap(code.NoConfiguration, errors.Join(tableErr, peerErr), "neither the table nor enough peers gave a configuration")
}

func (s *Store) startFromPeers(ctx context.Context) error {
	addresses := s.options.Peers.Addresses()
	heads, instances := s.peerHeads(ctx, addresses)
	// A starting instance may know fewer peers than the peers themselves do.
	peers := max(len(addresses), instances-1)
	if quorum := peers/2 + 1; len(heads) < quorum {
		return code.New(code.NoConfiguration, "%d of %d peers have a configuration, %d are needed", len(heads), peers, quorum)
	}
	highest := heads[0]
	for _, h := range heads {
		if h.version > highest.version {
			highest = h
		}
	}
	return s.pull(ctx, highest.address, highest.version)
}

// applyChange puts one committed change in force. If earlier changes are
// missing, it fetches them as fillGap does.
func (s *Store) applyChange(ctx context.Context, c *Change, origin string) error {
	for {
		cur := s.version.Load()
		switch {
		case cur == nil:
			return code.New(code.NoConfiguration, "the instance has not read the configuration yet")
		case cur.document.Version >= c.Version:
			return nil
		case cur.document.Version+1 < c.Version:
			return s.fillGap(ctx, c.Version, origin)
		}
		next, err := cur.applyChanges([]*Change{c})
		if err != nil {
			return err
		}
		s.publishFrom(next, sourcePush)
	}
}

// fillGap catches up to version by a pull from origin, or from the table if
// there is no origin or the pull fails.
func (s *Store) fillGap(ctx context.Context, version uint64, origin string) error {
	if origin != "" {
		err := s.pull(ctx, origin, version)
		if err == nil {
			return nil
		}
		s.logger.Debug("pulling missing changes failed", zap.String("origin", origin), zap.Error(err))
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	if current := s.inForce(); current < version {
		return code.New(code.VersionGap, "version %d is in force, not yet %d", current, version)
	}
	return nil
}
