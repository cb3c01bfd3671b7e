// Package eventq keeps the events of a simulation in the order of their times, and of their arrival where times are equal.
//
// Usage:
//
//	var a eventq.Agenda
//	a.Add(now.Add(delay), func() { ... })
//	for e, ok := a.Next(end); ok; e, ok = a.Next(end) { now = e.At; e.Run() }
package eventq

import (
	"container/heap"
	"time"
)

// Event is something that happens at a time.
type Event struct {
	At  time.Time
	Run func()

	number uint64
}

// Agenda holds events. The zero value is empty.
type Agenda struct {
	list  list
	added uint64
}

// Add adds an event.
func (a *Agenda) Add(at time.Time, run func()) {
	a.added++
	heap.Push(&a.list, Event{at, run, a.added})
}

// Next takes the first event, unless it is after the end; the zero end means never.
func (a *Agenda) Next(end time.Time) (Event, bool) {
	if len(a.list) == 0 || !end.IsZero() && a.list[0].At.After(end) {
		return Event{}, false
	}
	return heap.Pop(&a.list).(Event), true
}

type list []Event

func (l list) Len() int      { return len(l) }
func (l list) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l list) Less(i, j int) bool {
	return l[i].At.Before(l[j].At) || l[i].At.Equal(l[j].At) && l[i].number < l[j].number
}
func (l *list) Push(x any) { *l = append(*l, x.(Event)) }
func (l *list) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
