package instance

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/daisylb/daisylb/instance/instancepb"
	"github.com/daisylb/daisylb/instance/instancepb/instancepbconnect"
	"github.com/daisylb/daisylb/link"
)

// userAgent replaces connect's longer default.
const userAgent = "daisylb"

// connectProber sends membership messages over connect-go.
type connectProber struct {
	client *http.Client

	mu      sync.RWMutex
	clients map[string]instancepbconnect.MembershipClient
}

// maxPeerClients bounds the clients that a prober caches; at the limit the
// whole cache is cleared. A client is small and holds no connection.
const maxPeerClients = 2048

// NewProber returns a Prober that uses an HTTP client made by
// link.NewClient.
func NewProber(client *http.Client) Prober {
	return &connectProber{client: client, clients: map[string]instancepbconnect.MembershipClient{}}
}

func (p *connectProber) clientFor(address string) instancepbconnect.MembershipClient {
	p.mu.RLock()
	c, ok := p.clients[address]
	p.mu.RUnlock()
	if ok {
		return c
	}
	c = instancepbconnect.NewMembershipClient(p.client, link.URL(address), link.ClientOptions())
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.clients) >= maxPeerClients {
		clear(p.clients)
	}
	p.clients[address] = c
	return c
}

func newRequest[T any](message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("User-Agent", userAgent)
	return r
}

// Probe implements Prober.
func (p *connectProber) Probe(ctx context.Context, address string, r *instancepb.ProbeRequest) (*instancepb.ProbeResponse, error) {
	response, err := p.clientFor(address).Probe(ctx, newRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Relay implements Prober.
func (p *connectProber) Relay(ctx context.Context, address string, r *instancepb.RelayRequest) (*instancepb.RelayResponse, error) {
	response, err := p.clientFor(address).Relay(ctx, newRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Sync implements Prober.
func (p *connectProber) Sync(ctx context.Context, address string, r *instancepb.SyncRequest) (*instancepb.SyncResponse, error) {
	response, err := p.clientFor(address).Sync(ctx, newRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// NewHandler returns the path and the HTTP handler that serve r to peers. It
// must be wrapped in link.Authenticate.
func NewHandler(r Responder) (string, http.Handler) {
	path, handler := instancepbconnect.NewMembershipHandler(&connectHandler{r}, link.HandlerOptions())
	return path, withoutDate(handler)
}

// withoutDate omits the Date header, the only header that header compression
// cannot shorten, since its value changes.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

type connectHandler struct{ responder Responder }

func (h *connectHandler) Probe(ctx context.Context, r *connect.Request[instancepb.ProbeRequest]) (*connect.Response[instancepb.ProbeResponse], error) {
	return respond(h.responder.Probe(ctx, r.Msg))
}

func (h *connectHandler) Relay(ctx context.Context, r *connect.Request[instancepb.RelayRequest]) (*connect.Response[instancepb.RelayResponse], error) {
	return respond(h.responder.Relay(ctx, r.Msg))
}

func (h *connectHandler) Sync(ctx context.Context, r *connect.Request[instancepb.SyncRequest]) (*connect.Response[instancepb.SyncResponse], error) {
	return respond(h.responder.Sync(ctx, r.Msg))
}

func respond[T any](message *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(message), nil
}
