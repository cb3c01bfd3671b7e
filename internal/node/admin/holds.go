package admin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/fleet/member"
)

// Times of the exchange of holds.
const (
	// firstHolds is the pause until a node that has started has asked another one.
	firstHolds = 200 * time.Millisecond
	// holdsEvery bounds how long a node that an order did not reach goes without it. One small question in 10 s is far
	// below a node's budget of 15 KB/s.
	holdsEvery = 10 * time.Second
)

// Start begins to take holds of upstreams over from other entry nodes: an order reaches only the nodes that run and can
// be reached when it is given.
func (a *API) Start() {
	a.wg.Go(func() {
		pause, turn := firstHolds, 0
		for clock.Sleep(a.ctx, a.o.Clock, pause) == nil {
			if a.takeHolds(a.ctx, turn) {
				pause = holdsEvery
			}
			turn++
		}
	})
}

// Close ends what Start began.
func (a *API) Close() {
	a.cancel()
	a.wg.Wait()
}

// takeHolds asks one other entry node, another one in each turn, and reports whether it answered.
func (a *API) takeHolds(ctx context.Context, turn int) bool {
	own := a.o.Entry()
	if own == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	m, err := a.o.Membership(ctx)
	if err != nil {
		return false
	}
	others := slices.DeleteFunc(m.Nodes, func(n member.Node) bool {
		return n.ID == a.o.Node || n.Roles&member.RoleEntry == 0 || !n.State.Present()
	})
	if len(others) == 0 {
		return false
	}
	slices.SortFunc(others, func(x, y member.Node) int { return strings.Compare(x.ID, y.ID) })
	// Begin after the own name, so that the nodes ask different ones in each turn.
	first, _ := slices.BinarySearchFunc(others, a.o.Node, func(n member.Node, id string) int { return strings.Compare(n.ID, id) })
	answer, err := a.send(ctx, others[(first+turn)%len(others)], operate{Do: doHolds})
	if err != nil {
		return false
	}
	for id, h := range answer.Holds {
		own.Upstreams().SetHold(id, h)
	}
	return true
}
