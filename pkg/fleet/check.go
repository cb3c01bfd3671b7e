package fleet

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Problem is one thing that is wrong in a configuration.
type Problem struct {
	// Place is the path with the indices of list elements, e.g. "pipelines[2].stages[0].model"; "config" for the whole.
	Place string `json:"place"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

// Error returns place and message.
func (p Problem) Error() string { return p.Place + ": " + p.Message }

var (
	nameRule  = regexp.MustCompile(NamePattern)
	modelRule = regexp.MustCompile(ModelPattern)
)

type checker struct{ problems []Problem }

func (c *checker) add(place, format string, args ...any) {
	c.problems = append(c.problems, Problem{place, fmt.Sprintf(format, args...)})
}

func (c *checker) name(place, name string) {
	if !nameRule.MatchString(name) {
		c.add(place, "%q is not a name: 1 to 63 of a-z, 0-9, '.', '_', '-', beginning with a letter or digit", name)
	}
}

func (c *checker) model(place, name string) {
	if !modelRule.MatchString(name) {
		c.add(place, "%q is not a model name: a name, or two names joined by ':' or '@'", name)
	}
}

func (c *checker) unique(place string, seen map[string]bool, name string) {
	if seen[name] {
		c.add(place, "%q is given twice", name)
	}
	seen[name] = true
}

// text checks a free text. One that is not UTF-8 would change in the printed form.
func (c *checker) text(place, key, v string) {
	f := fieldByPlace[key]
	if !utf8.ValidString(v) {
		c.add(place, "%q is not UTF-8", v)
	}
	if n := float64(len(v)); n > f.Max || n < f.Min {
		c.add(place, "has %d bytes; %v to %v are allowed", len(v), f.Min, f.Max)
	}
}

// count checks the number of elements of the list with this key.
func (c *checker) count(place, key, what string, n int) {
	if f := fieldByPlace[key]; !f.In(float64(n)) {
		c.add(place, "%d %s given; %v to %v are allowed", n, what, f.Min, f.Max)
	}
}

// checkRange checks a number against the bounds of the field with this key.
func checkRange[T int | int64 | float64](c *checker, place, key string, v T) {
	f := fieldByPlace[key]
	if f.In(float64(v)) {
		return
	}
	number := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	zero := ""
	if f.ZeroOr {
		zero = "0 or "
	}
	c.add(place, "%v is outside %s%s to %s", v, zero, number(f.Min), number(f.Max))
}

// Check returns all problems of the configuration, in the order of its fields; none means that it can be applied. It
// checks each field against the bounds of Fields and, across fields, that names are distinct, references are defined,
// shares add up, deadlines cover the expected times, and the printed form fits in MaxPrintedBytes.
func (cfg *Config) Check() []Problem {
	c := &checker{}
	if cfg.FormatVersion != FormatVersion {
		c.add("format_version", "%d is not supported; this version reads %d", cfg.FormatVersion, FormatVersion)
	}
	cfg.checkRanks(c)
	cfg.checkTeams(c)
	models := cfg.checkModels(c)
	cfg.checkPipelines(c, models)
	cfg.checkLinks(c)
	cfg.checkLimits(c)
	if n := len(cfg.Print()); n > MaxPrintedBytes {
		c.add("config", "has %d bytes in printed form; at most %d are allowed", n, MaxPrintedBytes)
	}
	return c.problems
}

func (cfg *Config) checkRanks(c *checker) {
	c.count("ranks", "ranks", "ranks", len(cfg.Ranks))
	seen, sum := map[string]bool{}, 0.0
	for i, r := range cfg.Ranks {
		place := fmt.Sprintf("ranks[%d]", i)
		c.name(place+".name", r.Name)
		c.unique(place+".name", seen, r.Name)
		checkRange(c, place+".share", "ranks[].share", r.Share)
		sum += r.Share
	}
	if sum > 1.000001 {
		c.add("ranks", "shares add up to %.3f; at most 1 is allowed", sum)
	}
}

func (cfg *Config) checkTeams(c *checker) {
	c.count("teams", "teams", "teams", len(cfg.Teams))
	seen := map[string]bool{}
	for i, t := range cfg.Teams {
		place := fmt.Sprintf("teams[%d]", i)
		c.name(place+".name", t.Name)
		c.unique(place+".name", seen, t.Name)
		checkRange(c, place+".weight", "teams[].weight", t.Weight)
		checkRange(c, place+".max_per_second", "teams[].max_per_second", t.MaxPerSecond)
		checkRange(c, place+".max_in_flight", "teams[].max_in_flight", t.MaxInFlight)
	}
}

func (cfg *Config) checkModels(c *checker) map[string]bool {
	c.count("models", "models", "models", len(cfg.Models))
	seen := map[string]bool{}
	for i, m := range cfg.Models {
		place := fmt.Sprintf("models[%d]", i)
		c.model(place+".name", m.Name)
		c.unique(place+".name", seen, m.Name)
		c.text(place+".version", "models[].version", m.Version)
		checkRange(c, place+".replicas", "models[].replicas", m.Replicas)
		checkRange(c, place+".size_mb", "models[].size_mb", m.SizeMB)
	}
	for i, m := range cfg.Models {
		if base, _, ok := strings.Cut(m.Name, ":"); ok && !seen[base] {
			c.add(fmt.Sprintf("models[%d].name", i), "the base model %q of the adapter is not listed under models", base)
		}
	}
	return seen
}

func (cfg *Config) checkPipelines(c *checker, models map[string]bool) {
	c.count("pipelines", "pipelines", "pipelines", len(cfg.Pipelines))
	seen := map[string]bool{}
	for i := range cfg.Pipelines {
		p := &cfg.Pipelines[i]
		place := fmt.Sprintf("pipelines[%d]", i)
		c.name(place+".name", p.Name)
		c.unique(place+".name", seen, p.Name)
		checkRange(c, place+".deadline_ms", "pipelines[].deadline_ms", p.DeadlineMS)
		p.checkStages(c, place, models)
	}
}

func (p *Pipeline) checkStages(c *checker, place string, models map[string]bool) {
	c.count(place+".stages", "pipelines[].stages", "stages", len(p.Stages))
	seen, notRepeatable := map[string]bool{}, 0
	for i := range p.Stages {
		s := &p.Stages[i]
		at := fmt.Sprintf("%s.stages[%d]", place, i)
		c.name(at+".name", s.Name)
		c.unique(at+".name", seen, s.Name)
		s.check(c, at, models)
		if s.NotRepeatable {
			notRepeatable++
		}
	}
	if notRepeatable > 1 {
		c.add(place+".stages", "%d stages are not_repeatable; at most 1 is allowed, since a request has one idempotency key", notRepeatable)
	}
	if p.AnswerStage != "" && !seen[p.AnswerStage] {
		c.add(place+".answer_stage", "no stage is named %q", p.AnswerStage)
	} else if i := p.Answer(); i >= 0 && p.Stages[i].When != nil {
		c.add(fmt.Sprintf("%s.stages[%d].when", place, i), "the answer stage %q must apply to every request: "+
			"one that skips it would get an empty answer", p.Stages[i].Name)
	}
	// The bounds are checked where they stand; a sum of values within them does not overflow.
	if ms := p.ExpectedMS(); p.DeadlineMS >= 1 && ms > p.DeadlineMS && ms <= MaxStages*MaxDeadlineMS {
		c.add(place+".deadline_ms", "%d is less than the expected times of the stages of one request, which add up to %d",
			p.DeadlineMS, ms)
	}
}

func (s *Stage) check(c *checker, place string, models map[string]bool) {
	switch s.Kind {
	case Generate:
		s.checkGenerate(c, place, models)
	case Encode, Retrieve, Rerank, Call:
		if s.MaxTokens != 0 {
			c.add(place+".max_tokens", "only generate stages have it")
		}
		if s.Model != "" {
			c.model(place+".model", s.Model)
		}
	default:
		c.add(place+".kind", "%q is not one of encode, retrieve, rerank, generate, call", s.Kind)
	}
	if s.Service != "" {
		c.name(place+".service", s.Service)
	}
	if s.NotRepeatable && s.Kind != Call {
		c.add(place+".not_repeatable", "only call stages can be marked; %s stages are idempotent", s.Kind)
	}
	if s.When != nil {
		c.text(place+".when.param", "pipelines[].stages[].when.param", s.When.Param)
		c.text(place+".when.equals", "pipelines[].stages[].when.equals", s.When.Equals)
	}
	checkRange(c, place+".expected_ms", "pipelines[].stages[].expected_ms", s.ExpectedMS)
}

func (s *Stage) checkGenerate(c *checker, place string, models map[string]bool) {
	if !modelRule.MatchString(s.Model) {
		c.add(place+".model", "%q is not a model name", s.Model)
	} else if len(models) > 0 && !models[s.Model] {
		c.add(place+".model", "%q is not listed under models", s.Model)
	}
	checkRange(c, place+".max_tokens", "pipelines[].stages[].max_tokens", s.MaxTokens)
	if s.MaxTokens == 0 {
		c.add(place+".max_tokens", "is required for a generate stage; 1 to %d are allowed", MaxTokens)
	}
	if s.Service != "" {
		c.add(place+".service", "generate stages are routed by model")
	}
}

func (cfg *Config) checkLinks(c *checker) {
	c.count("links", "links", "links", len(cfg.Links))
	seen := map[[2]string]bool{}
	for i, l := range cfg.Links {
		place := fmt.Sprintf("links[%d]", i)
		c.name(place+".region_a", l.RegionA)
		c.name(place+".region_b", l.RegionB)
		if l.RegionA == l.RegionB {
			c.add(place, "joins %q with itself", l.RegionA)
		}
		pair := [2]string{min(l.RegionA, l.RegionB), max(l.RegionA, l.RegionB)}
		if seen[pair] {
			c.add(place, "the link between %q and %q is given twice", pair[0], pair[1])
		}
		seen[pair] = true
		checkRange(c, place+".kbit_per_sec", "links[].kbit_per_sec", l.KbitPerSec)
		checkRange(c, place+".price_per_gb", "links[].price_per_gb", l.PricePerGB)
		checkRange(c, place+".reserved_kbits", "links[].reserved_kbits", l.ReservedKbit)
		if l.ReservedKbit > max(l.KbitPerSec, 0) {
			c.add(place+".reserved_kbits", "%d is more than the capacity of %d", l.ReservedKbit, l.KbitPerSec)
		}
	}
}

func (cfg *Config) checkLimits(c *checker) {
	l := &cfg.Limits
	checkRange(c, "limits.max_input_bytes", "limits.max_input_bytes", l.MaxInputBytes)
	checkRange(c, "limits.max_in_flight", "limits.max_in_flight", l.MaxInFlight)
	checkRange(c, "limits.retention_ms", "limits.retention_ms", l.RetentionMS)
	checkRange(c, "limits.quarantine_ms", "limits.quarantine_ms", l.QuarantineMS)
	checkRange(c, "limits.stale_config_ms", "limits.stale_config_ms", l.StaleConfigMS)
	checkRange(c, "limits.resume_window_ms", "limits.resume_window_ms", l.ResumeWindowMS)
	checkRange(c, "limits.max_upstream_deaths", "limits.max_upstream_deaths", l.MaxUpstreamDeaths)
	checkRange(c, "limits.retry_budget_percent", "limits.retry_budget_percent", l.RetryBudgetPct)
	cfg.checkRetention(c)
}

// checkRetention refuses a ledger that forgets the outcome of a call while its request can still run: the caller could
// then not learn the outcome, because its key is refused as expired.
func (cfg *Config) checkRetention(c *checker) {
	if cfg.Limits.RetentionMS <= 0 {
		return // the default covers the longest deadline
	}
	for i := range cfg.Pipelines {
		p := &cfg.Pipelines[i]
		for j := range p.Stages {
			if p.Stages[j].NotRepeatable && cfg.Limits.RetentionMS < p.DeadlineMS {
				c.add("limits.retention_ms", "%d is less than the deadline of pipeline %q, whose stage %q is not repeatable",
					cfg.Limits.RetentionMS, p.Name, p.Stages[j].Name)
			}
		}
	}
}
