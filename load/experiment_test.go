package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/code"
)

func TestParseReportsAllFaults(t *testing.T) {
	text := `{
  "name": "Harm it",
  "duration": "5s",
  "deployments": {"fleet": {"instances": ["localhost:80"]}},
  "online": [
    {"name": "a", "service": "s", "rate": -1, "prompt_bytes": {"median": 5}, "answer_tokens": {"median": 0}},
    {"name": "a", "service": "s", "rate": 1, "prompt_bytes": {"median": 5}, "answer_tokens": {"median": 5}, "speed": 1},
  ],
  "actions": [
    {"name": "f", "at": "9s", "urls": ["127.0.0.1:1/x"], "preset": "p"},
  ],
  "variants": [{"name": "v", "online": ["b"], "actions": ["f"]}],
  "figures": [{"name": "r", "of": {"variant": "w", "mix": "a", "measure": "p99"}}],
}`
	_, err := Parse("e.jsonc", []byte(text))
	if code.Of(err) != code.InvalidSettings {
		t.Fatalf("got error %v, want InvalidSettings", err)
	}
	for _, want := range []string{
		`e.jsonc:2:11: name: found "Harm it"`,
		`e.jsonc:4:43: deployments["fleet"].instances[0]: found "localhost:80"`,
		`e.jsonc:6:43: online[0].rate: found -1`,
		`e.jsonc:6:106: online[0].answer_tokens.median: found 0`,
		`e.jsonc:7:14: online[1].name: found "a", which stands twice`,
		`e.jsonc:7:109: online[1].speed: unknown field`,
		`e.jsonc:10:25: actions[0].at: found 9s`,
		`e.jsonc:10:5: actions[0]: expected either urls or a preset`,
		`e.jsonc:12:41: variants[0].online[0]: found "b"`,
		`e.jsonc:13:47: figures[0].of.variant: found "w"`,
		`e.jsonc:13:75: figures[0].of.measure: found "p99"`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %s in\n%v", want, err)
		}
	}
}

func TestExperimentFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../experiments/*.jsonc")
	if err != nil || len(files) < 9 {
		t.Fatalf("found %d experiment files, want at least 9 (error %v)", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		e, err := Parse(file, data)
		if err != nil {
			t.Error(err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(file), ".jsonc"); e.Name != want {
			t.Errorf("%s is named %q", file, e.Name)
		}
		if len(e.Start) == 0 {
			t.Errorf("%s does not say how to start its deployment", file)
		}
		if total := time.Duration(e.Rounds*len(e.Variants)) * (e.Warmup + e.Duration + e.Settle); total > time.Minute {
			t.Errorf("%s takes %v", file, total)
		}
	}
}

func poissonMix(name string) *OnlineMix {
	return &OnlineMix{
		Name: name, Rate: 200, PromptBytes: Length{Median: 100, Sigma: 0.5},
		AnswerTokens: Length{Median: 20, Sigma: 0.4, TailShare: 0.05, Max: 300},
	}
}

func TestSameSeedGivesSameArrivals(t *testing.T) {
	same := cmp.AllowUnexported(arrival{})
	draw := func(name string, seed uint64) []arrival {
		list := poissonMix(name).schedule(seed, 1, time.Second, 10*time.Second)
		for i := range list {
			list[i].mix = nil
		}
		return list
	}
	first := draw("a", 7)
	if diff := cmp.Diff(first, draw("a", 7), same); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(first, draw("a", 8), same) {
		t.Error("another seed gave the same arrivals")
	}
	if cmp.Equal(first, draw("b", 7), same) {
		t.Error("another mix had the same arrivals")
	}
	if n := len(first); n < 2000 || n > 2400 {
		t.Errorf("%d arrivals in 11 s at 200 per second, want 2000 to 2400", n)
	}
	tail := 0
	for i, a := range first {
		if i > 0 && a.due < first[i-1].due || a.answerTokens < 1 || a.answerTokens > 300 {
			t.Fatalf("arrival %+v", a)
		}
		if a.answerTokens >= 200 {
			tail++
		}
	}
	if share := float64(tail) / float64(len(first)); share < 0.03 || share > 0.07 {
		t.Errorf("%.3f of the lengths are from the tail, want 0.03 to 0.07", share)
	}
}

func TestMergeKeepsOrderWithinEachMix(t *testing.T) {
	a, b := poissonMix("a"), poissonMix("b")
	merged := merge(a.schedule(1, 1, 0, time.Second), b.schedule(1, 1, 0, time.Second))
	var ofA []arrival
	for i, x := range merged {
		if i > 0 && x.due < merged[i-1].due {
			t.Fatal("the merged arrivals are out of order")
		}
		if x.mix == a {
			ofA = append(ofA, x)
		}
	}
	alone := a.schedule(1, 1, 0, time.Second)
	if diff := cmp.Diff(alone, ofA, cmp.AllowUnexported(arrival{})); diff != "" {
		t.Error(diff)
	}
}
