// Package meter publishes the metrics of a process at /metrics (package stats).
//
// What happens to requests is counted through the hooks of entry.Measure; state such as the load of the admission control
// is sampled once a second.
//
// Usage:
//
//	m, err := meter.New(meter.Options{Clock: c, Read: sample})
//	entry.New(entry.Options{Measure: m.Measure(), Extra: []rest.Route{m.Route()}, ...})
//	m.SetConfig(cfg) // the names of its teams may become labels
//	m.Close()
package meter

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/stats"
	"github.com/berylledge/berylledge/internal/flow/admit"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/internal/node/quota"
	"github.com/berylledge/berylledge/internal/wire/memory"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// Options configure a Meter.
type Options struct {
	Clock clock.Clock
	Read  func() Sample // called from the goroutine of the meter
	// Account and Refused are what the process holds for others and whom it has refused.
	Account *memory.Account
	Refused *quota.Refusals
}

// Sample is the state of a process at one moment.
type Sample struct {
	Admission *admit.Stats // nil without the entry role
	Draining  bool
	Revision  uint64
	Control   *Control // nil without the control role, or before the group is formed
	Nodes     map[string]int
	Peer      peer.Counters
	Dropped   map[string]int64 // totals by place
}

// Control is the state of a member of the control group.
type Control struct {
	Term, Commit     uint64
	Leads, HasLeader bool
}

// Meter counts.
type Meter struct {
	o                    Options
	page                 *stats.Page
	teams, ranks, stages *labels
}

// New starts a meter.
func New(o Options) (*Meter, error) {
	m := &Meter{o: o, teams: newLabels(maxTeams), ranks: newLabels(maxRanks), stages: newLabels(maxStages)}
	page, err := stats.New(stats.Options{Clock: o.Clock, Metrics: catalogue, Sample: m.sample})
	m.page = page
	return m, err
}

// Close stops the meter.
func (m *Meter) Close() { m.page.Close() }

// Route returns the route that publishes the metrics.
func (m *Meter) Route() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: stats.Path, Handler: m.page.Handler().ServeHTTP}
}

func (m *Meter) sample(p *stats.Page) {
	s := m.o.Read()
	m.o.Refused.Sample(p, m.o.Account)
	if a := s.Admission; a != nil {
		p.Set(admitLimit, float64(a.Limit), nil)
		p.Set(admitInFlight, float64(a.InFlight), nil)
		p.Set(admitQueued, float64(a.Queued), nil)
		p.Set(admitPatient, float64(a.LongRunning), nil)
		p.Set(draining, number(s.Draining), nil)
		p.Set(revision, float64(s.Revision), nil)
	}
	if c := s.Control; c != nil {
		p.Set(term, float64(c.Term), nil)
		p.Set(commit, float64(c.Commit), nil)
		p.Set(leads, number(c.Leads), nil)
		p.Set(hasLeader, number(c.HasLeader), nil)
	}
	for state, n := range s.Nodes {
		p.Set(members, float64(n), stats.Tags{"state": state})
	}
	p.Raise(bytesIn, s.Peer.BytesIn, nil)
	p.Raise(bytesOut, s.Peer.BytesOut, nil)
	p.Raise(messagesIn, s.Peer.MessagesIn, nil)
	p.Raise(messagesOut, s.Peer.MessagesOut, nil)
	for where, n := range s.Dropped {
		p.Raise(dropped, n, stats.Tags{"where": where})
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// SetConfig takes the names that may become labels from a configuration.
func (m *Meter) SetConfig(cfg *fleet.Config) {
	m.teams.use(heaviest(cfg.Teams, topTeams))
	var ranks, stages []string
	for _, r := range cfg.Ranks {
		ranks = append(ranks, r.Name)
	}
	for i := range cfg.Pipelines {
		for j := range cfg.Pipelines[i].Stages {
			stages = append(stages, cfg.Pipelines[i].Stages[j].Name)
		}
	}
	m.ranks.use(ranks)
	m.stages.use(stages)
}

// Measure returns the hooks for an entry node.
func (m *Meter) Measure() entry.Measure {
	return entry.Measure{Refused: m.refused, Ended: m.ended}
}

func (m *Meter) refused(team, rank string, r *caller.Refusal) {
	team, rank = m.teams.of(team), m.ranks.of(rank)
	m.page.Add(requests, 1, map[string]string{"team": team, "rank": rank, "outcome": "refused"})
	m.page.Add(refusals, 1, map[string]string{"rank": rank, "code": string(r.Code), "ran": string(r.Ran)})
}

func (m *Meter) ended(team, rank string, elapsed time.Duration, e entry.End) {
	team, rank = m.teams.of(team), m.ranks.of(rank)
	outcome := "on_time"
	switch {
	case e.Refusal != nil:
		outcome = "failed"
		m.page.Add(failures, 1, map[string]string{"rank": rank, "code": string(e.Refusal.Code), "ran": string(e.Refusal.Ran)})
	case e.Late:
		outcome = "late"
	}
	m.page.Add(requests, 1, map[string]string{"team": team, "rank": rank, "outcome": outcome})
	m.page.Observe(requestTime, elapsed, map[string]string{"rank": rank})
	m.page.Observe(queueTime, max(e.QueueDelay, 0), map[string]string{"rank": rank})
	m.page.Add(tokens, int64(e.Tokens), map[string]string{"team": team, "rank": rank})
	for _, s := range e.Stages {
		m.stage(rank, s)
	}
}

func (m *Meter) stage(rank string, s entry.Stage) {
	name, outcome := m.stages.of(s.Name), "done"
	if s.Failed {
		outcome = "failed"
	}
	m.page.Add(stageRuns, 1, map[string]string{"stage": name, "rank": rank, "outcome": outcome})
	// Counters of tally are integers, and a cheap stage costs less than one token.
	m.page.Add(stageCost, int64(s.Cost*1000), map[string]string{"stage": name, "rank": rank})
	m.page.Add(attempts, int64(s.Attempts), map[string]string{"stage": name})
	m.page.Add(retries, int64(max(s.Attempts-1, 0)), map[string]string{"stage": name})
}
