// Package inmem is a ledger in memory, for tests and comparisons without a control group. It keeps the replicated state
// behind a mutex; nothing survives the process.
//
// Usage:
//
//	l := inmem.New()
//	l.Fail(true) // behaves like a group without quorum
package inmem

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/state/rstate"
)

// Ledger applies commands to a state in memory.
type Ledger struct {
	mu     sync.Mutex
	index  uint64
	state  *rstate.State
	failed bool
	watch  []func(rstate.CrashNews)
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{state: rstate.New(rstate.Limits{})} }

// Fail makes each later proposal fail, or ends that.
func (l *Ledger) Fail(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = on
}

// Propose applies a command.
func (l *Ledger) Propose(_ context.Context, c rstate.Command) (rstate.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return nil, errors.New("no quorum")
	}
	l.index++
	before := l.state.CrashChanged()
	res := l.state.Apply(l.index, c)
	if l.state.CrashChanged() != before {
		news := l.state.CrashNews()
		for _, f := range l.watch {
			go f(news)
		}
	}
	return res, nil
}

// Watch calls f in a goroutine of its own after each change of the crash suspects, as the leader of a group tells nodes.
func (l *Ledger) Watch(f func(rstate.CrashNews)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = append(l.watch, f)
}

// Fetch returns the crash suspects, as a control node does.
func (l *Ledger) Fetch(context.Context) (rstate.CrashNews, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return rstate.CrashNews{}, errors.New("no quorum")
	}
	return l.state.CrashNews(), nil
}
