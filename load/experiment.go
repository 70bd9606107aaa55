package load

import (
	"encoding/json"
	"time"

	"github.com/daisylb/daisylb/settings"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	// Name names the report's files; required.
	Name string `json:"name"`
	// Description and Start are for people: what is measured, and the commands
	// that start the deployments.
	Description string   `json:"description"`
	Start       []string `json:"start"`
	// Seed of all arrivals and lengths; default 1.
	Seed uint64 `json:"seed"`
	// Rounds is how often each variant runs, in turn; default 2.
	Rounds int `json:"rounds"`
	// Warmup is the part of a run before the measured window; default "1s".
	Warmup time.Duration `json:"warmup"`
	// Duration of the measured window; required.
	Duration time.Duration `json:"duration"`
	// Drain is how long a run waits for answers after the window; default "10s".
	Drain time.Duration `json:"drain"`
	// Settle is the pause between runs; default "1s".
	Settle time.Duration `json:"settle"`
	// MaxOpen bounds the requests that are open at once; more are counted as
	// errors and not sent. Default 20000.
	MaxOpen int `json:"max_open"`
	// Deployments by name; at least one.
	Deployments map[string]Deployment `json:"deployments"`
	// Online and Batch are the mixes; Actions are faults and operators' actions.
	Online  []OnlineMix `json:"online"`
	Batch   []BatchMix  `json:"batch"`
	Actions []Action    `json:"actions"`
	// Variants run in turn; at least one.
	Variants []Variant `json:"variants"`
	// Figures are the ratios to report.
	Figures []Figure `json:"figures"`
}

// Deployment is a running deployment.
type Deployment struct {
	// Instances are callers' addresses that are asked for endpoints.
	Instances []string `json:"instances"`
	// DataCentre is where the callers say they are; empty leaves it open.
	DataCentre string `json:"data_centre"`
	// Operators are operator listeners whose metrics are read. The first takes
	// preset changes.
	Operators   []string `json:"operators"`
	OperatorKey string   `json:"operator_key"`
}

// OnlineMix is a flow of online requests.
type OnlineMix struct {
	Name string `json:"name"`
	// Key is the account's API key.
	Key     string `json:"key"`
	Service string `json:"service"`
	// Rate of arrivals in requests a second.
	Rate float64 `json:"rate"`
	// Uniform spaces arrivals evenly; otherwise they are a Poisson process.
	Uniform bool `json:"uniform"`
	// From and Until narrow the mix to a part of the run, relative to the start
	// of the measured window; default the whole run.
	From  *time.Duration `json:"from"`
	Until *time.Duration `json:"until"`
	// SystemBytes is the length of a first message that all requests share.
	SystemBytes int `json:"system_bytes"`
	// PromptBytes and AnswerTokens are distributions of lengths.
	PromptBytes  Length `json:"prompt_bytes"`
	AnswerTokens Length `json:"answer_tokens"`
	// Stream asks for server-sent events; whole answers have no first token.
	Stream bool `json:"stream"`
	// Deadline is sent with the request when it is not zero.
	Deadline time.Duration `json:"deadline"`
	// Objective is the latency of the first token (of the whole answer without
	// Stream) up to which an answer counts as goodput; 0 counts every right one.
	Objective time.Duration `json:"objective"`
	// Callers is the number of callers, each with its own endpoint answer and
	// connections; default 8.
	Callers int `json:"callers"`
	// Direct names upstreams to call in place of the deployment.
	Direct []string `json:"direct"`
}

// BatchMix is a flow of batch jobs.
type BatchMix struct {
	Name    string `json:"name"`
	Key     string `json:"key"`
	Service string `json:"service"`
	// Jobs are submitted Every, the first at the start of the run.
	Jobs  int           `json:"jobs"`
	Every time.Duration `json:"every"`
	// Items of one job.
	Items        int           `json:"items"`
	PromptBytes  Length        `json:"prompt_bytes"`
	AnswerTokens Length        `json:"answer_tokens"`
	Deadline     time.Duration `json:"deadline"`
}

// Action is done at a time: a request to an address, such as a stand-in's admin
// path, or a change of preset. Times are relative to the start of the measured
// window; negative ones lie in the warm-up.
type Action struct {
	Name string        `json:"name"`
	At   time.Duration `json:"at"`
	// Method, default POST, URLs and Body are the request.
	Method string          `json:"method"`
	URLs   []string        `json:"urls"`
	Body   json.RawMessage `json:"body"`
	// Preset is put in force.
	Preset string `json:"preset"`
	// Until is when Clear is sent, or ClearPreset put in force; 0 means at the
	// end of the window. It is done in any case before the next run.
	Until       time.Duration   `json:"until"`
	Clear       json.RawMessage `json:"clear"`
	ClearPreset string          `json:"clear_preset"`
}

// Variant says what is part of a run.
type Variant struct {
	Name string `json:"name"`
	// Deployment may be left out when there is one only.
	Deployment string `json:"deployment"`
	// Online, Batch and Actions name what takes part.
	Online  []string `json:"online"`
	Batch   []string `json:"batch"`
	Actions []string `json:"actions"`
	// RateFactor multiplies the rates of the online mixes; default 1.
	RateFactor float64 `json:"rate_factor"`
}

// Bounds of an experiment.
const (
	maxRounds    = 100
	maxDuration  = time.Hour
	maxRate      = 100_000
	maxOpen      = 100_000
	maxItems     = 620_000
	maxCallers   = 10_000
	maxVariants  = 20
	defaultOpen  = 20_000
	defaultUsers = 8
)

// Parse reads an experiment; name stands for the text in faults, which are all
// reported at once under code.InvalidSettings.
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
			e.Online[i].Callers = defaultUsers
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
