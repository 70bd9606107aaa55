package config

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/config/configpb"
	"github.com/daisylb/daisylb/config/configpb/configpbconnect"
	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/link"
	"github.com/daisylb/daisylb/settings"
)

const (
	// fanOut is the number of peers that one instance pushes a change to; with
	// more peers, each of them relays it to a part of the others.
	fanOut = 24
	// leafTimeout bounds a push that is not relayed, and other short calls.
	leafTimeout = 1500 * time.Millisecond
	// relayTimeout bounds a push that the receiver relays.
	relayTimeout = 2 * leafTimeout
	// distributeTimeout bounds the pushes of one change: it leaves time for
	// three relays of a group that do not answer.
	distributeTimeout = 4 * relayTimeout
	// pullTimeout bounds a pull, which may carry a whole document.
	pullTimeout = 5 * time.Second
	// maxPeerMessageBytes bounds a message between peers.
	maxPeerMessageBytes = settings.MaxBytes
)

func (s *Store) peer(address string) configpbconnect.PeerClient {
	return configpbconnect.NewPeerClient(s.options.Peers.HTTP(), "http://"+address, connect.WithReadMaxBytes(maxPeerMessageBytes))
}

// distribute pushes a change to every address and returns those that do not
// have it in force.
func (s *Store) distribute(ctx context.Context, c *Change, origin string, addresses []string) []string {
	message, err := encodeChange(c)
	if err != nil {
		return addresses
	}
	groups := split(addresses, fanOut)
	missing := make([][]string, len(groups))
	var pushes errgroup.Group
	for i, group := range groups {
		pushes.Go(func() error {
			missing[i] = s.pushGroup(ctx, message, origin, group)
			return nil
		})
	}
	_ = pushes.Wait()
	var all []string
	for _, m := range missing {
		all = append(all, m...)
	}
	return all
}

// split deals the addresses into at most n groups.
func split(addresses []string, n int) [][]string {
	groups := make([][]string, min(n, len(addresses)))
	for i, a := range addresses {
		groups[i%n] = append(groups[i%n], a)
	}
	return groups
}

// pushGroup pushes to the first of the group, which relays to the rest. When
// it does not answer, the next takes its place.
func (s *Store) pushGroup(ctx context.Context, c *configpb.Change, origin string, group []string) (missing []string) {
	for len(group) > 0 {
		relay, rest := group[0], group[1:]
		answer, err := s.push(ctx, relay, &configpb.PushRequest{Change: c, Origin: origin, RelayTo: rest})
		if err != nil {
			missing = append(missing, relay)
			group = rest
			continue
		}
		if answer.Version < c.Version {
			missing = append(missing, relay)
		}
		return append(missing, answer.Missing...)
	}
	return missing
}

func (s *Store) push(ctx context.Context, address string, r *configpb.PushRequest) (*configpb.PushResponse, error) {
	timeout := leafTimeout
	if len(r.RelayTo) > 0 {
		timeout = relayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := s.peer(address).Push(ctx, connect.NewRequest(r))
	s.metrics.countPush(err)
	if err != nil {
		return nil, link.Decode(err)
	}
	s.confirm()
	return answer.Msg, nil
}

// pull fetches what follows the version in force here from a peer. It puts
// nothing in force when the peer is below atLeast, as after its restart.
func (s *Store) pull(ctx context.Context, address string, atLeast uint64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	from := s.version.Load()
	if from == nil {
		from = newVersion(&contract.Document{})
	}
	answer, err := s.peer(address).Pull(ctx, connect.NewRequest(&configpb.PullRequest{Version: from.document.Version}))
	if err != nil {
		return link.Decode(err)
	}
	s.confirm()
	next, err := from.take(answer.Msg)
	if err != nil {
		return err
	}
	if next.document.Version < atLeast {
		return code.New(code.VersionGap, "%s has version %d, %d was expected", address, next.document.Version, atLeast)
	}
	s.put(next, sourcePull)
	return nil
}

// take returns the version that an answer to a pull leads to.
func (v *version) take(answer *configpb.PullResponse) (*version, error) {
	if len(answer.Snapshot) > 0 {
		d := &contract.Document{}
		if err := json.Unmarshal(answer.Snapshot, d); err != nil {
			return nil, code.Wrap(code.Internal, err, "the snapshot of a peer is not readable")
		}
		return newVersion(d), nil
	}
	changes := make([]*Change, 0, len(answer.Changes))
	for _, m := range answer.Changes {
		c, err := decodeChange(m)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return v.follow(changes)
}

func (s *Store) peerHead(ctx context.Context, address string) (*configpb.HeadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leafTimeout)
	defer cancel()
	answer, err := s.peer(address).Head(ctx, connect.NewRequest(&configpb.HeadRequest{}))
	if err != nil {
		return nil, link.Decode(err)
	}
	return answer.Msg, nil
}

// heads asks every address for its version; instances that are starting
// themselves are left out. Instances is the highest number of live instances
// that one of them knows.
func (s *Store) heads(ctx context.Context, addresses []string) (answers []hint, instances int) {
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(fanOut)
	for _, address := range addresses {
		calls.Go(func() error {
			h, err := s.peerHead(ctx, address)
			if err != nil || !h.Started {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, hint{h.Version, address})
			instances = max(instances, int(h.Instances))
			return nil
		})
	}
	_ = calls.Wait()
	return answers, instances
}

func encodeChange(c *Change) (*configpb.Change, error) {
	edits, err := json.Marshal(c.Edits)
	if err != nil {
		return nil, code.Wrap(code.Internal, err, "encoding change %d", c.Version)
	}
	return &configpb.Change{
		Version: c.Version, Id: c.ID, Author: c.Author, TimeUnixMs: c.Time.UnixMilli(), Note: c.Note, Edits: edits,
	}, nil
}

func decodeChange(m *configpb.Change) (*Change, error) {
	c := &Change{
		Version: m.GetVersion(), ID: m.GetId(), Author: m.GetAuthor(), Time: time.UnixMilli(m.GetTimeUnixMs()).UTC(), Note: m.GetNote(),
	}
	if c.Version == 0 {
		return nil, code.New(code.MalformedBody, "a change has no version")
	}
	if err := json.Unmarshal(m.GetEdits(), &c.Edits); err != nil {
		return nil, code.Wrap(code.MalformedBody, err, "the edits of change %d are not readable", c.Version)
	}
	return c, nil
}
