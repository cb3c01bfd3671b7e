package pace_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/roster"
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

// Load pattern: the only upstream that is left becomes silent for all VMs, each learning of it at another time, and then turns cold
// unnoticed; a heartbeat is heard later. VMs come and go meanwhile. Guards against VMs that use a silent upstream as one that is warm, and
// against those that hold it back after it is heard again.
func TestSilentUpstreamGetsTheShareOfAColdOne(t *testing.T) {
	for _, vms := range []int{3, 300} {
		for name, lose := range map[string]func(*roster.Upstream){
			"silent": func(u *roster.Upstream) { u.Silent = true },
			"stale":  func(u *roster.Upstream) { u.Stale = true },
		} {
			t.Run(fmt.Sprintf("%d VMs, %s", vms, name), func(t *testing.T) { checkLostUpstream(t, vms, lose) })
		}
	}
}

func checkLostUpstream(t *testing.T, vms int, lose func(*roster.Upstream)) {
	s := newStartFleet(vms, 1, 1)
	service := coldService("desk")
	view := s.list
	silent := make([]time.Time, vms) // when each VM learns of it
	for i := range silent {
		silent[i] = t0.Add(time.Second + s.between(0, 700*time.Millisecond))
	}
	heard := t0.Add(8 * time.Second)
	names := ids("vm", vms)
	for k := range 2 {
		s.after(time.Duration(3+2*k)*time.Second, func() {
			left := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return k == 0 && n == names[vms/2] })
			for _, c := range s.choosers {
				at := s.between(0, 700*time.Millisecond)
				s.after(at, func() { c.SetNodes(s.now, left) })
			}
		})
	}
	s.run(10*time.Second, func() {
		for range 5 {
			vm := s.rng.IntN(vms)
			at, here := s.now, slices.Clone(view)
			if !at.Before(silent[vm]) && at.Before(heard) {
				lose(&here[0])
			}
			s.list = here
			s.askFor(service, vm)
		}
	})
	var cold, warm []time.Time
	for _, at := range s.arrivals["u0"] {
		switch {
		case !at.Before(t0.Add(1700*time.Millisecond)) && at.Before(heard):
			cold = append(cold, at)
		case !at.Before(heard):
			warm = append(warm, at)
		}
	}
	t.Logf("%d while it is silent, at most %d in a second; %d in two seconds after", len(cold), most(cold), len(warm))
	assert.Assert(t, most(cold) <= boundOf(coldRate), "%d in a second, allowed are %d", most(cold), boundOf(coldRate))
	assert.Assert(t, len(cold) >= 3*coldRate, "%d requests in six seconds leave it idle", len(cold))
	assert.Equal(t, len(warm), 2*5*int(time.Second/tick))
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
