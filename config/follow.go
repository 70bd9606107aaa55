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
	// refreshTimeout bounds one reading of the table.
	refreshTimeout = 5 * time.Second
	// readsPerSecond bounds the head reads of all instances together.
	readsPerSecond = 20
	minPollPeriod  = 5 * time.Second
	maxPollPeriod  = 60 * time.Second
	// pullDelay bounds the random wait before a pull, which leaves time for a
	// push under way and spreads the pulls of many instances.
	pullDelay = time.Second
)

// startBackoff spaces the attempts of a starting instance.
var startBackoff = retry.Backoff{Min: 200 * time.Millisecond, Max: 5 * time.Second}

// Run reads the configuration and then follows the table and the peers until
// ctx ends. It returns nil then.
func (s *Store) Run(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		err := s.start(ctx)
		if err == nil {
			break
		}
		s.logger.Warn("configuration not read yet", zap.Error(err))
		if startBackoff.Sleep(ctx, attempt) != nil {
			return nil
		}
	}
	for ctx.Err() == nil {
		s.step(ctx)
	}
	return nil
}

// step waits for the next poll or for a peer that is ahead, and catches up.
func (s *Store) step(ctx context.Context) {
	timer := time.NewTimer(s.pollDelay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		s.poll(ctx)
	case <-s.wake:
		s.followHint(ctx)
	}
}

// pollDelay spreads the polls of all instances so that together they stay
// within readsPerSecond. An instance that has had no contact for half of its
// isolation limit polls sooner.
func (s *Store) pollDelay() time.Duration {
	instances := len(s.options.Peers.Addresses()) + 1
	period := time.Duration(instances) * time.Second / readsPerSecond
	period = min(max(period, minPollPeriod), maxPollPeriod)
	limit := s.options.IsolationLimit
	if limit > 0 && s.confirmedAge() > limit/2 {
		period = min(period, limit/4)
	}
	return period/2 + rand.N(period)
}

// poll reads the head row; when the table does not answer, it asks one peer.
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

// followHint pulls from the peer that reported a higher version.
func (s *Store) followHint(ctx context.Context) {
	if s.sleep(ctx, rand.N(pullDelay)) != nil {
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
		s.logger.Warn("configuration is behind", zap.Uint64("version", s.inForce()), zap.Uint64("seen", h.version), zap.Error(err))
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

// catchUp puts the version of the head row in force, at once and without the
// versions between.
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
	next, err := from.follow(changes)
	if err != nil {
		return err
	}
	s.put(next, sourceTable)
	return nil
}

// put publishes a version and counts where it came from.
func (s *Store) put(next *version, from source) {
	if s.publish(next) {
		s.metrics.applied.WithLabelValues(string(from)).Inc()
	}
}

// start reads the configuration for the first time. The table decides. While
// it does not answer, the highest version of more than half of the peers does:
// a change that was in force at most instances is among them.
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
	answers, instances := s.heads(ctx, addresses)
	// A starting instance may know fewer peers than those that it asks.
	peers := max(len(addresses), instances-1)
	if quorum := peers/2 + 1; len(answers) < quorum {
		return code.New(code.NoConfiguration, "%d of %d peers have a configuration, %d are needed", len(answers), peers, quorum)
	}
	highest := answers[0]
	for _, a := range answers {
		if a.version > highest.version {
			highest = a
		}
	}
	return s.pull(ctx, highest.address, highest.version)
}

// advance puts one committed change in force. When changes between are
// missing, it pulls them from origin, or reads the table when there is no
// origin or it does not help.
func (s *Store) advance(ctx context.Context, c *Change, origin string) error {
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
		next, err := cur.follow([]*Change{c})
		if err != nil {
			return err
		}
		s.put(next, sourcePush)
	}
}

func (s *Store) fillGap(ctx context.Context, version uint64, origin string) error {
	if origin != "" {
		err := s.pull(ctx, origin, version)
		if err == nil {
			return nil
		}
		s.logger.Debug("missing changes not pulled", zap.String("origin", origin), zap.Error(err))
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	if at := s.inForce(); at < version {
		return code.New(code.VersionGap, "version %d is in force, not yet %d", at, version)
	}
	return nil
}
