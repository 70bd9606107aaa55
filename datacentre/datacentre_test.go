package datacentre

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/instance"
)

var testDocument = &contract.Document{
	Version: 7,
	DataCentres: map[string]contract.DataCentre{
		"kochi":    {DistanceMicroseconds: map[string]int{"thrissur": 700, "kollam": 900}, CallerPrefixes: []string{"10.1.0.0/16", "2001:db8::/32"}},
		"kollam":   {CallerPrefixes: []string{"10.0.0.0/8"}},
		"thrissur": {},
	},
	Limits: contract.Limits{EndpointTTLSeconds: 30},
}

func member(id, dc string) instance.Member {
	return instance.Member{
		Identity: instance.Identity{ID: id, DataCentre: dc, CallerAddress: "10.9.9.9:" + id},
		State:    instance.Serving,
	}
}

func getEndpoints(t *testing.T, v *instance.View, remote, query string) Answer {
	t.Helper()
	h, err := NewHandler(Options{View: func() *instance.View { return v }, Document: func() *contract.Document { return testDocument }})
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodGet, Path+query, nil)
	r.RemoteAddr = remote
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var a Answer
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
		t.Fatalf("%s: %v", w.Body, err)
	}
	return a
}

func dataCentresOf(a Answer) []string {
	var names []string
	for _, e := range a.Endpoints {
		names = append(names, e.DataCentre)
	}
	return names
}

func TestNearestDataCentreComesFirst(t *testing.T) {
	v := instance.NewView(member("1", "thrissur"), member("2", "kollam"), member("3", "kochi"))
	for _, test := range []struct {
		name, remote, query string
		want                []string
	}{
		{"named", "192.0.2.1:1", "?data_centre=kochi", []string{"kochi", "thrissur", "kollam"}},
		{"longest matching prefix", "10.1.2.3:1", "", []string{"kochi", "thrissur", "kollam"}},
		{"IPv4-mapped address", "[::ffff:10.1.2.3]:1", "", []string{"kochi", "thrissur", "kollam"}},
		{"shorter prefix", "10.2.2.3:1", "", []string{"kollam", "kochi", "thrissur"}},
		{"unknown name", "192.0.2.1:1", "?data_centre=x", []string{"thrissur", "kochi", "kollam"}},
		{"unknown address", "192.0.2.1:1", "", []string{"thrissur", "kochi", "kollam"}},
	} {
		a := getEndpoints(t, v, test.remote, test.query)
		if diff := cmp.Diff(test.want, dataCentresOf(a)); diff != "" || a.Version != 7 || a.TTLSeconds != 30 {
			t.Errorf("%s: %+v %s", test.name, a, diff)
		}
	}
}

// TestOnlyServingInstancesAreNamed checks answers made from members in random
// states.
func TestOnlyServingInstancesAreNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []instance.Member
		takesCallers := map[string]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "members") {
			m := member(fmt.Sprint(i), rapid.SampledFrom([]string{"kochi", "kollam", "thrissur"}).Draw(t, "dc"))
			m.State = rapid.SampledFrom([]instance.State{instance.Starting, instance.Serving, instance.Draining, instance.Stopped}).Draw(t, "state")
			m.Health = rapid.SampledFrom([]instance.Health{instance.Alive, instance.Suspect}).Draw(t, "health")
			m.Leaving = rapid.Bool().Draw(t, "leaving")
			takesCallers[m.CallerAddress] = m.AcceptsNewCallers()
			all = append(all, m)
		}
		a := Endpoints(instance.NewView(all[0], all[1:]...), testDocument, "kochi", rapid.Uint64().Draw(t, "seed"))
		named, total := 0, 0
		for _, ok := range takesCallers {
			if ok {
				total++
			}
		}
		for _, e := range a.Endpoints {
			if takesCallers[e.Address] {
				named++
			}
		}
		if total > 0 && (named != len(a.Endpoints) || named != min(total, MaxEndpoints)) {
			t.Fatalf("%d of %d endpoints take callers; %d members do", named, len(a.Endpoints), total)
		}
	})
}

func TestCallersSpreadOverEqualDistances(t *testing.T) {
	const members, callers = 10, 10_000
	var others []instance.Member
	for i := 1; i < members; i++ {
		others = append(others, member(fmt.Sprint(i), "kochi"))
	}
	v := instance.NewView(member("0", "kochi"), others...)
	first, second := map[string]int{}, map[string]int{}
	for seed := range uint64(callers) {
		a := Endpoints(v, testDocument, "kochi", seed)
		first[a.Endpoints[0].Address]++
		if a.Endpoints[0].Address == "10.9.9.9:0" {
			second[a.Endpoints[1].Address]++
		}
	}
	for address, n := range first {
		if n < callers/members*8/10 || n > callers/members*12/10 {
			t.Errorf("%s is first for %d of %d callers", address, n, callers)
		}
	}
	if len(second) != members-1 {
		t.Errorf("callers with the same first choice have %d second choices, want %d", len(second), members-1)
	}
}

func TestLongAnswersKeepOtherDataCentres(t *testing.T) {
	var others []instance.Member
	for i := 1; i < 60; i++ {
		dc := "kochi"
		if i%10 == 0 {
			dc = "kollam"
		}
		others = append(others, member(fmt.Sprint(i), dc))
	}
	names := dataCentresOf(Endpoints(instance.NewView(member("0", "kochi"), others...), testDocument, "kochi", 1))
	if len(names) != MaxEndpoints || names[0] != "kochi" || names[MaxEndpoints-1] != "kollam" {
		t.Errorf("%d endpoints: %v", len(names), names)
	}
}

func TestWithoutConfigurationEndpointsAreAnswered(t *testing.T) {
	a := Endpoints(instance.NewView(member("0", "kochi")), nil, "", 1)
	if len(a.Endpoints) != 1 || a.TTLSeconds != 10 {
		t.Errorf("%+v", a)
	}
}
