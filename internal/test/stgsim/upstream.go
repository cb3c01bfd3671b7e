package stgsim

import (
	"fmt"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/engine"
	"github.com/berylledge/berylledge/internal/gate/stage"
)

// upstream is a model of a stage upstream.
type upstream struct {
	w       *world
	id      string
	service string
	pool    conf.Pool
	waiting []*call
	running int
	held    map[string]int64 // bytes by handle
	used    int64
}

type call struct {
	stage.Call
	done func(stage.CallResult, []stage.Outcome)
}

func (u *upstream) take(c *call) {
	if u.running >= u.pool.Slots && len(u.waiting) >= u.pool.Queue {
		c.done(stage.QueueFull, nil)
		return
	}
	u.waiting = append(u.waiting, c)
	u.work()
}

// work begins the calls whose turn has come. Memory for results is taken now.
func (u *upstream) work() {
	for u.running < u.pool.Slots && len(u.waiting) > 0 {
		c := u.waiting[0]
		u.waiting = u.waiting[1:]
		outcomes := make([]stage.Outcome, len(c.Jobs))
		took := u.pool.CallTime.Duration()
		for i, j := range c.Jobs {
			outcomes[i] = u.place(j)
			if outcomes[i].Handle != "" {
				took += time.Duration(float64(u.pool.ItemTime.Duration()) * u.w.workOf(j))
			}
		}
		u.running++
		u.w.after(took, func() {
			u.running--
			u.expireLater(outcomes)
			c.done(stage.Answered, outcomes)
			u.work()
		})
	}
}

// place finds out whether a piece can be made, and takes the memory of its result.
func (u *upstream) place(j stage.Job) stage.Outcome {
	if u.w.now.After(j.Deadline) {
		return stage.Outcome{Reason: stage.ReasonLate}
	}
	for _, input := range j.Inputs {
		if !u.w.exists(input) {
			return stage.Outcome{Reason: stage.ReasonGone}
		}
	}
	if float64(u.used+j.Bytes) > u.pool.ResultMemoryMB*1e6 {
		return stage.Outcome{Reason: stage.ReasonNoRoom}
	}
	u.w.handles++
	handle := fmt.Sprint(u.id, "/", u.w.handles)
	u.held[handle] = j.Bytes
	u.used += j.Bytes
	return stage.Outcome{Handle: handle}
}

func (u *upstream) expireLater(outcomes []stage.Outcome) {
	u.w.after(u.pool.HandleTTL.Duration(), func() {
		for _, o := range outcomes {
			u.free([]string{o.Handle})
		}
	})
}

func (u *upstream) free(handles []string) {
	for _, h := range handles {
		u.used -= u.held[h]
		delete(u.held, h)
	}
}

func (w *world) exists(handle string) bool {
	for _, u := range w.ups {
		if _, ok := u.held[handle]; ok {
			return true
		}
	}
	return false
}

// workOf is the time of a piece against the pool's.
func (w *world) workOf(j stage.Job) float64 {
	r := w.requests[j.Request]
	if r == nil || r.kind.Stages[j.Stage].Work == 0 {
		return 1
	}
	return r.kind.Stages[j.Stage].Work
}

// modelEngine is a model of a model engine: it reads prompts one after the other, the most urgent first.
type modelEngine struct {
	w       *world
	parts   map[string]bool
	waiting []*request
	streams map[*request]bool // requests whose events are on their way
	busy    bool
}

func (e *modelEngine) take(r *request) {
	e.waiting = append(e.waiting, r)
	e.work()
}

func (e *modelEngine) work() {
	if e.busy || len(e.waiting) == 0 {
		return
	}
	best := 0
	for i, r := range e.waiting {
		if r.kind.Rank < e.waiting[best].kind.Rank {
			best = i
		}
	}
	r := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	unread := 0
	for i, p := range r.want.Parts {
		if e.parts[p.ID] {
			continue
		}
		e.parts[p.ID] = true
		unread += p.Tokens
		if i == 0 {
			e.w.noteRead(p)
		}
	}
	e.busy = true
	took := time.Duration(float64(unread) / float64(e.w.o.Rate) * float64(time.Second))
	for s := range e.streams {
		s.pause = max(s.pause, took+eventEvery)
		s.ends = s.ends.Add(took)
	}
	e.w.after(took, func() {
		e.busy = false
		e.w.after(firstMin, r.answered)
		e.work()
	})
}

// noteRead counts a shared part that some engine has read before.
func (w *world) noteRead(shared engine.Part) {
	if w.read[shared.ID] {
		w.result.Reread += shared.Tokens
	}
	w.read[shared.ID] = true
}
