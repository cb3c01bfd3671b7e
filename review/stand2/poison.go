package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

// Figures of bmi-tabline, and of the case.
const (
	contactTime  = 3 * time.Second
	crashTime    = 3500 * time.Millisecond // until a crashed runner is back
	poisonTime   = 60 * time.Second
	poisonPause  = 1200 * time.Millisecond // between an answer and the next attempt
	poisonKey    = "key-poison"
	allowedLate  = 3 // retries later than contactTime after the third crash
	stageRunners = 6
)

// poison knows when a request crashed runners.
type poison struct {
	s    *scene
	next answer

	mu       sync.Mutex
	crashes  []time.Time
	arrivals map[string]time.Time // first arrival of each attempt at a runner
	starts   int
}

// answer crashes the runner if a call has a piece of the request.
func (p *poison) answer(r *runner, c net.Conn, a arrival) bool {
	var in struct {
		Items []stageItem `json:"items"`
	}
	_ = json.Unmarshal(a.body, &in) // a call without items is answered by the next answer
	i := slices.IndexFunc(in.Items, func(item stageItem) bool { return item.Key == poisonKey })
	if i < 0 || !p.s.trouble {
		return p.next(r, c, a)
	}
	now := r.f.clock.Now()
	p.mu.Lock()
	p.crashes = append(p.crashes, now)
	if _, known := p.arrivals[in.Items[i].ID]; !known {
		p.arrivals[in.Items[i].ID] = now
	}
	p.starts++
	name := fmt.Sprintf("%s.%d", strings.SplitN(r.id, ".", 2)[0], p.starts)
	p.mu.Unlock()
	r.f.rec.note("runner %s crashes: a piece of %s", r.id, in.Items[i].ID)
	r.stop()
	go func() {
		p.s.sleep(crashTime)
		if _, err := r.f.addRunner(r.service, name, r.host, r.zone, p.answer); err != nil {
			r.f.rec.note("the runner does not come back: %v", err)
		}
	}()
	return false
}

// late returns how many crashes there were, and how many attempts and calls reached a runner too late.
func (p *poison) late() (crashes, attempts, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		return len(p.crashes), 0, 0
	}
	from := p.crashes[2].Add(contactTime)
	for _, t := range p.crashes {
		if t.After(from) {
			calls++
		}
	}
	for _, t := range p.arrivals {
		if t.After(from) {
			attempts++
		}
	}
	return len(p.crashes), attempts, calls
}

func playPoison(s *scene) (bool, error) {
	f := s.fleet
	f.addCores(5)
	f.addFronts(2)
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.putConfig(configs["poison"], 15*time.Second); err != nil {
		return false, err
	}
	made := newPieces([][]int{{}}, func(string) []int { return []int{2} })
	bad := &poison{s: s, next: made.stageAnswer(150*time.Millisecond, 16*time.Millisecond), arrivals: map[string]time.Time{}}
	for i := range stageRunners {
		if _, err := f.addRunner("stock", fmt.Sprintf("i-s%d", i), 101+i, zoneNames[i%2], bad.answer); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if _, err := f.addRunner("model", fmt.Sprintf("i-m%d", i), 121+i, zoneNames[i], made.streamAnswer(3, 20*time.Millisecond, []int{0})); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(10*time.Second, "front-1", "front-2"); err != nil {
		return false, err
	}
	s.sleep(4 * time.Second)
	end := s.clock.Now().Add(poisonTime)
	send := func(front, path, id, key string) reply {
		return f.send(front, http.MethodPost, path, hostName, id, []string{
			wire["deadline"] + ": 8000", wire["model"] + ": m", wire["tokens"] + ": 1000,12", wire["pieces"] + ": 2", wire["piece_key"] + ": " + key,
		}, nil, 9*time.Second)
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, unserved := 0, 0
	for i := range 4 {
		clients.Go(func() {
			for n := 0; s.clock.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				p := send(fmt.Sprintf("front-%d", i%2+1), "/check/"+id, id, "key-"+id)
				mu.Lock()
				if p.status == http.StatusOK && p.err == nil {
					served++
				} else {
					unserved++
				}
				mu.Unlock()
				s.sleep(400 * time.Millisecond)
			}
		})
	}
	for n := 0; s.clock.Now().Before(end); n++ {
		send(fmt.Sprintf("front-%d", n%2+1), "/check/poison", fmt.Sprintf("p-%d", n), poisonKey)
		s.sleep(poisonPause)
	}
	clients.Wait()
	crashes, attempts, calls := bad.late()
	f.rec.note("crashes: %d; attempts that reached a runner later than contactMs after the third: %d, calls of them: %d; other requests: %d served, %d not",
		crashes, attempts, calls, served, unserved)
	for _, text := range made.faultList() {
		f.rec.note("fault: %s", text)
	}
	return attempts > allowedLate, nil
}
