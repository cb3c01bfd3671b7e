package proxy

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// staging runs the stages of one request.
type staging struct {
	x       *exchange
	plan    *stage.Plan
	pending int
	results chan stageResult
	owners  []string // nodes that were given pieces
	reason  stage.Reason
	home    string // data centre of the engine that will probably run the request
	legs    []stage.StageSpan
}

// stageResult is the end of the pieces of one stage that were asked for together.
type stageResult struct {
	items []stage.Item
	made  []batch.JobResult
	asked time.Time
	ended time.Time
}

// pieceCounts reads how many pieces each stage has.
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

// newStaging checks the pieces of a request and whether its stages can end in time.
func (x *exchange) newStaging() (*staging, *refusal) {
	counts, err := x.pieceCounts()
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, "the numbers of pieces cannot be read", 0}
	}
	plan, err := stage.NewPlan(x.id, x.r.Header.Get(x.f.o.Dialect.Headers.PieceKey), x.route.Stages, counts)
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, err.Error(), 0}
	}
	if refused := x.foresee(); refused != nil {
		return nil, refused
	}
	return &staging{x: x, plan: plan, home: x.home(), results: make(chan stageResult, len(counts)*(1+maxRounds))}, nil
}

// maxRounds bounds how often a stage can be asked for.
const maxRounds = 8

// run makes all pieces. The refusal is true: the request itself has not been sent.
func (s *staging) run() *refusal {
	s.hold()
	s.start()
	for !s.plan.Finished() {
		if s.pending == 0 {
			return s.failed()
		}
		select {
		case r := <-s.results:
			s.pending--
			if !s.take(r) {
				return s.failed()
			}
			s.start()
		case <-s.x.ctx.Done():
			return s.failed()
		}
	}
	return nil
}

// hold waits until the later stages can take the request's pieces. It is done once: lost results are made again at once.
func (s *staging) hold() {
	x := s.x
	if x.seat == nil || x.seat.forecast.Hold <= 0 {
		return
	}
	x.held += x.seat.forecast.Hold
	timer := x.f.o.Clock.NewTimer(x.seat.forecast.Hold)
	defer timer.Stop()
	x.seat.forecast.Hold = 0
	select {
	case <-timer.C():
	case <-x.ctx.Done():
	}
}

func (s *staging) failed() *refusal {
	x := s.x
	reason := "the stages did not end in time"
	if s.reason != stage.ReasonNone {
		reason = "a piece of a stage was not made: " + s.reason.String()
	}
	r := x.giveUp(reason, retrySoon)
	return &r
}

// start asks for the pieces that can be made now, one group for each stage.
func (s *staging) start() {
	x := s.x
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
		area := s.place(service)
		owner := x.f.o.Maker.Owner(service, area)
		if !slices.Contains(s.owners, owner) {
			s.owners = append(s.owners, owner)
		}
		jobs := s.jobs(group)
		s.pending++
		asked := x.f.o.Clock.Now()
		x.f.wg.Go(func() {
			made, err := x.f.o.Maker.Run(x.ctx, service, area, jobs)
			if err != nil { // the request has ended
				made = make([]batch.JobResult, len(group))
				for i := range made {
					made[i].Reason = stage.ReasonLost
				}
			}
			s.results <- stageResult{group, made, asked, x.f.o.Clock.Now()}
		})
	}
}

// jobs gives pieces their times: each is due early enough for the stages after it.
func (s *staging) jobs(group []stage.Item) []stage.Job {
	x := s.x
	number := group[0].Stage
	st := x.route.Stages[number]
	after := time.Duration(0)
	if service := x.table.Service(st.Service); service != nil && service.Pool != nil {
		after = s.plan.TimeAfter(number, *service.Pool)
	}
	due := x.due.Add(-after - x.forecast().EngineTime)
	jobs := make([]stage.Job, len(group))
	for i, item := range group {
		jobs[i] = stage.Job{
			Item: item, Rank: x.rank(), Home: s.home, Bytes: st.Bytes, Due: due, Deadline: x.end.Add(-after),
		}
	}
	return jobs
}

// split says where the time of the stages went.
func (s *staging) split() stage.LatencyBreakdown {
	after := func(number int) []int { return s.x.route.Stages[number].After }
	return stage.CriticalPath(after, s.x.began, s.legs)
}

// place chooses the region in which a stage runs: the nearest one to the model engine with an upstream that takes work.
func (s *staging) place(service string) string {
	f := s.x.f
	best, least := s.home, -1
	for _, u := range f.o.View().Services[service] {
		if u.State != roster.Ready || u.Silent {
			continue
		}
		if d := f.distance(s.home, u.DataCentre); least < 0 || d < least || d == least && u.DataCentre < best {
			best, least = u.DataCentre, d
		}
	}
	return f.o.RegionOf[best]
}

// take records results; false means that the request cannot go on.
func (s *staging) take(r stageResult) bool {
	var freed []stage.Freed
	leg := stage.StageSpan{Stage: r.items[0].Stage, Start: r.asked, End: r.ended}
	for _, m := range r.made {
		if m.Timing.Queued+m.Timing.InCall > leg.Timing.Queued+leg.Timing.InCall {
			leg.Timing = m.Timing
		}
	}
	s.legs = append(s.legs, leg)
	for i, item := range r.items {
		m := r.made[i]
		if m.Handle != "" {
			freed = append(freed, s.plan.RecordResult(item.Stage, item.Piece, m.Handle, m.Owner, m.Upstream)...)
			continue
		}
		s.reason = m.Reason
		if !s.plan.RecordFailure(item.Stage, item.Piece, m.Reason) {
			s.free(freed)
			return false
		}
	}
	s.free(freed)
	s.x.f.noteStaged(s.x.seat, r.items[0].Stage)
	return true
}

func (s *staging) free(list []stage.Freed) {
	type group struct{ service, source string }
	groups := map[group][]batch.ResultRef{}
	for _, f := range list {
		g := group{f.Service, f.Owner}
		groups[g] = append(groups[g], batch.ResultRef{Handle: f.Handle, Upstream: f.Upstream})
	}
	for g, results := range groups {
		s.x.f.o.Maker.Free(g.service, g.source, results)
	}
}

// again makes the results of the last stages once more, after an upstream found that they are gone.
func (s *staging) again() *refusal {
	if !s.plan.RecordLostResults() {
		r := s.x.giveUp("the results of the stages were lost", retrySoon)
		return &r
	}
	return s.run()
}

// release gives up the results, once the upstream has read them. They can be made again.
func (s *staging) release() { s.free(s.plan.TakeResults()) }

// end gives up everything that is left of a request.
func (s *staging) end() {
	s.release()
	if s.pending == 0 {
		return
	}
	s.x.f.o.Maker.Cancel(s.x.id, s.owners)
	// Results that arrive now are freed.
	left := s.pending
	s.x.f.wg.Go(func() {
		for range left {
			r := <-s.results
			for i, m := range r.made {
				if m.Handle != "" {
					s.free([]stage.Freed{{Service: s.x.route.Stages[r.items[i].Stage].Service, Owner: m.Owner, Handle: m.Handle, Upstream: m.Upstream}})
				}
			}
		}
	})
}

// restage makes lost inputs again, so that the request can be sent once more.
func (x *exchange) restage() *refusal {
	x.refusals++
	return x.plan.again()
}
