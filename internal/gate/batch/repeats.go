package batch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/gate/stage"
)

// The answer to a call names no call. An upstream in trouble may send an answer twice, the second time just before the next answer
// on the connection, where it would be taken for the answer to the next call: requests would get the results of others. Handles
// are unique, so that a copy is recognised by a handle that was given to another piece before. An answer that names no result cannot be
// told from its copy. It gives no piece a result of another, but the true answer may still follow it, so that its connection is not
// used again.

var errRepeatedAnswer = errors.New("the answer repeats that to an earlier call")

// repeatWindow is how long answers are remembered. It exceeds the time for which a connection is kept plus that of a call.
const repeatWindow = 15 * time.Second

// pieceID identifies a piece of a request.
type pieceID struct {
	request      string
	stage, piece int
}

type handleKey struct{ upstream, handle string }

// answerLog remembers the first handle of each answer, and the piece that it was given to.
type answerLog struct {
	given map[handleKey]pieceID
	order []loggedAnswer // oldest first
}

type loggedAnswer struct {
	key handleKey
	at  time.Time
}

// add records an answer. It returns false if the handle was given to another piece before.
func (l *answerLog) add(now time.Time, key handleKey, p pieceID) bool {
	l.expire(now)
	if l.given == nil {
		l.given = map[handleKey]pieceID{}
	}
	if before, ok := l.given[key]; ok {
		return before == p
	}
	l.given[key] = p
	l.order = append(l.order, loggedAnswer{key, now})
	return true
}

func (l *answerLog) expire(now time.Time) {
	n := 0
	for n < len(l.order) && now.Sub(l.order[n].at) > repeatWindow {
		delete(l.given, l.order[n].key)
		n++
	}
	l.order = l.order[n:]
}

// checkOwnAnswer returns an error if the outcomes of a call are those of an earlier one.
func (m *Batcher) checkOwnAnswer(c stage.Call, outcomes []stage.Outcome) error {
	now := m.o.Clock.Now()
	for i, o := range outcomes {
		if o.Handle == "" {
			continue
		}
		j := c.Jobs[i]
		m.mu.Lock()
		own := m.answers.add(now, handleKey{c.Upstream, o.Handle}, pieceID{j.Request, j.Stage, j.Piece})
		m.mu.Unlock()
		if !own {
			return errRepeatedAnswer
		}
		return nil
	}
	return nil
}

// namesResult reports whether an answer has the handle of a result.
func namesResult(outcomes []stage.Outcome) bool {
	return slices.ContainsFunc(outcomes, func(o stage.Outcome) bool { return o.Handle != "" })
}
