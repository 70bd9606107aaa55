package config

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

func example(t testing.TB, deployment string) *contract.Document {
	t.Helper()
	name := "../examples/" + deployment + "/document.jsonc"
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	d, err := ParseDocument(name, data)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestExamplesAreValid(t *testing.T) {
	for deployment, upstreams := range map[string]int{"coordinacion": 11, "loomcare": 13} {
		d := example(t, deployment)
		if len(d.Upstreams) != upstreams || len(d.Presets) != 3 || d.Preset != "ordinary" {
			t.Errorf("%s: %d upstreams, %d presets, %q in force", deployment, len(d.Upstreams), len(d.Presets), d.Preset)
		}
	}
}

func TestAllDocumentFaultsAreReportedWithLines(t *testing.T) {
	text := `{
  "preset": "nap",
  "presets": {"ordinary": {"batch_share": 1.5, "headroom_slots": -1, "hedge_share": 0.5}},
  "data_centres": {"a": {"region": "r", "distance_us": {"a": 1, "x": 2}, "caller_prefixes": ["10.1.0.1/16", "10.1.0.0/16", "10.1.0.0/16"]}},
  "services": {
    "chat": {"kind": "model", "deadline_ms": 99999999, "accounts": ["nobody"]},
    "pay": {"kind": "plain", "model": "m"},
    "odd": {"kind": "batch"},
  },
  "upstreams": {
    "U1": {"address": "localhost:80", "data_centre": "b", "services": ["chat", "chat", "gone"], "slots": 0},
    "u2": {"address": "10.0.0.1:80", "data_centre": "a", "services": ["chat", "pay"], "slots": 1},
    "u3": {"address": "10.0.0.1:80", "data_centre": "a", "services": [], "slots": 1, "speed": 3},
  },
  "accounts": {
    "x": {"key_sha256": ["AB"], "weight": 0},
    "y": {"key_sha256": [], "weight": "1"},
  },
  "limits": {"max_body_bytes": 1, "default_deadline_ms": 9, "max_deadline_ms": 8, "retry_share": 2},
}`
	_, err := ParseDocument("d", []byte(text))
	if code.Of(err) != code.InvalidSettings {
		t.Fatalf("got %v, want InvalidSettings", err)
	}
	var places []string
	for _, line := range strings.Split(err.Error(), "\n") {
		parts := strings.SplitN(line, ": ", 3)
		places = append(places, strings.SplitN(parts[0], ":", 3)[1]+" "+parts[1])
	}
	want := []string{
		"2 preset",
		`3 presets["ordinary"].batch_share`, `3 presets["ordinary"].headroom_slots`, `3 presets["ordinary"].hedge_share`,
		`4 data_centres["a"].distance_us["a"]`, `4 data_centres["a"].distance_us["x"]`,
		`4 data_centres["a"].caller_prefixes[0]`, `4 data_centres["a"].caller_prefixes[2]`,
		`6 services["chat"].model`, `6 services["chat"].deadline_ms`, `6 services["chat"].accounts[0]`,
		`7 services["pay"].model`, `8 services["odd"].kind`,
		`11 upstreams["U1"]`, `11 upstreams["U1"].address`, `11 upstreams["U1"].data_centre`,
		`11 upstreams["U1"].services[1]`, `11 upstreams["U1"].services[2]`, `11 upstreams["U1"].slots`,
		`12 upstreams["u2"].services`, `13 upstreams["u3"].address`, `13 upstreams["u3"].services`, `13 upstreams["u3"].speed`,
		`16 accounts["x"].key_sha256[0]`, `16 accounts["x"].weight`, `17 accounts["y"].key_sha256`, `17 accounts["y"].weight`,
		"19 limits.endpoint_ttl_s", "19 limits.item_attempts", "19 limits.max_answer_bytes", "19 limits.max_job_items",
		"19 limits.max_body_bytes", "19 limits.default_deadline_ms", "19 limits.retry_share",
	}
	if diff := cmp.Diff(want, places); diff != "" {
		t.Error(diff, err)
	}
}

func TestDiffLeadsFromOneDocumentToTheOther(t *testing.T) {
	from, to := example(t, "coordinacion"), example(t, "loomcare")
	got := Diff(from, to).apply(from)
	got.Version = 0
	if diff := cmp.Diff(to, got); diff != "" {
		t.Error(diff)
	}
	if e := Diff(to, got); !e.IsEmpty() {
		t.Errorf("edits between equal documents: %+v", e)
	}
}
