package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
)

type pool struct {
	Address string        `json:"address"`
	Slots   int           `json:"slots"`
	Wait    time.Duration `json:"wait"`
}

func (p pool) Check(c *Checker) {
	Between(c.Field("slots"), p.Slots, 1, 100)
	c.Field("address").Expect(p.Address != "", "expected an address")
}

type sample struct {
	Name  string          `json:"name"`
	Share float64         `json:"share"`
	Ports []uint16        `json:"ports"`
	Pools map[string]pool `json:"pools"`
	Spare *pool           `json:"spare"`
}

func TestDecodeReportsEveryFaultWithPosition(t *testing.T) {
	text := `{
  // a comment
  "name": 7,
  "share": 0.5, "Share": 1,
  "ports": [80, 70000, "x"],
  "pools": {
    "a": {"address": "x", "slots": 500, "wait": "soon",},
    "b": {"slots": "many", "slots": 3},
    "c": [],
  },
}`
	want := []string{
		"f:3:11: name: found 7, expected a string",
		"f:4:17: Share: unknown field, expected one of name, pools, ports, share, spare",
		"f:5:17: ports[1]: found 70000, expected a whole number from 0 to 65535",
		`f:5:24: ports[2]: found "x", expected a whole number from 0 to 65535`,
		`f:7:36: pools["a"].slots: found 500, expected 1 to 100`,
		`f:7:49: pools["a"].wait: found "soon", expected a duration such as "250ms" or "1m30s"`,
		`f:8:10: pools["b"].address: expected an address`,
		`f:8:20: pools["b"].slots: found "many", expected a whole number of at most 64 bits`,
		`f:8:28: pools["b"].slots: the name stands twice in its object`,
		`f:9:10: pools["c"]: found an array, expected an object`,
	}
	var got sample
	faults := Decode("f", []byte(text), &got)
	if diff := cmp.Diff(strings.Join(want, "\n"), faults.Error()); diff != "" {
		t.Error(diff)
	}
	if n := code.Of(faults.Err()); n != code.InvalidSettings {
		t.Errorf("got error number %d, want InvalidSettings", n)
	}
}

func TestDecodeFillsAndKeepsDefaults(t *testing.T) {
	got := sample{Name: "kept", Share: 0.25}
	err := Decode("f", []byte(`{"share": 1, "ports": [1,2], "pools": {"a": {"address": "x", "slots": 2, "wait": "1s"}}, "spare": null} // end`), &got).Err()
	if err != nil {
		t.Fatal(err)
	}
	want := sample{Name: "kept", Share: 1, Ports: []uint16{1, 2}, Pools: map[string]pool{"a": {"x", 2, time.Second}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestDecodeRejectsInvalidJSON(t *testing.T) {
	for text, want := range map[string]string{
		"":                       "f:1:1: not JSON",
		"{\n \"name\" 1}":        "f:2:9: not JSON",
		"[]":                     "f:1:1: found an array, expected an object",
		strings.Repeat("[", 1e6): "f:1:65: objects and arrays are nested more than 64 deep",
	} {
		if got := Decode("f", []byte(text), &sample{}).Error(); !strings.HasPrefix(got, want) {
			t.Errorf("%.20q: got fault %s", text, got)
		}
	}
}

// FuzzDecode checks that every fault has a column and a line inside the text.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "x", /* c */ "pools": {"a": {"slots": 1,}}, "ports": [1, "\u00e9"]}`))
	f.Add([]byte(""))
	f.Add([]byte("{\"spare\": {\"wait\": \"1h\"} // x\n}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got sample
		for _, fault := range Decode("f", data, &got) {
			if fault.Line < 1 || fault.Column < 1 || fault.Line > strings.Count(string(data), "\n")+1 {
				t.Fatalf("fault outside of the text: %+v", fault)
			}
		}
	})
}
