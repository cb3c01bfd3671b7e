package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/flow/admit"
	"github.com/berylledge/berylledge/internal/flow/budget"
	"github.com/berylledge/berylledge/internal/test/eventq"
	"github.com/berylledge/berylledge/pkg/fleet"
)

const (
	// sigma is the standard deviation of the logarithm of service times.
	sigma = 0.3
	// estimateQuantile is the quantile of the observed times that admission works with.
	estimateQuantile = 0.9
	// reportEvery is the lag of the load that upstreams report.
	reportEvery = 250 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// call is one request on its way.
type call struct {
	id       string
	stream   *Stream
	pipeline *fleet.Pipeline
	node     *node
	arrived  time.Time
	deadline time.Time
	service  []time.Duration // by stage
	cost     float64         // service seconds
	stage    int
	stageAt  time.Time
	waited   time.Duration
	ended    time.Time
	outcome  string // empty until it has ended
}

// The outcomes of a call besides the reasons of admit.Refuse.
const (
	onTime = "on_time"
	late   = "late"
)

type decider interface {
	Step(now time.Time, ev admit.Event) []admit.Action
	Wake() (time.Time, bool)
}

// fcfs admits everything at once.
type fcfs struct{}

func (fcfs) Step(_ time.Time, ev admit.Event) []admit.Action {
	if a, ok := ev.(admit.Arrive); ok {
		return []admit.Action{admit.Admit{ID: a.Request.ID}}
	}
	return nil
}

func (fcfs) Wake() (time.Time, bool) { return time.Time{}, false }

type node struct {
	machine decider
	book    *budget.Estimator
	random  *rand.Rand
	turn    int
	tickAt  time.Time // of the earliest tick that is due
}

type server struct {
	slots, busy int
	queue       []*call
	reported    int // busy and queued at the last report
	sent        int // dispatched since the last report
}

type pool struct {
	servers []*server
	factor  float64
}

type world struct {
	scenario Scenario
	variant  Variant
	cfg      *fleet.Config
	now      time.Time
	agenda   eventq.Agenda
	nodes    []*node
	pools    map[string]*pool
	calls    map[string]*call
	all      []*call
	limits   limitTrace
}

// limitTrace is the mean and the range of the concurrency limit of all nodes together.
type limitTrace struct {
	Mean, Min, Max float64
	samples        int
}

// Run plays a scenario and returns what was measured.
func Run(s Scenario, v Variant, seed uint64) Result {
	w := &world{scenario: s, variant: v, cfg: Config(), now: epoch, pools: map[string]*pool{}, calls: map[string]*call{}}
	for _, p := range pools {
		set := &pool{factor: 1}
		for range p.servers {
			set.servers = append(set.servers, &server{slots: p.slots})
		}
		w.pools[p.name] = set
	}
	policy := v.Policy(admit.PolicyFromConfig(w.cfg, s.Nodes, seed))
	for i := range s.Nodes {
		n := &node{machine: fcfs{}, book: budget.New(w.cfg), random: rand.New(rand.NewPCG(seed, uint64(1000+i))), turn: i}
		if !v.FCFS {
			policy.Seed = seed + uint64(i)
			n.machine = admit.New(policy)
		}
		w.nodes = append(w.nodes, n)
	}
	for i := range s.Streams {
		w.startStream(&s.Streams[i], rand.New(rand.NewPCG(seed, uint64(i))))
	}
	w.startSlow(s.Slow)
	w.every(reportEvery, w.report)
	for e, ok := w.agenda.Next(time.Time{}); ok; e, ok = w.agenda.Next(time.Time{}) {
		w.now = e.At
		e.Run()
	}
	return w.result(seed)
}

// Job is one run.
type Job struct {
	Scenario Scenario
	Variant  Variant
	Seed     uint64
}

// RunAll runs independent jobs, a few at a time, and returns their results in the order of the jobs.
func RunAll(jobs []Job) []Result {
	const workers = 4
	results := make([]Result, len(jobs))
	var wg sync.WaitGroup
	for first := range workers {
		wg.Go(func() {
			for i := first; i < len(jobs); i += workers {
				results[i] = Run(jobs[i].Scenario, jobs[i].Variant, jobs[i].Seed)
			}
		})
	}
	wg.Wait()
	return results
}

func (w *world) at(t time.Time, run func()) { w.agenda.Add(t, run) }

func (w *world) every(d time.Duration, run func()) {
	run()
	if w.now.Before(epoch.Add(w.scenario.Duration)) {
		w.at(w.now.Add(d), func() { w.every(d, run) })
	}
}

func (w *world) startSlow(s *Slow) {
	if s == nil {
		return
	}
	w.at(epoch.Add(s.From), func() { w.pools[s.Pool].factor = s.Factor })
	w.at(epoch.Add(s.To), func() { w.pools[s.Pool].factor = 1 })
}

// report publishes the load of the servers and samples the limits.
func (w *world) report() {
	for _, p := range w.pools {
		for _, s := range p.servers {
			s.reported, s.sent = s.busy+len(s.queue), 0
		}
	}
	since := w.now.Sub(epoch)
	if w.variant.FCFS || since < w.scenario.From || since >= w.scenario.To {
		return
	}
	sum := 0.0
	for _, n := range w.nodes {
		sum += float64(n.machine.(*admit.Machine).Stats().Limit)
	}
	t := &w.limits
	if t.samples == 0 || sum < t.Min {
		t.Min = sum
	}
	t.Max = max(t.Max, sum)
	t.samples++
	t.Mean += (sum - t.Mean) / float64(t.samples)
}

func (w *world) startStream(s *Stream, random *rand.Rand) {
	end := s.To
	if end == 0 {
		end = w.scenario.Duration
	}
	var next func()
	schedule := func(from time.Time) {
		at := from.Add(time.Duration(random.ExpFloat64() / s.PerSecond * float64(time.Second)))
		if at.Before(epoch.Add(end)) {
			w.at(at, next)
		}
	}
	next = func() {
		w.arrive(s, random)
		schedule(w.now)
	}
	schedule(epoch.Add(s.From))
}

func (w *world) arrive(s *Stream, random *rand.Rand) {
	p := w.cfg.Pipeline(s.Pipeline)
	c := &call{
		id: strconv.Itoa(len(w.all)), stream: s, pipeline: p, arrived: w.now,
		deadline: w.now.Add(time.Duration(p.DeadlineMS) * time.Millisecond),
		node:     w.nodes[random.IntN(len(w.nodes))],
	}
	expected := 0.0
	for i := range p.Stages {
		mean := float64(p.Stages[i].ExpectedMS) * float64(time.Millisecond)
		d := time.Duration(mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
		c.service = append(c.service, d)
		c.cost += d.Seconds()
		expected += mean / float64(time.Second)
	}
	w.all = append(w.all, c)
	w.calls[c.id] = c
	w.step(c.node, admit.Arrive{Request: admit.Request{
		ID: c.id, Team: s.Team, Rank: s.Rank, Pipeline: s.Pipeline, Deadline: c.deadline, EstimatedCost: expected,
		EstimatedTime: c.node.book.Estimate(w.now, s.Pipeline, 0, estimateQuantile), LongRunning: p.DeadlineMS >= patientAbove,
	}})
}

func (w *world) step(n *node, ev admit.Event) {
	actions := append([]admit.Action(nil), n.machine.Step(w.now, ev)...)
	if at, ok := n.machine.Wake(); ok && (!n.tickAt.After(w.now) || at.Before(n.tickAt)) {
		n.tickAt = at
		w.at(at, func() { w.step(n, admit.Tick{}) })
	}
	for _, a := range actions {
		switch a := a.(type) {
		case admit.Admit:
			w.begin(w.calls[a.ID])
		case admit.Queue:
		case admit.Refuse:
			c := w.calls[a.ID]
			c.outcome, c.ended = string(a.Reason), w.now
			delete(w.calls, a.ID)
		}
	}
}

// begin sends the call to an upstream of its present stage.
func (w *world) begin(c *call) {
	p := w.pools[c.pipeline.Stages[c.stage].Pool()]
	c.stageAt = w.now
	s := w.choose(c.node, p)
	s.sent++
	if s.busy < s.slots {
		w.serve(p, s, c)
		return
	}
	s.queue = append(s.queue, c)
}

// choose picks an upstream: in turn for the baseline, otherwise the less loaded of two by the last report.
func (w *world) choose(n *node, p *pool) *server {
	if w.variant.FCFS {
		n.turn++
		return p.servers[n.turn%len(p.servers)]
	}
	a, b := p.servers[n.random.IntN(len(p.servers))], p.servers[n.random.IntN(len(p.servers))]
	if b.reported+b.sent < a.reported+a.sent {
		return b
	}
	return a
}

func (w *world) serve(p *pool, s *server, c *call) {
	s.busy++
	c.waited += w.now.Sub(c.stageAt)
	w.at(w.now.Add(time.Duration(float64(c.service[c.stage])*p.factor)), func() {
		s.busy--
		w.stageDone(c)
		w.drain(p, s)
	})
}

// drain serves the queue of a server. Calls whose deadline has passed are given up.
func (w *world) drain(p *pool, s *server) {
	for s.busy < s.slots && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		if w.now.After(c.deadline) {
			c.waited += w.now.Sub(c.stageAt)
			w.finish(c)
			continue
		}
		w.serve(p, s, c)
	}
}

func (w *world) stageDone(c *call) {
	c.node.book.Observe(w.now, c.pipeline.Name, c.stage, w.now.Sub(c.stageAt))
	c.stage++
	if c.stage == len(c.pipeline.Stages) || w.now.After(c.deadline) {
		w.finish(c)
		return
	}
	w.begin(c)
}

func (w *world) finish(c *call) {
	c.ended, c.outcome = w.now, onTime
	if w.now.After(c.deadline) {
		c.outcome = late
		if c.stage < len(c.pipeline.Stages) { // given up: its time is a lower bound for the stage
			c.node.book.Observe(w.now, c.pipeline.Name, c.stage, w.now.Sub(c.stageAt))
		}
	}
	delete(w.calls, c.id)
	w.step(c.node, admit.Finish{ID: c.id, Cost: c.cost, QueueDelay: c.waited, Late: c.outcome == late})
}
