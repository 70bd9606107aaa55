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

// maxPeers bounds the kept connections to peers that are no longer live.
const maxPeers = 64

// avoidTime is how long a peer that did not answer is passed over.
const avoidTime = 2 * time.Second

// peers keeps the Claims services of owners by address.
type peers struct {
	dial func(address string) claimpbconnect.ClaimsClient

	mu        sync.Mutex
	byAddress map[string]*peer
}

// peer is the Claims service of one address.
type peer struct {
	claimpbconnect.ClaimsClient

	// avoidUntil is a Unix time in nanoseconds.
	avoidUntil atomic.Int64
}

func newPeers(dial func(string) claimpbconnect.ClaimsClient) *peers {
	return &peers{dial: dial, byAddress: map[string]*peer{}}
}

func (p *peers) at(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.byAddress[address]; ok {
		return known
	}
	if len(p.byAddress) >= maxPeers {
		clear(p.byAddress)
	}
	dialled := &peer{ClaimsClient: p.dial(address)}
	p.byAddress[address] = dialled
	return dialled
}

func (p *peer) isAvoided(now time.Time) bool { return now.UnixNano() < p.avoidUntil.Load() }

func (p *peer) avoid(now time.Time) { p.avoidUntil.Store(now.Add(avoidTime).UnixNano()) }

// forward asks a peer to commit a row and reports whether it answered. An answer
// that does not come leaves the outcome unknown. A peer that did not answer is
// not asked for a while.
func (s *Service) forward(ctx context.Context, to Peer, row string, version uint64, record *claimpb.Record, answer []byte) (r reply, reached bool) {
	p := s.peers.at(to.Address)
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

// Handler serves the commits of other instances; it belongs on the peers'
// listener only.
func (s *Service) Handler(options ...connect.HandlerOption) (path string, handler http.Handler) {
	return claimpbconnect.NewClaimsHandler(claimsHandler{s}, options...)
}

// claimsHandler commits rows that other instances forward.
type claimsHandler struct{ service *Service }

// Commit implements the Claims service. It commits whether or not this
// instance takes itself for the owner.
func (h claimsHandler) Commit(ctx context.Context, request *connect.Request[claimpb.CommitRequest]) (*connect.Response[claimpb.CommitResponse], error) {
	m := request.Msg
	if m.Record == nil || len(m.Key) != len(rowPrefix)+2*rowKeyBytes || !strings.HasPrefix(m.Key, rowPrefix) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errRow)
	}
	s := h.service
	group := groupOf(m.Key, s.options.Groups)
	r := commitThrough(ctx, s.owned[group], s.ownedPacks[group], m.Key, m.Version, m.Record, m.Answer)
	return connect.NewResponse(toResponse(r)), nil
}

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
