package load

import "github.com/HdrHistogram/hdrhistogram-go"

// Measure names a measured quantity of a variant.
type Measure string

// Measures of a mix. Latencies are in milliseconds.
const (
	FirstTokenP50 Measure = "first_token_p50"
	FirstTokenP95 Measure = "first_token_p95"
	FirstTokenP99 Measure = "first_token_p99"
	AnswerP50     Measure = "answer_p50"
	AnswerP99     Measure = "answer_p99"
	SpacingP50    Measure = "spacing_p50"
	SpacingP95    Measure = "spacing_p95"
	SpacingP99    Measure = "spacing_p99"
	RightShare    Measure = "right_share"
	Goodput       Measure = "goodput"
	// TokensPerSecond counts the tokens of right online answers. For a batch
	// mix it is EndedItemsPerSecond times the mean length of the items'
	// answers.
	TokensPerSecond Measure = "tokens_per_s"
	// ItemsPerSecond counts committed items, from the status of the jobs.
	ItemsPerSecond Measure = "items_per_s"
	// EndedItemsPerSecond counts items that ended on an instance, over all
	// batch mixes together, from the metrics of the instances. Items are
	// committed in groups, so in short runs this measure varies less than
	// ItemsPerSecond.
	EndedItemsPerSecond Measure = "ended_items_per_s"
)

// Measures of the deployment, which need no mix.
const (
	// KilobytesPerStream is the growth of the instances' resident memory per
	// open request.
	KilobytesPerStream Measure = "kb_per_stream"
	// CPUMicrosPerRequest is the CPU time of all instances per request, in
	// microseconds.
	CPUMicrosPerRequest Measure = "cpu_us_per_request"
)

var measures = []Measure{
	FirstTokenP50, FirstTokenP95, FirstTokenP99, AnswerP50, AnswerP99, SpacingP50, SpacingP95, SpacingP99,
	RightShare, Goodput, TokensPerSecond, ItemsPerSecond, EndedItemsPerSecond, KilobytesPerStream, CPUMicrosPerRequest,
}

func (m Measure) ofDeployment() bool { return m == KilobytesPerStream || m == CPUMicrosPerRequest }

// Value selects one measure of one variant.
type Value struct {
	Variant string  `json:"variant"`
	Mix     string  `json:"mix,omitempty"`
	Measure Measure `json:"measure"`
}

// Figure is the number (of - minus) / (over - less). Omitted terms count as 0.
// Without over there is no division.
type Figure struct {
	Name  string `json:"name"`
	Of    Value  `json:"of"`
	Minus *Value `json:"minus,omitempty"`
	Over  *Value `json:"over,omitempty"`
	Less  *Value `json:"less,omitempty"`
	// AtMost and AtLeast are targets; both are optional.
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
}

// targetMet reports whether v meets the targets. It returns nil when there are
// none.
func (f Figure) targetMet(v float64) *bool {
	if f.AtMost == nil && f.AtLeast == nil {
		return nil
	}
	met := (f.AtMost == nil || v <= *f.AtMost) && (f.AtLeast == nil || v >= *f.AtLeast)
	return &met
}

// measurement is the measured data of one variant, of one round or of all.
type measurement struct {
	windowSeconds float64
	online        map[string]*recorder
	batch         map[string]*batchRecord
	system        *systemRecord
}

func newMeasurement() *measurement {
	return &measurement{online: map[string]*recorder{}, batch: map[string]*batchRecord{}, system: newSystemRecord()}
}

// merge adds the data of another round of the same variant.
func (m *measurement) merge(o *measurement) {
	m.windowSeconds += o.windowSeconds
	for name, r := range o.online {
		if m.online[name] == nil {
			m.online[name] = newRecorder(r.mix)
		}
		m.online[name].merge(r)
	}
	for name, r := range o.batch {
		if m.batch[name] == nil {
			m.batch[name] = newBatchRecord(r.mix)
		}
		m.batch[name].merge(r)
	}
	m.system.merge(o.system)
}

// value returns the selected measure, or 0 when its mix took no part.
func (m *measurement) value(v Value) float64 {
	switch v.Measure {
	case KilobytesPerStream:
		return m.system.kilobytesPerStream()
	case CPUMicrosPerRequest:
		return m.cpuMicrosPerRequest()
	}
	if r := m.batch[v.Mix]; r != nil {
		ended := ratio(m.system.endedItems(), m.system.windowSeconds)
		return r.value(v.Measure, ended)
	}
	if r := m.online[v.Mix]; r != nil {
		return r.value(v.Measure, m.windowSeconds)
	}
	return 0
}

func (m *measurement) cpuMicrosPerRequest() float64 {
	sent := 0
	for _, r := range m.online {
		sent += r.sent
	}
	return ratio(m.system.cpuSeconds*1e6, float64(sent))
}

// value returns a measure of the batch mix. ended is the rate at which items
// ended on the instances, per second.
func (r *batchRecord) value(m Measure, ended float64) float64 {
	switch m {
	case ItemsPerSecond, Goodput:
		return r.itemsPerSecond()
	case TokensPerSecond:
		return ended * r.meanTokens
	case EndedItemsPerSecond:
		return ended
	case RightShare:
		return ratio(float64(r.verified-r.wrong), float64(r.verified))
	}
	return 0
}

func (r *recorder) value(m Measure, seconds float64) float64 {
	switch m {
	case FirstTokenP50:
		return percentileMillis(r.firstToken, 50)
	case FirstTokenP95:
		return percentileMillis(r.firstToken, 95)
	case FirstTokenP99:
		return percentileMillis(r.firstToken, 99)
	case AnswerP50:
		return percentileMillis(r.total, 50)
	case AnswerP99:
		return percentileMillis(r.total, 99)
	case SpacingP50:
		return percentileMillis(r.spacing, 50)
	case SpacingP95:
		return percentileMillis(r.spacing, 95)
	case SpacingP99:
		return percentileMillis(r.spacing, 99)
	case RightShare:
		return ratio(float64(r.endings[Ending{Kind: Right}]), float64(r.sent))
	case Goodput:
		return ratio(float64(r.withinObjective), seconds)
	case TokensPerSecond:
		return ratio(float64(r.tokens), seconds)
	}
	return 0
}

// percentileMillis returns the percentile (0 to 100) of a histogram of
// nanoseconds, in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1e6
}

// ratio returns a / b, or 0 when b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// compute returns the value of the figure; of returns the measurement of a
// variant.
func (f Figure) compute(of func(variant string) *measurement) float64 {
	get := func(v *Value) float64 {
		if v == nil {
			return 0
		}
		return of(v.Variant).value(*v)
	}
	top := get(&f.Of) - get(f.Minus)
	if f.Over == nil {
		return top
	}
	return ratio(top, get(f.Over)-get(f.Less))
}
