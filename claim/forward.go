package claim

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/daisylb/daisylb/claim/claimpb"
	"github.com/daisylb/daisylb/claim/claimpb/claimpbconnect"
)

// maxPeers bounds the clients that are kept, so that those of peers that are no longer
// live do not accumulate.
const maxPeers = 64

// avoidDuration is how long no rows are forwarded to a peer that did not reply.
const avoidDuration = 2 * time.Second

// peers has the clients of the Claims services of peers by address. It is safe for
// concurrent use.
type peers struct {
	dial func(address string) claimpbconnect.ClaimsClient

	mu        sync.Mutex
	byAddress map[string]*peer
}

// peer is the client of the Claims service at one address.
type peer struct {
	claimpbconnect.ClaimsClient

	// avoidUntil is a Unix time in nanoseconds.
	avoidUntil atomic.Int64
}

func newPeers(dial func(string) claimpbconnect.ClaimsClient) *peers {
	return &peers{dial: dial, byAddress: map[string]*peer{}}
}

// client returns the client for an address. All clients are dropped when there are
// maxPeers.
func (p *peers) client(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.byAddress[address]; ok {
		return existing
	}
	if len(p.byAddress) >= maxPeers {
		clear(p.byAddress)
	}
	added := &peer{ClaimsClient: p.dial(address)}
	p.byAddress[address] = added
	return added
}

func (p *peer) isAvoided(now time.Time) bool { return now.UnixNano() < p.avoidUntil.Load() }

func (p *peer) avoid(now time.Time) { p.avoidUntil.Store(now.Add(avoidDuration).UnixNano()) }

// forward sends a row to a peer, which commits it. reached reports whether the peer
// replied. Without a reply the outcome is unknown, and the peer is avoided for a while
// unless ctx has ended.
func (s *Service) forward(ctx context.Context, to Peer, row string, version uint64, record *claimpb.Record, answer []byte) (r reply, reached bool) {
	p := s.peers.client(to.Address)
	if p.isAvoided(time.Now()) {
		return reply{outcome: unavailable}, false
	}
	ownerCtx, cancel := context.WithTimeout(ctx, s.options.OwnerTimeout)
	defer cancel()
	request := connect.NewRequest(&claimpb.CommitRequest{Key: row, Version: version, Record: record, Answer: answer})
	response, err := p.Commit(ownerCtx, request)
	if err != nil {
		s.metrics.forwards.WithLabelValues(connect.CodeOf(err).String()).Inc()
		if ctx.Err() == nil {
			p.avoid(time.Now())
		}
		return reply{outcome: unknown}, false
	}
	s.metrics.forwards.WithLabelValues("ok").Inc()
	return fromResponse(response.Msg), true
}

// fromResponse converts the response of a peer.
func fromResponse(m *claimpb.CommitResponse) reply {
	r := reply{outcome: unknown, version: m.Version, present: m.Present}
	switch m.Outcome {
	case claimpb.Outcome_OUTCOME_APPLIED:
		r.outcome = applied
	case claimpb.Outcome_OUTCOME_CONFLICT:
		r.outcome = conflict
	case claimpb.Outcome_OUTCOME_UNAVAILABLE:
		r.outcome = unavailable
	}
	return r
}

// Handler returns the handler that commits rows for other instances. It must be
// served only on the peers' listener.
func (s *Service) Handler(options ...connect.HandlerOption) (path string, handler http.Handler) {
	return claimpbconnect.NewClaimsHandler(claimsHandler{s}, options...)
}

// claimsHandler implements the Claims service.
type claimsHandler struct{ service *Service }

// Commit commits a row that another instance forwards, whether or not this instance
// considers itself the owner of the group.
func (h claimsHandler) Commit(ctx context.Context, request *connect.Request[claimpb.CommitRequest]) (*connect.Response[claimpb.CommitResponse], error) {
	m := request.Msg
	if m.Record == nil || len(m.Key) != len(rowPrefix)+2*rowKeyBytes || !strings.HasPrefix(m.Key, rowPrefix) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errInvalidRowKey)
	}
	s := h.service
	group := groupOf(m.Key, s.options.Groups)
	r := commitThrough(ctx, s.groupCommitters[group], s.groupPackers[group], m.Key, m.Version, m.Record, m.Answer)
	return connect.NewResponse(toResponse(r)), nil
}

// toResponse converts a reply for the requesting peer.
func toResponse(r reply) *claimpb.CommitResponse {
	m := &claimpb.CommitResponse{Version: r.version, Present: r.present}
	switch r.outcome {
	case applied:
		m.Outcome = claimpb.Outcome_OUTCOME_APPLIED
	case conflict:
		m.Outcome = claimpb.Outcome_OUTCOME_CONFLICT
	case unavailable:
		m.Outcome = claimpb.Outcome_OUTCOME_UNAVAILABLE
	default:
		m.Outcome = claimpb.Outcome_OUTCOME_UNKNOWN
	}
	return m
}
