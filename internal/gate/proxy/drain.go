package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Phase is a step of a planned stop.
//
// A request that the process has read must get a whole answer before the process ends, and one that is refused early can still
// be served by another node. The phases therefore end the kinds of waiting one after the other, from the one that has cost least.
type Phase int32

// Phases, in order.
const (
	Serving   Phase = iota
	Draining        // each response closes its connection
	Refusing        // requests that arrive are refused
	Finishing       // nothing more is sent to an upstream; requests that wait for that are refused
	Ending          // requests at an upstream are answered as unfinished
)

// Causes with which the context of a request ends.
var (
	errDeadline  = errors.New("the deadline has passed")
	errNodeStops = errors.New("this node stops")
)

// drainState holds the phase of a Forwarder.
type drainState struct {
	phase     atomic.Int32
	finishing context.Context // done from Finishing on
	finish    context.CancelFunc
	ending    context.Context // done from Ending on
	end       context.CancelFunc
}

func newDrainState() *drainState {
	d := &drainState{}
	d.finishing, d.finish = context.WithCancel(context.Background())
	d.ending, d.end = context.WithCancel(context.Background())
	return d
}

// Drain advances a planned stop to a phase. A phase that has passed has no effect.
func (f *Forwarder) Drain(p Phase) {
	for {
		now := f.drain.phase.Load()
		if int32(p) <= now {
			return
		}
		if f.drain.phase.CompareAndSwap(now, int32(p)) {
			break
		}
	}
	if p >= Finishing {
		f.drain.finish()
	}
	if p >= Ending {
		f.drain.end()
	}
}

// reached reports whether a planned stop has reached a phase.
func (f *Forwarder) reached(p Phase) bool { return f.drain.phase.Load() >= int32(p) }

// checkArrival returns a refusal for a request that arrives late in a planned stop.
func (x *exchange) checkArrival() *refusal {
	if !x.f.reached(Refusing) {
		return nil
	}
	return x.stopRefusal()
}

// stopRefusal returns the response to a request that a planned stop leaves unfinished. Many requests get it at the same moment, so
// that their callers' return is spread.
func (x *exchange) stopRefusal() *refusal {
	r := x.gatewayError(errNodeStops.Error(), x.f.spread(retrySoon))
	return &r
}

// spread returns a random duration between a half and one and a half of d.
func (f *Forwarder) spread(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.rng.Int64N(int64(d)))
}

// closeWhenDraining makes the response close its connection during a planned stop.
func (f *Forwarder) closeWhenDraining(w http.ResponseWriter) {
	if f.reached(Draining) {
		w.Header().Set("Connection", "close")
	}
}
