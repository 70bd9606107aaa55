package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of an experiment.
type Report struct {
	Name        string    `json:"name"`
	Description string    `json:"description,omitempty"`
	Start       []string  `json:"start,omitempty"`
	Seed        uint64    `json:"seed"`
	Rounds      int       `json:"rounds"`
	StartedAt   time.Time `json:"started_at"`
	// WindowSeconds is the measured time of one run. Processors is the number
	// of logical CPUs of the host of the load generator.
	WindowSeconds float64         `json:"window_s"`
	Processors    int             `json:"processors"`
	Figures       []FigureReport  `json:"figures"`
	Variants      []VariantReport `json:"variants"`

	results *results
}

// FigureReport is the value of a figure over all rounds and in each round.
type FigureReport struct {
	Figure
	Value  float64   `json:"value"`
	Rounds []float64 `json:"rounds"`
	// Met is nil when the figure has no target.
	Met *bool `json:"met,omitempty"`
}

// VariantReport is the result of one variant over all rounds.
type VariantReport struct {
	Name   string         `json:"name"`
	Online []OnlineReport `json:"online,omitempty"`
	Batch  []BatchReport  `json:"batch,omitempty"`
	System SystemReport   `json:"system"`
}

// OnlineReport is the result of one online mix.
type OnlineReport struct {
	Mix  string `json:"mix"`
	Sent int    `json:"sent"`
	// Endings are sorted by descending count.
	Endings          []EndingCount `json:"endings"`
	Moves            int           `json:"moves"`
	GoodputPerSecond float64       `json:"goodput_per_s"`
	TokensPerSecond  float64       `json:"tokens_per_s"`
	FirstToken       Latency       `json:"first_token_ms"`
	Answer           Latency       `json:"answer_ms"`
	Spacing          Latency       `json:"spacing_ms"`
	// SendLag is how late the load generator sent requests.
	SendLag Latency `json:"send_lag_ms"`
}

// EndingCount is the number of requests with the same ending.
type EndingCount struct {
	Ending
	Count int `json:"count"`
}

// Latency has quantiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// BatchReport is the result of one batch mix.
type BatchReport struct {
	Mix            string        `json:"mix"`
	ItemsPerSecond float64       `json:"items_per_s"`
	Finished       int           `json:"finished"`
	Failed         int           `json:"failed"`
	Verified       int           `json:"verified"`
	Wrong          int           `json:"wrong"`
	Duplicates     int           `json:"duplicates"`
	Errors         []EndingCount `json:"errors,omitempty"`
}

// SystemReport summarizes the metrics of the instances.
type SystemReport struct {
	Instances          int                `json:"instances"`
	ResidentBeforeMB   float64            `json:"resident_before_mb"`
	ResidentPeakMB     float64            `json:"resident_peak_mb"`
	OpenAtPeak         int64              `json:"open_at_peak"`
	KilobytesPerStream float64            `json:"kb_per_stream"`
	CPUSeconds         float64            `json:"cpu_s"`
	Counters           map[string]float64 `json:"counters,omitempty"`
}

// results holds the measurements of an experiment by variant: each round, and
// all rounds merged.
type results struct {
	experiment *Experiment
	startedAt  time.Time
	rounds     map[string][]*measurement
	merged     map[string]*measurement
}

func (r *results) report() *Report {
	e := r.experiment
	r.merged = map[string]*measurement{}
	report := &Report{
		Name:          e.Name,
		Description:   e.Description,
		Start:         e.Start,
		Seed:          e.Seed,
		Rounds:        e.Rounds,
		StartedAt:     r.startedAt,
		WindowSeconds: e.Duration.Seconds(),
		Processors:    runtime.NumCPU(),
		results:       r,
	}
	for _, v := range e.Variants {
		m := newMeasurement()
		for _, round := range r.rounds[v.Name] {
			m.merge(round)
		}
		r.merged[v.Name] = m
		report.Variants = append(report.Variants, m.report(v.Name))
	}
	for _, f := range e.Figures {
		report.Figures = append(report.Figures, r.figure(f))
	}
	return report
}

func (r *results) figure(f Figure) FigureReport {
	report := FigureReport{Figure: f}
	report.Value = f.compute(func(v string) *measurement { return r.merged[v] })
	for i := range r.experiment.Rounds {
		report.Rounds = append(report.Rounds, f.compute(func(v string) *measurement { return r.rounds[v][i] }))
	}
	report.Met = f.targetMet(report.Value)
	return report
}

func (m *measurement) report(name string) VariantReport {
	v := VariantReport{Name: name, System: m.system.report()}
	for _, mix := range slices.Sorted(maps.Keys(m.online)) {
		v.Online = append(v.Online, m.online[mix].report(m.windowSeconds))
	}
	for _, mix := range slices.Sorted(maps.Keys(m.batch)) {
		v.Batch = append(v.Batch, m.batch[mix].report())
	}
	return v
}

func (r *recorder) report(seconds float64) OnlineReport {
	return OnlineReport{
		Mix:              r.mix.Name,
		Sent:             r.sent,
		Endings:          counts(r.endings),
		Moves:            r.moves,
		GoodputPerSecond: r.value(Goodput, seconds),
		TokensPerSecond:  r.value(TokensPerSecond, seconds),
		FirstToken:       latency(r.firstToken),
		Answer:           latency(r.total),
		Spacing:          latency(r.spacing),
		SendLag:          latency(r.sendLag),
	}
}

func (r *batchRecord) report() BatchReport {
	return BatchReport{
		Mix:            r.mix.Name,
		ItemsPerSecond: r.itemsPerSecond(),
		Finished:       r.finished,
		Failed:         r.failed,
		Verified:       r.verified,
		Wrong:          r.wrong,
		Duplicates:     r.duplicates,
		Errors:         counts(r.errors),
	}
}

const megabyte = 1 << 20

func (r *systemRecord) report() SystemReport {
	return SystemReport{
		Instances:          r.instances,
		ResidentBeforeMB:   r.residentBytesBefore / megabyte,
		ResidentPeakMB:     r.residentBytesPeak / megabyte,
		OpenAtPeak:         r.openAtPeak,
		KilobytesPerStream: r.kilobytesPerStream(),
		CPUSeconds:         r.cpuSeconds,
		Counters:           r.counters,
	}
}

// counts returns the endings by descending count.
func counts(endings map[Ending]int) []EndingCount {
	list := make([]EndingCount, 0, len(endings))
	for e, n := range endings {
		list = append(list, EndingCount{e, n})
	}
	slices.SortFunc(list, func(a, b EndingCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Ending.String(), b.Ending.String()))
	})
	return list
}

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   percentileMillis(h, 50),
		P95:   percentileMillis(h, 95),
		P99:   percentileMillis(h, 99),
		P999:  percentileMillis(h, 99.9),
		Max:   float64(h.Max()) / 1e6,
	}
}

// summary returns one line for the progress log.
func (m *measurement) summary() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m.online)) {
		r := m.online[name]
		parts = append(parts, fmt.Sprintf("%s %d sent, %.2f%% right, first token p99 %.1f ms", name, r.sent, 100*r.value(RightShare, 0), r.value(FirstTokenP99, 0)))
	}
	for _, name := range slices.Sorted(maps.Keys(m.batch)) {
		parts = append(parts, fmt.Sprintf("%s %.1f items/s", name, m.batch[name].itemsPerSecond()))
	}
	return strings.Join(parts, "; ")
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VARIANT\tMIX\tSENT\tRIGHT\tGOOD/S\tFIRST p50\tp95\tp99 ms\tSPACING p95\tANSWER p99 ms\tLAG p99")
	for _, v := range r.Variants {
		for _, o := range v.Online {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", v.Name, o.Mix, o.Sent, countOf(o.Endings, Ending{Kind: Right}), o.GoodputPerSecond, o.FirstToken.P50, o.FirstToken.P95, o.FirstToken.P99, o.Spacing.P95, o.Answer.P99, o.SendLag.P99)
		}
	}
	_ = t.Flush()
	for _, v := range r.Variants {
		v.print(w)
	}
	r.printFigures(w)
}

func (v VariantReport) print(w io.Writer) {
	for _, o := range v.Online {
		for _, e := range o.Endings {
			if e.Kind != Right {
				fmt.Fprintf(w, "%s %s: %d × %s\n", v.Name, o.Mix, e.Count, e.Ending)
			}
		}
	}
	for _, b := range v.Batch {
		fmt.Fprintf(w, "%s %s: %.1f items/s, %d finished, %d failed, %d verified, %d wrong, %d twice\n", v.Name, b.Mix, b.ItemsPerSecond, b.Finished, b.Failed, b.Verified, b.Wrong, b.Duplicates)
		for _, e := range b.Errors {
			fmt.Fprintf(w, "%s %s: %d × %s\n", v.Name, b.Mix, e.Count, e.Ending)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.System.Counters)) {
		fmt.Fprintf(w, "%s: %s %.0f\n", v.Name, name, v.System.Counters[name])
	}
}

func (r *Report) printFigures(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tVALUE\tTARGET\tMET\tBY ROUND")
	for _, f := range r.Figures {
		met := ""
		if f.Met != nil {
			met = map[bool]string{true: "yes", false: "no"}[*f.Met]
		}
		rounds := make([]string, 0, len(f.Rounds))
		for _, v := range f.Rounds {
			rounds = append(rounds, fmt.Sprintf("%.3g", v))
		}
		fmt.Fprintf(t, "%s\t%.3f\t%s\t%s\t%s\n", f.Name, f.Value, f.target(), met, strings.Join(rounds, " "))
	}
	_ = t.Flush()
}

func (f Figure) target() string {
	var parts []string
	if f.AtMost != nil {
		parts = append(parts, fmt.Sprintf("at most %g", *f.AtMost))
	}
	if f.AtLeast != nil {
		parts = append(parts, fmt.Sprintf("at least %g", *f.AtLeast))
	}
	return strings.Join(parts, ", ")
}

func countOf(list []EndingCount, e Ending) int {
	for _, c := range list {
		if c.Ending == e {
			return c.Count
		}
	}
	return 0
}
