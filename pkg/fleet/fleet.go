// Package fleet is the operators' library: the configuration of a berylledge system as plain Go values.
//
// # Usage
//
// A program fills a Config, checks it and prints it. The printed JSON is what a control group starts with
// (`berylledge serve --config-file`) and what a change of configuration carries:
//
//	c := fleet.New()
//	c.Ranks = []fleet.Rank{{Name: "urgent", Share: 0.5}, {Name: "normal", Share: 0.3}}
//	c.Teams = []fleet.Team{{Name: "crew", Weight: 1}}
//	c.Pipelines = []fleet.Pipeline{{Name: "ask", DeadlineMS: fleet.MS(8 * time.Second), Stages: []fleet.Stage{
//		fleet.Plain("find", fleet.Retrieve, "", 40),
//		fleet.Generation("answer", "pond-7b", 200, 3000),
//		fleet.Once("book", "booking", 200).If("book", "yes"),
//	}}}
//	if problems := c.Check(); len(problems) > 0 { ... }
//	os.Stdout.Write(c.Print())
//
// The constructors only fill fields; a literal of the same struct gives the same configuration. Two configurations are
// compared with Diff, and Fields describes every field: type, unit, default, bounds and meaning. docs/config.md and
// docs/config.schema.json are generated from it. Complete programs are under examples/.
//
// # Units
//
// Times are in milliseconds, shares are parts of 1, rates are per second, and sizes are in tokens, bytes or megabytes as
// the name of the field says. A zero value of an optional field means its default.
//
// # Compatibility
//
// All replicas of the control group run Check on the same configuration and must reach the same verdict. Its rules are
// therefore fixed for a FormatVersion once a version of the system that has them is in use.
package fleet

// FormatVersion is the version of the configuration format that this package writes and checks.
const FormatVersion = 1

// Config is the whole configuration. It is checked, printed and changed as a whole. The zero value is not valid: at
// least one rank, one team and one pipeline are required.
type Config struct {
	// FormatVersion must be the constant of the same name; New sets it.
	FormatVersion int `json:"format_version"`
	// Ranks are the classes of service, most urgent first; 1 to MaxRanks.
	Ranks []Rank `json:"ranks"`
	// Teams are the customers that may send requests; 1 to MaxTeams, with distinct names.
	Teams []Team `json:"teams"`
	// Models are the models in steady use; at most MaxModels, with distinct names. If there are any, each model of a
	// generate stage must be listed.
	Models []Model `json:"models,omitempty"`
	// Pipelines are what callers can ask for; 1 to MaxPipelines, with distinct names.
	Pipelines []Pipeline `json:"pipelines"`
	// Links are the budgets of the networks between regions, at most one for each pair of regions and MaxLinks in all.
	Links []Link `json:"links,omitempty"`
	// Limits bound what callers can ask for and how long state is kept.
	Limits Limits `json:"limits,omitzero"`
}

// Rank is a class of service. Its place in Config.Ranks is its priority; the first is served first.
type Rank struct {
	Name string `json:"name"`
	// Share is the part of capacity, 0 to 1, that the rank keeps while higher ranks flood; all shares add up to at most 1.
	Share float64 `json:"share"`
}

// Team is a customer of the system. Its callers are accounted together.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's part of capacity in its rank relative to the other teams, 0.001 to 1000; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxPerSecond limits the team's requests a second over the whole fleet, 0.001 to 1,000,000; 0 means no limit.
	MaxPerSecond float64 `json:"max_per_second,omitempty"`
	// MaxInFlight limits the team's requests at the same time on one entry node; 0 means no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Model is a model in steady use, or an adapter of one.
type Model struct {
	// Name is the name under which engines announce the model: "model", or "model:adapter" for an adapter, whose base
	// model must be listed too.
	Name string `json:"name"`
	// Version is the version that runners should hold; empty means any.
	Version string `json:"version,omitempty"`
	// Replicas is the number of runners that should hold the model; 0 leaves it to placement.
	Replicas int `json:"replicas,omitempty"`
	// SizeMB is the size of its weights in megabytes, for the rate-limited weight store; 0 means not known.
	SizeMB int64 `json:"size_mb,omitempty"`
}

// StageKind is the kind of a stage.
type StageKind string

// The kinds of stages.
const (
	Encode   StageKind = "encode"
	Retrieve StageKind = "retrieve"
	Rerank   StageKind = "rerank"
	Generate StageKind = "generate" // a model engine generates tokens
	Call     StageKind = "call"     // a call of a plain service, e.g. a booking
)

// Pipeline is a sequence of stages under one deadline.
type Pipeline struct {
	Name string `json:"name"`
	// DeadlineMS is the time for the whole answer in milliseconds; a request may ask for less. It must cover the sum of
	// the expected times of the stages that can apply to one request.
	DeadlineMS int64 `json:"deadline_ms"`
	// Stages run in this order; 1 to MaxStages, with distinct names, of which at most one is not repeatable.
	Stages []Stage `json:"stages"`
	// AnswerStage names the stage whose output is the answer; empty means the last generate stage, or else the last
	// stage. The answer stage must have no condition.
	AnswerStage string `json:"answer_stage,omitempty"`
}

// Stage is one step of a pipeline. Its input is the caller's input and the output of the stage before.
type Stage struct {
	Name string    `json:"name"`
	Kind StageKind `json:"kind"`
	// Service names the pool of upstreams; empty means the name of the kind. Generate stages must not have it.
	Service string `json:"service,omitempty"`
	// Model is required for generate stages; "model:adapter" asks for an adapter. Other stages pass it to the upstream.
	Model string `json:"model,omitempty"`
	// MaxTokens bounds the generated tokens of a generate stage, 1 to the constant MaxTokens; other stages have 0.
	MaxTokens int `json:"max_tokens,omitempty"`
	// NotRepeatable marks a call that must run at most once; the request must then carry an idempotency key.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// When limits the stage to requests for which it holds; the stage is skipped otherwise. nil means every request.
	When *Condition `json:"when,omitempty"`
	// ExpectedMS is the time in milliseconds that the stage takes until observations are available; 0 means
	// DefaultExpectedMS.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
}

// Condition compares a parameter of the request. A parameter that the request does not have compares as empty.
type Condition struct {
	Param  string `json:"param"`  // 1 to MaxTextBytes bytes
	Equals string `json:"equals"` // at most MaxTextBytes bytes
}

// Link is the budget of the network between two regions.
type Link struct {
	RegionA string `json:"region_a"`
	RegionB string `json:"region_b"`
	// KbitPerSec is the capacity in each direction, in kbit/s.
	KbitPerSec int64 `json:"kbit_per_sec"`
	// PricePerGB is the price of a gigabyte in the operator's smallest currency unit.
	PricePerGB int64 `json:"price_per_gb"`
	// ReservedKbit is the part of KbitPerSec that is kept free for control traffic and urgent tokens, in kbit/s.
	ReservedKbit int64 `json:"reserved_kbits"`
}

// Limits bound what callers can ask for and how long state is kept. A zero value means the default.
type Limits struct {
	// MaxInputBytes bounds the input of a request in bytes; 1 MiB by default.
	MaxInputBytes int64 `json:"max_input_bytes,omitempty"`
	// MaxInFlight bounds the requests at the same time on one entry node; 1024 by default.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// RetentionMS is how long the ledger keeps the outcome of work that may not repeat; 24 h by default. It must cover
	// the deadline of each pipeline with such a stage.
	RetentionMS int64 `json:"retention_ms,omitempty"`
	// QuarantineMS is how long a request that crashes upstreams stays isolated; 1 h by default.
	QuarantineMS int64 `json:"quarantine_ms,omitempty"`
	// StaleConfigMS is how long a node that is cut off from the control group serves all ranks; 10 min by default.
	StaleConfigMS int64 `json:"stale_config_ms,omitempty"`
	// ResumeWindowMS is how long a finished answer waits for a caller that lost its connection; 60 s by default.
	ResumeWindowMS int64 `json:"resume_window_ms,omitempty"`
	// MaxUpstreamDeaths is the number of upstream deaths that isolates a request's content; 2 by default.
	MaxUpstreamDeaths int `json:"max_upstream_deaths,omitempty"`
	// RetryBudgetPct is the number of retries for each 100 successes; 10 by default.
	RetryBudgetPct int `json:"retry_budget_percent,omitempty"`
}
