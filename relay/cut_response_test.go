package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/relay"
	"github.com/daisylb/daisylb/relay/relaypb"
	"github.com/daisylb/daisylb/storage"
)

// TestAnswerOfAPeerWithoutAFrameIsNotTrusted guards against the answer of a peer that failed
// between two rows, or before the first, and that is taken for a whole one: it has neither
// a length nor chunks, and what has arrived can be decoded.
func TestAnswerOfAPeerWithoutAFrameIsNotTrusted(t *testing.T) {
	oneRow, err := proto.Marshal(&relaypb.Page{Rows: []*relaypb.Row{{Table: "t", Key: "k"}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string]string{"no row": "", "one row": string(oneRow)} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var wait sync.WaitGroup
			wait.Go(func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					wait.Go(func() {
						defer func() { _ = c.Close() }()
						r, err := http.ReadRequest(bufio.NewReader(c))
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n"+body)
					})
				}
			})
			t.Cleanup(func() { _ = l.Close(); wait.Wait() })
			direct := &faultyStore{}
			direct.unavailable.Store(true)
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			// Each call has a Store of its own, since a failed one stops calling the peer.
			newStore := func() *relay.Store {
				return relay.New(relay.Options{Direct: direct, Peers: func() []string { return []string{l.Addr().String()} }, Client: client})
			}
			if page, err := newStore().GetRows(t.Context(), "t", "p", "", ""); code.Of(err) != code.StoreUnavailable {
				t.Errorf("a read returned %+v and %v, want StoreUnavailable", page, err)
			}
			if _, err := newStore().GetBlob(t.Context(), "b"); code.Of(err) != code.StoreUnavailable {
				t.Errorf("the read of an object returned %v, want StoreUnavailable", err)
			}
			if _, err := newStore().ApplyRows(t.Context(), storage.RowTransaction{}); code.Of(err) != code.StoreUnknown {
				t.Errorf("a write returned %v, want StoreUnknown", err)
			}
		})
	}
}
