package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/datacentre"
)

// endpointTimeout bounds one request for the list of endpoints.
const endpointTimeout = 2 * time.Second

// virtualUser simulates one caller: it requests the list of endpoints, keeps it
// for its TTL and uses the first endpoint that works. It is safe for concurrent
// use.
type virtualUser struct {
	client *http.Client
	key    string
	// seeds are the instances to query when no endpoint is known. dataCentre
	// may be empty.
	seeds      []string
	dataCentre string
	// fixed users send to the seeds in turn and request no endpoints.
	fixed bool

	mu        sync.Mutex
	endpoints []string
	expiresAt time.Time
	// refreshing is closed when the current request for endpoints has ended. It
	// is nil when there is none.
	refreshing chan struct{}
	// rotation grows with each use of the seeds and selects the next one.
	rotation int
}

// address returns the endpoint to use for a request that has already tried a
// number of endpoints without success.
func (u *virtualUser) address(ctx context.Context, tried int) (string, error) {
	if u.fixed {
		return u.nextSeed(), nil
	}
	list, err := u.list(ctx)
	if err != nil {
		return "", err
	}
	return list[tried%len(list)], nil
}

func (u *virtualUser) nextSeed() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rotation++
	return u.seeds[u.rotation%len(u.seeds)]
}

// list returns the endpoints. While they are being refreshed, an expired list
// is still used.
func (u *virtualUser) list(ctx context.Context) ([]string, error) {
	for {
		u.mu.Lock()
		if len(u.endpoints) > 0 && (time.Now().Before(u.expiresAt) || u.refreshing != nil) {
			list := u.endpoints
			u.mu.Unlock()
			return list, nil
		}
		refreshing := u.refreshing
		if refreshing == nil {
			u.refreshing = make(chan struct{})
			u.mu.Unlock()
			return u.refresh(ctx)
		}
		u.mu.Unlock()
		select {
		case <-refreshing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// refresh requests the endpoints. When no instance responds it returns the last
// known ones, or an error when there are none.
func (u *virtualUser) refresh(ctx context.Context) ([]string, error) {
	answer, err := u.fetch(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.refreshing)
	u.refreshing = nil
	if err == nil {
		u.endpoints = u.endpoints[:0:0]
		for _, e := range answer.Endpoints {
			u.endpoints = append(u.endpoints, e.Address)
		}
		u.expiresAt = time.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
	}
	if len(u.endpoints) == 0 {
		return nil, code.New(code.PeerUnreachable, "no instance names an endpoint")
	}
	return u.endpoints, nil
}

// expire makes the next request refresh the endpoints.
func (u *virtualUser) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expiresAt = time.Time{}
}

// fetch queries the known endpoints and then the seeds, until one responds with
// endpoints.
func (u *virtualUser) fetch(ctx context.Context) (datacentre.Answer, error) {
	u.mu.Lock()
	u.rotation++
	candidates := append([]string{}, u.endpoints...)
	for i := range u.seeds {
		candidates = append(candidates, u.seeds[(u.rotation+i)%len(u.seeds)])
	}
	u.mu.Unlock()
	var lastErr error
	for _, address := range candidates {
		answer, err := u.fetchFrom(ctx, address)
		if err == nil && len(answer.Endpoints) > 0 {
			return answer, nil
		}
		lastErr = err
	}
	return datacentre.Answer{}, lastErr
}

func (u *virtualUser) fetchFrom(ctx context.Context, address string) (datacentre.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, endpointTimeout)
	defer cancel()
	var answer datacentre.Answer
	target := "http://" + address + datacentre.Path
	if u.dataCentre != "" {
		target += "?data_centre=" + url.QueryEscape(u.dataCentre)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, err
	}
	request.Header.Set("Authorization", "Bearer "+u.key)
	response, err := u.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, code.New(code.PeerUnreachable, "status %d from %s", response.StatusCode, address)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}
