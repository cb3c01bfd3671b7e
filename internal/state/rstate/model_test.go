package rstate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// attempt is a node's side of one claim.
type attempt struct {
	claim      rstate.Claim
	dispatched bool
	discarded  bool
}

// ledgerSystem is a set of nodes, upstreams and a network that loses, repeats and reorders messages, around one state.
type ledgerSystem struct {
	*rig
	now      int64
	attempts map[string]*attempt
	network  []rstate.Command
	runs     map[string]int
	created  map[string]int64
	revision uint64
}

func (m *ledgerSystem) newAttempt(t *rapid.T) {
	key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
	if m.created[key] == 0 {
		m.created[key] = m.now
	}
	c := claim(key, fmt.Sprint("t", len(m.attempts)), m.now)
	c.KeyCreatedMS = m.created[key]
	m.attempts[c.Token] = &attempt{claim: c}
	m.network = append(m.network, c)
}

// deliver applies one message; it stays in the network, so that it may arrive again much later.
func (m *ledgerSystem) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		t.Skip("no message")
	}
	// Messages that were sent lately are preferred, or most runs would repeat the first one.
	back := min(rapid.IntRange(0, 9).Draw(t, "back"), len(m.network)-1)
	if rapid.IntRange(0, 3).Draw(t, "any age") == 0 {
		back = rapid.IntRange(0, len(m.network)-1).Draw(t, "age")
	}
	cmd := m.network[len(m.network)-1-back]
	m.index++
	answer, ok := m.s.Apply(m.index, cmd).(rstate.ClaimResult)
	if ok && answer.Status == rstate.ClaimGranted {
		m.granted(t, cmd.(rstate.Claim))
	}
}

// granted is a node that may dispatch, or lose the answer and receive it later.
func (m *ledgerSystem) granted(t *rapid.T, c rstate.Claim) {
	a := m.attempts[c.Token]
	if a.dispatched || a.discarded || m.now >= c.DispatchDeadlineMS || rapid.Bool().Draw(t, "lost") {
		return
	}
	a.dispatched = true
	outcome := rapid.SampledFrom([]rstate.Outcome{rstate.OutcomeRan, rstate.OutcomeFailed, rstate.OutcomeNotStarted}).Draw(t, "outcome")
	if outcome != rstate.OutcomeNotStarted {
		m.runs[c.Key]++
	}
	m.network = append(m.network, settle(c.Key, c.Token, outcome, m.now))
}

func (m *ledgerSystem) giveUp(t *rapid.T) {
	if len(m.attempts) == 0 {
		t.Skip("no attempt")
	}
	a := m.attempts[fmt.Sprint("t", rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt"))]
	if a.dispatched {
		t.Skip("dispatched")
	}
	a.discarded = true
	m.network = append(m.network, abandon(a.claim.Key, a.claim.Token, m.now))
}

func (m *ledgerSystem) changeRetention(t *rapid.T) {
	ms := rapid.SampledFrom([]int64{hour, 24 * hour, 72 * hour}).Draw(t, "retention")
	c := put(m.revision, fmt.Sprint("c", m.revision), config(fleet.Limits{RetentionMS: ms}), m.now)
	r := apply[rstate.ConfigResult](m.rig, c)
	assert.Equal(t, r.Status, rstate.ConfigAccepted)
	m.revision = r.Revision
}

// Guards against a key that runs twice, and a record that disagrees with what ran, for any order, repetition and loss
// of messages, any waiting time, changes of the retention and restarts from a snapshot.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerSystem{
			rig: newRig(t, rstate.Limits{MaxRecords: 6}), now: t0,
			attempts: map[string]*attempt{}, runs: map[string]int{}, created: map[string]int64{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.newAttempt, "deliver": m.deliver, "deliver2": m.deliver, "deliver3": m.deliver,
			"give up": m.giveUp, "retention": m.changeRetention,
			"wait": func(t *rapid.T) {
				m.now += rapid.SampledFrom([]int64{1, sec, 11 * sec, hour, 25 * hour}).Draw(t, "wait")
			},
			"restart": func(*rapid.T) { m.reload() },
			"": func(t *rapid.T) {
				for key, n := range m.runs {
					assert.Assert(t, n <= 1, "key %s ran %d times", key, n)
				}
				for key := range m.created {
					k, ok := m.s.Key("crew", key)
					if ok && k.Outcome != "" {
						assert.Assert(t, m.attempts[k.Token].dispatched, "key %s has an outcome without a run", key)
					}
				}
			},
		})
	})
}

// leaseHolder is a process with authority over the upstream, and its clock's deviation from the true time.
type leaseHolder struct {
	lease rstate.Lease
	skew  int64
}

// Guards against two orders of different holders that run at the same time at an upstream that ignores fences, with
// clocks that differ by up to the drift bound, and against a fence or an order id that is given twice.
func TestOrdersOfTwoHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const drift, longest = 2 * sec, 4 * sec
		r := newRig(t, rstate.Limits{ClockDriftMS: drift, OrderMemoryMS: 20 * sec})
		now, fence, busyUntil, busyBy, issued := t0, uint64(0), int64(0), "", map[string]bool{}
		holders, created := map[string]*leaseHolder{}, map[string]int64{}
		for i := range 2 {
			holders[fmt.Sprint("h", i)] = &leaseHolder{skew: rapid.SampledFrom([]int64{0, drift}).Draw(t, "skew")}
		}
		pick := func(t *rapid.T) (string, *leaseHolder, int64) {
			id := fmt.Sprint("h", rapid.IntRange(0, 1).Draw(t, "holder"))
			return id, holders[id], now + holders[id].skew
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += rapid.SampledFrom([]int64{1, sec, 4*sec - 1}).Draw(t, "wait") },
			"acquire": func(t *rapid.T) {
				id, h, at := pick(t)
				c := rstate.AcquireLease{Upstream: "u", Holder: id, TTLMS: 4 * sec, MaxOrderMS: longest, AtMS: at}
				got := apply[rstate.LeaseResult](r, c)
				if got.Status == rstate.LeaseGranted && got.Lease.Fence != h.lease.Fence {
					assert.Assert(t, got.Lease.Fence > fence)
					fence, h.lease = got.Lease.Fence, got.Lease
				}
			},
			"renew or release": func(t *rapid.T) {
				id, h, at := pick(t)
				var c rstate.Command = rstate.ReleaseLease{Upstream: "u", Holder: id, Fence: h.lease.Fence, AtMS: at}
				if rapid.Bool().Draw(t, "renew") {
					c = rstate.RenewLease{Upstream: "u", Holder: id, Fence: h.lease.Fence, TTLMS: 4 * sec, AtMS: at}
				}
				if got := apply[rstate.LeaseResult](r, c); got.Status != rstate.LeaseLost {
					h.lease = got.Lease
				}
			},
			"order": func(t *rapid.T) {
				id, h, at := pick(t)
				o := order(h.lease, fmt.Sprint("o", len(created)-rapid.IntRange(0, 2).Draw(t, "resend")), at)
				if created[o.OrderID] == 0 {
					created[o.OrderID] = at
				}
				o.Holder, o.CreatedMS = id, created[o.OrderID]
				if got := apply[rstate.OrderResult](r, o); got.Status != rstate.OrderIssued || at >= h.lease.ExpiresMS {
					return
				}
				assert.Assert(t, !issued[o.OrderID], "order %s is issued twice", o.OrderID)
				assert.Assert(t, busyBy == id || now >= busyUntil, "orders of %s and %s overlap", busyBy, id)
				issued[o.OrderID], busyBy, busyUntil = true, id, max(busyUntil, now+longest)
			},
			"restart": func(*rapid.T) { r.reload() },
		})
	})
}

// Guards against an answer of the state that differs from the sequential model that the histories are checked with.
func TestAnswersFollowTheModels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, models := newRig(t, rstate.Limits{}), []porcupine.Model{configModel, ledgerModel}
		states := []any{configModel.Init(), ledgerModel.Init()}
		seed := rapid.Uint64().Draw(t, "seed")
		for kind, commands := range [][]rstate.Command{
			configCommands(rand.New(rand.NewPCG(seed, 2))), ledgerCommands(rand.New(rand.NewPCG(seed, 3))),
		} {
			for _, i := range rapid.SliceOf(rapid.IntRange(0, len(commands)-1)).Draw(t, "order") {
				r.index++
				got := r.s.Apply(r.index, commands[i])
				ok, next := models[kind].Step(states[kind], commands[i], got)
				assert.Assert(t, ok, "%+v after %+v: %+v", commands[i], states[kind], got)
				states[kind] = next
				r.reload()
			}
		}
	})
}
