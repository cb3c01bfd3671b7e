package fleet

import "time"

// New returns a configuration that has only its format version. Ranks, teams and pipelines are still to be filled in.
func New() *Config { return &Config{FormatVersion: FormatVersion} }

// MS returns a duration in whole milliseconds, the unit of all times in a configuration.
func MS(d time.Duration) int64 { return d.Milliseconds() }

// Names returns teams with these names, the default weight and no limits.
func Names(names ...string) []Team {
	teams := make([]Team, len(names))
	for i, name := range names {
		teams[i].Name = name
	}
	return teams
}

// Plain returns a stage that calls a service and may be repeated. An empty service means the name of the kind;
// expectedMS is in milliseconds.
func Plain(name string, kind StageKind, service string, expectedMS int64) Stage {
	return Stage{Name: name, Kind: kind, Service: service, ExpectedMS: expectedMS}
}

// Generation returns a generate stage of at most maxTokens tokens; expectedMS is in milliseconds.
func Generation(name, model string, maxTokens int, expectedMS int64) Stage {
	return Stage{Name: name, Kind: Generate, Model: model, MaxTokens: maxTokens, ExpectedMS: expectedMS}
}

// Once returns a call that runs at most once for each idempotency key; expectedMS is in milliseconds.
func Once(name, service string, expectedMS int64) Stage {
	return Stage{Name: name, Kind: Call, Service: service, NotRepeatable: true, ExpectedMS: expectedMS}
}

// If returns a copy of the stage that is skipped for requests whose parameter differs from the value.
func (s Stage) If(param, equals string) Stage {
	s.When = &Condition{Param: param, Equals: equals}
	return s
}

// Pipeline returns a pipeline by name, or nil.
func (cfg *Config) Pipeline(name string) *Pipeline {
	for i := range cfg.Pipelines {
		if cfg.Pipelines[i].Name == name {
			return &cfg.Pipelines[i]
		}
	}
	return nil
}

// Team returns a team by name, or nil.
func (cfg *Config) Team(name string) *Team {
	for i := range cfg.Teams {
		if cfg.Teams[i].Name == name {
			return &cfg.Teams[i]
		}
	}
	return nil
}

// RankIndex returns the priority of a rank (0 is the most urgent), or -1.
func (cfg *Config) RankIndex(name string) int {
	for i := range cfg.Ranks {
		if cfg.Ranks[i].Name == name {
			return i
		}
	}
	return -1
}

// Answer returns the index of the stage whose output is the answer, or -1 without stages.
func (p *Pipeline) Answer() int {
	answer := len(p.Stages) - 1
	for i := range p.Stages {
		if p.Stages[i].Name == p.AnswerStage {
			return i
		}
		if p.AnswerStage == "" && p.Stages[i].Kind == Generate {
			answer = i
		}
	}
	return answer
}

// Pool returns the name under which upstreams offer this stage: the model of a generate stage, else the service.
func (s *Stage) Pool() string {
	switch {
	case s.Kind == Generate:
		return s.Model
	case s.Service != "":
		return s.Service
	default:
		return string(s.Kind)
	}
}

// expected returns the expected time in milliseconds.
func (s *Stage) expected() int64 {
	if s.ExpectedMS > 0 {
		return s.ExpectedMS
	}
	return DefaultExpectedMS
}

// ExpectedMS returns the longest sum of expected stage times that one request can meet, in milliseconds. Stages whose
// conditions compare one parameter with different values exclude each other, so only the longest alternative counts.
func (p *Pipeline) ExpectedMS() int64 {
	var sum int64
	alternatives := map[string]map[string]int64{}
	for i := range p.Stages {
		s := &p.Stages[i]
		if s.When == nil {
			sum += s.expected()
			continue
		}
		if alternatives[s.When.Param] == nil {
			alternatives[s.When.Param] = map[string]int64{}
		}
		alternatives[s.When.Param][s.When.Equals] += s.expected()
	}
	for _, values := range alternatives {
		var longest int64
		for _, ms := range values {
			longest = max(longest, ms)
		}
		sum += longest
	}
	return sum
}
