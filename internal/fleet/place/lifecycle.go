package place

import (
	_ "embed" // for life.json
	"slices"

	"github.com/berylledge/berylledge/internal/base/chart"
)

//go:embed life.json
var chartJSON []byte

// State is a lifecycle state of an upstream, as named in life.json.
type State string

// Lifecycle states defined in life.json.
const (
	Announced State = "announced"
	Live      State = "live"
	Suspect   State = "suspect"
	Ejected   State = "ejected"
	Draining  State = "draining"
	Gone      State = "gone"
)

// LifecycleEvent triggers a transition between lifecycle states, as named in life.json.
type LifecycleEvent string

// Lifecycle events defined in life.json.
const (
	Reported        LifecycleEvent = "reported"
	Missed          LifecycleEvent = "missed"
	LooksBad        LifecycleEvent = "looks_bad"
	Returned        LifecycleEvent = "returned"
	Left            LifecycleEvent = "left"
	Expired         LifecycleEvent = "expired"
	Drained         LifecycleEvent = "drained"
	ChangePlanned   LifecycleEvent = "change_planned"
	Changed         LifecycleEvent = "changed"
	ChangeAbandoned LifecycleEvent = "change_abandoned"
)

// Transition actions defined in life.json.
const (
	StopDispatch = "stop_dispatch"
	StartSlowly  = "start_slowly"
)

// LoadChart parses and validates the lifecycle state chart. It fails only if life.json and the code disagree.
func LoadChart() (*chart.Chart, error) {
	return chart.Load(chartJSON, chart.Known{
		Guards: []string{"may_eject", "leaving"}, Actions: []string{StopDispatch, StartSlowly},
	})
}

// Lifecycle tracks the lifecycle state of one incarnation of an upstream.
type Lifecycle struct {
	chart    *chart.Chart
	state    State
	leaving  bool
	MayEject bool // whether the limit on ejected upstreams allows one more; maintained by the owner
}

// NewLifecycle returns a lifecycle in the initial state of the chart.
func NewLifecycle(c *chart.Chart) *Lifecycle { return &Lifecycle{chart: c, state: State(c.Initial)} }

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// Apply processes an event and returns the actions of the transition. Events that the current state does not handle are
// ignored: the state gone is final, and a late load report does not end a drain.
func (l *Lifecycle) Apply(event LifecycleEvent) []string {
	if event == Left {
		l.leaving = true
	}
	t, ok := l.chart.Next(string(l.state), string(event), func(guard string) bool {
		return guard == "leaving" && l.leaving || guard == "may_eject" && l.MayEject
	})
	if !ok {
		return nil
	}
	l.state = State(t.To)
	return slices.Clone(t.Actions)
}
