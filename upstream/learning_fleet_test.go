package upstream

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/daisylb/daisylb/contract"
)

// learningFleet is a fleet of instances that share all workers and exchange digests.
type learningFleet struct {
	dispatchers []*Dispatcher
	wait        sync.WaitGroup
}

// learningOptions are the options of a learningFleet. Instances up to learning learn the
// capacity of workers, which have slots slots.
type learningOptions struct {
	instances, learning, slots int
	log                        *zap.Logger
}

// newLearningFleet starts instances that run until ctx ends.
func newLearningFleet(ctx context.Context, t *testing.T, o learningOptions, dial func(context.Context, string, string) (net.Conn, error), workers []*scriptedWorker) *learningFleet {
	f := &learningFleet{}
	document := newForwarder(t, workers...).options.Document()
	document.Preset, document.Presets = "ordinary", map[string]contract.Preset{"ordinary": {BatchShare: 1, AdmitOnline: true}}
	for id, u := range document.Upstreams {
		u.Slots = o.slots
		document.Upstreams[id] = u
	}
	if o.log == nil {
		o.log = zap.NewNop()
	}
	group := PeerGroup{}
	for i := range o.instances {
		group.Addresses = append(group.Addresses, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)))
		d, err := New(Options{Document: func() *contract.Document { return document }, DataCentre: "a", InstanceID: instanceName(i), SubsetSize: len(workers),
			Seed: uint64(i + 1), Wire: testWire{}, Logger: o.log, Transport: &http.Transport{DialContext: dial}, LearnCapacity: i < o.learning})
		if err != nil {
			t.Fatal(err)
		}
		f.dispatchers = append(f.dispatchers, d)
	}
	for i, d := range f.dispatchers {
		b := newBroadcast(BroadcastOptions{Dispatcher: d, InstanceID: instanceName(i), Peers: func() []PeerGroup { return []PeerGroup{group} }, Log: o.log})
		b.send = func(peers []netip.AddrPort, digest Digest) { f.deliver(i, peers, digest) }
		f.wait.Go(func() { b.sendLoop(ctx) })
		f.wait.Go(func() {
			runEvery(ctx, 100*time.Millisecond, func(context.Context) { d.current(); d.sched.sweep(time.Now()) })
		})
		if i < o.learning {
			f.wait.Go(func() {
				runEvery(ctx, watchInterval, func(context.Context) { d.sched.watchTargets(time.Now()) })
			})
		}
	}
	return f
}

// deliver passes a digest of instance i to the others.
func (f *learningFleet) deliver(i int, peers []netip.AddrPort, digest Digest) {
	message := digest.toProto()
	time.AfterFunc(digestDelay, func() {
		for _, p := range peers {
			j := int(p.Port())
			if j != i {
				f.dispatchers[j].observeProto(instanceName(i), message)
			}
		}
	})
}

// streams sends online requests that may run once, at random times, until ctx ends.
type streams struct {
	rate  float64
	until time.Duration
	// instance returns the instance of request n; nil means each in turn.
	instance func(n int) int
	// leaveAfter is how long a caller waits for an event; 0 means until its deadline.
	leaveAfter time.Duration
	// done is called with the result of each request.
	done func(instance int, took time.Duration, err error, firstEvent time.Duration)
}

// run sends the requests and waits for them.
func (s streams) run(t *testing.T, f *learningFleet) {
	var callers sync.WaitGroup
	random := rand.New(rand.NewPCG(3, 3))
	for n, start := 0, time.Now(); time.Since(start) < s.until; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
		i := n % len(f.dispatchers)
		if s.instance != nil {
			i = s.instance(n)
		}
		call := streamCall(fmt.Sprint("o", n), false)
		call.Class, call.MaxAttempts, call.Objective = contract.Online, 1, 300*time.Millisecond
		call.Deadline, call.MaxGap = time.Now().Add(5*time.Second), 2*time.Second
		callers.Go(func() {
			sentAt, first := time.Now(), atomic.Int64{}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			patience := time.AfterFunc(cmp.Or(s.leaveAfter, time.Minute), leave)
			defer patience.Stop()
			sink := &answerSink{wrote: func() {
				patience.Reset(cmp.Or(s.leaveAfter, time.Minute))
				first.CompareAndSwap(0, int64(time.Since(sentAt)))
			}}
			err := f.dispatchers[i].Forward(ctx, call, sink)
			if s.done != nil {
				s.done(i, time.Since(sentAt), err, time.Duration(first.Load()))
			}
		})
	}
	callers.Wait()
}

// workerFirstEvent, workerSpacing and workerEvents are those of the deployments' upstreams.
const workerFirstEvent, workerSpacing, workerEvents = 45 * time.Millisecond, 40 * time.Millisecond, 18

// writeAnswer writes a whole answer. pause waits for the time until the next event, or
// longer; nil means time.Sleep.
func writeAnswer(c net.Conn, q *http.Request, pause func(time.Duration)) {
	if pause == nil {
		pause = time.Sleep
	}
	pause(workerFirstEvent)
	_, err := c.Write([]byte(streamHead(q, "") + chunk(event(1))))
	for n := 2; n <= workerEvents && err == nil; n++ {
		pause(workerSpacing)
		_, err = c.Write([]byte(chunk(event(n))))
	}
	_, _ = c.Write([]byte(endOfChunks))
}

// play sends the requests of s through a fleet that shares workers with the scripts. each
// is called at each second, unless it is nil.
func (o learningOptions) play(t *testing.T, s streams, scripts []script, each func(*learningFleet)) {
	dial, workers, wait := pipeWorkers(scripts...)
	ctx, stop := context.WithCancel(t.Context())
	f := newLearningFleet(ctx, t, o, dial, workers)
	if each != nil {
		f.wait.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				each(f)
			}
		})
	}
	s.run(t, f)
	stop()
	f.wait.Wait()
	wait.Wait()
}
