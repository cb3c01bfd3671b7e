package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

// Figures of kurzeme-press-grown.
const (
	coldRate  = 5.2 // requests a second that a cold runner bears
	coldOver  = 1.5
	coldSlack = 5.0
	coldBound = coldRate*coldOver + coldSlack
	coldTime  = 3 * time.Second
	coldCut   = 5 * time.Second
	// coldNotice is not judged: the system has to learn of it.
	coldNotice = time.Second
)

// mostInASecond returns the largest number of times in any second between two times.
func mostInASecond(times []time.Time, from, to time.Time) int {
	most := 0
	for i, t := range times {
		if t.Before(from) || t.After(to.Add(-time.Second)) {
			continue
		}
		n := 0
		for _, u := range times[i:] {
			if u.Sub(t) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func playCold(s *scene) (bool, error) {
	f := s.fleet
	f.addCores(5)
	f.addFronts(3)
	f.proxied = true
	f.tune = func(name string, settings map[string]any) {
		if f.nodes[name].kind == "core" {
			settings["advertise"] = f.nodes[name].advertised()
		}
		b := settings["bounds"].(map[string]any)
		b["cold_overage"], b["cold_slack"] = coldOver, coldSlack
	}
	k, err := newLinks(f)
	if err != nil {
		return false, err
	}
	defer k.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.putConfig(configs["cold"], 15*time.Second); err != nil {
		return false, err
	}
	s.sleep(2 * time.Second)
	leader, err := f.leader()
	if err != nil {
		return false, err
	}
	core := "core-1"
	if leader == core {
		core = "core-2"
	}
	var one *runner
	crashed := false
	stream := (*pieces)(nil).streamAnswer(3, 20*time.Millisecond, nil)
	for i, zone := range []string{"za", "zb", "zc"} {
		x, err := f.addRunner("pool", "i-"+zone, 101+i, zone, func(r *runner, c net.Conn, a arrival) bool {
			if r.overloaded() {
				crashed = true
				r.stop()
				return false
			}
			return stream(r, c, a)
		})
		if err != nil {
			return false, err
		}
		if i == 0 {
			one = x
		}
	}
	one.mu.Lock()
	one.core = core
	one.mu.Unlock()
	if err := f.waitReady(10*time.Second, "front-1", "front-2", "front-3"); err != nil {
		return false, err
	}
	s.sleep(6 * time.Second) // the runners have started cold
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range 36 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				p := f.send(fmt.Sprintf("front-%d", i%3+1), http.MethodPost, "/review/"+id, hostName, id, []string{
					wire["deadline"] + ": 8000", wire["model"] + ": m", wire["tokens"] + ": 1000,15",
					wire["prefix"] + ": " + strconv.Itoa(100+i) + ":900," + strconv.Itoa(1000+n%9000) + ":100",
				}, nil, 9*time.Second)
				if p.status == http.StatusBadGateway || p.status == http.StatusOK && p.err != nil {
					mu.Lock()
					lost++
					mu.Unlock()
				}
				s.sleep(200 * time.Millisecond)
			}
		})
	}
	defer clients.Wait()
	defer close(stop)
	s.sleep(15 * time.Second)
	if s.trouble {
		k.setCut(core, true)
	}
	cutAt := s.clock.Now()
	s.sleep(300 * time.Millisecond)
	turned := s.clock.Now()
	one.mu.Lock()
	one.coldTill = turned.Add(coldTime)
	one.mu.Unlock()
	f.rec.note("%s turns cold and reports to %s: %d", one.id, core, one.beat(core))
	one.mu.Lock()
	f.rec.note("the address for its later heartbeats is %s", one.told)
	one.mu.Unlock()
	s.sleep(coldCut - s.clock.Now().Sub(cutAt))
	k.setCut("", false)
	s.sleep(time.Second)
	var times []time.Time
	for _, a := range one.runs() {
		times = append(times, a.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	before := mostInASecond(times, turned.Add(-5*time.Second), turned)
	most := mostInASecond(times, turned.Add(coldNotice), turned.Add(coldTime))
	mu.Lock()
	f.rec.note("%s got up to %d requests in a second before it turned cold, and up to %d while it was cold, from 1 s after that on; %.1f are allowed; it crashed: %v; accepted requests that were lost: %d",
		one.id, before, most, coldBound, crashed, lost)
	mu.Unlock()
	return float64(most) > coldBound, nil
}

// overloaded reports whether a cold runner has got twice what the system may send to it in a second that is judged.
func (r *runner) overloaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.f.clock.Now()
	if !now.Before(r.coldTill) || now.Before(r.coldTill.Add(coldNotice+time.Second-coldTime)) {
		return false
	}
	n := 0
	for _, a := range r.ran {
		if now.Sub(a.at) < time.Second {
			n++
		}
	}
	return float64(n) > 2*coldBound
}
