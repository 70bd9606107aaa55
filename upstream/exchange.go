package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/upstream/upstreampb"
	"github.com/daisylb/daisylb/upstream/upstreampb/upstreampbconnect"
)

// Peer is another instance that shares upstreams with this one.
type Peer struct {
	// ID is the instance's id.
	ID string
	// URL is the base URL of the instance's peer listener.
	URL string
}

// ExchangeOptions configures an Exchange.
type ExchangeOptions struct {
	// Dispatcher whose load is exchanged. Required.
	Dispatcher *Dispatcher
	// InstanceID identifies this instance to its peers. Required.
	InstanceID string
	// Peers returns the live peers. Required.
	Peers func() []Peer
	// Client is the HTTP client for connections to peers. Required.
	Client connect.HTTPClient
	// BytesPerSecond limits the traffic, in both directions, of the exchanges that this
	// instance starts; 0 means defaultExchangeBytes.
	BytesPerSecond int
}

const (
	// defaultExchangeBytes is in bytes per second.
	defaultExchangeBytes = 1000
	// exchangeBurst is the number of unused bytes that may accumulate for urgent
	// exchanges.
	exchangeBurst = 8 << 10
	// exchangeOverhead is the approximate size of the headers of one exchange, in
	// bytes.
	exchangeOverhead = 200
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
)

// Exchange keeps instances informed of each other's load on the upstreams. It exchanges
// digests with one random peer at every interval, and immediately with those peers
// whose batch work occupies slots that online work needs.
type Exchange struct {
	options ExchangeOptions
	limiter *rate.Limiter
	urgent  chan struct{}
}

// NewExchange returns an Exchange. It returns an error if a required option is missing.
func NewExchange(o ExchangeOptions) (*Exchange, error) {
	if o.Dispatcher == nil || o.InstanceID == "" || o.Peers == nil || o.Client == nil {
		return nil, errors.New("upstream: ExchangeOptions lacks a required field")
	}
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = defaultExchangeBytes
	}
	e := &Exchange{
		options: o,
		limiter: rate.NewLimiter(rate.Limit(o.BytesPerSecond), exchangeBurst),
		urgent:  make(chan struct{}, 1),
	}
	o.Dispatcher.sched.setOnPeersBlocking(func() {
		select {
		case e.urgent <- struct{}{}:
		default:
		}
	})
	return e, nil
}

// Handler returns the path and the handler of the digest service for peers.
func (e *Exchange) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return upstreampbconnect.NewDigestServiceHandler(e, options...)
}

// Push implements the digest service: it records the load of a peer and returns this
// instance's.
func (e *Exchange) Push(_ context.Context, r *connect.Request[upstreampb.PushRequest]) (*connect.Response[upstreampb.PushResponse], error) {
	if r.Msg.GetInstance() == "" || r.Msg.GetInstance() == e.options.InstanceID {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the digest has no instance of a peer"))
	}
	e.options.Dispatcher.observeProto(r.Msg.GetInstance(), r.Msg.GetDigest())
	return connect.NewResponse(&upstreampb.PushResponse{Digest: e.options.Dispatcher.protoDigest()}), nil
}

// Run exchanges digests until ctx ends. It always returns nil.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if peers := e.options.Peers(); len(peers) > 0 {
				e.exchange(ctx, peers[rand.IntN(len(peers))])
			}
		case <-e.urgent:
			e.pushUrgent(ctx)
		}
	}
}

// pushUrgent exchanges digests with the peers whose batch work blocks online work.
func (e *Exchange) pushUrgent(ctx context.Context) {
	blocking := e.options.Dispatcher.peersBlockingOnline()
	for _, p := range e.options.Peers() {
		if blocking[p.ID] {
			e.exchange(ctx, p)
		}
	}
}

// exchange sends this instance's digest to a peer and records the digest in the
// response. It skips the exchange if the byte budget is used up.
func (e *Exchange) exchange(ctx context.Context, p Peer) {
	message := &upstreampb.PushRequest{Instance: e.options.InstanceID, Digest: e.options.Dispatcher.protoDigest()}
	size := 2*proto.Size(message) + exchangeOverhead
	if !e.limiter.AllowN(time.Now(), min(size, exchangeBurst)) {
		e.options.Dispatcher.metrics.exchangesSkipped.Inc()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := upstreampbconnect.NewDigestServiceClient(e.options.Client, p.URL)
	response, err := client.Push(ctx, connect.NewRequest(message))
	if err != nil {
		e.options.Dispatcher.log.Debug("peer load exchange failed", zap.String("peer", p.ID), zap.Error(err))
		return
	}
	e.options.Dispatcher.observeProto(p.ID, response.Msg.GetDigest())
}

// protoDigest returns this instance's load in the form that peers exchange.
func (d *Dispatcher) protoDigest() *upstreampb.Digest { return d.Digest().toProto() }

// toProto returns a digest in the form that peers exchange.
func (d Digest) toProto() *upstreampb.Digest {
	digest := &upstreampb.Digest{
		Sequence:      d.Sequence,
		BatchWaiting:  uint32(d.BatchWaiting),
		BatchLate:     uint32(d.BatchLate),
		OnlineWaiting: uint32(d.OnlineWaiting),
		OnlineLate:    uint32(d.OnlineLate),
	}
	for _, l := range d.Loads {
		digest.Loads = append(digest.Loads, &upstreampb.Load{
			Upstream:  hashUpstream(l.Upstream),
			Online:    uint32(l.Online),
			Batch:     uint32(l.Batch),
			SpacingUs: uint32(min(l.Spacing, maxPeerSpacing).Microseconds()),
		})
	}
	now := time.Now()
	for _, o := range d.Observations {
		digest.Observations = append(digest.Observations, &upstreampb.Observation{
			Upstream: hashUpstream(o.Upstream),
			AgeMs:    uint32(min(max(now.Sub(o.At), 0), maxObservationAge).Milliseconds()),
			Heard:    o.Heard,
		})
	}
	for _, a := range d.Accounts {
		digest.Accounts = append(digest.Accounts, &upstreampb.AccountLoad{Account: a.Hash, Running: uint32(a.Running)})
	}
	return digest
}

// maxObservationAge is the age with which older observations are sent.
const maxObservationAge = time.Minute

// maxPeerCount limits each count in a peer's digest.
const maxPeerCount = 1 << 16

// observeProto records a digest received from a peer.
func (d *Dispatcher) observeProto(peer string, digest *upstreampb.Digest) {
	f := d.fleet.Load()
	observed := Digest{
		Sequence:      digest.GetSequence(),
		BatchWaiting:  int(min(digest.GetBatchWaiting(), maxPeerCount)),
		BatchLate:     int(min(digest.GetBatchLate(), maxPeerCount)),
		OnlineWaiting: int(min(digest.GetOnlineWaiting(), maxPeerCount)),
		OnlineLate:    int(min(digest.GetOnlineLate(), maxPeerCount)),
	}
	for i, a := range digest.GetAccounts() {
		if i < maxAccountLoads {
			observed.Accounts = append(observed.Accounts, AccountLoad{Hash: a.GetAccount(), Running: int(min(a.GetRunning(), maxPeerCount))})
		}
	}
	for _, l := range digest.GetLoads() {
		load := PeerLoad{
			Upstream: f.idsByHash[l.GetUpstream()],
			Online:   int(min(l.GetOnline(), maxPeerCount)),
			Batch:    int(min(l.GetBatch(), maxPeerCount)),
			Spacing:  min(time.Duration(l.GetSpacingUs())*time.Microsecond, maxPeerSpacing),
		}
		switch {
		case load.Upstream != "":
			observed.Loads = append(observed.Loads, load)
		case load.Online+load.Batch > 0 && len(observed.unknownLoads) < maxUnknownLoads:
			observed.unknownLoads = append(observed.unknownLoads, hashedLoad{l.GetUpstream(), load})
		}
	}
	now := time.Now()
	for _, o := range digest.GetObservations()[:min(len(digest.GetObservations()), maxObservations)] {
		if id, ok := f.idsByHash[o.GetUpstream()]; ok {
			age := time.Duration(o.GetAgeMs()) * time.Millisecond
			observed.Observations = append(observed.Observations, Observation{id, now.Add(-age), o.GetHeard()})
		}
	}
	d.ObserveDigest(peer, observed)
}

// hashUpstream shortens an upstream's id for digests between peers.
func hashUpstream(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
