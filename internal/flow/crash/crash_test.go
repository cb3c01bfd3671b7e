package crash_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/flow/crash"
	"github.com/berylledge/berylledge/internal/state/poison"
)

func fp(b byte) poison.Fingerprint { return poison.Fingerprint{b} }

func statuses(f *poison.Registry) map[byte]poison.Status {
	out := map[byte]poison.Status{}
	for _, e := range f.List() {
		out[e.Fingerprint[0]] = e.Status
	}
	return out
}

// Guards against blaming requests that only ran beside the cause, isolation before the reports of other nodes have
// arrived, and entries that never expire or cannot be cleared.
func TestRegistryDistinguishesSuspects(t *testing.T) {
	f := poison.NewRegistry(poison.DefaultRegistryPolicy())
	die := func(at time.Duration, up string, members ...poison.Fingerprint) uint64 {
		return f.Apply(start.Add(at), poison.ReportDeath{Upstream: up, Incarnation: 1, Members: members}).Version
	}
	v := die(0, "u1", fp(1), fp(2))
	die(0, "u1", fp(1)) // another node's report of the same death is not a second death
	assert.DeepEqual(t, statuses(f), map[byte]poison.Status{1: poison.Suspect, 2: poison.Suspect})
	ask := func(b byte, up string) poison.Result {
		return f.Apply(start.Add(poison.DefaultRegistryPolicy().SoloDelay), poison.ClaimSolo{Fingerprint: fp(b), Upstream: up, Node: "n"})
	}
	early := f.Apply(start, poison.ClaimSolo{Fingerprint: fp(1), Upstream: "u2", Node: "n"})
	assert.Assert(t, !early.Granted, "a copy may have killed another upstream at the same time")
	assert.Assert(t, ask(1, "u2").Granted)
	assert.Assert(t, !ask(1, "u3").Granted, "two solo runs of one suspect")
	assert.Assert(t, ask(2, "u2").UpstreamTaken, "two suspects on one upstream")
	assert.Assert(t, !ask(9, "u3").Granted, "a clean fingerprint was given a grant")
	die(0, "u2", fp(1))
	die(0, "u2", fp(3)) // known only to another node, whose report arrives later
	assert.DeepEqual(t, statuses(f), map[byte]poison.Status{1: poison.Held, 2: poison.Suspect, 3: poison.Suspect})
	f.Apply(start.Add(time.Minute), poison.ReportSuccess{Fingerprint: fp(2), Version: v - 1})
	assert.Equal(t, statuses(f)[2], poison.Suspect, "a run started before the death cleared its suspect")
	last := f.Apply(start.Add(time.Minute), poison.ReportSuccess{Fingerprint: fp(3), Version: v + 20})
	assert.DeepEqual(t, statuses(f), map[byte]poison.Status{1: poison.Isolated, 2: poison.Suspect})
	assert.DeepEqual(t, last.Changed, []poison.Entry{
		{Fingerprint: fp(1), Status: poison.Isolated, Deaths: 2, Expires: start.Add(time.Hour)}, {Fingerprint: fp(3)},
	})
	assert.Assert(t, !ask(1, "u4").Granted)
	f.Apply(start, poison.Clear{Fingerprint: fp(1)})
	assert.DeepEqual(t, statuses(f), map[byte]poison.Status{2: poison.Suspect})
	f.Apply(start.Add(time.Hour), poison.Expire{})
	assert.Equal(t, len(f.List()), 0)
}

// Guards against content that runs again before it is known whether it crashed its upstream, against a lost report, and
// against a failure response that lets the caller retry ahead of the report.
func TestFailureHeldUntilReportIsKnown(t *testing.T) {
	m := crash.New(crash.DefaultPolicy())
	report := crash.ReportDeath{Report: poison.ReportDeath{Upstream: "u1", Incarnation: 1, Members: []poison.Fingerprint{fp(1), fp(2)}}}
	want := func(at time.Duration, ev crash.Event, actions ...crash.Action) {
		t.Helper()
		assert.DeepEqual(t, m.Step(start.Add(at), ev), actions)
	}
	for id, b := range []byte{1, 2} {
		want(0, crash.RunRequested{ID: uint64(id), Fingerprint: fp(b)}, crash.PermitRun{ID: uint64(id)})
		want(0, crash.Started{ID: uint64(id), Upstream: "u1", Incarnation: 1})
	}
	want(1, crash.ConnectionLost{ID: 0})
	want(1, crash.RunRequested{ID: 10, Fingerprint: fp(1)}) // waits for evidence
	want(2, crash.UpstreamDied{Upstream: "u1", Incarnation: 1}, report)
	want(3, crash.UpstreamDied{Upstream: "u1", Incarnation: 1}) // duplicate
	want(time.Second, crash.Tick{})
	want(time.Second+2, crash.Tick{}, crash.ReleaseFailure{ID: 0}, crash.ReleaseFailure{ID: 1}, report) // report not confirmed in time
	want(time.Second+3, crash.DeathRecorded{Upstream: "u1", Incarnation: 1, Version: 5})
	expires := start.Add(time.Hour)
	entry := poison.Entry{Fingerprint: fp(1), Status: poison.Suspect, Deaths: 1, Expires: expires}
	want(time.Second+4, crash.EntriesReceived{Version: 5, Entries: []poison.Entry{entry}}, crash.ClaimSolo{ID: 10, Fingerprint: fp(1)})
	want(time.Second+4, crash.SoloClaimAnswered{ID: 10, Fingerprint: fp(1)}) // another node runs it
	want(2*time.Second, crash.Tick{}, crash.ClaimSolo{ID: 10, Fingerprint: fp(1)})
	want(2*time.Second, crash.Cancelled{ID: 10})
	want(2*time.Second, crash.SoloClaimAnswered{ID: 10, Fingerprint: fp(1), Granted: true}, crash.EndSolo{ID: 10, Fingerprint: fp(1)})
	entry.Status = poison.Isolated
	want(2*time.Second, crash.EntriesReceived{Version: 6, Entries: []poison.Entry{entry}})
	block := crash.RejectRun{ID: 11, Fingerprint: fp(1), Status: poison.Isolated, RetryAfter: 100 * time.Millisecond}
	want(2*time.Second, crash.RunRequested{ID: 11, Fingerprint: fp(1)}, block)
	want(time.Hour, crash.RunRequested{ID: 12, Fingerprint: fp(1)}, crash.PermitRun{ID: 12})
}

// Guards against two suspects that share two deaths and then block each other forever, or run at the same time, which
// would leave the cause undecided.
func TestSuspectsOfSameDeathsRunInTurn(t *testing.T) {
	f := poison.NewRegistry(poison.DefaultRegistryPolicy())
	var v uint64
	for _, up := range []string{"u1", "u2"} {
		v = f.Apply(start, poison.ReportDeath{Upstream: up, Incarnation: 1, Members: []poison.Fingerprint{fp(1), fp(2)}}).Version
	}
	ask := func(b byte, up string) bool {
		return f.Apply(start.Add(time.Second), poison.ClaimSolo{Fingerprint: fp(b), Upstream: up, Node: "n"}).Granted
	}
	assert.Assert(t, ask(2, "u3"))
	assert.Assert(t, !ask(1, "u4"))
	f.Apply(start.Add(2*time.Second), poison.ReportSuccess{Fingerprint: fp(2), Version: v})
	assert.DeepEqual(t, statuses(f), map[byte]poison.Status{1: poison.Isolated})
}

// Guards against a run that moves from an upstream that has just died to the next one before the suspects are known.
func TestRefusedRunWaitsForDeathReport(t *testing.T) {
	m := crash.New(crash.DefaultPolicy())
	m.Step(start, crash.RunRequested{ID: 1, Fingerprint: fp(1)})
	assert.Equal(t, len(m.Step(start, crash.ConnectRefused{ID: 1})), 0)
	assert.Equal(t, len(m.Step(start.Add(50*time.Millisecond), crash.Tick{})), 0)
	assert.DeepEqual(t, m.Step(start.Add(100*time.Millisecond), crash.Tick{}), []crash.Action{crash.PermitRun{ID: 1}})
}

// Guards against content that reaches a third upstream through a node that was not refused a connection for it: the node
// knows that the two upstreams sampled for the content are dead, but not yet that the content was running there.
func TestUnprovenContentWaitsAfterDeath(t *testing.T) {
	m := crash.New(crash.DefaultPolicy())
	m.Step(start, crash.RunRequested{ID: 1, Fingerprint: fp(2)})
	m.Step(start, crash.Started{ID: 1, Upstream: "u3", Incarnation: 1})
	m.Step(start, crash.Ended{ID: 1, OK: true})
	m.Step(start, crash.UpstreamDied{Upstream: "u1", Incarnation: 1})
	at := func(d time.Duration) time.Time { return start.Add(d * time.Millisecond) }
	assert.Equal(t, len(m.Step(at(10), crash.RunRequested{ID: 2, Fingerprint: fp(1)})), 0)
	assert.DeepEqual(t, m.Step(at(10), crash.RunRequested{ID: 3, Fingerprint: fp(2)}), []crash.Action{crash.PermitRun{ID: 3, Proven: true}})
	m.Step(at(90), crash.UpstreamDied{Upstream: "u1", Incarnation: 1}) // duplicate
	assert.Equal(t, len(m.Step(at(99), crash.Tick{})), 0)
	assert.DeepEqual(t, m.Step(at(100), crash.Tick{}), []crash.Action{crash.PermitRun{ID: 2}})
}

// Guards against a run that was permitted while its upstreams were alive and reaches a third one because they died
// before the choice.
func TestDeathBeforeDispatchRevokesPermit(t *testing.T) {
	m := crash.New(crash.DefaultPolicy())
	m.Step(start, crash.RunRequested{ID: 1, Fingerprint: fp(1)})
	m.Step(start, crash.Started{ID: 1, Upstream: "u1", Incarnation: 1})
	m.Step(start, crash.RunRequested{ID: 2, Fingerprint: fp(1)})
	m.Step(start, crash.RunRequested{ID: 3, Fingerprint: fp(2)})
	assert.Assert(t, m.PermitValid(start, 2))
	m.Step(start, crash.ConnectionLost{ID: 1})
	assert.Assert(t, !m.PermitValid(start, 2) && m.PermitValid(start, 3))
	assert.Equal(t, len(m.Step(start, crash.Recheck{ID: 2})), 0)
	assert.Assert(t, m.AwaitingPermit(2))
	entry := poison.Entry{Fingerprint: fp(2), Status: poison.Isolated, Deaths: 2, Expires: start.Add(time.Hour)}
	m.Step(start, crash.EntriesReceived{Version: 1, Entries: []poison.Entry{entry}})
	assert.Assert(t, !m.PermitValid(start, 3))
	want := []crash.Action{crash.RejectRun{ID: 3, Fingerprint: fp(2), Status: poison.Isolated, RetryAfter: 100 * time.Millisecond}}
	assert.DeepEqual(t, m.Step(start, crash.Recheck{ID: 3}), want)
}

// Guards against content that silences one upstream after the other before the first lease expires.
func TestSilentUpstreamsAreLimitedToTwo(t *testing.T) {
	m := crash.New(crash.DefaultPolicy())
	for i, up := range []string{"u1", "u2"} {
		id, at := uint64(i), start.Add(time.Duration(i)*time.Second)
		assert.DeepEqual(t, m.Step(at, crash.RunRequested{ID: id, Fingerprint: fp(1)}), []crash.Action{crash.PermitRun{ID: id}})
		m.Step(at, crash.Started{ID: id, Upstream: up, Incarnation: 1})
		m.Step(at, crash.ConnectionLost{ID: id})
		assert.DeepEqual(t, m.Step(at.Add(time.Second), crash.Tick{}), []crash.Action{crash.ReleaseFailure{ID: id}})
	}
	assert.Equal(t, len(m.Step(start.Add(2*time.Second), crash.RunRequested{ID: 3, Fingerprint: fp(1)})), 0)
	m.Step(start.Add(3*time.Second), crash.UpstreamAlive{Upstream: "u1", Incarnation: 1})
	assert.DeepEqual(t, m.Step(start.Add(3*time.Second), crash.Tick{}), []crash.Action{crash.PermitRun{ID: 3}})
}

// Guards against fingerprints that depend on the caller, and against part boundaries that do not affect the hash.
func TestSum(t *testing.T) {
	assert.Equal(t, poison.Sum("p", "s", []byte("x")), poison.Sum("p", "s", []byte("x")))
	assert.Assert(t, poison.Sum("ab", "c", nil) != poison.Sum("a", "bc", nil))
	assert.Assert(t, poison.Sum("a", "b", []byte("c")) != poison.Sum("a", "bc", nil))
}
