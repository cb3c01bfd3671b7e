package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/wire/httpd"
)

// stageRun runs the stages of one request.
type stageRun struct {
	x              *exchange
	plan           *stage.Plan
	pending        int
	results        chan stageResult
	owners         []string // nodes that were asked to run pieces
	reason         stage.Reason
	blocked        blocked // why no upstream of the stage accepted the pieces
	homeDataCentre string  // data centre of the engine that is expected to run the request
	spans          []stage.GroupSpan
	counts         []int        // pieces of each stage
	groups         []stageGroup // requested for plan
	cancelled      []stageGroup // by the last restart
	left           []leftRegion // nearer regions that had no upstream
}

// stageResult holds the results of pieces of one stage that were requested together.
type stageResult struct {
	items  []stage.Item
	made   []batch.JobResult
	region string // of the queue
	asked  time.Time
	ended  time.Time
}

// pieceCounts parses the number of pieces of each stage.
func (x *exchange) pieceCounts() ([]int, error) {
	var counts []int
	for _, text := range strings.Split(x.r.Header.Get(x.f.o.Dialect.Headers.Pieces), ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			return nil, err
		}
		counts = append(counts, n)
	}
	return counts, nil
}

// newStageRun parses the pieces of a request and checks whether its stages can finish in time.
func (x *exchange) newStageRun() (*stageRun, *refusal) {
	counts, err := x.pieceCounts()
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, "the piece counts are not numbers", 0}
	}
	plan, err := stage.NewPlan(x.id, x.r.Header.Get(x.f.o.Dialect.Headers.PieceKey), x.route.Stages, counts)
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, err.Error(), 0}
	}
	if refused := x.reservePieces(counts); refused != nil {
		return nil, refused
	}
	if refused := x.admitOrMove(); refused != nil {
		return nil, refused
	}
	return &stageRun{
		x: x, plan: plan, homeDataCentre: x.homeDataCentre(), results: make(chan stageResult, len(counts)*(1+maxRounds)), counts: counts,
	}, nil
}

// reservePieces takes the memory for the pieces of the request, once.
func (x *exchange) reservePieces(counts []int) *refusal {
	if x.piecesHeld != nil {
		return nil
	}
	n := 0
	for _, count := range counts {
		n += count
	}
	held, ok := batch.ReservePieces(x.f.o.Memory, n)
	if !ok {
		x.reportLimit(httpd.LimitPieces, 0)
		r := x.gatewayError("the memory for pieces is in use", x.f.spreadRetry(retryLater))
		return &r
	}
	x.piecesHeld = held
	return nil
}

// maxRounds limits how often a stage can be requested.
const maxRounds = 8

// run runs all pieces. When it returns a refusal, the request itself has not been sent to an upstream.
func (s *stageRun) run() *refusal {
	s.waitForHold()
	check := s.x.f.o.Clock.NewTimer(regionCheckInterval)
	defer check.Stop()
	if refused := s.startReady(); refused != nil {
		return refused
	}
	for !s.plan.Finished() {
		if s.pending == 0 {
			return s.failure()
		}
		select {
		case r := <-s.results:
			s.pending--
			if !s.recordResults(r) {
				return s.failure()
			}
			if refused := s.startReady(); refused != nil {
				return refused
			}
		case <-check.C():
			check.Reset(regionCheckInterval)
			if refused := s.startReady(); refused != nil {
				return refused
			}
		case <-s.x.f.drain.finishing.Done():
			return s.x.stopRefusal()
		case <-s.x.ctx.Done():
			return s.failure()
		}
	}
	return nil
}

// waitForHold waits until the later stages have capacity for the request's pieces. It waits only once: lost
// results are recomputed without delay.
func (s *stageRun) waitForHold() {
	x := s.x
	if x.placement == nil || x.placement.forecast.Hold <= 0 {
		return
	}
	x.heldFor += x.placement.forecast.Hold
	timer := x.f.o.Clock.NewTimer(x.placement.forecast.Hold)
	defer timer.Stop()
	x.placement.forecast.Hold = 0
	select {
	case <-timer.C():
	case <-x.f.drain.finishing.Done():
	case <-x.ctx.Done():
	}
}

func (s *stageRun) failure() *refusal {
	x := s.x
	reason := "the stages did not end in time"
	if s.reason != stage.ReasonNone {
		reason = "a piece of a stage was not made: " + s.reason.String()
	}
	after := retrySoon
	switch {
	case s.blocked.cause != pace.None:
		reason += ": " + reasons[s.blocked.cause]
		after = x.retryIn(s.blocked.in)
	case s.reason == stage.ReasonRefused: // as many others
		after = x.f.spreadRetry(retrySoon)
	}
	r := x.gatewayError(reason, after)
	return &r
}

// startReady requests the pieces that can run now, in one group per stage. It returns a refusal if no region that the request may
// use can run them.
func (s *stageRun) startReady() *refusal {
	x := s.x
	s.followRegions()
	items := s.plan.Ready()
	for len(items) > 0 {
		number := items[0].Stage
		n := 1
		for n < len(items) && items[n].Stage == number {
			n++
		}
		group := items[:n]
		items = items[n:]
		service := x.route.Stages[number].Service
		region, ok := s.regionFor(service)
		if !ok {
			r := x.noUpstream(service)
			return &r
		}
		owner := x.f.o.Batcher.Owner(service, region)
		if !slices.Contains(s.owners, owner) {
			s.owners = append(s.owners, owner)
		}
		jobs := s.buildJobs(group)
		s.pending++
		asked := x.f.o.Clock.Now()
		results := s.results
		ctx, cancel := context.WithCancel(x.ctx)
		s.groups = append(s.groups, stageGroup{service, region, owner, cancel})
		x.f.wg.Go(func() {
			defer cancel()
			made, err := x.f.o.Batcher.Run(ctx, service, region, jobs)
			if err != nil { // the request has ended, or may no longer use the region
				made = make([]batch.JobResult, len(group))
				for i := range made {
					made[i].Reason = stage.ReasonLost
				}
			}
			results <- stageResult{group, made, region, asked, x.f.o.Clock.Now()}
		})
	}
	return nil
}

// buildJobs creates the jobs for a group of pieces. Their due times leave enough time for the stages after them.
func (s *stageRun) buildJobs(group []stage.Item) []stage.Job {
	x := s.x
	number := group[0].Stage
	st := x.route.Stages[number]
	after := time.Duration(0)
	if service := x.table.Service(st.Service); service != nil && service.Pool != nil {
		after = s.plan.TimeAfter(number, *service.Pool)
	}
	due := x.due.Add(-after - x.forecast().EngineTime)
	home := s.plan.DataCentreFor(number, s.homeDataCentre, s.dataCentreOfResults(st))
	jobs := make([]stage.Job, len(group))
	for i, item := range group {
		jobs[i] = stage.Job{
			Item: item, Rank: x.rank(), Order: x.forecast().Order, Home: home, Bytes: st.ResultBytes, Due: due, Deadline: x.deadline.Add(-after),
		}
	}
	return jobs
}

// dataCentreOfResults returns a function that returns the data centre of an upstream which keeps inputs of a stage, or "" if no upstream
// of the stage's service accepts work there.
func (s *stageRun) dataCentreOfResults(st conf.Stage) func(string) string {
	x := s.x
	view := x.f.o.View()
	return func(upstream string) string {
		at := ""
		for _, a := range st.After {
			for _, u := range view.Services[x.route.Stages[a].Service] {
				if u.ID == upstream {
					at = u.DataCentre
				}
			}
		}
		for _, u := range view.Services[st.Service] {
			if u.DataCentre == at && u.State == roster.Ready && !u.Silent && x.mayUse(u) {
				return at
			}
		}
		return ""
	}
}

// timeSplit breaks down the time spent in stages.
func (s *stageRun) timeSplit() stage.LatencyBreakdown {
	after := func(number int) []int { return s.x.route.Stages[number].After }
	return stage.CriticalPath(after, s.x.start, s.spans)
}

// regionFor returns the region to run a stage in: that of the upstream nearest to the model engine that accepts
// requests and is in an allowed region. Without one, the result is false if the regions are restricted; otherwise it is the region
// of the engine, whose queue refuses the pieces.
func (s *stageRun) regionFor(service string) (string, bool) {
	at, ok := s.nearestUpstream(service, s.left)
	if !ok {
		at, ok = s.nearestUpstream(service, nil)
	}
	return s.x.f.o.RegionOf[at], ok || !s.x.allowedRegions().Limited()
}

// nearestUpstream returns the data centre of the upstream of a service nearest to the model engine that accepts requests and is in an
// allowed region, except some. Without one, the result is that of the engine, and false.
func (s *stageRun) nearestUpstream(service string, except []leftRegion) (string, bool) {
	f := s.x.f
	allowed := s.x.allowedRegions()
	best, least := s.homeDataCentre, -1
	for _, u := range f.o.View().Services[service] {
		region := f.o.RegionOf[u.DataCentre]
		if u.State != roster.Ready || u.Silent || f.isSuspended(u) || !allowed.Allows(region) || slices.Contains(except, leftRegion{service, region}) {
			continue
		}
		if d := f.distance(s.homeDataCentre, u.DataCentre); least < 0 || d < least || d == least && u.DataCentre < best {
			best, least = u.DataCentre, d
		}
	}
	return best, least >= 0
}

// recordResults records results. It returns false if the request cannot continue.
func (s *stageRun) recordResults(r stageResult) bool {
	var freed []stage.Freed
	span := stage.GroupSpan{Stage: r.items[0].Stage, Start: r.asked, End: r.ended}
	for _, m := range r.made {
		if m.Timing.Queued+m.Timing.InCall > span.Timing.Queued+span.Timing.InCall {
			span.Timing = m.Timing
		}
	}
	s.spans = append(s.spans, span)
	ok := true
	for i, item := range r.items {
		m := r.made[i]
		switch {
		case m.Handle != "": // recorded even if the request ends, so that it is freed
			freed = append(freed, s.plan.RecordResult(item.Stage, item.Piece, m.Handle, m.Owner, m.Upstream)...)
		case !ok:
		case m.NoUpstream && s.leaveRegion(s.x.route.Stages[item.Stage].Service, r.region):
			s.plan.Withdraw(item.Stage, item.Piece)
		default:
			s.reason, s.blocked = m.Reason, blocked{m.Cause, m.RetryIn}
			ok = s.plan.RecordFailure(item.Stage, item.Piece, m.Reason)
		}
	}
	s.freeResults(freed)
	if !ok {
		return false
	}
	if number := r.items[0].Stage; s.plan.StageFinished(number) {
		s.x.f.notifyStageDone(s.x.placement, number)
	}
	return true
}

func (s *stageRun) freeResults(list []stage.Freed) {
	type group struct{ service, source string }
	groups := map[group][]batch.ResultRef{}
	for _, f := range list {
		g := group{f.Service, f.Owner}
		groups[g] = append(groups[g], batch.ResultRef{Handle: f.Handle, Upstream: f.Upstream})
	}
	for g, results := range groups {
		s.x.f.o.Batcher.Free(g.service, g.source, results)
	}
}

// rerunLost recomputes the results of the last stages after an upstream reported them missing.
func (s *stageRun) rerunLost() *refusal {
	if !s.plan.RecordLostResults() {
		r := s.x.gatewayError("the results of the stages were lost", retrySoon)
		return &r
	}
	return s.run()
}

// releaseResults frees the results once the upstream has read them. They can be recomputed.
func (s *stageRun) releaseResults() { s.freeResults(s.plan.TakeResults()) }

// end frees all results and cancels pieces that are still running.
func (s *stageRun) end() {
	s.releaseResults()
	s.repeatCancels()
	if s.pending == 0 {
		return
	}
	s.x.f.o.Batcher.Cancel(s.x.id, s.owners)
	s.freePending()
}

// freePending frees the results of pieces that are still running, when they arrive.
func (s *stageRun) freePending() {
	left, results := s.pending, s.results
	s.x.f.wg.Go(func() {
		for range left {
			r := <-results
			for i, m := range r.made {
				if m.Handle != "" {
					s.freeResults([]stage.Freed{{Service: s.x.route.Stages[r.items[i].Stage].Service, Owner: m.Owner, Handle: m.Handle, Upstream: m.Upstream}})
				}
			}
		}
	})
}

// rerunStages recomputes lost inputs, so that the request can be sent again.
func (x *exchange) rerunStages() *refusal {
	x.refusals++
	return x.stages.rerunLost()
}
