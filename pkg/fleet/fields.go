package fleet

// Bounds and defaults of a configuration. They keep the distribution to every node within its budget of bytes.
const (
	MaxStages       = 6         // stages of a pipeline
	MaxPipelines    = 500       // pipelines
	MaxTeams        = 20_000    // teams
	MaxRanks        = 8         // ranks
	MaxModels       = 1000      // models and adapters
	MaxLinks        = 100       // links between regions
	MaxDeadlineMS   = 3_600_000 // deadline of a pipeline, in milliseconds
	MaxTokens       = 1_000_000 // tokens of a generate stage
	MaxTextBytes    = 128       // either side of a condition, in bytes
	MaxPrintedBytes = 1<<20 - 1 // the printed form, in bytes; a command of the replicated log holds less than 1 MiB

	DefaultExpectedMS = 100 // expected time of a stage, in milliseconds
)

// Patterns of names, as anchored regular expressions.
const (
	NamePattern  = `^` + namePart + `$`
	ModelPattern = `^` + namePart + `([:@]` + namePart + `)?$`

	namePart = `[a-z0-9][a-z0-9._-]{0,62}`
)

// Field describes one field of the configuration.
type Field struct {
	// Place is the path in the printed form, with [] for each element of a list, e.g. "pipelines[].stages[].name".
	Place string
	// Type is list, object, text, name, model, integer, number or boolean.
	Type string
	// Unit of a number; empty for a plain count.
	Unit string
	// Required says that the field must be given; otherwise the zero value means Default.
	Required bool
	// Default is what a zero value means.
	Default string
	// Min and Max bound a number, the elements of a list or the bytes of a text. Both are 0 without bounds.
	Min, Max float64
	// ZeroOr says that 0 is allowed besides Min to Max.
	ZeroOr bool
	// Values lists the allowed values of a text; empty if any is allowed.
	Values []string
	// Meaning says what the field does.
	Meaning string
}

// In reports whether a number is within the bounds; NaN is not.
func (f *Field) In(v float64) bool {
	return v >= f.Min && v <= f.Max || f.ZeroOr && v == 0
}

const (
	dayMS  = 24 * 3_600_000
	hourMS = 3_600_000
)

// fieldList is the one source of bounds for Check, of docs/config.md and of docs/config.schema.json.
var fieldList = []Field{
	{Place: "format_version", Type: "integer", Required: true, Min: FormatVersion, Max: FormatVersion, Meaning: "Version of the format."},
	{Place: "ranks", Type: "list", Required: true, Min: 1, Max: MaxRanks, Meaning: "Classes of service, most urgent first. The order is the priority. All shares add up to at most 1."},
	{Place: "ranks[].name", Type: "name", Required: true, Meaning: "Name that requests give as `rank`; distinct."},
	{Place: "ranks[].share", Type: "number", Unit: "part of capacity", Required: true, Max: 1, Meaning: "Capacity that the rank keeps while higher ranks flood."},
	{Place: "teams", Type: "list", Required: true, Min: 1, Max: MaxTeams, Meaning: "Customers of the system; requests of others are refused."},
	{Place: "teams[].name", Type: "name", Required: true, Meaning: "Name that requests carry in the header `Berylledge-Team`; distinct."},
	{Place: "teams[].weight", Type: "number", Unit: "relative to other teams", Default: "1", Min: 0.001, Max: 1000, ZeroOr: true, Meaning: "Part of the capacity of a rank that the team gets while other teams wait too."},
	{Place: "teams[].max_per_second", Type: "number", Unit: "requests/s, whole fleet", Default: "no limit", Min: 0.001, Max: 1e6, ZeroOr: true, Meaning: "Requests above this rate are refused as `team_limit`."},
	{Place: "teams[].max_in_flight", Type: "integer", Unit: "requests, each entry node", Default: "no limit", Max: 1e6, Meaning: "Requests above this number at the same time are refused as `team_limit`."},
	{Place: "models", Type: "list", Default: "none", Max: MaxModels, Meaning: "Models in steady use. If any is listed, each generate stage must name a listed one."},
	{Place: "models[].name", Type: "model", Required: true, Meaning: "Name under which engines announce it: `model` or `model:adapter`; distinct. The base model of an adapter must be listed."},
	{Place: "models[].version", Type: "text", Default: "any", Max: MaxTextBytes, Meaning: "Version that runners should hold."},
	{Place: "models[].replicas", Type: "integer", Unit: "runners", Default: "chosen by placement", Max: 100_000, Meaning: "Runners that should hold the model."},
	{Place: "models[].size_mb", Type: "integer", Unit: "MB", Default: "not known", Max: 10_000_000, Meaning: "Size of the weights, which the rate-limited weight store sends on each load."},
	{Place: "pipelines", Type: "list", Required: true, Min: 1, Max: MaxPipelines, Meaning: "What callers can ask for."},
	{Place: "pipelines[].name", Type: "name", Required: true, Meaning: "Name that requests give as `pipeline`; distinct."},
	{Place: "pipelines[].deadline_ms", Type: "integer", Unit: "ms", Required: true, Min: 1, Max: MaxDeadlineMS, Meaning: "Time for the whole answer; a request may ask for less. At least the longest sum of expected stage times that one request can meet."},
	{Place: "pipelines[].stages", Type: "list", Required: true, Min: 1, Max: MaxStages, Meaning: "Steps, run in this order. At most one is `not_repeatable`, since a request has one idempotency key."},
	{Place: "pipelines[].stages[].name", Type: "name", Required: true, Meaning: "Name in events and reports; distinct in the pipeline."},
	{Place: "pipelines[].stages[].kind", Type: "text", Required: true, Values: []string{string(Encode), string(Retrieve), string(Rerank), string(Generate), string(Call)}, Meaning: "What the stage does; `generate` runs on a model engine, `call` on a plain service."},
	{Place: "pipelines[].stages[].service", Type: "name", Default: "the kind", Meaning: "Pool of upstreams that runs the stage. Not allowed for generate stages, which are routed by model."},
	{Place: "pipelines[].stages[].model", Type: "model", Default: "none", Meaning: "Required for generate stages. Other stages pass it to the upstream."},
	{Place: "pipelines[].stages[].max_tokens", Type: "integer", Unit: "tokens", Default: "none", Max: MaxTokens, Meaning: "Most tokens that a generate stage makes; required there (at least 1), and not allowed elsewhere."},
	{Place: "pipelines[].stages[].not_repeatable", Type: "boolean", Default: "false", Meaning: "The call runs at most once for each idempotency key. Only for call stages."},
	{Place: "pipelines[].stages[].when", Type: "object", Default: "every request", Meaning: "The stage is skipped for requests for which this does not hold. Not allowed for the answer stage."},
	{Place: "pipelines[].stages[].when.param", Type: "text", Required: true, Min: 1, Max: MaxTextBytes, Meaning: "Parameter of the request; one that is not given compares as empty."},
	{Place: "pipelines[].stages[].when.equals", Type: "text", Required: true, Max: MaxTextBytes, Meaning: "Value at which the stage runs."},
	{Place: "pipelines[].stages[].expected_ms", Type: "integer", Unit: "ms", Default: "100", Max: MaxDeadlineMS, Meaning: "Time that the stage takes until there are observations."},
	{Place: "pipelines[].answer_stage", Type: "name", Default: "the last generate stage, or else the last stage", Meaning: "Stage whose output is the answer."},
	{Place: "links", Type: "list", Default: "none", Max: MaxLinks, Meaning: "Budgets of the networks between regions, one for each pair."},
	{Place: "links[].region_a", Type: "name", Required: true, Meaning: "One region, as in `--region`."},
	{Place: "links[].region_b", Type: "name", Required: true, Meaning: "The other region."},
	{Place: "links[].kbit_per_sec", Type: "integer", Unit: "kbit/s, each direction", Required: true, Min: 1, Max: 1e9, Meaning: "Capacity."},
	{Place: "links[].price_per_gb", Type: "integer", Unit: "smallest currency unit", Required: true, Max: 1e9, Meaning: "Price of a gigabyte, weighed against the cost of computing a result again."},
	{Place: "links[].reserved_kbits", Type: "integer", Unit: "kbit/s, each direction", Required: true, Max: 1e9, Meaning: "Part of the capacity, at most all of it, that is kept free for control traffic and urgent tokens."},
	{Place: "limits", Type: "object", Default: "all defaults", Meaning: "Bounds of requests and of retention."},
	{Place: "limits.max_input_bytes", Type: "integer", Unit: "bytes", Default: "1 MiB", Max: 4 << 20, Meaning: "Longest input of a request. An entry node reads bodies of at most 4 MiB."},
	{Place: "limits.max_in_flight", Type: "integer", Unit: "requests, each entry node", Default: "1024", Max: 1e6, Meaning: "Upper bound of the adaptive concurrency limit."},
	{Place: "limits.retention_ms", Type: "integer", Unit: "ms", Default: "24 h", Max: 30 * dayMS, Meaning: "How long the outcome of work that may not repeat is kept. Older keys are refused. At least the deadline of each pipeline with such a stage."},
	{Place: "limits.quarantine_ms", Type: "integer", Unit: "ms", Default: "1 h", Max: dayMS, Meaning: "How long content that crashes upstreams stays isolated."},
	{Place: "limits.stale_config_ms", Type: "integer", Unit: "ms", Default: "10 min", Max: dayMS, Meaning: "How long a node without the control group serves all ranks; afterwards it serves only the first."},
	{Place: "limits.resume_window_ms", Type: "integer", Unit: "ms", Default: "60 s", Max: hourMS, Meaning: "How long a finished answer waits for its caller."},
	{Place: "limits.max_upstream_deaths", Type: "integer", Unit: "upstreams", Default: "2", Max: 10, Meaning: "Deaths that isolate a content."},
	{Place: "limits.retry_budget_percent", Type: "integer", Unit: "retries per 100 successes", Default: "10", Max: 10, Meaning: "Retries, hedges and reruns that a node may add to its requests."},
}

var fieldByPlace = func() map[string]*Field {
	m := make(map[string]*Field, len(fieldList))
	for i := range fieldList {
		m[fieldList[i].Place] = &fieldList[i]
	}
	return m
}()

// Fields returns a description of every field in the order of the printed form.
func Fields() []Field { return append([]Field(nil), fieldList...) }

// Bounded reports whether the field has bounds.
func (f *Field) Bounded() bool { return f.Min != 0 || f.Max != 0 }
