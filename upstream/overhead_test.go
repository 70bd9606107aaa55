package upstream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/daisylb/daisylb/contract"
)

const overheadChunks = 32

// chunkInterval separates the chunks, as an engine does, so that a reader does not find
// several at once.
const chunkInterval = 200 * time.Microsecond

// staticEngine sends a fixed stream.
func staticEngine(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := "chatcmpl-" + r.Header.Get("X-Request-Id")
	for i := range overheadChunks {
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word%d\"},\"finish_reason\":null}]}\n\n", id, i)
		w.(http.Flusher).Flush()
		time.Sleep(chunkInterval)
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
}

// bareForwarder returns a handler that copies requests and responses, and does nothing
// else.
func bareForwarder(transport *http.Transport, address string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, r.Body)
		if err != nil {
			panic(err)
		}
		request.ContentLength = r.ContentLength
		response, err := transport.RoundTrip(request)
		if err != nil {
			panic(err)
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		buffer := make([]byte, 32<<10)
		for {
			n, err := response.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			w.(http.Flusher).Flush()
			if err != nil {
				return
			}
		}
	}
}

// dispatchHandler returns a handler that parses the request, runs it and writes events,
// as a listener does.
func dispatchHandler(d *Dispatcher) http.HandlerFunc {
	type event struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason string `json:"finish_reason,omitempty"`
		} `json:"choices"`
	}
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(err)
		}
		c := contract.Completion{RequestID: "r", Account: "acme", Service: "chat", Deadline: time.Now().Add(time.Minute)}
		if err := json.Unmarshal(body, &c.Chat); err != nil {
			panic(err)
		}
		e := event{ID: "r", Choices: make([]struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason string `json:"finish_reason,omitempty"`
		}, 1)}
		err = d.Complete(r.Context(), &c, func(chunk contract.Chunk) error {
			e.Choices[0].Delta.Content = chunk.Text
			e.Choices[0].FinishReason = chunk.FinishReason
			data, err := json.Marshal(e)
			if err != nil {
				return err
			}
			_, _ = w.Write([]byte("data: "))
			_, _ = w.Write(data)
			_, err = w.Write([]byte("\n\n"))
			w.(http.Flusher).Flush()
			return err
		})
		if err != nil {
			panic(err)
		}
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOverhead compares the CPU time of a request that goes directly to an engine,
// through a bare forwarder, and through the dispatcher. Client and servers run in this
// process; added-ratio is the time that the dispatcher adds divided by the time that
// the bare forwarder adds.
func BenchmarkOverhead(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(staticEngine))
	defer upstream.Close()
	address := upstream.Listener.Addr().String()
	h := newHarness(b, 0, fastEngine, func(o *Options, d *contract.Document) {
		o.PollInterval = time.Second
		d.Upstreams["u"] = contract.Upstream{Address: address, Services: []string{"chat"}, Slots: 64}
	})
	defer h.close()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	bare := httptest.NewServer(bareForwarder(transport, address))
	defer bare.Close()
	ours := httptest.NewServer(dispatchHandler(h.Dispatcher))
	defer ours.Close()
	body, err := json.Marshal(call(contract.Online, "x", 0).Chat)
	if err != nil {
		b.Fatal(err)
	}
	urls := []string{upstream.URL, bare.URL, ours.URL}
	samples := make([][]float64, len(urls))
	for b.Loop() {
		for range overheadRounds {
			for i, url := range urls {
				samples[i] = append(samples[i], overheadRound(b, url, body))
			}
		}
	}
	for i := range samples {
		slices.Sort(samples[i])
	}
	median := func(i int) float64 { return samples[i][len(samples[i])/2] }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(median(0), "direct-cpu-us")
	b.ReportMetric(median(1), "bare-cpu-us")
	b.ReportMetric(median(2), "dispatcher-cpu-us")
	b.ReportMetric((median(2)-median(0))/(median(1)-median(0)), "added-ratio")
}

const (
	// overheadRounds is the number of rounds. The variants alternate in each, since
	// other work on the machine varies.
	overheadRounds   = 11
	overheadRequests = 400
	overheadAtOnce   = 40
)

// overheadRound returns the CPU time of a request in microseconds.
func overheadRound(b *testing.B, url string, body []byte) float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadAtOnce}}
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	before := cpuTime()
	for range overheadAtOnce {
		wait.Go(func() {
			for range overheadRequests / overheadAtOnce {
				postChat(b, client, url, body)
			}
		})
	}
	wait.Wait()
	return float64((cpuTime() - before).Microseconds()) / overheadRequests
}

func postChat(b *testing.B, client *http.Client, url string, body []byte) {
	response, err := client.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || n < overheadChunks || response.StatusCode != http.StatusOK {
		b.Errorf("status %d, %d bytes, %v", response.StatusCode, n, err)
	}
	_ = response.Body.Close()
}
