package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Load of the case, the same all the while. The two runners of the second stage make 57 pieces a second, the clients ask for 80.
const (
	perSecond     = 20.0 // requests, each with a piece of the first stage and four of the second
	usualFor      = 20 * time.Second
	storyAim      = 8 * time.Second
	storyPatience = 15 * time.Second // the route's time-out and the clients' deadline
	handleSeconds = 8.0
	lossSlack     = 200 * time.Millisecond
	lateSent      = 3 * time.Second // after SIGTERM
)

// works remembers when runners worked on each request.
type works struct {
	mu   sync.Mutex
	list map[string][]span
}

type span struct{ from, to time.Time }

func (w *works) add(id string, from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list[id] = append(w.list[id], span{from, to})
}

// during reports whether a runner worked on a request in a time.
func (w *works) during(id string, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.list[id] {
		if s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}

func (w *works) times(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.list[id])
}

// cutOff plays a planned stop of an entry node while requests wait for their stages. Each request that the process has read must have
// an answer, whatever it is.
func cutOff(rec *record, trouble bool) {
	fl := newFleet(rec, 3, 2)
	defer fl.end()
	w := &works{list: map[string][]span{}}
	var runners []*runner
	for i := range 2 {
		runners = append(runners, fl.newRunner("prepare", zones[i%2], 1, slowStage(w)))
		runners = append(runners, fl.newRunner("refine", zones[i%2], 1, slowStage(w)))
		runners = append(runners, fl.newRunner("models", zones[i%2], 64, func(c *runnerConn, r *http.Request, _ []byte) bool {
			began := now()
			err := c.stream(r, []string{"a", "b", "c", "d", "e"}, 20*time.Millisecond)
			w.add(r.Header.Get(wire["request_id"]), began, now())
			return err == nil
		}))
	}
	defer func() {
		for _, u := range runners {
			u.end()
		}
	}()
	fl.startAll(func(doc map[string]any) {
		route := doc["routes"].([]any)[0].(map[string]any)
		route[wire["route_timeout"]], route[wire["route_target"]] = storyPatience.Milliseconds(), storyAim.Milliseconds()
		refine := map[string]any{"service": "refine", "after": []int{0}, "bytes": 8000}
		route["stages"] = append(route["stages"].([]any), refine)
		services := doc["services"].([]any)
		pool := map[string]any{}
		for k, v := range services[1].(map[string]any) {
			pool[k] = v
		}
		pool["name"] = "refine"
		services[1].(map[string]any)["pieces"].(map[string]any)["handleS"] = handleSeconds
		doc["services"] = append(services, pool)
	})
	fl.waitReady()
	sleep(contactTime)
	var agents []*agent
	for i := range 20 {
		agents = append(agents, &agent{c: client{fl: fl}, longer: i%3 == 0})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	var ends []time.Time
	send := func() {
		wg.Go(func() {
			// Callers keep the directory's response for its time, some of them three times as long.
			agent := agents[rand.IntN(len(agents))]
			c := &client{fl: fl, list: agent.addresses(), till: now().Add(time.Minute)}
			defer c.drop()
			key := fmt.Sprintf("%012x", rand.Uint64()&0xffffffffffff)
			a := c.do(http.MethodPost, "story.example", "/story/"+key, map[string]string{
				wire["pieces"]: "1,4", wire["piece_key"]: key, wire["model"]: "m", wire["tokens"]: "100,20",
				wire["prefix"]: "aa00:60," + key[:8] + ":40",
			}, []byte("text"), storyPatience)
			a.left = storyPatience
			mu.Lock()
			defer mu.Unlock()
			answers, ends = append(answers, a), append(ends, now())
		})
	}
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-after(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second))):
				send()
			}
		}
	})
	sleep(usualFor)
	var termed time.Time
	if trouble {
		termed = now()
		rec.say("SIGTERM to %s", fl.fronts[1].name)
		fl.fronts[1].signal(syscall.SIGTERM)
	}
	sleep(graceTime + time.Second)
	close(stop)
	wg.Wait()
	judgeStop(rec, fl, w, answers, ends, termed, trouble)
}

func judgeStop(rec *record, fl *fleet, w *works, answers []answer, ends []time.Time, termed time.Time, trouble bool) {
	served, refused, lost := 0, 0, 0
	for i, a := range answers {
		took := ends[i].Sub(a.sent)
		switch {
		case a.status == http.StatusOK:
			served++
			continue
		case a.status != 0:
			refused++
			continue
		}
		lost++
		front := fl.address(fl.fronts[1], "front")
		rec.say("client: request %s to %s ended without an answer after %.2f s: %v; runners worked on it %d times", a.id, a.at, took.Seconds(), a.err, w.times(a.id))
		if !trouble || a.at != front {
			if took > lossSlack {
				rec.say("(not judged: that entry node was not stopped)")
			}
			continue
		}
		grace := termed.Add(graceTime)
		switch {
		case took <= lossSlack || ends[i].After(grace.Add(time.Second)) || ends[i].Before(termed):
		case took >= a.left-lossSlack: // its deadline was reached
		case a.sent.After(termed.Add(lateSent)):
		case w.during(a.id, termed.Add(graceTime*5/6), grace.Add(time.Second)):
			rec.say("(excused: a runner was at work on it in the last sixth of the grace time)")
		default:
			rec.broken("LOST: request %s was sent %.2f s after SIGTERM and has waited %.2f of %.0f s; its connection ended %.2f s after SIGTERM without an answer, and no runner was at work on it",
				a.id, a.sent.Sub(termed).Seconds(), took.Seconds(), a.left.Seconds(), ends[i].Sub(termed).Seconds())
		}
	}
	slowest := time.Duration(0)
	for i, a := range answers {
		if a.status == http.StatusOK {
			slowest = max(slowest, ends[i].Sub(a.sent))
		}
	}
	rec.say("the slowest whole answer took %.2f s", slowest.Seconds())
	rec.say("clients: %d served, %d refused or failed with a status, %d without an answer", served, refused, lost)
	if served == 0 {
		cannotRun("no request was served")
	}
}

// agent is a caller's copy of the directory's response.
type agent struct {
	mu     sync.Mutex
	c      client
	longer bool
}

func (a *agent) addresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.c.till
	a.c.resolve()
	if a.longer && a.c.till != before {
		a.c.till = now().Add(3 * until(a.c.till))
	}
	return a.c.list
}

// slowStage serves calls for pieces, one after the other, in the times that the configuration gives.
func slowStage(w *works) func(*runnerConn, *http.Request, []byte) bool {
	var turn sync.Mutex
	return func(c *runnerConn, r *http.Request, body []byte) bool {
		if r.URL.Path == wire["free"] {
			return c.reply(r, 200, nil, nil) == nil
		}
		var in struct {
			Items []struct {
				ID string `json:"id"`
			} `json:"items"`
		}
		if r.URL.Path != wire["call"] || json.Unmarshal(body, &in) != nil {
			return c.reply(r, 404, nil, nil) == nil
		}
		turn.Lock()
		began := now()
		sleep(150*time.Millisecond + time.Duration(len(in.Items))*16*time.Millisecond)
		turn.Unlock()
		type item struct {
			Handle string `json:"handle"`
		}
		var out struct {
			Items []item `json:"items"`
		}
		for _, x := range in.Items {
			w.add(x.ID, began, now())
			out.Items = append(out.Items, item{fmt.Sprintf("%s/%012x", c.LocalAddr(), rand.Uint64()&0xffffffffffff)})
		}
		text, _ := json.Marshal(out)
		return c.reply(r, 200, map[string]string{"Content-Type": "application/json", wire["load"]: "0,0,1"}, text) == nil
	}
}
