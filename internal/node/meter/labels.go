package meter

import (
	"slices"
	"sync"

	"github.com/berylledge/berylledge/pkg/fleet"
)

// Bounds of the values of labels. The series of a process stay below a few thousand whatever the configuration holds.
const (
	topTeams  = 20 // of one configuration
	maxTeams  = 64 // over the life of a process
	maxRanks  = 16
	maxStages = 128
)

// other is the value for all names that have no label of their own. A team that is named so is counted with them.
const other = "other"

// labels is a bounded set of names that may become labels.
type labels struct {
	mu    sync.Mutex
	bound int
	ever  map[string]bool
	now   map[string]bool
}

func newLabels(bound int) *labels {
	return &labels{bound: bound, ever: map[string]bool{}, now: map[string]bool{}}
}

// use allows these names, as far as the bound has room.
func (l *labels) use(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.now)
	for _, n := range names {
		if !l.ever[n] && len(l.ever) >= l.bound {
			continue
		}
		l.ever[n], l.now[n] = true, true
	}
}

func (l *labels) of(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now[name] {
		return name
	}
	return other
}

// heaviest returns the names of the n teams of largest weight; among equals the first in the configuration.
func heaviest(teams []fleet.Team, n int) []string {
	sorted := slices.Clone(teams)
	slices.SortStableFunc(sorted, func(a, b fleet.Team) int {
		switch x, y := weight(a), weight(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	var out []string
	for _, t := range sorted[:min(n, len(sorted))] {
		out = append(out, t.Name)
	}
	return out
}

func weight(t fleet.Team) float64 {
	if t.Weight == 0 {
		return 1
	}
	return t.Weight
}
