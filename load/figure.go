package load

import "github.com/HdrHistogram/hdrhistogram-go"

// Measure names one figure of a variant.
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
	// TokensPerSec counts right online answers. For a batch mix it is
	// EndedPerSecond times the mean length of the items' answers.
	TokensPerSec Measure = "tokens_per_s"
	// ItemsPerSecond counts committed items, from the job's status.
	ItemsPerSecond Measure = "items_per_s"
	// EndedPerSecond counts items that ended on an instance, from the instances'
	// metrics, of all batch mixes together. Commits come in lots, so that this is
	// the smoother figure in short runs.
	EndedPerSecond Measure = "ended_items_per_s"
)

// Measures of the deployment, which name no mix.
const (
	// KilobytesPerStream is the growth of the instances' memory for each open
	// request.
	KilobytesPerStream Measure = "kb_per_stream"
	// ProcessorPerRequest is in microseconds, of all instances together.
	ProcessorPerRequest Measure = "cpu_us_per_request"
)

var measures = []Measure{
	FirstTokenP50, FirstTokenP95, FirstTokenP99, AnswerP50, AnswerP99, SpacingP50, SpacingP95, SpacingP99,
	RightShare, Goodput, TokensPerSec, ItemsPerSecond, EndedPerSecond, KilobytesPerStream, ProcessorPerRequest,
}

func (m Measure) ofDeployment() bool { return m == KilobytesPerStream || m == ProcessorPerRequest }

// Value names one figure of one variant.
type Value struct {
	Variant string  `json:"variant"`
	Mix     string  `json:"mix,omitempty"`
	Measure Measure `json:"measure"`
}

// Figure is the number (of - minus) / (over - less); what is left out counts as
// nothing, and without over there is no division.
type Figure struct {
	Name  string `json:"name"`
	Of    Value  `json:"of"`
	Minus *Value `json:"minus,omitempty"`
	Over  *Value `json:"over,omitempty"`
	Less  *Value `json:"less,omitempty"`
	// AtMost and AtLeast are targets; both may be absent.
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
}

// met says whether the target holds; nil without a target.
func (f Figure) met(v float64) *bool {
	if f.AtMost == nil && f.AtLeast == nil {
		return nil
	}
	met := (f.AtMost == nil || v <= *f.AtMost) && (f.AtLeast == nil || v >= *f.AtLeast)
	return &met
}

// measurement is what one variant showed, in one round or in all.
type measurement struct {
	seconds float64
	online  map[string]*recorder
	batch   map[string]*batchRecord
	system  *systemRecord
}

func newMeasurement() *measurement {
	return &measurement{online: map[string]*recorder{}, batch: map[string]*batchRecord{}, system: newSystemRecord()}
}

// merge adds another round of the same variant.
func (m *measurement) merge(o *measurement) {
	m.seconds += o.seconds
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

// value returns 0 when the mix took no part.
func (m *measurement) value(v Value) float64 {
	switch v.Measure {
	case KilobytesPerStream:
		return m.system.kilobytesPerStream()
	case ProcessorPerRequest:
		return m.processorPerRequest()
	}
	if r := m.batch[v.Mix]; r != nil {
		ended := ratio(m.system.endedItems(), m.system.window)
		return r.value(v.Measure, ended)
	}
	if r := m.online[v.Mix]; r != nil {
		return r.value(v.Measure, m.seconds)
	}
	return 0
}

func (m *measurement) processorPerRequest() float64 {
	sent := 0
	for _, r := range m.online {
		sent += r.sent
	}
	return ratio(m.system.processor*1e6, float64(sent))
}

// value takes the rate at which items ended on the instances.
func (r *batchRecord) value(m Measure, ended float64) float64 {
	switch m {
	case ItemsPerSecond, Goodput:
		return r.itemsPerSecond()
	case TokensPerSec:
		return ended * r.tokens
	case EndedPerSecond:
		return ended
	case RightShare:
		return ratio(float64(r.verified-r.wrong), float64(r.verified))
	}
	return 0
}

func (r *recorder) value(m Measure, seconds float64) float64 {
	switch m {
	case FirstTokenP50:
		return millis(r.first, 50)
	case FirstTokenP95:
		return millis(r.first, 95)
	case FirstTokenP99:
		return millis(r.first, 99)
	case AnswerP50:
		return millis(r.whole, 50)
	case AnswerP99:
		return millis(r.whole, 99)
	case SpacingP50:
		return millis(r.gaps, 50)
	case SpacingP95:
		return millis(r.gaps, 95)
	case SpacingP99:
		return millis(r.gaps, 99)
	case RightShare:
		return ratio(float64(r.endings[Ending{Kind: Right}]), float64(r.sent))
	case Goodput:
		return ratio(float64(r.good), seconds)
	case TokensPerSec:
		return ratio(float64(r.tokens), seconds)
	}
	return 0
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1e6
}

// ratio is 0 when the divisor is.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// compute returns the figure given the measurement of each variant.
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
