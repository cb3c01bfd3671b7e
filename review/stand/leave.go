package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the case. The runner serves on for many seconds after its leave was acknowledged, as the pages allow.
const (
	killAfterAck = 20 * time.Millisecond
	coreDownFor  = 500 * time.Millisecond
	lingerFor    = 14 * time.Second
	judgeSlack   = 500 * time.Millisecond // beyond the bounds of the pages
	readClients  = 12
)

// lostLeave plays a runner that leaves with DELETE and serves on. All processes of the core are killed just after the leave was
// acknowledged, and are back within a second. No request may reach the runner once the drain time is over.
func lostLeave(rec *record, trouble bool) {
	fl := newFleet(rec, 5, 3)
	defer fl.end()
	var served, other, reached atomic.Int64
	var judgeFrom atomic.Pointer[time.Time]
	var leaving *runner
	var runners []*runner
	for i := range 3 {
		var u *runner
		u = fl.newRunner("desk", zones[i%2], 6, func(c *runnerConn, r *http.Request, _ []byte) bool {
			if from := judgeFrom.Load(); from != nil && u == leaving && now().After(*from) {
				reached.Add(1)
				rec.broken("DRAIN: request %s reaches runner %s %.1f s after the time from which none may", r.Header.Get(wire["request_id"]), u.id,
					since(*from).Seconds())
			}
			sleep(30 * time.Millisecond)
			return c.reply(r, 200, signed(), []byte("read by "+u.id)) == nil
		})
		runners = append(runners, u)
	}
	defer func() {
		for _, u := range runners {
			u.end()
		}
	}()
	fl.startAll(nil)
	fl.waitReady()
	sleep(contactTime)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range readClients {
		wg.Go(func() {
			c := &client{fl: fl}
			defer c.drop()
			for {
				select {
				case <-stop:
					return
				case <-after(time.Duration(50+rand.IntN(100)) * time.Millisecond):
				}
				a := c.do(http.MethodGet, "desk.example", fmt.Sprintf("/read/%x", rand.Uint32()), nil, nil, 3*time.Second)
				if a.status == http.StatusOK {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	sleep(5 * time.Second)
	leaving = runners[0]
	leaving.mu.Lock()
	to := leaving.beatTo
	leaving.mu.Unlock()
	close(leaving.stop) // no more heartbeats
	rec.say("runner %s sends DELETE; %d served so far, %d others", leaving.id, served.Load(), other.Load())
	if !leave(leaving, to) {
		cannotRun("no control node acknowledged the leave")
	}
	acked := now()
	rec.say("the leave is acknowledged")
	from := acked.Add(drainTimeout + judgeSlack)
	if trouble {
		sleep(killAfterAck)
		for _, m := range fl.cores {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range fl.cores {
			m.wait()
		}
		sleep(coreDownFor - since(acked.Add(killAfterAck)))
		for _, m := range fl.cores {
			m.start(false)
		}
		rec.say("all core processes were killed %v after the acknowledgement and were started again by %.2f s after it", killAfterAck, since(acked).Seconds())
		if touch := now().Add(contactTime + judgeSlack); touch.After(from) {
			from = touch
		}
	}
	judgeFrom.Store(&from)
	sleep(until(acked.Add(lingerFor)))
	rec.say("the runner exits; %d requests reached it after the time from which none may; clients: %d served, %d others", reached.Load(), served.Load(), other.Load())
	_ = leaving.listener.Close()
	close(stop)
	wg.Wait()
	if served.Load() == 0 {
		cannotRun("no request was served")
	}
}

// leave sends DELETE until it is acknowledged.
func leave(u *runner, first string) bool {
	list := []string{first}
	for _, m := range u.fl.cores {
		list = append(list, u.fl.address(m, "control"))
	}
	for _, address := range list {
		if address == "" {
			continue
		}
		status, _, err := u.fl.call(http.MethodDelete, "http://"+address+"/instances/"+u.id, nil)
		if err == nil && status < 300 {
			return true
		}
	}
	return false
}
