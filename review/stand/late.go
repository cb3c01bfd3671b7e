package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Dose of the disruption: three of five runners, three in a hundred of their answers, for five seconds at a time.
const (
	garbleShare  = 0.03
	garbleFor    = 5 * time.Second
	garbleEvery  = 8 * time.Second
	garbleRounds = 7
	lateClients  = 90
)

// piece is what a handle stands for.
type piece struct {
	request      string
	stage, index int
	key          string
}

// made remembers which piece each handle stands for.
type made struct {
	mu   sync.Mutex
	list map[string]piece
}

// lateAnswer plays runners of a stage that now and then send an answer a second time, late: just before the next answer on that
// connection. Each request must be run with the results of its own pieces.
func lateAnswer(rec *record, trouble bool) {
	fl := newFleet(rec, 3, 2)
	defer fl.end()
	m := &made{list: map[string]piece{}}
	var garbling atomic.Bool
	var calls, extra, runs, served, refused, failed atomic.Int64
	var runners []*runner
	for i := range 5 {
		faulty := i < 3
		runners = append(runners, fl.newRunner("prepare", zones[i%2], 1, stageHandler(m, &calls, func() bool {
			if !faulty || !garbling.Load() || rand.Float64() >= garbleShare {
				return false
			}
			extra.Add(1)
			return true
		})))
	}
	for i := range 2 {
		runners = append(runners, fl.newRunner("models", zones[i%2], 64, modelHandler(rec, m, &runs)))
	}
	defer func() {
		for _, u := range runners {
			u.end()
		}
	}()
	fl.startAll(nil)
	fl.waitReady()
	sleep(contactTime)
	rec.say("clients start")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range lateClients {
		wg.Go(func() {
			c := &client{fl: fl}
			defer c.drop()
			for {
				select {
				case <-stop:
					return
				default:
				}
				askStory(rec, c, &served, &refused, &failed)
			}
		})
	}
	sleep(3 * time.Second)
	for i := range garbleRounds {
		rec.say("round %d: extra late answers begin: %v", i, trouble)
		garbling.Store(trouble)
		sleep(garbleFor)
		garbling.Store(false)
		rec.say("round %d ends: %d calls, %d extra answers, %d runs, clients: %d served, %d refused, %d failed", i, calls.Load(), extra.Load(),
			runs.Load(), served.Load(), refused.Load(), failed.Load())
		sleep(garbleEvery - garbleFor)
	}
	close(stop)
	wg.Wait()
	if served.Load() == 0 {
		cannotRun("no request was served")
	}
}

// askStory sends one request and checks that the answer is about its own key.
func askStory(rec *record, c *client, served, refused, failed *atomic.Int64) {
	key := fmt.Sprintf("%012x", rand.Uint64()&0xffffffffffff)
	a := c.do(http.MethodPost, "story.example", "/story/"+key, map[string]string{
		wire["pieces"]: "1", wire["piece_key"]: key, wire["model"]: "m", wire["tokens"]: "100,20",
		wire["prefix"]: "aa00:60," + key[:8] + ":40",
	}, []byte("a story about "+key), 8*time.Second)
	switch {
	case a.status == http.StatusOK:
		served.Add(1)
		if !strings.Contains(a.body, "data: "+key+"\n") {
			rec.say("client: request %s with key %s was answered 200 with another key's text: %q", a.id, key, firstLine(a.body))
		}
	case a.status == 503 || a.status == 429:
		refused.Add(1)
		sleep(300 * time.Millisecond)
	default:
		failed.Add(1)
		sleep(100 * time.Millisecond)
	}
}

func firstLine(s string) string {
	parts := strings.SplitN(s, "\n", 3)
	if len(parts) > 1 {
		return parts[1]
	}
	return s
}

// stageHandler serves calls for pieces, one after the other.
func stageHandler(m *made, calls *atomic.Int64, repeats func() bool) func(*runnerConn, *http.Request, []byte) bool {
	var turn sync.Mutex
	return func(c *runnerConn, r *http.Request, body []byte) bool {
		if r.URL.Path == wire["free"] {
			return c.reply(r, 200, nil, nil) == nil
		}
		var in struct {
			Items []struct {
				ID    string `json:"id"`
				Stage int    `json:"stage"`
				Piece int    `json:"piece"`
				Key   string `json:"key"`
			} `json:"items"`
		}
		if r.URL.Path != wire["call"] || json.Unmarshal(body, &in) != nil {
			return c.reply(r, 404, nil, nil) == nil
		}
		calls.Add(1)
		turn.Lock()
		sleep(150*time.Millisecond + time.Duration(len(in.Items))*16*time.Millisecond)
		turn.Unlock()
		type item struct {
			Handle string `json:"handle"`
		}
		var out struct {
			Items []item `json:"items"`
		}
		for _, x := range in.Items {
			h := fmt.Sprintf("%s/%012x", c.LocalAddr(), rand.Uint64()&0xffffffffffff)
			m.mu.Lock()
			m.list[h] = piece{x.ID, x.Stage, x.Piece, x.Key}
			m.mu.Unlock()
			out.Items = append(out.Items, item{h})
		}
		text, _ := json.Marshal(out)
		if c.reply(r, 200, map[string]string{"Content-Type": "application/json", wire["load"]: "0,0,1"}, text) != nil {
			return false
		}
		if repeats() {
			c.repeat = c.last // it is sent just before the next answer
		}
		return true
	}
}

// modelHandler runs requests whose inputs it looks up.
func modelHandler(rec *record, m *made, runs *atomic.Int64) func(*runnerConn, *http.Request, []byte) bool {
	return func(c *runnerConn, r *http.Request, _ []byte) bool {
		id, text := r.Header.Get(wire["request_id"]), r.Header.Get(wire["inputs"])
		if text == "" {
			return c.reply(r, 400, map[string]string{wire["not_run"]: "1"}, nil) == nil
		}
		runs.Add(1)
		key := ""
		for i, h := range strings.Split(text, ",") {
			m.mu.Lock()
			p, ok := m.list[strings.TrimSpace(h)]
			m.mu.Unlock()
			switch {
			case !ok:
				rec.broken("MIXED: request %s is run with input %q, which no runner made", id, h)
			case p.request != id:
				rec.broken("MIXED: request %s is run with input %s, which was made for request %s, stage %d, piece %d", id, h, p.request, p.stage, p.index)
			case p.index != i:
				rec.broken("MIXED: request %s is run with piece %d as input %d", id, p.index, i)
			}
			key = p.key
		}
		return c.stream(r, []string{key, "and", "so", "on"}, 10*time.Millisecond) == nil
	}
}
