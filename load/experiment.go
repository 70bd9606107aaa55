package load

import (
	"encoding/json"
	"time"

	"github.com/daisylb/daisylb/settings"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	// Name is the base name of the report's files; required.
	Name string `json:"name"`
	// Description and Start are for readers of the report: what is measured,
	// and the commands that start the deployments.
	Description string   `json:"description"`
	Start       []string `json:"start"`
	// Seed determines all arrivals and lengths; default 1.
	Seed uint64 `json:"seed"`
	// Rounds is the number of times that each variant runs; default 2.
	Rounds int `json:"rounds"`
	// Warmup is the time of a run before the measured window; default "1s".
	Warmup time.Duration `json:"warmup"`
	// Duration is the length of the measured window; required.
	Duration time.Duration `json:"duration"`
	// Drain bounds the wait for answers after the window; default "10s".
	Drain time.Duration `json:"drain"`
	// Settle is the time between two runs; default "1s".
	Settle time.Duration `json:"settle"`
	// MaxOpen bounds the requests that are open at once. Those over it are not
	// sent and are counted as errors. Default 20000.
	MaxOpen int `json:"max_open"`
	// Deployments are the deployments by name; at least one.
	Deployments map[string]Deployment `json:"deployments"`
	// Online and Batch are the mixes. Actions are faults to inject and
	// operations on the deployment.
	Online  []OnlineMix `json:"online"`
	Batch   []BatchMix  `json:"batch"`
	Actions []Action    `json:"actions"`
	// Variants run in turn; at least one.
	Variants []Variant `json:"variants"`
	// Figures are the values to report, usually ratios between variants.
	Figures []Figure `json:"figures"`
}

// Deployment describes a running deployment.
type Deployment struct {
	// Instances are the caller addresses that are queried for endpoints.
	Instances []string `json:"instances"`
	// DataCentre is the data centre that callers send when they request
	// endpoints. They send none when it is empty.
	DataCentre string `json:"data_centre"`
	// Operators are the operator listeners whose metrics are read. Preset
	// changes go to the first.
	Operators   []string `json:"operators"`
	OperatorKey string   `json:"operator_key"`
}

// OnlineMix describes a flow of online requests.
type OnlineMix struct {
	Name string `json:"name"`
	// Key is the account's API key.
	Key     string `json:"key"`
	Service string `json:"service"`
	// Rate is the mean arrival rate in requests per second.
	Rate float64 `json:"rate"`
	// Uniform spaces arrivals evenly. Otherwise they are a Poisson process.
	Uniform bool `json:"uniform"`
	// From and Until limit the mix to a part of the run, relative to the start
	// of the measured window. Default is the whole run.
	From  *time.Duration `json:"from"`
	Until *time.Duration `json:"until"`
	// SystemBytes is the length of a system message that all requests of the
	// mix share; 0 sends none.
	SystemBytes int `json:"system_bytes"`
	// PromptBytes and AnswerTokens are distributions of lengths.
	PromptBytes  Length `json:"prompt_bytes"`
	AnswerTokens Length `json:"answer_tokens"`
	// Stream requests server-sent events. Answers that are not streamed have no
	// first-token latency.
	Stream bool `json:"stream"`
	// Deadline is sent with the request unless it is 0.
	Deadline time.Duration `json:"deadline"`
	// Objective is the largest latency of an answer that counts as goodput: of
	// the first token with Stream, of the whole answer without. 0 counts every
	// right answer.
	Objective time.Duration `json:"objective"`
	// Callers is the number of simulated callers, each with an endpoint list of
	// its own; default 8.
	Callers int `json:"callers"`
	// Direct lists upstreams to send to instead of the deployment.
	Direct []string `json:"direct"`
}

// BatchMix describes a flow of batch jobs.
type BatchMix struct {
	Name    string `json:"name"`
	Key     string `json:"key"`
	Service string `json:"service"`
	// Jobs is the number of jobs. The first is submitted at the start of the
	// run, each further one Every later.
	Jobs  int           `json:"jobs"`
	Every time.Duration `json:"every"`
	// Items is the number of items in one job.
	Items        int           `json:"items"`
	PromptBytes  Length        `json:"prompt_bytes"`
	AnswerTokens Length        `json:"answer_tokens"`
	Deadline     time.Duration `json:"deadline"`
}

// Action is an operation during a run: a request to URLs, such as the admin
// path of a stand-in, or a change of preset. Times are relative to the start of
// the measured window; negative ones are in the warm-up.
type Action struct {
	Name string        `json:"name"`
	At   time.Duration `json:"at"`
	// Method (default POST), URLs and Body describe the request.
	Method string          `json:"method"`
	URLs   []string        `json:"urls"`
	Body   json.RawMessage `json:"body"`
	// Preset is the preset to switch to.
	Preset string `json:"preset"`
	// Until is the time at which Clear is sent or ClearPreset is switched to; 0
	// is the end of the window. The action is always undone before the next
	// run.
	Until       time.Duration   `json:"until"`
	Clear       json.RawMessage `json:"clear"`
	ClearPreset string          `json:"clear_preset"`
}

// Variant selects what takes part in a run.
type Variant struct {
	Name string `json:"name"`
	// Deployment may be omitted when there is only one.
	Deployment string `json:"deployment"`
	// Online, Batch and Actions are names of mixes and actions.
	Online  []string `json:"online"`
	Batch   []string `json:"batch"`
	Actions []string `json:"actions"`
	// RateFactor multiplies the rates of the online mixes; default 1.
	RateFactor float64 `json:"rate_factor"`
}

// Limits and defaults of an experiment.
const (
	maxRounds      = 100
	maxDuration    = time.Hour
	maxRate        = 100_000
	maxOpen        = 100_000
	maxItems       = 620_000
	maxCallers     = 10_000
	maxVariants    = 20
	defaultOpen    = 20_000
	defaultCallers = 8
)

// Parse reads an experiment; name identifies the text in error messages. All
// faults are reported in one error with code.InvalidSettings.
func Parse(name string, data []byte) (*Experiment, error) {
	e := &Experiment{
		Seed:    1,
		Rounds:  2,
		Warmup:  time.Second,
		Drain:   10 * time.Second,
		Settle:  time.Second,
		MaxOpen: defaultOpen,
	}
	if err := settings.Decode(name, data, e).Err(); err != nil {
		return nil, err
	}
	e.setDefaults()
	return e, nil
}

func (e *Experiment) setDefaults() {
	for i := range e.Online {
		if e.Online[i].Callers == 0 {
			e.Online[i].Callers = defaultCallers
		}
	}
	for i := range e.Variants {
		v := &e.Variants[i]
		if v.RateFactor == 0 {
			v.RateFactor = 1
		}
		if v.Deployment == "" {
			v.Deployment = e.onlyDeployment()
		}
	}
}

func (e *Experiment) onlyDeployment() string {
	if len(e.Deployments) != 1 {
		return ""
	}
	for name := range e.Deployments {
		return name
	}
	return ""
}

func (e *Experiment) online(name string) *OnlineMix {
	for i := range e.Online {
		if e.Online[i].Name == name {
			return &e.Online[i]
		}
	}
	return nil
}

func (e *Experiment) batch(name string) *BatchMix {
	for i := range e.Batch {
		if e.Batch[i].Name == name {
			return &e.Batch[i]
		}
	}
	return nil
}

func (e *Experiment) action(name string) *Action {
	for i := range e.Actions {
		if e.Actions[i].Name == name {
			return &e.Actions[i]
		}
	}
	return nil
}

func (e *Experiment) variant(name string) *Variant {
	for i := range e.Variants {
		if e.Variants[i].Name == name {
			return &e.Variants[i]
		}
	}
	return nil
}
