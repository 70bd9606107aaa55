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
	// fanOut is the number of peers to which one instance pushes a change. If
	// there are more peers, each of these relays the change to a group of the
	// others.
	fanOut = 24
	// leafTimeout bounds a push that the receiver does not relay, and other
	// short calls.
	leafTimeout = 1500 * time.Millisecond
	// relayTimeout bounds a push that the receiver relays.
	relayTimeout = 2 * leafTimeout
	// distributeTimeout bounds the distribution of one change. It allows for
	// three relays of a group that do not respond in turn.
	distributeTimeout = 4 * relayTimeout
	// pullTimeout bounds a pull, whose response may carry a whole document.
	pullTimeout = 5 * time.Second
	// maxPeerMessageBytes bounds a message between peers.
	maxPeerMessageBytes = settings.MaxBytes
)

func (s *Store) peerClient(address string) configpbconnect.PeerClient {
	return configpbconnect.NewPeerClient(s.options.Peers.HTTP(), "http://"+address, connect.WithReadMaxBytes(maxPeerMessageBytes))
}

// distribute pushes a change to the addresses and returns those that do not
// have it in force. Origin is the address of the accepting instance.
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

// split distributes the addresses evenly over at most n groups.
func split(addresses []string, n int) [][]string {
	groups := make([][]string, min(n, len(addresses)))
	for i, a := range addresses {
		groups[i%n] = append(groups[i%n], a)
	}
	return groups
}

// pushGroup pushes to the first address of the group, which relays to the
// others. If it does not respond, the next one takes its place.
func (s *Store) pushGroup(ctx context.Context, c *configpb.Change, origin string, group []string) (missing []string) {
	for len(group) > 0 {
		relay, rest := group[0], group[1:]
		response, err := s.push(ctx, relay, &configpb.PushRequest{Change: c, Origin: origin, RelayTo: rest})
		if err != nil {
			missing = append(missing, relay)
			group = rest
			continue
		}
		if response.Version < c.Version {
			missing = append(missing, relay)
		}
		return append(missing, response.Missing...)
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
	response, err := s.peerClient(address).Push(ctx, connect.NewRequest(r))
	s.metrics.countPush(err)
	if err != nil {
		return nil, link.Decode(err)
	}
	s.confirm()
	return response.Msg, nil
}

// pull fetches the changes after the current version from a peer, or its
// document. It returns code.VersionGap and publishes nothing if the peer has a
// version below atLeast, for example because it has restarted.
func (s *Store) pull(ctx context.Context, address string, atLeast uint64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	from := s.version.Load()
	if from == nil {
		from = newVersion(&contract.Document{})
	}
	response, err := s.peerClient(address).Pull(ctx, connect.NewRequest(&configpb.PullRequest{Version: from.document.Version}))
	if err != nil {
		return link.Decode(err)
	}
	s.confirm()
	next, err := from.applyPull(response.Msg)
	if err != nil {
		return err
	}
	if next.document.Version < atLeast {
		return code.New(code.VersionGap, "%s has version %d, %d was expected", address, next.document.Version, atLeast)
	}
	s.publishFrom(next, sourcePull)
	return nil
}

// applyPull returns the version that the response to a pull leads to.
func (v *version) applyPull(response *configpb.PullResponse) (*version, error) {
	if len(response.Snapshot) > 0 {
		d := &contract.Document{}
		if err := json.Unmarshal(response.Snapshot, d); err != nil {
			return nil, code.Wrap(code.Internal, err, "the snapshot of a peer is not readable")
		}
		return newVersion(d), nil
	}
	changes := make([]*Change, 0, len(response.Changes))
	for _, m := range response.Changes {
		c, err := decodeChange(m)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return v.applyChanges(changes)
}

func (s *Store) peerHead(ctx context.Context, address string) (*configpb.HeadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leafTimeout)
	defer cancel()
	response, err := s.peerClient(address).Head(ctx, connect.NewRequest(&configpb.HeadRequest{}))
	if err != nil {
		return nil, link.Decode(err)
	}
	return response.Msg, nil
}

// peerHeads queries the versions of all addresses. It omits instances that do
// not respond or are starting themselves. Instances is the highest number of
// live instances that one of them knows.
func (s *Store) peerHeads(ctx context.Context, addresses []string) (heads []hint, instances int) {
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
			heads = append(heads, hint{h.Version, address})
			instances = max(instances, int(h.Instances))
			return nil
		})
	}
	_ = calls.Wait()
	return heads, instances
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
