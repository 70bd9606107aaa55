package config

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/daisylb/daisylb/contract"
)

// targetDocument returns a document of the target size, the largest that the
// system is designed for.
func targetDocument(t testing.TB) *contract.Document {
	const upstreams, accounts = 1700, 1800
	d := *example(t, "coordinacion")
	d.Upstreams = map[string]contract.Upstream{}
	for i := range upstreams {
		d.Upstreams[fmt.Sprintf("upstream-%04d", i)] = contract.Upstream{
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1), DataCentre: "occ-zapo",
			Services: []string{"asistente-bolero"}, Slots: 16, ChecksFencing: true,
		}
	}
	d.Accounts = map[string]contract.Account{}
	for i := range accounts {
		d.Accounts[fmt.Sprintf("account-%04d", i)] = contract.Account{
			KeyHashes: []string{fmt.Sprintf("%064x", i), fmt.Sprintf("%064x", i+accounts)}, Weight: 1,
		}
	}
	return &d
}

func BenchmarkParseExample(b *testing.B) {
	data, err := os.ReadFile("../examples/coordinacion/document.jsonc")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := ParseDocument("d", data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseTarget(b *testing.B) {
	data, err := json.Marshal(targetDocument(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := ParseDocument("d", data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "document-bytes")
}

// BenchmarkMemoryTarget reports the heap that one instance uses for a document
// of the target size and its recent changes.
func BenchmarkMemoryTarget(b *testing.B) {
	base := targetDocument(b)
	data, err := json.Marshal(base)
	if err != nil {
		b.Fatal(err)
	}
	var held *version
	for b.Loop() {
		held = nil
		before := heap()
		d := &contract.Document{}
		if err := json.Unmarshal(data, d); err != nil {
			b.Fatal(err)
		}
		held = newVersion(d)
		for i := range maxRecentChanges {
			id := fmt.Sprintf("upstream-%04d", i)
			u := d.Upstreams[id]
			u.Slots++
			c := &Change{Version: held.document.Version + 1, ID: id, Edits: Edits{Upstreams: map[string]*contract.Upstream{id: &u}}}
			if held, err = held.applyChanges([]*Change{c}); err != nil {
				b.Fatal(err)
			}
		}
		d = nil
		b.ReportMetric(float64(heap()-before), "heap-bytes")
	}
	runtime.KeepAlive(held)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSubmitTarget measures the work of the accepting instance for one
// change of a document of the target size, without peers.
func BenchmarkSubmitTarget(b *testing.B) {
	sys := targetSystem(b, 1)
	i := 0
	for b.Loop() {
		sys.switchPreset(b, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
		i++
	}
}

// BenchmarkFollowTarget measures the work of a receiving instance for one
// change of an upstream in a document of the target size.
func BenchmarkFollowTarget(b *testing.B) {
	v := newVersion(targetDocument(b))
	u := v.document.Upstreams["upstream-0001"]
	for b.Loop() {
		c := &Change{Version: v.document.Version + 1, Edits: Edits{Upstreams: map[string]*contract.Upstream{"upstream-0001": &u}}}
		next, err := v.applyChanges([]*Change{c})
		if err != nil {
			b.Fatal(err)
		}
		v = next
	}
}

// BenchmarkDistributeTarget reports the bytes of the request bodies for one
// change: of all instances, and of the accepting one.
func BenchmarkDistributeTarget(b *testing.B) {
	for _, instances := range []int{3, 10, 30, 60, 550} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) { benchmarkDistribute(b, instances) })
	}
}

func benchmarkDistribute(b *testing.B, instances int) {
	sys := targetSystem(b, instances)
	sys.network.resetBytes()
	i := 0
	for b.Loop() {
		sys.switchPreset(b, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
		i++
	}
	total, accepting := sys.network.bytesSent(address(0))
	b.ReportMetric(float64(total)/float64(i), "bytes/change")
	b.ReportMetric(float64(accepting)/float64(i), "accepting-bytes/change")
}

// targetSystem returns a system with the target document in force. It boots all
// instances but the first after the document is committed, because one process
// cannot decode a push for all of them within the time limit.
func targetSystem(b *testing.B, instances int) *system {
	sys := newSystem(1)
	if err := sys.store(0).start(b.Context()); err != nil {
		b.Fatal(err)
	}
	if _, err := Bootstrap(b.Context(), sys.store(0), Request{ID: "first", Author: "ana"}, targetDocument(b)); err != nil {
		b.Fatal(err)
	}
	for i := 1; i < instances; i++ {
		if err := sys.boot(i).start(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	return sys
}
