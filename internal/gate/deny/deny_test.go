package deny_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/state/poison"
)

var t0 = time.Unix(1000, 0)

func fingerprint(i int) poison.Fingerprint { return deny.Sum("h", "/p", "t", []byte{byte(i)}) }

func blocked(b *deny.Blocklist, now time.Time, i int) bool {
	_, yes := b.Blocked(now, fingerprint(i))
	return yes
}

// Guards against a fingerprint that is never blocked, one that is blocked because a single incarnation broke several
// connections, and a block that never ends.
func TestThreeIncarnationsBlock(t *testing.T) {
	b := deny.New()
	for i := range 3 {
		assert.Assert(t, !blocked(b, t0, 1))
		b.RecordCrash(t0, fingerprint(1), deny.IncarnationID("r", int64(i)))
		b.RecordCrash(t0, fingerprint(1), deny.IncarnationID("r", int64(i)))
	}
	assert.Assert(t, blocked(b, t0, 1) && !blocked(b, t0, 2))
	left, _ := b.Blocked(t0.Add(time.Minute), fingerprint(1))
	assert.Equal(t, left, deny.RecordTTL-time.Minute)
	assert.Assert(t, !blocked(b, t0.Add(deny.RecordTTL), 1))
}

// Guards against blocking innocent requests that ran on upstreams crashed by other requests.
func TestAnswerClears(t *testing.T) {
	b := deny.New()
	for i := range 5 {
		b.RecordCrash(t0, fingerprint(1), deny.IncarnationID("r", int64(i)))
		if i%2 == 1 {
			assert.Assert(t, b.RecordSuccess(t0, fingerprint(1)))
			assert.Assert(t, !b.RecordSuccess(t0, fingerprint(1)))
		}
		assert.Assert(t, !blocked(b, t0, 1))
	}
}

// Guards against nodes that diverge because they received records in another order or repeatedly, against a cleared
// crash that counts again, and against records that are never sent.
func TestNodesAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		var entries [nodes]*deny.Blocklist
		var told, seen [nodes]uint64
		for i := range entries {
			entries[i] = deny.New()
		}
		control := deny.New()
		ask := func(i int, lost bool) {
			own, at := entries[i].LocalChanges(t0, told[i])
			control.Merge(t0, own)
			list, version := control.Suspects(t0, seen[i])
			if lost {
				return
			}
			entries[i].Merge(t0, list)
			told[i], seen[i] = at, version
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, c := rapid.IntRange(0, nodes-1).Draw(t, "node"), fingerprint(rapid.IntRange(0, 2).Draw(t, "content"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				entries[i].RecordCrash(t0, c, uint64(rapid.IntRange(0, 5).Draw(t, "start")))
			case 2:
				entries[i].RecordSuccess(t0, c)
			case 3:
				ask(i, false)
			case 4:
				ask(i, true)
			}
		}
		for range 2 {
			for i := range entries {
				ask(i, false)
			}
		}
		for c := range 3 {
			for i := range entries {
				if got, want := blocked(entries[i], t0, c), blocked(control, t0, c); got != want {
					t.Fatalf("fingerprint %d: node %d says blocked=%v, the control node %v", c, i, got, want)
				}
			}
		}
	})
}

// Load pattern: one request crashes each upstream that runs it and is retried every 300 to 700 ms at any of 20 nodes,
// beside innocent requests on the same upstreams. Guards against more than three runs after the third crash, and
// against blocking innocent requests.
func TestCrashingRequestThatComesAgainAtAnyNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes, askEvery = 20, 250 * time.Millisecond
		var entries [nodes]*deny.Blocklist
		var told, seen [nodes]uint64
		for i := range entries {
			entries[i] = deny.New()
		}
		control := deny.New()
		ask := func(now time.Time, i int) {
			own, at := entries[i].LocalChanges(now, told[i])
			control.Merge(now, own)
			list, version := control.Suspects(now, seen[i])
			entries[i].Merge(now, list)
			told[i], seen[i] = at, version
		}
		crashes, late := 0, 0
		next := t0
		for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
			for i := range entries {
				if (now.Sub(t0)+time.Duration(i)*10*time.Millisecond)%askEvery < 50*time.Millisecond {
					ask(now, i)
				}
			}
			if now.Before(next) {
				continue
			}
			next = now.Add(time.Duration(rapid.IntRange(300, 700).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if blocked(entries[i], now, 0) {
				continue
			}
			crashes++
			if crashes > deny.MaxCrashes {
				late++
			}
			start := deny.IncarnationID("r", int64(crashes))
			entries[i].RecordCrash(now, fingerprint(0), start)
			ask(now, i) // a crash is reported at once
			for c := 1; c < 4; c++ {
				j := rapid.IntRange(0, nodes-1).Draw(t, "beside")
				entries[j].RecordCrash(now, fingerprint(c), start)
				k := rapid.IntRange(0, nodes-1).Draw(t, "again")
				if blocked(entries[k], now, c) {
					t.Fatalf("innocent fingerprint %d is blocked at node %d", c, k)
				}
				ask(now, j)
				entries[j].RecordSuccess(now, fingerprint(c)) // its retry succeeds at the same node
				ask(now, j)
			}
		}
		if late > 3 {
			t.Fatalf("%d runs after the third crash", late)
		}
	})
}

// Guards against losing crash records when the nodes that made them die before the control nodes restart: the nodes
// that received them send them again.
func TestEntryNodesRestoreRestartedControlNodes(t *testing.T) {
	noted, told, control := deny.New(), deny.New(), deny.New()
	for i := range uint64(deny.MaxCrashes) {
		noted.RecordCrash(t0, fingerprint(1), i)
	}
	own, _ := noted.LocalChanges(t0, 0)
	control.Merge(t0, own)
	suspects, _ := control.Suspects(t0, 0)
	told.Merge(t0, suspects)
	restarted := deny.New()
	again, at := told.LocalChanges(t0, 0)
	restarted.Merge(t0, again)
	assert.Assert(t, blocked(restarted, t0, 1))
	again, _ = told.LocalChanges(t0, at)
	assert.Equal(t, len(again), 0, "records are sent once")
}

// Guards against memory that grows with the number of requests interrupted by an outage of many upstreams.
func TestOldestRecordsAreEvicted(t *testing.T) {
	b := deny.New()
	for i := range 5000 {
		b.RecordCrash(t0, deny.Sum("h", fmt.Sprint(i), "t", nil), 1)
	}
	assert.Assert(t, b.Len() <= 4097, "%d", b.Len())
	b.RecordCrash(t0.Add(deny.RecordTTL), fingerprint(1), 1)
	assert.Equal(t, b.Len(), 1)
}
