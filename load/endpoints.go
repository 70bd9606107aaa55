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

// endpointTimeout bounds one question for endpoints.
const endpointTimeout = 2 * time.Second

// user is one caller: it asks for endpoints, keeps the answer for its lifetime
// and uses the first that works. It is safe for concurrent use.
type user struct {
	calls *http.Client
	key   string
	// seeds are asked when no endpoint is known; dataCentre may be empty.
	seeds      []string
	dataCentre string
	// fixed users call the seeds in turn and ask nobody.
	fixed bool

	mu        sync.Mutex
	endpoints []string
	until     time.Time
	// asking is closed when the question under way has ended; nil without one.
	asking chan struct{}
	turn   int
}

// address returns the endpoint for a request, given the number of endpoints
// that the request has tried in vain.
func (u *user) address(ctx context.Context, tried int) (string, error) {
	if u.fixed {
		return u.nextSeed(), nil
	}
	list, err := u.list(ctx)
	if err != nil {
		return "", err
	}
	return list[tried%len(list)], nil
}

func (u *user) nextSeed() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turn++
	return u.seeds[u.turn%len(u.seeds)]
}

// list returns the endpoints. While a question is under way, an answer past its
// lifetime is still used.
func (u *user) list(ctx context.Context) ([]string, error) {
	for {
		u.mu.Lock()
		if len(u.endpoints) > 0 && (time.Now().Before(u.until) || u.asking != nil) {
			list := u.endpoints
			u.mu.Unlock()
			return list, nil
		}
		asking := u.asking
		if asking == nil {
			u.asking = make(chan struct{})
			u.mu.Unlock()
			return u.refresh(ctx)
		}
		u.mu.Unlock()
		select {
		case <-asking:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (u *user) refresh(ctx context.Context) ([]string, error) {
	answer, err := u.ask(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.asking)
	u.asking = nil
	if err == nil {
		u.endpoints = u.endpoints[:0:0]
		for _, e := range answer.Endpoints {
			u.endpoints = append(u.endpoints, e.Address)
		}
		u.until = time.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
	}
	if len(u.endpoints) == 0 {
		return nil, code.New(code.PeerUnreachable, "no instance names an endpoint")
	}
	return u.endpoints, nil
}

// expire makes the next request ask anew.
func (u *user) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.until = time.Time{}
}

// ask asks the known endpoints and then the seeds, until one answers.
func (u *user) ask(ctx context.Context) (datacentre.Answer, error) {
	u.mu.Lock()
	u.turn++
	candidates := append([]string{}, u.endpoints...)
	for i := range u.seeds {
		candidates = append(candidates, u.seeds[(u.turn+i)%len(u.seeds)])
	}
	u.mu.Unlock()
	var last error
	for _, address := range candidates {
		answer, err := u.askOne(ctx, address)
		if err == nil && len(answer.Endpoints) > 0 {
			return answer, nil
		}
		last = err
	}
	return datacentre.Answer{}, last
}

func (u *user) askOne(ctx context.Context, address string) (datacentre.Answer, error) {
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
	response, err := u.calls.Do(request)
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
