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
	// URL is the base URL of its peer listener.
	URL string
}

// ExchangeOptions configure an Exchange.
type ExchangeOptions struct {
	// Dispatcher whose load is exchanged. Required.
	Dispatcher *Dispatcher
	// InstanceID names this instance to its peers. Required.
	InstanceID string
	// Peers returns the live peers. Required.
	Peers func() []Peer
	// Client of the connections between peers. Required.
	Client connect.HTTPClient
	// BytesPerSecond bounds what this instance sends and receives in exchanges
	// that it begins; 0 means defaultExchangeBytes.
	BytesPerSecond int
}

const (
	defaultExchangeBytes = 1000
	// exchangeBurst is how many bytes may be saved up for urgent exchanges.
	exchangeBurst = 8 << 10
	// exchangeOverhead is the size of the headers of one exchange.
	exchangeOverhead = 200
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
)

// Exchange keeps instances informed of each other's load on the upstreams. It
// exchanges digests with one random peer at a time, and at once with those
// whose batch work is in the way of online work.
type Exchange struct {
	options ExchangeOptions
	limiter *rate.Limiter
	urgent  chan struct{}
}

// NewExchange returns an Exchange.
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
	o.Dispatcher.sched.setUrgent(func() {
		select {
		case e.urgent <- struct{}{}:
		default:
		}
	})
	return e, nil
}

// Handler returns the path and the handler of the peer service.
func (e *Exchange) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return upstreampbconnect.NewDigestServiceHandler(e, options...)
}

// Push implements the peer service.
func (e *Exchange) Push(_ context.Context, r *connect.Request[upstreampb.PushRequest]) (*connect.Response[upstreampb.PushResponse], error) {
	if r.Msg.GetInstance() == "" || r.Msg.GetInstance() == e.options.InstanceID {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the digest has no instance of a peer"))
	}
	e.options.Dispatcher.observeWire(r.Msg.GetInstance(), r.Msg.GetDigest())
	return connect.NewResponse(&upstreampb.PushResponse{Digest: e.options.Dispatcher.wireDigest()}), nil
}

// Run exchanges digests until ctx ends.
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

func (e *Exchange) pushUrgent(ctx context.Context) {
	holders := e.options.Dispatcher.batchPeers()
	for _, p := range e.options.Peers() {
		if holders[p.ID] {
			e.exchange(ctx, p)
		}
	}
}

// exchange sends the digest to a peer and takes in its answer, unless the
// budget of bytes is used up.
func (e *Exchange) exchange(ctx context.Context, p Peer) {
	message := &upstreampb.PushRequest{Instance: e.options.InstanceID, Digest: e.options.Dispatcher.wireDigest()}
	size := 2*proto.Size(message) + exchangeOverhead
	if !e.limiter.AllowN(time.Now(), min(size, exchangeBurst)) {
		e.options.Dispatcher.metrics.exchangesSkipped.Inc()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := upstreampbconnect.NewDigestServiceClient(e.options.Client, p.URL)
	answer, err := client.Push(ctx, connect.NewRequest(message))
	if err != nil {
		e.options.Dispatcher.log.Debug("peer load exchange failed", zap.String("peer", p.ID), zap.Error(err))
		return
	}
	e.options.Dispatcher.observeWire(p.ID, answer.Msg.GetDigest())
}

// wireDigest returns this instance's load as peers exchange it.
func (d *Dispatcher) wireDigest() *upstreampb.Digest { return d.Digest().wire() }

// wire returns a digest as peers exchange it.
func (g Digest) wire() *upstreampb.Digest {
	digest := &upstreampb.Digest{
		Sequence:      g.Sequence,
		BatchWaiting:  uint32(g.BatchWaiting),
		BatchLate:     uint32(g.BatchLate),
		OnlineWaiting: uint32(g.OnlineWaiting),
		OnlineLate:    uint32(g.OnlineLate),
	}
	for _, l := range g.Loads {
		digest.Loads = append(digest.Loads, &upstreampb.Load{
			Upstream: hashUpstream(l.Upstream),
			Online:   uint32(l.Online),
			Batch:    uint32(l.Batch),
		})
	}
	return digest
}

// maxPeerCount bounds a count in a peer's digest.
const maxPeerCount = 1 << 16

// observeWire takes in the load of a peer.
func (d *Dispatcher) observeWire(peer string, digest *upstreampb.Digest) {
	f := d.fleet.Load()
	observed := Digest{
		Sequence:      digest.GetSequence(),
		BatchWaiting:  int(min(digest.GetBatchWaiting(), maxPeerCount)),
		BatchLate:     int(min(digest.GetBatchLate(), maxPeerCount)),
		OnlineWaiting: int(min(digest.GetOnlineWaiting(), maxPeerCount)),
		OnlineLate:    int(min(digest.GetOnlineLate(), maxPeerCount)),
	}
	for _, l := range digest.GetLoads() {
		if id, ok := f.hashed[l.GetUpstream()]; ok {
			observed.Loads = append(observed.Loads, PeerLoad{
				Upstream: id,
				Online:   int(min(l.GetOnline(), maxPeerCount)),
				Batch:    int(min(l.GetBatch(), maxPeerCount)),
			})
		}
	}
	d.ObserveDigest(peer, observed)
}

// hashUpstream shortens an upstream's id for the wire.
func hashUpstream(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
