package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// resolve asks an instance which addresses to use.
func (w *world) resolve(i *instance) (addresses []string, ttl time.Duration) {
	response, err := w.client.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=occidente&zone=occ-centro", i.ip, w.ports[3], hostName))
	if err != nil {
		return nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil, 0
	}
	return answer.Addresses, time.Duration(answer.TTL * float64(time.Second))
}

// outcome is what a client saw of one streaming request.
type outcome struct {
	id, address string
	sentAt      time.Time
	endedAt     time.Time
	status      int
	whole       bool
}

// stream sends one streaming request on a new connection and reads its answer.
func (w *world) stream(address, id string, s shape) outcome {
	o := outcome{id: id, address: address, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/permiso/"+id, bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		return o
	}
	request.Host = hostName
	for name, value := range map[string]string{"X-Request-Id": id, "X-Model": "m", "X-Token-Count": "450,186", "X-Prompt-Prefix": "5c1e07a2:200," + id + ":250", "X-Deadline-Ms": "5000"} {
		request.Header.Set(name, value)
	}
	response, err := w.client.Do(request)
	o.endedAt = time.Now()
	if err != nil {
		w.logf("client: %s to %s ended without an answer: %v", id, address, err)
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	var data []string
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = append(data, text)
		}
	}
	o.endedAt = time.Now()
	o.whole = o.status == http.StatusOK && lines.Err() == nil && strings.Join(data, "\n") == s.text(id)
	w.logf("client: %s to %s ended after %.3f s with status %d, %d of %d events, whole %v, error %v", id, address, o.endedAt.Sub(o.sentAt).Seconds(), o.status, len(data), s.events, o.whole, lines.Err())
	return o
}

// playStop stops one of five instances with SIGTERM. Clients that have asked for the
// addresses just before the others know of it use the answer for three times its time.
func playStop(w *world, trouble bool) ([]string, error) {
	const clients = 60
	s := shape{slots: 8, events: 48, interval: 95 * time.Millisecond}
	if err := w.startAll(5, 9, s); err != nil {
		return nil, err
	}
	leaving := w.instances[0]
	stoppedAt := time.Now()
	killed := make(chan struct{})
	if trouble {
		w.logf("%s: gets SIGTERM", leaving.name)
		_ = leaving.command.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(graceSeconds*time.Second, func() { leaving.kill(); close(killed) })
	}
	var mu sync.Mutex
	var all []outcome
	var wait sync.WaitGroup
	for n := range clients {
		wait.Go(func() {
			// The clients ask during 0.6 s, each another one of the instances that stay.
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			addresses, ttl := w.resolve(w.instances[1+n%4])
			askedAt := time.Now()
			if len(addresses) == 0 {
				return
			}
			w.logf("client %d: asked %s, has %d addresses for %v", n, w.instances[1+n%4].name, len(addresses), ttl)
			// Some clients keep an answer for three times as long. They send now and then.
			time.Sleep(time.Until(askedAt.Add(3*ttl - 80*time.Millisecond)))
			o := w.stream(addresses[rand.IntN(len(addresses))], fmt.Sprintf("9c41d07be2a3%04x", n), s)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, o)
		})
	}
	wait.Wait()
	if trouble {
		<-killed
	}
	var broken []string
	for _, o := range all {
		runs := w.runsOf(o.id)
		sent, ended := o.sentAt.Sub(stoppedAt), o.endedAt.Sub(stoppedAt)
		switch {
		case o.whole || len(runs) == 0 || o.endedAt.Sub(o.sentAt) >= 4950*time.Millisecond:
		case trouble && o.address == leaving.front() && sent <= 3*time.Second && ended >= graceSeconds*time.Second*5/6:
			// The rule doesn't count it.
		default:
			broken = append(broken, fmt.Sprintf("LOST: request %s was sent %.3f s after the SIGTERM, passed on to a worker, and cut %.3f s after the SIGTERM without a complete answer; its deadline was %.3f s later; runs: %s",
				o.id, sent.Seconds(), ended.Seconds(), (5*time.Second-o.endedAt.Sub(o.sentAt)).Seconds(), describe(runs, w.started)))
		}
	}
	return broken, nil
}
