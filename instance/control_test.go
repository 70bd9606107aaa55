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
	settleTime  = 30 * time.Second
	measureTime = 12 * time.Second
	// segmentHeader is the IPv4 and TCP header with time stamps.
	segmentHeader = 52
)

// BenchmarkControl runs members over loopback and reports what one member of a
// quiet membership sends and receives, and what it costs.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{3, 10, 30, 60} {
		b.Run(fmt.Sprintf("http2/members=%d", n), func(b *testing.B) { measureControl(b, n, wire{}) })
	}
	b.Run("http1/members=60", func(b *testing.B) { measureControl(b, 60, wire{http1: true}) })
	b.Run("http2-all-in-turn-cold/members=60", func(b *testing.B) { measureControl(b, 60, wire{all: true, idle: time.Millisecond}) })
	b.Run("http1-all-in-turn-cold/members=60", func(b *testing.B) {
		measureControl(b, 60, wire{all: true, idle: time.Millisecond, http1: true})
	})
}

// BenchmarkControlTable reports what the table work of one period costs at
// sizes that are not run over loopback: a probe sent and one answered, all with
// full gossip, the checks of a period, the view, and the state held.
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

// sample is the use of the process at one moment.
type sample struct {
	at                               time.Time
	bytes, writes, messages, payload int64
	connections                      int64
	processor                        time.Duration
}

func (l *loopback) sample() sample {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return sample{
		at:          time.Now(),
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

func measureControl(b *testing.B, n int, w wire) {
	empty := heap()
	l := startLoopback(b, n, w)
	defer l.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := l.joined(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(settleTime)
	b.ResetTimer()
	before := l.sample()
	time.Sleep(measureTime)
	after := l.sample()
	b.StopTimer()
	seconds := after.at.Sub(before.at).Seconds()
	each := func(total int64) float64 { return float64(total) / seconds / float64(n) }
	messages := after.messages - before.messages
	bytes, writes := after.bytes-before.bytes, after.writes-before.writes
	b.ReportMetric(2*each(bytes), "B/s")
	b.ReportMetric(2*each(bytes+segmentHeader*(writes+messages)), "B/s-with-TCP/IP")
	b.ReportMetric(each(messages), "probes/s")
	b.ReportMetric(float64(bytes)/float64(messages), "B/exchange")
	b.ReportMetric(float64(after.payload-before.payload)/float64(messages), "payload-B/exchange")
	b.ReportMetric(float64(writes)/float64(messages), "writes/exchange")
	b.ReportMetric(each(after.connections-before.connections), "connections/s")
	b.ReportMetric(100*(after.processor-before.processor).Seconds()/seconds/float64(n), "%core")
	b.ReportMetric((heap()-empty)/float64(n)/1024, "heap-KiB")
	b.ReportMetric(0, "ns/op")
}
