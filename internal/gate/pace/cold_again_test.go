package pace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

const coldRate = 8

// Times of an upstream that turns cold again before the cold time of its start is over. Its window opens at firstWarm.
const (
	startsAt   = time.Second
	coldAgain  = 4 * time.Second
	firstWarm  = 6 * time.Second
	secondWarm = 9 * time.Second
)

func coldService(name string) *conf.Service {
	return &conf.Service{Name: name, ColdTime: conf.MS((firstWarm - startsAt).Milliseconds()), ColdPerSecond: coldRate}
}

// most returns the largest number of arrivals in a sliding second.
func most(arrivals []time.Time) (n int) {
	first := 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

func boundOf(perSecond float64) int { return int(perSecond*bounds.ColdOverage + bounds.ColdSlack) }

// Load pattern: upstreams start, and turn cold again by themselves before the cold time of that start is over; all VMs know it.
// Guards against the window of the start, which opens when that first cold time ends: VMs pass over the window where nothing else is
// left, and passed over the limit of the cold upstream with it.
func TestWindowOfAStartDoesNotHideTheColdLimit(t *testing.T) {
	for _, vms := range []int{3, 300} {
		for _, silent := range []bool{false, true} { // false: all of them started together, so that their windows do not count
			t.Run(fmt.Sprintf("%d VMs, silent %t", vms, silent), func(t *testing.T) {
				s := newStartFleet(vms, 3, 1)
				service := coldService("desk")
				for i := range s.list {
					s.list[i].Silent = silent
				}
				s.run(startsAt, func() { s.askFor(service, s.rng.IntN(vms)) })
				for i := range s.list {
					s.start(i)
					s.list[i].ColdUntil = t0.Add(firstWarm)
				}
				s.run(coldAgain, func() { s.askFor(service, s.rng.IntN(vms)) })
				for i := range s.list {
					s.list[i].ColdUntil = t0.Add(secondWarm)
				}
				s.arrivals = map[string][]time.Time{}
				s.run(secondWarm, func() {
					for range 5 {
						s.askFor(service, s.rng.IntN(vms))
					}
				})
				for id, arrivals := range s.arrivals {
					got := most(arrivals)
					t.Logf("%s: %d requests, at most %d in a second", id, len(arrivals), got)
					assert.Assert(t, got <= boundOf(coldRate), "%s got %d in a second, allowed are %d", id, got, boundOf(coldRate))
				}
			})
		}
	}
}

// askFor sends a request of a service from a VM.
func (s *startFleet) askFor(service *conf.Service, vm int) {
	c, now := s.choosers[vm], s.now
	u, ok := c.Choose(now, s.list, pick.Criteria{Service: service})
	if !ok {
		s.waiting++
		return
	}
	c.Begin(now, u.ID)
	s.arrivals[u.ID] = append(s.arrivals[u.ID], now)
	s.after(40*time.Millisecond, func() { c.End(s.now, u.ID, pick.Succeeded, 40*time.Millisecond) })
}

// Guards against the same fault in deciders that are the only sender.
func TestWindowOfAStartDoesNotHideTheColdLimitFromOwners(t *testing.T) {
	started, again := t0.Add(startsAt), t0.Add(coldAgain)
	coldAt := func(now time.Time) pace.Upstream {
		u := pace.Upstream{
			ID: "u", StartedMs: started.UnixMilli(), ColdUntil: t0.Add(firstWarm), ColdPerSecond: coldRate, SlowStart: true, Slots: 40,
		}
		if !now.Before(again) {
			u.ColdUntil = t0.Add(secondWarm)
		}
		return u
	}
	placer, queue := engine.NewPaced(bounds), stage.NewQueue(pool)
	queue.SetBounds(bounds)
	placer.SetOwned(t0.Add(-time.Hour), true)
	queue.SetOwned(t0.Add(-time.Hour), true)
	placed, called, items := []time.Time(nil), []time.Time(nil), 0
	for now := started; now.Before(t0.Add(secondWarm)); now = now.Add(tick) {
		u := coldAt(now)
		placer.SetTargets([]engine.Target{{ID: "u", Slots: 40, CacheTokens: 1e6, Pace: u}})
		queue.SetTargets([]stage.Target{{ID: "u", Address: "u", Pace: u}})
		for range 5 {
			if _, ok := placer.Place(now, engine.Request{Prompt: 10, Output: 10, Due: 5 * time.Second}); ok && !now.Before(again) {
				placed = append(placed, now)
			}
		}
		items++
		item := stage.Item{Request: fmt.Sprint("r", items), Key: "k"}
		queue.Add(now, stage.Job{Item: item, Due: now.Add(3 * time.Second), Deadline: now.Add(6 * time.Second)})
		calls, _ := queue.Next(now)
		for _, c := range calls {
			out := make([]stage.Outcome, len(c.Jobs))
			for i := range out {
				out[i] = stage.Outcome{Reason: stage.ReasonGone}
			}
			queue.Done(now, c.ID, stage.Answered, out)
			if !now.Before(again) {
				called = append(called, now)
			}
		}
	}
	t.Logf("most in a second: %d placed, %d called", most(placed), most(called))
	assert.Assert(t, most(placed) <= coldRate*3/2, "%d requests were placed in a second", most(placed))
	assert.Assert(t, most(called) <= coldRate*3/2, "%d calls were made in a second", most(called))
	assert.Assert(t, len(placed) > 0 && len(called) > 0)
}
