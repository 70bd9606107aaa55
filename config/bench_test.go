package config

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/daisylb/daisylb/contract"
)

// targetDocument has the size that the system is to carry.
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
	b.ReportMetric(float64(len(data)), "document-bytes")
	for b.Loop() {
		if _, err := ParseDocument("d", data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSubmitTarget is the work of the accepting instance for one change
// of a document of the target size, without peers.
func BenchmarkSubmitTarget(b *testing.B) {
	y := targetSystem(b, 1)
	i := 0
	for b.Loop() {
		y.preset(b, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
		i++
	}
}

// BenchmarkFollowTarget is the work of a receiving instance for one change of
// an upstream in a document of the target size.
func BenchmarkFollowTarget(b *testing.B) {
	v := newVersion(targetDocument(b))
	u := v.document.Upstreams["upstream-0001"]
	for b.Loop() {
		c := &Change{Version: v.document.Version + 1, Edits: Edits{Upstreams: map[string]*contract.Upstream{"upstream-0001": &u}}}
		next, err := v.follow([]*Change{c})
		if err != nil {
			b.Fatal(err)
		}
		v = next
	}
}

// BenchmarkDistributeTarget reports the bodies of one change to 550 instances:
// the sum of all and those that leave the accepting instance.
func BenchmarkDistributeTarget(b *testing.B) {
	const instances = 550
	y := targetSystem(b, instances)
	y.network.reset()
	i := 0
	for b.Loop() {
		y.preset(b, 0, fmt.Sprintf("c%d", i), []string{"peak", "ordinary"}[i%2])
		i++
	}
	total, accepting := y.network.sent(address(0))
	b.ReportMetric(float64(total)/float64(i), "bytes/change")
	b.ReportMetric(float64(accepting)/float64(i), "accepting-bytes/change")
}

func targetSystem(b *testing.B, instances int) *system {
	y := newSystem(instances)
	for i := range instances {
		if err := y.at(i).start(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	r := Request{ID: "first", Author: "ana"}
	if a, err := Bootstrap(b.Context(), y.at(0), r, targetDocument(b)); err != nil || a.InForce != instances {
		b.Fatalf("%+v, %v", a, err)
	}
	return y
}
