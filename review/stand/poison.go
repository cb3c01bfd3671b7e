package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case.
const (
	crashFor      = 3500 * time.Millisecond // until a crashed runner is back
	poisonEvery   = 1200 * time.Millisecond
	poisonFor     = 60 * time.Second
	poisonClients = 1
	poisonRunners = 6
)

// desk is a place that runs one incarnation of a runner after the other at the same address.
type desk struct {
	fl     *fleet
	rec    *record
	silent bool // a crash is seen as silence, not as a reset
	zone   string
	note   func(id string)

	mu   sync.Mutex
	u    *runner
	down bool
}

func (d *desk) start(address string) {
	d.u = d.fl.newRunnerAt("desk", d.zone, 6, address, d.serve)
}

func (d *desk) serve(c *runnerConn, r *http.Request, _ []byte) bool {
	d.mu.Lock()
	down := d.down
	d.mu.Unlock()
	if down {
		sleep(crashFor) // a dark runner reads nothing and answers nothing
		return false
	}
	if strings.HasPrefix(r.URL.Path, "/order/poison") {
		d.note(r.Header.Get(wire["request_id"]))
		d.crash()
		return false
	}
	sleep(20 * time.Millisecond)
	return c.reply(r, 200, signed(), []byte("done by "+d.u.id)) == nil
}

// crash ends this incarnation. The next one starts at the same address after some seconds.
func (d *desk) crash() {
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		sleep(crashFor)
		return
	}
	d.down = true
	u := d.u
	d.mu.Unlock()
	if d.silent {
		close(u.stop)
		sleep(crashFor)
		_ = u.listener.Close()
	} else {
		u.mu.Lock()
		for nc := range u.conns {
			_ = nc.(*net.TCPConn).SetLinger(0)
		}
		u.mu.Unlock()
		u.end()
		sleep(crashFor)
	}
	u.mu.Lock()
	for nc := range u.conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
	u.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start(u.address)
	d.down = false
}

func poisonReset(rec *record, trouble bool)  { poison(rec, trouble, false) }
func poisonSilent(rec *record, trouble bool) { poison(rec, trouble, true) }

// poison plays a request that crashes each runner that begins to run it, and that comes again.
func poison(rec *record, trouble, silent bool) {
	fl := newFleet(rec, 3, 3)
	defer fl.end()
	var mu sync.Mutex
	var crashes []time.Time
	late := 0
	note := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		at := now()
		crashes = append(crashes, at)
		rec.say("request %s crashes runner number %d", id, len(crashes))
		if len(crashes) > 3 && at.After(crashes[2].Add(contactTime+judgeSlack)) {
			late++
			if late > 3 {
				rec.broken("BUDGET: retry %d of the request reaches a runner %.1f s after it has crashed the third", late, at.Sub(crashes[2]).Seconds())
			}
		}
	}
	var desks []*desk
	for i := range poisonRunners {
		d := &desk{fl: fl, rec: rec, silent: silent, zone: zones[i%2], note: note}
		d.start("")
		desks = append(desks, d)
	}
	defer func() {
		for _, d := range desks {
			d.mu.Lock()
			d.u.end()
			d.mu.Unlock()
		}
	}()
	fl.startAll(nil)
	fl.waitReady()
	sleep(contactTime)
	var served, other atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	ask := func(every time.Duration, path func() string) {
		wg.Go(func() {
			c := &client{fl: fl}
			defer c.drop()
			for {
				select {
				case <-stop:
					return
				case <-after(every + time.Duration(rand.IntN(100))*time.Millisecond):
				}
				a := c.do(http.MethodPost, "desk.example", path(), nil, []byte("an order"), 2500*time.Millisecond)
				if a.status == http.StatusOK {
					served.Add(1)
				} else {
					other.Add(1)
				}
				if strings.Contains(path(), "poison") {
					rec.say("client: the request %s was answered %d", a.id, a.status)
					c.drop()
				}
			}
		})
	}
	for range 4 {
		ask(100*time.Millisecond, func() string { return fmt.Sprintf("/order/%x", rand.Uint32()) })
	}
	sleep(2 * time.Second)
	if trouble {
		for range poisonClients {
			ask(poisonEvery, func() string { return "/order/poison" })
		}
	}
	sleep(poisonFor)
	close(stop)
	wg.Wait()
	rec.say("%d crashes, %d retries reached runners late; clients: %d served, %d others", len(crashes), late, served.Load(), other.Load())
	if served.Load() == 0 {
		cannotRun("no request was served")
	}
}
