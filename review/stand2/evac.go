package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-order"] = playLateOrder }

// Bounds of kurzeme-press-grown, and times of the case.
const (
	evacTime    = 5 * time.Second
	evacContact = 4 * time.Second
	evacLength  = 8 * time.Second // of an evacuation
	evacMargin  = 200 * time.Millisecond
	evacPause   = 500 * time.Millisecond // from the end of an evacuation to the next
	cutTime     = 2500 * time.Millisecond
)

// order sends one order to a core machine and returns the status.
func (f *fleet) order(core, method, zone string) int {
	status, text, err := call(method, f.controlURL(core, "/evacuations/"+zone), nil)
	f.rec.note("operator: %s /evacuations/%s to %s: %d %s %v", method, zone, core, status, firstLine(text), err)
	return status
}

// orderUntil sends an order to core machines in turn, as the operator does, until one acknowledges it.
func (f *fleet) orderUntil(method, zone string, most time.Duration, cores ...string) error {
	end := f.clock.Now().Add(most)
	for i := 0; f.clock.Now().Before(end); i++ {
		if f.order(cores[i%len(cores)], method, zone) == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s of %s was not acknowledged", method, zone)
}

func playLateOrder(s *scene) (bool, error) {
	f := s.fleet
	f.addCores(5)
	f.addFronts(3)
	f.tune = func(name string, settings map[string]any) {
		if f.nodes[name].kind == "core" {
			settings["advertise"] = f.nodes[name].advertised()
		}
		settings["bounds"].(map[string]any)["evacuation_ms"] = evacTime.Milliseconds()
	}
	f.proxied = true
	k, err := newLinks(f)
	if err != nil {
		return false, err
	}
	defer k.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.putConfig(configs["late-order"], 15*time.Second); err != nil {
		return false, err
	}
	inside, err := f.addRunner("desk", "i-za", 101, "za", plain)
	if err != nil {
		return false, err
	}
	for i, zone := range []string{"zb", "zc"} {
		if _, err := f.addRunner("desk", "i-"+zone, 102+i, zone, plain); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(10*time.Second, "front-1", "front-2", "front-3"); err != nil {
		return false, err
	}
	s.sleep(4 * time.Second)
	leader, err := f.leader()
	if err != nil {
		return false, err
	}
	var others []string
	for i := 1; i <= 5; i++ {
		if name := fmt.Sprintf("core-%d", i); name != leader {
			others = append(others, name)
		}
	}
	behind, next := others[0], others[1:]
	f.rec.note("the leader is %s; %s is to be cut off", leader, behind)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				f.send(fmt.Sprintf("front-%d", i+1), http.MethodGet, "/lookup/"+id, hostName, id, []string{wire["deadline"] + ": 5000"}, nil, 6*time.Second)
				s.sleep(100 * time.Millisecond)
			}
		})
	}
	defer clients.Wait()
	defer close(stop)

	if err := f.orderUntil(http.MethodPost, "za", evacTime, next...); err != nil {
		return false, err
	}
	s.sleep(evacTime)
	if s.trouble {
		k.setCut(behind, false)
	}
	cutAt := s.clock.Now()
	s.sleep(50 * time.Millisecond)
	// The operator picks a machine at random; here it is the one that is cut off. It moves on after a 5xx.
	if err := f.orderUntil(http.MethodDelete, "za", evacTime, append([]string{behind}, next...)...); err != nil {
		return false, err
	}
	s.sleep(evacPause)
	if err := f.orderUntil(http.MethodPost, "za", evacTime, next...); err != nil {
		return false, err
	}
	acknowledged := s.clock.Now()
	s.sleep(cutTime - s.clock.Now().Sub(cutAt))
	k.setCut("", false)
	healed := s.clock.Now()
	// All machines are in touch again contactMs after the cut has healed, so that evacMs holds as it is.
	from := acknowledged.Add(evacTime)
	if inTouch := healed.Add(evacContact); inTouch.After(from) {
		from = inTouch
	}
	from = from.Add(evacMargin)
	until := acknowledged.Add(evacLength)
	s.sleep(until.Sub(s.clock.Now()))
	late := 0
	for _, a := range inside.runs() {
		if a.at.After(from) && a.at.Before(until) {
			late++
		}
	}
	f.rec.note("%d requests ran in za while its acknowledged evacuation held, in the %.1f s that are judged", late, until.Sub(from).Seconds())
	return late > 0, f.orderUntil(http.MethodDelete, "za", evacTime, next...)
}
