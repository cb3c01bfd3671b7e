package place

import (
	_ "embed" // for life.json
	"slices"

	"github.com/berylledge/berylledge/internal/base/chart"
)

//go:embed life.json
var lifeFile []byte

// State is a state in the life of an upstream, as life.json names it.
type State string

// The states of the chart in life.json.
const (
	Announced State = "announced"
	Live      State = "live"
	Suspect   State = "suspect"
	Ejected   State = "ejected"
	Draining  State = "draining"
	Gone      State = "gone"
)

// Happening is an event in the life of an upstream, as life.json names it.
type Happening string

// The events of the chart in life.json.
const (
	Reported        Happening = "reported"
	Missed          Happening = "missed"
	LooksBad        Happening = "looks_bad"
	Returned        Happening = "returned"
	Left            Happening = "left"
	Expired         Happening = "expired"
	Drained         Happening = "drained"
	ChangePlanned   Happening = "change_planned"
	Changed         Happening = "changed"
	ChangeAbandoned Happening = "change_abandoned"
)

// The actions of the chart in life.json.
const (
	StopDispatch = "stop_dispatch"
	StartSlowly  = "start_slowly"
)

// LoadChart loads and checks the chart of the life of an upstream. It fails only if life.json and the code disagree.
func LoadChart() (*chart.Chart, error) {
	return chart.Load(lifeFile, chart.Known{
		Guards: []string{"may_eject", "leaving"}, Actions: []string{StopDispatch, StartSlowly},
	})
}

// Life is where one incarnation of an upstream stands.
type Life struct {
	chart    *chart.Chart
	state    State
	leaving  bool
	MayEject bool // whether the bound on ejected upstreams allows one more; the owner keeps it up to date
}

// NewLife returns the life of an upstream that has just been announced.
func NewLife(c *chart.Chart) *Life { return &Life{chart: c, state: State(c.Initial)} }

// State returns the present state.
func (l *Life) State() State { return l.state }

// Take follows an event and returns the actions of the transition. Events that the state does not handle are ignored:
// an upstream that is gone stays gone, and a late load report does not end a drain.
func (l *Life) Take(h Happening) []string {
	if h == Left {
		l.leaving = true
	}
	t, ok := l.chart.Next(string(l.state), string(h), func(guard string) bool {
		return guard == "leaving" && l.leaving || guard == "may_eject" && l.MayEject
	})
	if !ok {
		return nil
	}
	l.state = State(t.To)
	return slices.Clone(t.Actions)
}
