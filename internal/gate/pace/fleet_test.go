package pace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/rendez"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/pace"
	"github.com/berylledge/berylledge/internal/gate/pick"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

const tick = 5 * time.Millisecond

var (
	t0     = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	bounds = pace.Bounds{ColdOverage: 1.5, ColdSlack: 5}
	pool   = conf.Pool{Slots: 2, Queue: 2, Batch: 4, CallTime: 60, ItemTime: 5, ResultMemoryMB: 100, HandleTTL: 5000}
)

// vmView is what a VM knows: the ready VMs with their starts, and the upstreams of each service.
type vmView struct {
	version  int
	starts   map[string]int
	names    []string
	services map[string][]roster.Upstream
}

type vm struct {
	name    string
	up      bool
	start   int
	view    *vmView
	silent  map[string]time.Time // VMs that did not answer, with the end of their exclusion
	placer  *engine.Placer
	queue   *stage.Queue
	chooser *pick.Chooser
}

// coldUpstream counts what arrives at an upstream.
type coldUpstream struct {
	service     string
	cold, until time.Time // time for which the bound must hold
	arrivals    []time.Time
}

type fleet struct {
	rng      *rand.Rand
	now      time.Time
	events   map[int64][]func()
	vms      []*vm
	byName   map[string]*vm
	truth    *vmView
	ups      map[string]*coldUpstream
	services map[string]*conf.Service
	tag      int
	waits    map[string]int // refusals by service
}

func (f *fleet) after(d time.Duration, do func()) {
	at := int64((f.now.Sub(t0) + max(d, tick)) / tick)
	f.events[at] = append(f.events[at], do)
}

func (f *fleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.rng.Int64N(int64(b-a)))
}

// publish passes a change to all VMs, to each after another delay.
func (f *fleet) publish(change func(*vmView)) {
	next := &vmView{version: f.truth.version + 1, starts: map[string]int{}, services: map[string][]roster.Upstream{}}
	for k, v := range f.truth.starts {
		next.starts[k] = v
	}
	for k, v := range f.truth.services {
		next.services[k] = slices.Clone(v)
	}
	change(next)
	for name := range next.starts {
		next.names = append(next.names, name)
	}
	slices.Sort(next.names)
	f.truth = next
	for _, v := range f.vms {
		f.after(f.between(100*time.Millisecond, 700*time.Millisecond), func() { f.show(v, next) })
	}
}

func (f *fleet) show(v *vm, view *vmView) {
	if v.view.version > view.version {
		return
	}
	v.view = view
	v.chooser.SetNodes(f.now, view.names)
	v.placer.SetOwned(f.now, f.owner(v, "models", false) == v.name)
	v.queue.SetOwned(f.now, f.owner(v, "prepare", false) == v.name)
}

// owner returns the VM that decides for a service by a VM's view, without those that did not answer if responding is true.
func (f *fleet) owner(v *vm, service string, responding bool) string {
	best, out := uint64(0), ""
	for _, n := range v.view.names {
		if responding && f.now.Before(v.silent[n]) {
			continue
		}
		if score := rendez.Score(service, n); out == "" || score > best {
			best, out = score, n
		}
	}
	return out
}

func (f *fleet) restart(v *vm) {
	v.up, v.silent = true, map[string]time.Time{}
	v.start++
	v.placer, v.queue, v.chooser = engine.NewPaced(bounds), stage.NewQueue(pool), pick.New(bounds, v.name)
	v.queue.SetBounds(bounds)
	f.show(v, f.truth)
	f.publish(func(w *vmView) { w.starts[v.name] = v.start })
}

// stop ends a VM. A planned stop is published at once, a crash after the time in which its reports are missed.
func (f *fleet) stop(v *vm, planned bool) {
	gone := func() { f.publish(func(w *vmView) { delete(w.starts, v.name) }) }
	if planned {
		gone()
		f.after(time.Second, func() { v.up = false })
		return
	}
	v.up = false
	f.after(f.between(time.Second, 3*time.Second), gone)
}

func (f *fleet) arrive(id string) {
	u := f.ups[id]
	delay := f.between(time.Millisecond, 40*time.Millisecond)
	if f.rng.IntN(100) == 0 {
		delay += 200 * time.Millisecond // a packet was lost
	}
	f.after(delay, func() { u.arrivals = append(u.arrivals, f.now) })
}

func (f *fleet) randomVM() *vm {
	for {
		if v := f.vms[f.rng.IntN(len(f.vms))]; v.up && v.view.starts[v.name] != 0 {
			return v
		}
	}
}

func (f *fleet) find(v *vm, service, id string) roster.Upstream {
	for _, u := range v.view.services[service] {
		if u.ID == id {
			return u
		}
	}
	return roster.Upstream{}
}

// comeBack lets a caller return when it was told to, to any VM.
func (f *fleet) comeBack(service string, from time.Time, tries int, again func(*vm, int)) {
	f.waits[service]++
	if tries < 30 {
		f.after(max(from.Sub(f.now), 0)+f.between(0, time.Second), func() { again(f.randomVM(), tries+1) })
	}
}

// askEngine places a request, runs its stages and sends it as the proxy does.
func (f *fleet) askEngine(v *vm, tries int) {
	f.place(v, tries, f.between(0, 3*time.Second)*time.Duration(f.rng.IntN(2)))
}

func (f *fleet) place(v *vm, tries int, stages time.Duration) {
	name := f.owner(v, "models", true)
	o := f.byName[name]
	if o == nil || !o.up {
		v.silent[name] = f.now.Add(2 * time.Second)
		f.after(150*time.Millisecond, func() { f.comeBack("models", f.now, tries, f.askEngine) })
		return
	}
	var targets []engine.Target
	for _, u := range o.view.services["models"] {
		targets = append(targets, engine.Target{ID: u.ID, Slots: 30, CacheTokens: 1e6, Pace: pace.Of(u, f.services["models"])})
	}
	o.placer.SetTargets(targets)
	r := engine.Request{Prompt: 1000, Output: 100, Due: 5 * time.Second}
	if stages > 0 {
		r.PendingStages = []engine.PendingStage{{Service: "other", Pieces: 1}}
	}
	placed, ok := o.placer.Place(f.now, r)
	if !ok {
		f.comeBack("models", placed.Blocked.From, tries, f.askEngine)
		return
	}
	placer, ownerStart := o.placer, o.start
	tell := func(do func()) {
		f.after(f.between(time.Millisecond, 30*time.Millisecond), func() {
			if o.up && o.placer == placer {
				do()
			}
		})
	}
	f.after(stages, func() {
		if !v.up {
			return
		}
		u := f.find(v, "models", placed.ID)
		covers := placed.Cold && f.owner(v, "models", false) == o.name && v.view.starts[o.name] == ownerStart
		if u.ID == "" || u.ColdUntil.After(f.now) && !covers {
			tell(func() { placer.End(f.now, placed.Ticket, engine.Cancelled) })
			f.comeBack("models", f.now, tries, func(v *vm, tries int) { f.place(v, tries, 0) })
			return
		}
		tell(func() { placer.StageDone(f.now, placed.Ticket, 0) })
		f.arrive(placed.ID)
		f.after(f.between(500*time.Millisecond, 2*time.Second), func() {
			tell(func() { placer.End(f.now, placed.Ticket, engine.Served) })
		})
	})
}

func (f *fleet) askPlain(v *vm, tries int) {
	w := pick.Criteria{Service: f.services["desk"]}
	list := v.view.services["desk"]
	u, ok := v.chooser.Choose(f.now, list, w)
	if !ok {
		f.comeBack("desk", v.chooser.Blocked(f.now, list, w).From, tries, f.askPlain)
		return
	}
	v.chooser.Begin(f.now, u.ID)
	f.arrive(u.ID)
	c := v.chooser
	f.after(200*time.Millisecond, func() { c.End(f.now, u.ID, pick.Succeeded, 200*time.Millisecond) })
}

func (f *fleet) addPiece(v *vm) {
	o := f.byName[f.owner(v, "prepare", true)]
	if o == nil || !o.up {
		return
	}
	f.tag++
	item := stage.Item{Request: fmt.Sprint("r", f.tag), Key: "k"}
	o.queue.Add(f.now, stage.Job{Item: item, Due: f.now.Add(3 * time.Second), Deadline: f.now.Add(6 * time.Second)})
}

func (f *fleet) dispatch() {
	for _, o := range f.vms {
		if !o.up || o.queue.Len() == 0 {
			continue
		}
		var targets []stage.Target
		for _, u := range o.view.services["prepare"] {
			targets = append(targets, stage.Target{ID: u.ID, Address: u.ID, Pace: pace.Of(u, f.services["prepare"])})
		}
		o.queue.SetTargets(targets)
		calls, _ := o.queue.Next(f.now)
		for _, c := range calls {
			f.arrive(c.Upstream)
			q := o.queue
			f.after(80*time.Millisecond, func() {
				out := make([]stage.Outcome, len(c.Jobs))
				for i := range out {
					out[i] = stage.Outcome{Reason: stage.ReasonGone}
				}
				q.Done(f.now, c.ID, stage.Answered, out)
			})
		}
	}
}

// turnCold makes upstreams cold for a time. If they start anew, all VMs see them with their cold time at once; else the bound can
// hold only once all VMs know of it, and the sends of a second before have left the window.
func (f *fleet) turnCold(service string, ids []string, d time.Duration, started bool) {
	until := f.now.Add(d)
	for _, id := range ids {
		u := &coldUpstream{service: service, cold: f.now, until: until}
		if !started {
			u.cold = f.now.Add(1700 * time.Millisecond)
		}
		f.ups[id] = u
	}
	f.publish(func(w *vmView) {
		w.services[service] = slices.DeleteFunc(w.services[service], func(u roster.Upstream) bool { return slices.Contains(ids, u.ID) })
		for _, id := range ids {
			w.services[service] = append(w.services[service], roster.Upstream{
				ID: id, Service: service, State: roster.Ready, StartedMs: f.now.UnixMilli(), ColdUntil: until.Add(50 * time.Millisecond),
			})
		}
	})
}

func (f *fleet) run(until time.Duration, each func()) {
	for f.now.Sub(t0) < until {
		at := int64(f.now.Sub(t0) / tick)
		for len(f.events[at]) > 0 {
			list := f.events[at]
			delete(f.events, at)
			for _, do := range list {
				do()
			}
		}
		each()
		f.now = f.now.Add(tick)
	}
}

func ids(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint(prefix, i)
	}
	return out
}

// peak returns the largest number of arrivals in a second, and all of them, while the bound must hold.
func (u *coldUpstream) peak() (most, all int) {
	slices.SortFunc(u.arrivals, time.Time.Compare)
	first := 0
	for i, at := range u.arrivals {
		if at.Before(u.cold) || !at.Before(u.until) {
			continue
		}
		all++
		for at.Sub(u.arrivals[first]) >= time.Second || u.arrivals[first].Before(u.cold) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, all
}

// Load pattern: 300 entry VMs, a data centre of 23 engines that returns cold after a power loss, others that turn cold while they
// work, the same for stage and plain services; owners of placers and queues crash, stop and return, and other VMs come and go.
// Guards against senders that each use the whole bound of a cold upstream, which crashes it, and against bounds that are kept by
// leaving it idle.
func TestColdUpstreamBoundHoldsOverAllVMs(t *testing.T) {
	f := &fleet{
		rng: rand.New(rand.NewPCG(7, 1)), now: t0, events: map[int64][]func(){}, byName: map[string]*vm{}, ups: map[string]*coldUpstream{},
		truth: &vmView{starts: map[string]int{}, services: map[string][]roster.Upstream{}}, waits: map[string]int{},
		services: map[string]*conf.Service{
			"models": {Name: "models", ColdPerSecond: 4}, "prepare": {Name: "prepare", ColdPerSecond: 5}, "desk": {Name: "desk", ColdPerSecond: 6},
		},
	}
	for i := range 300 {
		v := &vm{name: fmt.Sprintf("e%03d", i), up: true, start: 1, silent: map[string]time.Time{}}
		v.placer, v.queue, v.chooser = engine.NewPaced(bounds), stage.NewQueue(pool), pick.New(bounds, v.name)
		v.queue.SetBounds(bounds)
		v.view = f.truth
		f.vms, f.byName[v.name] = append(f.vms, v), v
	}
	warm := map[string][]string{"models": ids("warm-m", 6), "prepare": ids("warm-p", 3), "desk": ids("warm-d", 4)}
	f.publish(func(w *vmView) {
		for _, v := range f.vms {
			w.starts[v.name] = 1
		}
		for service, list := range warm {
			for _, id := range list {
				f.ups[id] = &coldUpstream{service: service}
				w.services[service] = append(w.services[service], roster.Upstream{ID: id, Service: service, State: roster.Ready, StartedMs: 1})
			}
		}
	})
	change := func(service string, planned bool) func() {
		return func() {
			v := f.byName[f.owner(f.randomVM(), service, false)]
			f.stop(v, planned)
			f.after(f.between(4*time.Second, 9*time.Second), func() { f.restart(v) })
		}
	}
	const coldFor = 40 * time.Second
	f.after(5*time.Second, func() {
		f.turnCold("models", ids("back-m", 23), coldFor, true)
		f.turnCold("prepare", ids("back-p", 5), coldFor, true)
		f.turnCold("desk", ids("back-d", 9), coldFor, true)
	})
	f.after(12*time.Second, change("models", false))
	f.after(14*time.Second, change("prepare", true))
	f.after(18*time.Second, func() {
		f.turnCold("models", warm["models"], 20*time.Second, false)
		f.turnCold("desk", warm["desk"], 20*time.Second, false)
	})
	f.after(24*time.Second, change("models", true))
	f.after(27*time.Second, change("prepare", false))
	f.after(34*time.Second, change("models", true))
	for s := 7; s < 44; s += 3 {
		f.after(time.Duration(s)*time.Second, func() {
			v := f.randomVM()
			f.stop(v, s%2 == 0)
			f.after(f.between(2*time.Second, 8*time.Second), func() { f.restart(v) })
		})
	}
	n := 0
	f.run(47*time.Second, func() {
		if f.now.Sub(t0) < 2*time.Second {
			return
		}
		n++
		for range 2 { // 400 requests a second to engines and 600 plain ones
			f.askEngine(f.randomVM(), 0)
		}
		for range 3 {
			f.askPlain(f.randomVM(), 0)
		}
		f.addPiece(f.randomVM())
		if n%4 == 0 {
			f.dispatch()
		}
	})
	t.Log("| service | cold upstreams | cold_per_s | bound in 1 s | most in 1 s | mean in 1 s | used of cold_per_s | refusals |")
	for _, service := range []string{"models", "prepare", "desk"} {
		rate := f.services[service].ColdPerSecond
		bound := int(rate*bounds.ColdOverage + bounds.ColdSlack)
		most, all, count, seconds := 0, 0, 0, 0.0
		for id, u := range f.ups {
			if u.service != service || u.until.IsZero() {
				continue
			}
			peak, got := u.peak()
			assert.Assert(t, peak <= bound, "%s got %d in a second, allowed are %d", id, peak, bound)
			most, all, count, seconds = max(most, peak), all+got, count+1, seconds+u.until.Sub(u.cold).Seconds()
		}
		used := float64(all) / (rate * seconds)
		t.Logf("| %s | %d | %g | %d | %d | %.1f | %.0f%% | %d |", service, count, rate, bound, most, float64(all)/seconds, used*100, f.waits[service])
		assert.Assert(t, used >= 0.5, "%s: %.2f of the cold rate is used while work waits", service, used)
	}
}
