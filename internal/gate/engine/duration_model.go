package engine

import (
	"time"

	"github.com/berylledge/berylledge/internal/gate/speed"
)

// durationModel predicts durations with a separate fit for each rank.
type durationModel struct {
	byRank map[int]*speed.LinearFit // milliseconds
}

func (e *durationModel) add(rank int, x float64, took time.Duration) {
	if e.byRank == nil {
		e.byRank = map[int]*speed.LinearFit{}
	}
	l := e.byRank[rank]
	if l == nil {
		l = &speed.LinearFit{}
		e.byRank[rank] = l
	}
	l.Add(x, float64(took.Milliseconds()))
}

// predict returns false for a rank with too few samples.
func (e *durationModel) predict(rank int, x float64) (time.Duration, bool) {
	l := e.byRank[rank]
	if l == nil {
		return 0, false
	}
	ms, ok := l.Predict(x)
	return time.Duration(ms * float64(time.Millisecond)), ok
}
