package load

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/daisylb/daisylb/code"
)

// latencies returns a recorder of n right answers with the same first-token
// latency.
func latencies(m *OnlineMix, each time.Duration, n int) *recorder {
	r := newRecorder(m)
	for i := range n {
		a := arrival{mix: m, due: time.Duration(i) * 10 * time.Millisecond, answerTokens: 10}
		r.add(&a, outcome{ending: Ending{Kind: Right}, firstToken: each, total: 2 * each, spacing: []time.Duration{each / 10}})
	}
	return r
}

// twoVariants returns the report of two variants, in which b has twice the
// latency of a in the first round and four times in the second.
func twoVariants(t *testing.T) *Report {
	t.Helper()
	e, err := Parse("e", []byte(`{
  "name": "two", "duration": "10s", "rounds": 2,
  "deployments": {"d": {"instances": ["127.0.0.1:1"]}},
  "online": [{"name": "m <&> n", "service": "s", "rate": 100, "stream": true, "objective": "150ms", "prompt_bytes": {"median": 1}, "answer_tokens": {"median": 10}}],
  "batch": [{"name": "j", "service": "s", "jobs": 1, "items": 10, "prompt_bytes": {"median": 1}, "answer_tokens": {"median": 30}}],
  "variants": [{"name": "a", "online": ["m <&> n"]}, {"name": "b", "online": ["m <&> n"], "batch": ["j"]}],
  "figures": [
    {"name": "slower", "at_most": 3.5, "of": {"variant": "b", "mix": "m <&> n", "measure": "first_token_p50"}, "over": {"variant": "a", "mix": "m <&> n", "measure": "first_token_p50"}},
    {"name": "added", "of": {"variant": "b", "mix": "m <&> n", "measure": "answer_p99"}, "minus": {"variant": "a", "mix": "m <&> n", "measure": "answer_p99"}},
    {"name": "good", "at_least": 1, "of": {"variant": "b", "mix": "m <&> n", "measure": "goodput"}, "over": {"variant": "a", "mix": "m <&> n", "measure": "goodput"}},
    {"name": "rest", "of": {"variant": "b", "mix": "j", "measure": "tokens_per_s"}, "over": {"variant": "a", "mix": "m <&> n", "measure": "tokens_per_s"}, "less": {"variant": "b", "mix": "j", "measure": "items_per_s"}},
  ],
}`))
	if err != nil {
		t.Fatal(err)
	}
	r := &results{experiment: e, rounds: map[string][]*measurement{}}
	for round, slow := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		a, b := newMeasurement(), newMeasurement()
		a.windowSeconds, b.windowSeconds = 10, 10
		a.online["m <&> n"] = latencies(&e.Online[0], 100*time.Millisecond, 1000)
		b.online["m <&> n"] = latencies(&e.Online[0], slow, 1000*(1+2*round))
		jobs := newBatchRecord(&e.Batch[0])
		jobs.finished, jobs.window, jobs.meanTokens = 50, 10*time.Second, 30
		jobs.points = []progress{{-time.Second, 0}, {time.Second, 20}, {9 * time.Second, 50}}
		b.batch["j"] = jobs
		b.system.windowSeconds, b.system.counters[`daisylb_batch_items_total{result="completed"}`] = 10, 60
		r.rounds["a"] = append(r.rounds["a"], a)
		r.rounds["b"] = append(r.rounds["b"], b)
	}
	return r.report()
}

func TestFiguresCompareVariants(t *testing.T) {
	report := twoVariants(t)
	// For "rest": items of 30 tokens end at 6 per second in b, a has 1000
	// answers of 10 tokens in 10 s, and b commits 5 items per second.
	want := map[string][]float64{
		"slower": {4, 2, 4},
		"added":  {600, 200, 600},
		"good":   {0, 0, 0},
		"rest":   {180.0 / 995, 180.0 / 995, 180.0 / 995},
	}
	for _, f := range report.Figures {
		got := append([]float64{f.Value}, f.Rounds...)
		for i, w := range want[f.Name] {
			if got[i] < w*0.995 || got[i] > w*1.005 {
				t.Errorf("%s: %v, want %v", f.Name, got, want[f.Name])
			}
		}
	}
	if met := report.Figures[0].Met; met == nil || *met {
		t.Error("a missed target is not reported as missed")
	}
	if report.Figures[1].Met != nil {
		t.Error("a figure without a target has Met set")
	}
	var back Report
	var text strings.Builder
	if err := report.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(text.String()), &back); err != nil || back.Figures[0].Value != report.Figures[0].Value {
		t.Errorf("the JSON report reads back as %+v, %v", back.Figures, err)
	}
}

func TestErrorsAreCountedByNumberAndOutcome(t *testing.T) {
	r := newRecorder(uniformMix(1))
	over := errorEnding(code.New(code.Overloaded, "full"))
	broken := errorEnding(code.New(code.StreamBroken, "broken"))
	for _, e := range []Ending{over, broken, over, {Kind: WrongAnswer}, {Kind: Right}} {
		r.add(&arrival{}, outcome{ending: e})
	}
	r.add(&arrival{due: -1}, outcome{ending: over})
	report := r.report(1)
	if report.Sent != 5 || report.Endings[0] != (EndingCount{over, 2}) || countOf(report.Endings, broken) != 1 {
		t.Errorf("endings %+v", report.Endings)
	}
	if over.Outcome != code.NotRun || broken.Outcome != code.Unknown {
		t.Errorf("outcomes %v and %v", over.Outcome, broken.Outcome)
	}
}

func TestPlotsAreWellFormed(t *testing.T) {
	report := twoVariants(t)
	for name, c := range map[string]struct {
		write func(io.Writer) error
		lines int
	}{
		"latencies": {report.WriteLatencies, 4},
		"time line": {report.WriteTimeline, 3},
	} {
		var b strings.Builder
		if err := c.write(&b); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(b.String(), "NaN") || strings.Contains(b.String(), "Inf") {
			t.Errorf("%s has a point with a NaN or infinite coordinate", name)
		}
		if lines := countLines(t, b.String()); lines != c.lines {
			t.Errorf("%s has %d lines, want %d", name, lines, c.lines)
		}
	}
}

// countLines parses the SVG and returns the number of polylines with at least
// two points.
func countLines(t *testing.T, text string) int {
	t.Helper()
	lines := 0
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return lines
		}
		if err != nil {
			t.Fatal(err)
		}
		element, ok := token.(xml.StartElement)
		if !ok || element.Name.Local != "polyline" {
			continue
		}
		for _, a := range element.Attr {
			if a.Name.Local == "points" && strings.Count(a.Value, ",") > 1 {
				lines++
			}
		}
	}
}

func TestMetricsAreSummedOverInstances(t *testing.T) {
	const text = `# HELP process_resident_memory_bytes Resident memory size in bytes.
process_resident_memory_bytes 1.048576e+06
process_cpu_seconds_total 2.5
daisylb_batch_items_total{result="completed"} 7
daisylb_upstream_attempts_total{class="online",result="whole"} 40
daisylb_other_total 9
`
	sum := reading{counters: map[string]float64{}}
	for range 2 {
		if err := sum.add(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	if sum.residentBytes != 2<<20 || sum.cpuSeconds != 5 || len(sum.counters) != 2 {
		t.Errorf("sums %+v", sum)
	}
	r := newSystemRecord()
	r.setDifferences(reading{counters: map[string]float64{`daisylb_batch_items_total{result="completed"}`: 4}}, sum)
	if r.endedItems() != 10 {
		t.Errorf("%v items ended", r.endedItems())
	}
}
