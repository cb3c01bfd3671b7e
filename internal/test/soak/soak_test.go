package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seeds  = flag.Int("soak.seeds", 1, "number of seeds")
	first  = flag.Uint64("soak.first", 1, "first seed; 0: drawn from the time")
	length = flag.Duration("soak.for", 6*time.Second, "time with faults for each seed")
	beside = flag.Int("soak.beside", 1, "fleets at the same time")
)

const (
	settleWithin = 20 * time.Second // after the last fault all nodes serve
	repairAfter  = 6 * time.Second  // between two lost disks
)

// schedule draws faults and lets them overlap.
type schedule struct {
	w   *world
	f   *fleet
	rng *rand.Rand
	wg  sync.WaitGroup

	mu       sync.Mutex
	lostDisk time.Time
	done     map[string]int
}

// Guards against each fault that a seed found before.
func TestRegressionSeeds(t *testing.T) {
	for i, c := range regressions {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) { soakOne(t, c.seed, 200+i, c.length) })
	}
}

// Guards against promises that break under faults that come one after the other and at the same time.
func TestSeeds(t *testing.T) {
	from := *first
	if from == 0 {
		from = uint64(time.Now().UnixNano())
	}
	slots := make(chan int, *beside)
	for i := range *beside {
		slots <- 1 + i
	}
	var wg sync.WaitGroup
	for i := range *seeds {
		net := <-slots
		wg.Go(func() {
			defer func() { slots <- net }()
			t.Run(fmt.Sprint(from+uint64(i)), func(t *testing.T) { soakOne(t, from+uint64(i), net, *length) })
		})
	}
	wg.Wait()
}

func soakOne(t *testing.T, seed uint64, net int, length time.Duration) {
	parts, partsRNG := partsOf(seed)
	f := newFleet(t, net, parts)
	w, err := newWorld(f, seed)
	if err != nil {
		t.Fatal(err)
	}
	s := &schedule{w: w, f: f, rng: rand.New(rand.NewPCG(seed, 7)), done: map[string]int{}}
	if !s.settled() {
		w.violated("the fleet did not come up within %s", settleWithin)
	}
	end := time.Now().Add(length)
	var beside sync.WaitGroup
	s.playParts(&beside, partsRNG, end)
	for time.Now().Before(end) {
		if s.rng.IntN(12) == 0 {
			s.plannedOnly()
			continue
		}
		s.draw()
		w.pause(s.between(50, 500))
	}
	beside.Wait()
	s.departure()
	s.wg.Wait()
	if parts.evacuations {
		s.lastEvacuation(partsRNG)
	}
	if !s.settled() {
		w.violated("not all nodes serve within %s after the last fault", settleWithin)
	}
	w.close()
	w.check()
	t.Logf("seed %d: %s; faults %s; %s", seed, parts, totals(s.done), totals(w.counts))
	for _, v := range w.violations {
		t.Errorf("seed %d: %s (logs in %s)", seed, v, f.dir)
	}
	if served := w.counts["served once"] + w.counts["served safe"] + w.counts["served stream"]; served == 0 {
		t.Errorf("seed %d: nothing was served", seed)
	}
}

func totals(m map[string]int) string {
	var out []string
	for what, n := range m {
		out = append(out, fmt.Sprintf("%s %d", what, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

func (s *schedule) note(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[what]++
}

// run plays an unplanned fault beside the others.
func (s *schedule) run(what string, f func()) {
	s.note(what)
	s.wg.Go(func() { s.w.fault(f) })
}

func (s *schedule) between(least, most int) time.Duration {
	return time.Duration(least+s.rng.IntN(most-least)) * time.Millisecond
}

func (s *schedule) node() *process {
	if s.rng.IntN(2) == 0 {
		return s.f.nodes[1+s.rng.IntN(controlNodes)]
	}
	return s.f.nodes[firstEntry+s.rng.IntN(entryNodes)]
}

// draw starts one fault.
func (s *schedule) draw() {
	p, u := s.node(), s.w.ups[s.rng.IntN(len(s.w.ups))]
	proxies := []*proxy{p.peers, u.before, s.f.nodes[firstEntry+s.rng.IntN(entryNodes)].callers}
	x := proxies[s.rng.IntN(len(proxies))]
	last := s.between(100, 2500)
	switch s.rng.IntN(12) {
	case 0:
		s.run("kill", func() { s.stopped(p, func() { p.kill(); s.w.pause(last) }) })
	case 1:
		s.run("freeze", func() {
			if p.take() {
				p.signal(syscall.SIGSTOP)
				s.w.pause(last)
				p.signal(syscall.SIGCONT)
				p.release()
			}
		})
	case 2:
		s.run("stop", func() { s.stopped(p, func() { s.stop(p) }) })
	case 3:
		s.run("delay", func() { x.slow(last / 20); s.w.pause(last); x.slow(0) })
	case 4:
		s.run("reset", x.resetAll)
	case 5:
		way := s.rng.IntN(2)
		s.run("cut one way", func() { x.hold(way); s.w.pause(last); x.heal() })
	case 6:
		s.run("silence", func() { x.hold(toTarget, fromTarget); s.w.pause(last); x.heal() })
	case 7, 8:
		m := mode(1 + s.rng.IntN(int(modes)-1))
		s.run(fmt.Sprint("upstream mode ", int(m)), func() { u.set(m); s.w.pause(last); u.set(works) })
	case 9:
		s.run("upstream restart", func() { u.before.resetAll(); u.restart() })
	case 10:
		s.loseDisk(s.f.nodes[1+s.rng.IntN(controlNodes)], s.rng.IntN(2) == 0)
	case 11:
		if s.rng.IntN(3) == 0 {
			s.run("kill all control nodes", s.killControlNodes)
		}
	}
}

func (s *schedule) killControlNodes() {
	var all sync.WaitGroup
	for _, n := range numbers(1, controlNodes) {
		all.Go(func() { s.stopped(s.f.nodes[n], s.f.nodes[n].kill) })
	}
	all.Wait()
}

// stopped ends a process by f and starts it again, unless another fault has it.
func (s *schedule) stopped(p *process, f func()) {
	if !p.take() {
		return
	}
	defer p.release()
	f()
	if err := p.start(false); err != nil {
		s.w.violated("%s does not start: %v", p.name, err)
	}
}

// stop ends a process as planned, beside signals that its settings have changed, and checks that it ends in time.
func (s *schedule) stop(p *process) {
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP) // must not end the stop
	if !p.wait(time.Duration(stopSeconds*float64(time.Second)) + 2*time.Second) {
		s.w.violated("%s runs on after a planned stop", p.name)
		p.kill()
	}
}

// loseDisk takes the folder of a control node away, or damages it. The group bears one loss; the next comes once it is
// complete again.
func (s *schedule) loseDisk(p *process, damage bool) {
	s.mu.Lock()
	soon := time.Since(s.lostDisk) < repairAfter
	if !soon {
		s.lostDisk = time.Now()
	}
	s.mu.Unlock()
	if soon || !s.whole() {
		return
	}
	what := "lost disk"
	if damage {
		what = "damaged disk"
	}
	s.run(what, func() {
		s.stopped(p, func() {
			p.kill()
			if damage {
				if err := p.damage(); err != nil {
					s.w.violated("damage %s: %v", p.name, err)
				}
				return
			}
			if err := os.RemoveAll(p.data); err != nil {
				s.w.violated("remove %s: %v", p.data, err)
			}
		})
	})
}

// whole reports whether all control nodes tell the newest configuration, and so are in the group.
func (s *schedule) whole() bool {
	acked := s.w.highest()
	for _, n := range numbers(1, controlNodes) {
		if s.w.version(n) < max(acked, 1) {
			return false
		}
	}
	return true
}

// plannedOnly waits until the other faults are over and then stops nodes as planned, so that nothing else can be the cause
// of a request that is cut off.
func (s *schedule) plannedOnly() {
	s.wg.Wait()
	s.w.pause(calmAfter + 200*time.Millisecond)
	for range 2 {
		p := s.f.nodes[firstEntry+s.rng.IntN(entryNodes)]
		s.note("planned stop alone")
		s.stopped(p, func() { s.stop(p) })
		s.w.pause(time.Second)
	}
}

// settled waits until all nodes serve.
func (s *schedule) settled() bool {
	for end := time.Now().Add(settleWithin); time.Now().Before(end); s.w.pause(100 * time.Millisecond) {
		if s.whole() && s.serving() {
			return true
		}
	}
	return false
}

func (s *schedule) serving() bool {
	for _, n := range numbers(firstEntry, entryNodes) {
		r, err := http.NewRequest(http.MethodPost, "http://"+s.f.at(n, callersPort)+"/safe/probe", strings.NewReader("x"))
		if err != nil {
			panic(err)
		}
		r.Host, r.Close = host, true
		id := fmt.Sprintf("probe-%d-%d", n, time.Now().UnixNano())
		r.Header.Set(names.RequestID, id)
		s.w.rules.sent(id, n)
		resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
