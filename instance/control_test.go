package instance

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/daisylb/daisylb/instance/instancepb"
)

const (
	settleDuration  = 30 * time.Second
	measureDuration = 12 * time.Second
	// segmentHeader is the size in bytes of the IPv4 and TCP headers with
	// timestamps.
	segmentHeader = 52
)

// BenchmarkControl runs members over loopback and reports the traffic and the
// resources of one member while the membership does not change.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{3, 10, 30, 60} {
		b.Run(fmt.Sprintf("http2/members=%d", n), func(b *testing.B) { measureControl(b, n, transportOptions{}) })
	}
	b.Run("http1/members=60", func(b *testing.B) { measureControl(b, 60, transportOptions{http1: true}) })
	b.Run("http2-all-in-turn-cold/members=60", func(b *testing.B) {
		measureControl(b, 60, transportOptions{probeAll: true, idleTimeout: time.Millisecond})
	})
	b.Run("http1-all-in-turn-cold/members=60", func(b *testing.B) {
		measureControl(b, 60, transportOptions{probeAll: true, idleTimeout: time.Millisecond, http1: true})
	})
}

// BenchmarkControlTable reports what the table operations of one period cost at
// sizes that are not run over loopback: one probe sent and one answered, both
// with full gossip, the expiry check, the choice of a neighbour, the view, and
// the memory held.
func BenchmarkControlTable(b *testing.B) {
	for _, n := range []int{60, 550, 2000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { measureTable(b, n) })
	}
}

func measureTable(b *testing.B, n int) {
	o := Options{Self: Identity{ID: "self"}, MaxGossipBytes: DefaultMaxGossipBytes, Neighbours: DefaultNeighbours, Period: DefaultPeriod}
	empty := heap()
	now := time.Now()
	t := newTable(&o)
	var ids []string
	for i := range n {
		id := uuid.NewSHA1(uuid.Nil, fmt.Append(nil, i)).String()
		ids = append(ids, id)
		t.merge(now, tableEntry(id, 1), false)
	}
	view := t.view()
	held := heap() - empty
	revision := uint64(1)
	payload := 0
	for b.Loop() {
		revision++
		g := &instancepb.Gossip{}
		for i := range 5 {
			g.Entries = append(g.Entries, tableEntry(ids[(int(revision)*5+i)%n], revision))
		}
		for range 2 {
			payload += proto.Size(t.gossip(now, 0))
			t.receive(now, g)
		}
		t.expire(now)
		t.neighbour()
		view = t.view()
	}
	runtime.KeepAlive(view)
	b.ReportMetric(held/1024, "state-KiB")
	b.ReportMetric(float64(payload)/float64(b.N)/2, "payload-B/message")
}

func tableEntry(id string, revision uint64) *instancepb.Entry {
	return &instancepb.Entry{
		Handle:      uint64(handleOf(id)),
		Incarnation: 1,
		Revision:    revision,
		State:       instancepb.State_STATE_SERVING,
		Version:     123_456,
		Load:        &instancepb.Load{RunningRequests: 300, QueuedRequests: 20, TokensInFlight: 40_000, ProcessorPermille: 300},
		Identity:    &instancepb.Identity{Id: id, DataCentre: "occ-centro", CallerAddress: "10.20.30.40:8443", PeerAddress: "10.20.30.40:8444"},
	}
}

// usage is the resource usage of this process at one moment.
type usage struct {
	takenAt                          time.Time
	bytes, writes, messages, payload int64
	connections                      int64
	processor                        time.Duration
}

func (l *loopback) usage() usage {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return usage{
		takenAt:     time.Now(),
		bytes:       l.traffic.bytes.Load(),
		writes:      l.traffic.writes.Load(),
		messages:    l.traffic.messages.Load(),
		payload:     l.traffic.payload.Load(),
		connections: l.traffic.connections.Load(),
		processor:   time.Duration(u.Utime.Nano() + u.Stime.Nano()),
	}
}

func heap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

func measureControl(b *testing.B, n int, transport transportOptions) {
	empty := heap()
	l := startLoopback(b, n, transport)
	defer l.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := l.waitJoined(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(settleDuration)
	b.ResetTimer()
	before := l.usage()
	time.Sleep(measureDuration)
	after := l.usage()
	b.StopTimer()
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	perMember := func(total int64) float64 { return float64(total) / seconds / float64(n) }
	messages := after.messages - before.messages
	bytes, writes := after.bytes-before.bytes, after.writes-before.writes
	b.ReportMetric(2*perMember(bytes), "B/s")
	b.ReportMetric(2*perMember(bytes+segmentHeader*(writes+messages)), "B/s-with-TCP/IP")
	b.ReportMetric(perMember(messages), "probes/s")
	b.ReportMetric(float64(bytes)/float64(messages), "B/exchange")
	b.ReportMetric(float64(after.payload-before.payload)/float64(messages), "payload-B/exchange")
	b.ReportMetric(float64(writes)/float64(messages), "writes/exchange")
	b.ReportMetric(perMember(after.connections-before.connections), "connections/s")
	b.ReportMetric(100*(after.processor-before.processor).Seconds()/seconds/float64(n), "%core")
	b.ReportMetric((heap()-empty)/float64(n)/1024, "heap-KiB")
	b.ReportMetric(0, "ns/op")
}
