package relay_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/storage"
)

// TestAnswerOfAPeerWithoutEndIsGivenUp has a peer whose response never ends. A
// read must fail as if the store had not been reached, a write as if its
// response had been lost.
func TestAnswerOfAPeerWithoutEndIsGivenUp(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"header lines":      {ok, "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":              {ok + "Content-Type: application/proto\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			block := []byte(strings.Repeat(c.repeated, 1+(32<<10)/len(c.repeated)))
			var wait sync.WaitGroup
			wait.Go(func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					wait.Go(func() {
						defer func() { _ = nc.Close() }()
						if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
							return
						}
						_, err := nc.Write([]byte(c.start))
						for err == nil {
							_, err = nc.Write(block)
						}
					})
				}
			})
			direct := &faultyStore{}
			direct.unavailable.Store(true)
			client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: 64 << 10}}
			reader := relay.New(relay.Options{Direct: direct, Peers: func() []string { return []string{l.Addr().String()} }, Client: client})
			if _, err := reader.GetRows(t.Context(), "t", "p", "", ""); code.Of(err) != code.StoreUnavailable {
				t.Errorf("a read failed with %v, want StoreUnavailable", err)
			}
			writer := relay.New(relay.Options{Direct: direct, Peers: func() []string { return []string{l.Addr().String()} }, Client: client})
			if _, err := writer.ApplyRows(t.Context(), storage.RowTransaction{}); code.Of(err) != code.StoreUnknown {
				t.Errorf("a write failed with %v, want StoreUnknown", err)
			}
			client.CloseIdleConnections()
			_ = l.Close()
			wait.Wait()
		})
	}
}
