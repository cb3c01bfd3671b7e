package rstate_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// server is where the commands of a history are applied.
type server func(rstate.Command) rstate.Result

// newServer applies each command to one of n states. With n of 2 it is deliberately wrong: the states do not agree, as
// after a second leader.
func newServer(rng *rand.Rand, n int) server {
	index, states := uint64(0), []*rstate.State{rstate.New(rstate.Limits{}), rstate.New(rstate.Limits{})}
	return func(c rstate.Command) rstate.Result {
		index++
		return states[rng.IntN(n)].Apply(index, c)
	}
}

// record makes a concurrent history: each command is sent, applied and answered at three moments in random order
// between the commands of the other clients. A resend is an operation of its own, because its answer may arrive alone.
func record(rng *rand.Rand, s server, commands []rstate.Command) []porcupine.Operation {
	type moment struct{ at, op, step int }
	var moments []moment
	for op := range commands {
		at := []int{op*10 + rng.IntN(60), op*10 + rng.IntN(60), op*10 + rng.IntN(60)}
		slices.Sort(at)
		for step := range at {
			moments = append(moments, moment{at[step], op, step})
		}
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return a.at - b.at })
	history := make([]porcupine.Operation, len(commands))
	for i, m := range moments {
		h := &history[m.op]
		switch m.step {
		case 0:
			h.ClientId, h.Input, h.Call = m.op, commands[m.op], int64(i)
		case 1:
			h.Output = s(commands[m.op])
		default:
			h.Return = int64(i)
		}
	}
	return history
}

// changesModel is the accepted change ids, in the order of their revisions, and the first answers to conflicting ones as
// "id=winner".
type changesModel struct{ accepted, conflicts string }

var configModel = porcupine.Model{
	Init: func() any { return changesModel{} },
	Step: func(state, input, output any) (bool, any) {
		return state.(changesModel).put(input.(rstate.PutConfig), output.(rstate.ConfigResult))
	},
}

func (m changesModel) put(c rstate.PutConfig, r rstate.ConfigResult) (bool, changesModel) {
	ids, expected := strings.Fields(m.accepted), int(c.ExpectedRevision)
	if i := slices.Index(ids, c.ChangeID); i >= 0 {
		return r.Status == rstate.ConfigReplayed && int(r.Revision) == i+1, m
	}
	for _, known := range strings.Fields(m.conflicts) {
		if id, winner, _ := strings.Cut(known, "="); id == c.ChangeID {
			return r.Status == rstate.ConfigConflict && r.Winner.ChangeID == winner, m
		}
	}
	if expected == len(ids) {
		m.accepted += " " + c.ChangeID
		return r.Status == rstate.ConfigAccepted && int(r.Revision) == expected+1, m
	}
	winner := ""
	if len(ids) > 0 {
		winner = ids[min(expected, len(ids)-1)]
	}
	m.conflicts += " " + c.ChangeID + "=" + winner
	return r.Status == rstate.ConfigConflict && r.Winner.ChangeID == winner, m
}

// keyModel is one key: its holder, outcome and abandoned tokens.
type keyModel struct {
	holder  string
	outcome rstate.Outcome
	dead    string
}

var ledgerModel = porcupine.Model{
	Init: func() any { return keyModel{} },
	Step: func(state, input, output any) (bool, any) {
		k := state.(keyModel)
		switch c := input.(type) {
		case rstate.Claim:
			return k.claim(c, output.(rstate.ClaimResult))
		case rstate.Abandon:
			want := rstate.Abandoned
			if k.holder == c.Token && k.outcome != "" {
				want = rstate.AbandonSettled
			}
			return output.(rstate.AbandonResult).Status == want, k.drop(c.Token, want == rstate.Abandoned)
		case rstate.Settle:
			return k.settle(c, output.(rstate.SettleResult))
		}
		return false, k
	},
}

func (k keyModel) isDead(token string) bool { return slices.Contains(strings.Fields(k.dead), token) }

func (k keyModel) drop(token string, really bool) keyModel {
	if !really {
		return k
	}
	if k.holder == token {
		k.holder = ""
	}
	if !k.isDead(token) {
		all := append(strings.Fields(k.dead), token)
		slices.Sort(all)
		k.dead = strings.Join(all, " ")
	}
	return k
}

func (k keyModel) claim(c rstate.Claim, r rstate.ClaimResult) (bool, keyModel) {
	switch {
	case k.isDead(c.Token):
		return r.Status == rstate.ClaimAbandoned, k
	case k.holder == "":
		k.holder = c.Token
		return r.Status == rstate.ClaimGranted, k
	case k.outcome != "":
		return r.Status == rstate.ClaimSettled && r.Outcome == k.outcome, k
	case k.holder == c.Token:
		return r.Status == rstate.ClaimGranted, k
	default:
		return r.Status == rstate.ClaimInProgress, k
	}
}

func (k keyModel) settle(c rstate.Settle, r rstate.SettleResult) (bool, keyModel) {
	free := c.Outcome == rstate.OutcomeNotStarted
	switch {
	case k.holder != c.Token && free && k.isDead(c.Token):
		return r.Status == rstate.SettleFreed, k
	case k.holder == "":
		return r.Status == rstate.SettleNoClaim, k
	case k.holder != c.Token:
		return r.Status == rstate.SettleNotHolder, k
	case k.outcome == c.Outcome:
		return r.Status == rstate.SettleRecorded, k
	case k.outcome != "":
		return r.Status == rstate.SettleDiffers && r.Outcome == k.outcome, k
	case free:
		return r.Status == rstate.SettleFreed, k.drop(c.Token, true)
	}
	k.outcome = c.Outcome
	return r.Status == rstate.SettleRecorded, k
}

func configCommands(rng *rand.Rand) []rstate.Command {
	var out []rstate.Command
	cfg := config(fleet.Limits{})
	for i := range 24 {
		if i > 2 && rng.IntN(4) == 0 {
			out = append(out, out[rng.IntN(i)])
			continue
		}
		out = append(out, put(uint64(rng.IntN(1+i/3)), fmt.Sprint("c", i), cfg, t0))
	}
	return out
}

func ledgerCommands(rng *rand.Rand) []rstate.Command {
	var out []rstate.Command
	outcomes := []rstate.Outcome{rstate.OutcomeRan, rstate.OutcomeFailed, rstate.OutcomeNotStarted}
	for range 24 {
		token := fmt.Sprint("t", rng.IntN(6))
		switch rng.IntN(5) {
		case 0:
			out = append(out, abandon("k", token, t0))
		case 1:
			out = append(out, settle("k", token, outcomes[rng.IntN(3)], t0))
		default:
			out = append(out, claim("k", token, t0))
		}
	}
	return out
}

// Guards against answers that no single order of the commands explains. The deliberately wrong server shows that the check
// sees two disagreeing states.
func TestConcurrentHistoriesAreLinearizable(t *testing.T) {
	for _, row := range []struct {
		model    porcupine.Model
		commands func(*rand.Rand) []rstate.Command
		states   int
	}{{configModel, configCommands, 1}, {configModel, configCommands, 2}, {ledgerModel, ledgerCommands, 1}, {ledgerModel, ledgerCommands, 2}} {
		wrong := 0
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 1))
			if !porcupine.CheckOperations(row.model, record(rng, newServer(rng, row.states), row.commands(rng))) {
				wrong++
			}
		}
		t.Logf("%T, %d states: %d of 100 histories are not linearizable", row.model.Init(), row.states, wrong)
		assert.Equal(t, wrong == 0, row.states == 1)
	}
}
