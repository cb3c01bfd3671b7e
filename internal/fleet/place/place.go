// Package place decides which models, adapters and roles are assigned to the engines that accept orders.
//
// A Planner is a deterministic state machine. It runs on the node that holds the authority over the engines (section 6.8
// of the design). It smooths the reported demand and reassigns an engine only when one model has been short of slots for a
// minimum duration and another model has had spare capacity for a minimum duration; more urgent work may also take an
// engine from less urgent work. An engine then keeps its assignment for a minimum dwell time. Smoothing, separate high and
// low thresholds and the dwell time prevent flapping when demand oscillates.
//
// An engine is drained before it changes: it gets no new work, and the order is sent only when no request is running. A
// drain that takes too long is abandoned, because a planned change must not interrupt a request. Model loads are charged to
// a byte budget, because the weight store is rate-limited.
//
// Usage:
//
//	p, err := place.New(policy)
//	p.Step(now, place.EngineUpdate{Engine: e})           // for each announcement, renewal and load report
//	p.Step(now, place.Demand{Pool: "pond-7b", Busy: 12}) // once a second
//	for _, a := range p.Step(now, place.Tick{}) { ... }  // Drain, Resume, Order
package place

import (
	"time"

	"github.com/berylledge/berylledge/internal/base/chart"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Policy holds the parameters of a Planner. DefaultPolicy sets all of them except Models.
type Policy struct {
	// Models lists the models that may be placed.
	Models []Model
	// HighUtilization is the slot utilization (0 to 1) above which a model is short of slots, if it lasts HighDuration.
	HighUtilization float64
	HighDuration    time.Duration
	// LowUtilization is the highest slot utilization that a model may have after it gives up an engine, if it has lasted
	// LowDuration.
	LowUtilization float64
	LowDuration    time.Duration
	// MinDwell is the minimum time for which an engine keeps its assignment.
	MinDwell time.Duration
	// HalfLife is the half-life of the exponential smoothing of demand.
	HalfLife time.Duration
	// StoreMBPerSecond is the rate at which loads may read from the weight store, and StoreBurstMB the size of the burst.
	StoreMBPerSecond, StoreBurstMB float64
	// MaxConcurrentChanges is the maximum number of engines that change at the same time.
	MaxConcurrentChanges int
	// DrainTimeout is the time after which a drain is abandoned, and OrderTimeout the time after which an unanswered order
	// counts as failed.
	DrainTimeout, OrderTimeout time.Duration
	// MaxAdapters is the maximum number of adapters on an engine.
	MaxAdapters int
	// AdapterIdleTimeout is the time without demand after which an adapter may be unloaded.
	AdapterIdleTimeout time.Duration
	// MinEnginesForRoles is the number of engines of a model from which prefill and decode run on separate engines; 0
	// disables the separation.
	MinEnginesForRoles int
}

// Model describes a model that may be placed.
type Model struct {
	Name   string
	SizeMB float64
	// Min is the minimum number of engines that hold the model.
	Min int
}

// DefaultPolicy returns the default parameters, which docs/notes/routing.md explains.
func DefaultPolicy() Policy {
	return Policy{
		HighUtilization:      0.8,
		HighDuration:         15 * time.Second,
		LowUtilization:       0.5,
		LowDuration:          2 * time.Minute,
		MinDwell:             5 * time.Minute,
		HalfLife:             30 * time.Second,
		StoreMBPerSecond:     200,
		StoreBurstMB:         20_000,
		MaxConcurrentChanges: 2,
		DrainTimeout:         2 * time.Minute,
		OrderTimeout:         5 * time.Minute,
		MaxAdapters:          4,
		AdapterIdleTimeout:   10 * time.Minute,
		MinEnginesForRoles:   4,
	}
}

// Engine is the reported state of an engine that accepts orders.
type Engine struct {
	ID          string
	Incarnation uint64
	Models      []string // loaded models; an adapter is listed as "model:adapter"
	Role        upapi.Role
	Slots       int
	Running     int // running and waiting requests
}

// Event is an input of the planner.
//
//sumtype:decl
type Event interface{ event() }

// EngineUpdate reports the current state of an engine.
type EngineUpdate struct{ Engine Engine }

// EngineLost reports that an engine left or that its lease expired.
type EngineLost struct{ ID string }

// Demand is the current demand for a pool at one priority rank.
type Demand struct {
	Pool string // model, or "model:adapter"
	Rank int
	// Busy is the mean number of slots that requests occupy or wait for.
	Busy float64
	// Prefill is the fraction of Busy spent on prompt processing (0 to 1).
	Prefill float64
}

// OrderResult is the reply of an engine to an order.
type OrderResult struct {
	OrderID string
	OK      bool
}

// Tick advances time; it is due once a second.
type Tick struct{}

func (EngineUpdate) event() {}
func (EngineLost) event()   {}
func (Demand) event()       {}
func (OrderResult) event()  {}
func (Tick) event()         {}

// Action is an output of the planner, which the caller executes.
//
//sumtype:decl
type Action interface{ action() }

// Drain requests that all nodes stop sending new work to an engine.
type Drain struct{ Upstream string }

// Resume reverses a Drain.
type Resume struct{ Upstream string }

// Order requests that an order be sent; the sender adds the fencing token of its authority.
type Order struct {
	Upstream string
	Order    upapi.Order
}

func (Drain) action()  {}
func (Resume) action() {}
func (Order) action()  {}

// engine is an engine with its lifecycle and its pending change.
type engine struct {
	Engine
	lifecycle *Lifecycle
	changedAt time.Time // end of the last change, set back after a failure to allow an earlier retry; zero if none
	change    *change
}

// change is a pending reassignment of an engine. Its orders are sent one at a time.
type change struct {
	model   string // base model after the change
	drained bool
	since   time.Time // start of the drain or of the current order
	sizeMB  float64   // charged to the weight store budget before the first order
	orders  []upapi.Order
	sent    bool
}

// poolDemand is the smoothed demand for one pool.
type poolDemand struct {
	at        time.Time // creation or last tick
	byRank    []float64 // slots in use or waited for
	reported  []bool    // ranks reported since the last tick
	prefill   float64
	lastBusy  time.Time
	highSince time.Time
	lowSince  time.Time
}

// Planner assigns models, adapters and roles to engines.
type Planner struct {
	policy         Policy
	chart          *chart.Chart
	engines        map[string]*engine
	demands        map[string]*poolDemand
	ids            []string // engine ids, sorted
	pools          []string // keys of demands, sorted
	storeBudgetMB  float64
	storeUpdatedAt time.Time
	orderCount     uint64
	actions        []Action
}

// New returns a planner without engines.
func New(policy Policy) (*Planner, error) {
	c, err := LoadChart()
	if err != nil {
		return nil, err
	}
	return &Planner{
		policy: policy, chart: c, engines: map[string]*engine{}, demands: map[string]*poolDemand{}, storeBudgetMB: policy.StoreBurstMB,
	}, nil
}

// Step processes one event and returns the resulting actions in the order in which they must be executed.
func (p *Planner) Step(now time.Time, ev Event) []Action {
	p.actions = nil
	switch e := ev.(type) {
	case EngineUpdate:
		p.updateEngine(e.Engine)
	case EngineLost:
		if en := p.engines[e.ID]; en != nil {
			en.lifecycle.Apply(Expired)
			delete(p.engines, e.ID)
			p.ids = sortedKeys(p.engines)
		}
	case Demand:
		p.recordDemand(now, e)
	case OrderResult:
		p.handleOrderResult(now, e)
	case Tick:
		p.tick(now)
	}
	return p.actions
}

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Planner) updateEngine(e Engine) {
	en := p.engines[e.ID]
	if en == nil || en.Incarnation < e.Incarnation {
		en = &engine{lifecycle: NewLifecycle(p.chart)}
		p.engines[e.ID] = en
		p.ids = sortedKeys(p.engines)
	}
	if e.Incarnation < en.Incarnation {
		return
	}
	en.Engine = e
	en.lifecycle.Apply(Reported)
}
