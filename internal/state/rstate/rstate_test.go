package rstate_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

const (
	t0   = int64(1_800_000_000_000)
	sec  = int64(1_000)
	hour = 3_600 * sec
)

// rig applies commands at consecutive indices and checks after each one that a snapshot restores to an equal state.
type rig struct {
	t     assert.TestingT
	s     *rstate.State
	index uint64
}

func newRig(t assert.TestingT, l rstate.Limits) *rig { return &rig{t: t, s: rstate.New(l)} }

func apply[R rstate.Result](r *rig, c rstate.Command) R {
	r.index++
	got := r.s.Apply(r.index, c)
	out, ok := got.(R)
	assert.Assert(r.t, ok, "%#v", got)
	return out
}

func (r *rig) reload() {
	data, err := r.s.Snapshot()
	assert.NilError(r.t, err)
	next, err := rstate.Restore(data)
	assert.NilError(r.t, err)
	before, _ := r.s.Digest()
	after, _ := next.Digest()
	assert.Equal(r.t, before, after)
	assert.Equal(r.t, r.s.Counts(), next.Counts())
	r.s = next
}

func book(name string, stages int) fleet.Pipeline {
	p := fleet.Pipeline{Name: name, DeadlineMS: 8000}
	for i := range stages {
		p.Stages = append(p.Stages, fleet.Stage{Name: fmt.Sprint("s", i), Kind: fleet.Call, NotRepeatable: i == 0})
	}
	return p
}

// finish adds what a configuration needs to be valid, and prints it.
func finish(c fleet.Config) []byte {
	c.FormatVersion, c.Ranks = fleet.FormatVersion, []fleet.Rank{{Name: "urgent", Share: 0.5}}
	c.Teams = append(c.Teams, fleet.Team{Name: "crew"})
	c.Pipelines = append(c.Pipelines, book("book", 1))
	return c.Print()
}

func config(limits fleet.Limits) []byte { return finish(fleet.Config{Limits: limits}) }

func put(expected uint64, id string, cfg []byte, at int64) rstate.PutConfig {
	return rstate.PutConfig{ExpectedRevision: expected, ChangeID: id, Operator: "op-" + id, Config: cfg, AtMS: at}
}

func hashOf(s string) []byte {
	h := sha256.Sum256([]byte(s))
	return h[:]
}

func claim(key, token string, at int64) rstate.Claim {
	return rstate.Claim{
		Team: "crew", Key: key, BodyHash: hashOf(key), Token: token, RequestID: "r-" + token, Node: "n-" + token,
		KeyCreatedMS: t0, DispatchDeadlineMS: at + 10*sec, AtMS: at,
	}
}

func settle(key, token string, o rstate.Outcome, at int64) rstate.Settle {
	return rstate.Settle{Team: "crew", Key: key, Token: token, Outcome: o, AtMS: at}
}

func abandon(key, token string, at int64) rstate.Abandon {
	return rstate.Abandon{Team: "crew", Key: key, Token: token, AtMS: at}
}

// Guards against a second winner of a race, a resend that is applied twice, and a change id that is forgotten by time or
// by count and then applied again.
func TestRacingAndResentChanges(t *testing.T) {
	r := newRig(t, rstate.Limits{MaxChangeIDs: 3})
	a, b := config(fleet.Limits{}), config(fleet.Limits{MaxInFlight: 7})
	first := apply[rstate.ConfigResult](r, put(0, "a", a, t0))
	assert.Equal(t, first.Status, rstate.ConfigAccepted)
	lost := apply[rstate.ConfigResult](r, put(0, "b", b, t0))
	assert.Equal(t, lost.Status, rstate.ConfigConflict)
	assert.Equal(t, lost.Winner, rstate.Winner{Operator: "op-a", ChangeID: "a", Revision: 1})
	r.reload()
	assert.Equal(t, apply[rstate.ConfigResult](r, put(0, "a", a, t0+sec)).Status, rstate.ConfigReplayed)
	assert.DeepEqual(t, apply[rstate.ConfigResult](r, put(0, "b", b, t0+sec)), lost)
	other := apply[rstate.ConfigResult](r, put(1, "a", b, t0+sec))
	assert.Equal(t, other.Status, rstate.ConfigInvalid, "the id of another change was accepted")
	for i := range 3 {
		apply[rstate.ConfigResult](r, put(9, fmt.Sprint("flood", i), b, t0+2*sec))
	}
	for _, at := range []int64{t0 + 2*sec, t0 + 30*hour} { // forgotten by count, then by time
		again := apply[rstate.ConfigResult](r, put(0, "a", a, at))
		assert.Equal(t, again.Status, rstate.ConfigConflict)
		assert.Equal(t, again.Winner.ChangeID, "a")
	}
	assert.Equal(t, r.s.Latest().Revision, uint64(1))
}

// Guards against a rollback that reuses a revision number or loses its audit fields, and an unbounded history.
func TestRollbackAndHistory(t *testing.T) {
	r := newRig(t, rstate.Limits{MaxRevisions: 4, MaxContents: 2})
	a, b := config(fleet.Limits{}), config(fleet.Limits{MaxInFlight: 7})
	for i, cfg := range [][]byte{a, b, a, b, a, b} {
		apply[rstate.ConfigResult](r, put(uint64(i), fmt.Sprint("c", i), cfg, t0+int64(i)))
	}
	r.reload()
	h := r.s.History(10)
	assert.Equal(t, len(h), 4)
	assert.Equal(t, h[0].Revision, uint64(6))
	assert.Equal(t, h[0].SameAs, uint64(4))
	assert.Equal(t, h[0].Operator, "op-c5")
	assert.Equal(t, string(h[1].Config), string(a))
	assert.Assert(t, h[2].Config == nil && h[3].Config == nil)
	assert.Assert(t, r.s.Revision(2) == nil)
}

// Guards against a configuration that fails its check, or is not in canonical form, coming into force.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	r := newRig(t, rstate.Limits{})
	noTeams := fleet.Config{FormatVersion: fleet.FormatVersion}
	for name, data := range map[string][]byte{
		"not JSON": []byte("{"), "fails Check": noTeams.Print(), "not canonical": append(config(fleet.Limits{}), '\n'),
	} {
		got := apply[rstate.ConfigResult](r, put(0, "x", data, t0))
		assert.Equal(t, got.Status, rstate.ConfigInvalid, name)
		assert.Assert(t, len(got.Problems) > 0, name)
	}
	assert.Assert(t, r.s.Latest() == nil)
}

// Guards against each wrong answer to a claim; the comment of a row says what would go wrong.
func TestClaimAnswers(t *testing.T) {
	late := claim("k", "b", t0+11*sec)
	reused := claim("k", "b", t0)
	reused.BodyHash = hashOf("other")
	recreated := claim("k", "b", t0)
	recreated.KeyCreatedMS++
	stolen, long := claim("k", "a", t0), claim("k", "a", t0)
	long.DispatchDeadlineMS = t0 + hour
	stolen.Node = "n-thief"
	ran, notStarted := settle("k", "a", rstate.OutcomeRan, t0), settle("k", "a", rstate.OutcomeNotStarted, t0)
	type cs = []rstate.Command
	for name, row := range map[string]struct {
		before cs
		claim  rstate.Claim
		want   rstate.ClaimStatus
	}{
		"resend of a lost answer":         {cs{claim("k", "a", t0)}, claim("k", "a", t0), rstate.ClaimGranted},
		"two holders":                     {cs{claim("k", "a", t0)}, claim("k", "b", t0), rstate.ClaimInProgress},
		"token used by another node":      {cs{claim("k", "a", t0)}, stolen, rstate.ClaimInProgress},
		"rerun after silence":             {cs{claim("k", "a", t0)}, late, rstate.ClaimUnknown},
		"answer of another body":          {cs{claim("k", "a", t0)}, reused, rstate.ClaimKeyReused},
		"key with two creation times":     {cs{claim("k", "a", t0)}, recreated, rstate.ClaimKeyReused},
		"grant after settling":            {cs{claim("k", "a", t0), ran}, claim("k", "a", t0), rstate.ClaimSettled},
		"delayed claim after abandoning":  {cs{abandon("k", "a", t0)}, claim("k", "a", t0), rstate.ClaimAbandoned},
		"tombstone forgotten too early":   {cs{abandon("k", "a", t0), abandon("j", "b", t0+hour/2)}, long, rstate.ClaimAbandoned},
		"key taken after abandoning":      {cs{claim("k", "a", t0), abandon("k", "a", t0)}, claim("k", "b", t0), rstate.ClaimGranted},
		"abandon by another token":        {cs{claim("k", "a", t0), abandon("k", "b", t0)}, claim("k", "c", t0), rstate.ClaimInProgress},
		"delayed claim after not_started": {cs{claim("k", "a", t0), notStarted}, claim("k", "a", t0), rstate.ClaimAbandoned},
		"key taken after not_started":     {cs{claim("k", "a", t0), notStarted}, claim("k", "b", t0), rstate.ClaimGranted},
		"key older than the retention":    {cs{claim("k", "a", t0), ran}, claim("k", "b", t0+24*hour), rstate.ClaimExpired},
		"key from the future":             {nil, claim("k", "a", t0-6*sec), rstate.ClaimRefused},
		"claim after its time":            {cs{claim("j", "x", t0+11*sec)}, claim("k", "a", t0), rstate.ClaimRefused},
		"ledger that drops keys":          {cs{claim("i", "x", t0), claim("j", "y", t0)}, claim("k", "z", t0), rstate.ClaimFull},
	} {
		r := newRig(t, rstate.Limits{MaxRecords: 2})
		for _, c := range row.before {
			r.index++
			r.s.Apply(r.index, c)
			r.reload()
		}
		assert.Equal(t, apply[rstate.ClaimResult](r, row.claim).Status, row.want, name)
	}
}

// Guards against a lost late outcome, a settle by a token that does not hold the key, and a changed outcome.
func TestSettle(t *testing.T) {
	r := newRig(t, rstate.Limits{})
	apply[rstate.ClaimResult](r, claim("k", "a", t0))
	assert.Equal(t, apply[rstate.ClaimResult](r, claim("k", "b", t0+hour)).Status, rstate.ClaimUnknown)
	assert.DeepEqual(t, r.s.UnknownKeys(2), []rstate.UnknownKey{{Team: "crew", Key: "k", RequestID: "r-a", Node: "n-a", DeadlineMS: t0 + 10*sec}})
	s := settle("k", "b", rstate.OutcomeRan, t0+hour)
	assert.Equal(t, apply[rstate.SettleResult](r, s).Status, rstate.SettleNotHolder)
	s.Token, s.Output = "a", []byte("booked")
	assert.Equal(t, apply[rstate.SettleResult](r, s).Status, rstate.SettleRecorded)
	r.reload()
	assert.Equal(t, apply[rstate.SettleResult](r, s).Status, rstate.SettleRecorded)
	s.Outcome = rstate.OutcomeFailed
	assert.Equal(t, apply[rstate.SettleResult](r, s).Status, rstate.SettleDiffers)
	assert.Equal(t, apply[rstate.AbandonResult](r, abandon("k", "a", t0+hour)).Status, rstate.AbandonSettled)
	got := apply[rstate.ClaimResult](r, claim("k", "c", t0+hour))
	assert.Equal(t, got.Status, rstate.ClaimSettled)
	assert.Equal(t, string(got.Output), "booked")
	assert.Equal(t, got.RequestID, "r-a")
}

// Guards against outputs growing past their bound, against a grant whose outcome could then not be recorded, and against a
// snapshot too large for the decoder's bounds on commands.
func TestLedgerIsBoundedAndRestored(t *testing.T) {
	const n = 1000
	r := newRig(t, rstate.Limits{MaxOutputBytes: n * rstate.MaxOutput})
	for i := range n {
		assert.Equal(t, apply[rstate.ClaimResult](r, claim(fmt.Sprint(i), fmt.Sprint(i), t0)).Status, rstate.ClaimGranted)
	}
	assert.Equal(t, apply[rstate.ClaimResult](r, claim("next", "next", t0)).Status, rstate.ClaimFull)
	for i := range n {
		s := settle(fmt.Sprint(i), fmt.Sprint(i), rstate.OutcomeRan, t0)
		s.Output = make([]byte, rstate.MaxOutput)
		assert.Equal(t, apply[rstate.SettleResult](r, s).Status, rstate.SettleRecorded)
	}
	r.reload()
	assert.Equal(t, r.s.Counts().OutputBytes, int64(n*rstate.MaxOutput))
	apply[rstate.ClaimResult](r, claim("next", "next", t0+24*hour))
	assert.Equal(t, r.s.Counts().OutputBytes, int64(0))
}

// Guards against a key that runs again because the retention was shortened, which drops its record, and then lengthened.
func TestLongerRetentionDoesNotReviveKeys(t *testing.T) {
	r := newRig(t, rstate.Limits{})
	apply[rstate.ClaimResult](r, claim("k", "a", t0))
	apply[rstate.SettleResult](r, settle("k", "a", rstate.OutcomeRan, t0))
	apply[rstate.ConfigResult](r, put(0, "a", config(fleet.Limits{RetentionMS: hour}), t0+sec))
	r.reload() // the shorter retention is in force after a restart
	apply[rstate.ConfigResult](r, put(1, "b", config(fleet.Limits{RetentionMS: 48 * hour}), t0+2*hour))
	assert.Equal(t, apply[rstate.ClaimResult](r, claim("k", "b", t0+2*hour)).Status, rstate.ClaimExpired)
}

func acquire(holder string, at int64) rstate.AcquireLease {
	return rstate.AcquireLease{Upstream: "u", Holder: holder, TTLMS: 30 * sec, MaxOrderMS: 60 * sec, AtMS: at}
}

func order(l rstate.Lease, id string, at int64) rstate.RecordOrder {
	return rstate.RecordOrder{
		Upstream: "u", Holder: l.Holder, Fence: l.Fence, OrderID: id, Order: upapi.OrderLoad, CreatedMS: at, AtMS: at,
	}
}

// Guards against two holders, a fence that does not grow, orders of a new holder while those of an earlier one may still
// run, also after a short lease in between, an old holder that renews or orders, and a needless wait for an upstream that
// checks fences.
func TestLeaseHandover(t *testing.T) {
	r := newRig(t, rstate.Limits{})
	a := apply[rstate.LeaseResult](r, acquire("a", t0)).Lease
	assert.DeepEqual(t, apply[rstate.LeaseResult](r, acquire("a", t0+sec)).Lease, a)
	assert.Equal(t, apply[rstate.LeaseResult](r, acquire("b", t0+29*sec)).Status, rstate.LeaseHeld)
	renew := rstate.RenewLease{Upstream: "u", Holder: "a", Fence: a.Fence, TTLMS: sec, AtMS: t0 + 30*sec}
	assert.Equal(t, apply[rstate.LeaseResult](r, renew).Status, rstate.LeaseLost)
	b := apply[rstate.LeaseResult](r, acquire("b", t0+30*sec)).Lease
	quiet := t0 + 30*sec + 5*sec + 60*sec
	assert.Equal(t, b.NotBeforeMS, quiet)
	assert.Assert(t, b.Fence > a.Fence)
	assert.Equal(t, apply[rstate.OrderResult](r, order(a, "o1", t0+31*sec)).Status, rstate.OrderStale)
	assert.Equal(t, apply[rstate.OrderResult](r, order(b, "o1", t0+31*sec)).Status, rstate.OrderNotYet)
	release := rstate.ReleaseLease{Upstream: "u", Holder: "b", Fence: b.Fence, AtMS: t0 + 32*sec}
	assert.Equal(t, apply[rstate.LeaseResult](r, release).Status, rstate.LeaseReleased)
	r.reload()
	c := acquire("c", t0+33*sec)
	c.ChecksFence, c.MaxOrderMS, c.TTLMS = true, 0, sec
	var got rstate.Lease
	for _, at := range []int64{t0 + 33*sec, t0 + 50*sec} { // the second one is after c and its drift
		c.AtMS = at
		got = apply[rstate.LeaseResult](r, c).Lease
		assert.Assert(t, got.NotBeforeMS >= quiet, "%d is before %d", got.NotBeforeMS, quiet)
	}
	c.Holder, c.AtMS, c.TTLMS = "d", t0+24*hour, 30*sec
	d := apply[rstate.LeaseResult](r, c).Lease // the record of c is forgotten
	assert.Assert(t, d.Fence > got.Fence)
	c.Holder, c.AtMS = "e", c.AtMS+30*sec
	assert.Equal(t, apply[rstate.LeaseResult](r, c).Lease.NotBeforeMS, c.AtMS)
}

// Guards against an order that is issued again after its id was forgotten, and against ids without bound.
func TestOrderMemoryIsBounded(t *testing.T) {
	r := newRig(t, rstate.Limits{MaxOrders: 1})
	a := apply[rstate.LeaseResult](r, acquire("a", t0)).Lease
	assert.Equal(t, apply[rstate.OrderResult](r, order(a, "o", t0)).Status, rstate.OrderIssued)
	assert.Equal(t, apply[rstate.OrderResult](r, order(a, "p", t0)).Status, rstate.OrderFull)
	o := order(apply[rstate.LeaseResult](r, acquire("b", t0+2*hour)).Lease, "o", t0)
	assert.Equal(t, apply[rstate.OrderResult](r, o).Status, rstate.OrderExpired)
}

// Guards against a weight store that is asked for more than its rate, by resends or by a download above the burst.
func TestDownloadsKeepTheRate(t *testing.T) {
	r := newRig(t, rstate.Limits{StoreBytesPerSec: 100, StoreBurstBytes: 1000})
	get := func(id string, bytes, at int64) rstate.DownloadResult {
		return apply[rstate.DownloadResult](r, rstate.GrantDownload{DownloadID: id, Upstream: "u", Bytes: bytes, AtMS: at})
	}
	assert.Assert(t, get("a", 1500, t0).Granted)
	assert.Assert(t, get("a", 1500, t0).Granted) // a resend takes nothing
	assert.Equal(t, get("b", 500, t0), rstate.DownloadResult{RetryAfterMS: 10 * sec})
	r.reload()
	assert.Assert(t, !get("c", 500, t0+10*sec-1).Granted)
	assert.Assert(t, get("d", 500, t0+10*sec).Granted)
}

// Guards against isolating a request that shared one upstream with the culprit, against counting one death twice, against
// an isolation that never ends or cannot be cleared, against limits of the configuration that are not in force, and
// against a solo grant that is lost with its answer.
func TestCrashSuspectsAreToldApart(t *testing.T) {
	r := newRig(t, rstate.Limits{})
	bad, neighbour := poison.Fingerprint{1}, poison.Fingerprint{2}
	do := func(at int64, c poison.Command) (last rstate.CrashResult) {
		for _, x := range rstate.CrashCommands(c, at) {
			last = apply[rstate.CrashResult](r, x)
		}
		return last
	}
	die := func(at int64, up string, members ...poison.Fingerprint) rstate.CrashResult {
		return do(at, poison.ReportDeath{Upstream: up, Incarnation: 1, Members: members})
	}
	die(t0, "u1", bad, neighbour)
	assert.Equal(t, len(die(t0, "u1", bad).Changed), 0, "one death was counted twice")
	solo := poison.ClaimSolo{Fingerprint: bad, Upstream: "u2", Node: "n", Run: 7}
	assert.Assert(t, do(t0+500, solo).Granted)
	r.reload()
	assert.Assert(t, do(t0+500, solo).Granted, "the resend of a granted claim was refused")
	do(t0+500, poison.EndSolo{Fingerprint: bad, Node: "n", Run: 6})
	solo.Run = 8
	assert.Assert(t, !do(t0+500, solo).Granted, "the end of an earlier run ended a later one")
	die(t0+sec, "u2", bad)
	r.reload()
	assert.Assert(t, !r.s.Isolated(bad), "isolated before the reports of other nodes can have come")
	do(t0+2*sec, poison.Expire{})
	assert.Assert(t, r.s.Isolated(bad))
	assert.Assert(t, !r.s.Isolated(neighbour))
	assert.DeepEqual(t, r.s.Suspects()[0], poison.Entry{
		Fingerprint: bad, Status: poison.Isolated, Deaths: 2, Expires: time.UnixMilli(t0 + sec + hour).UTC(),
	})
	assert.Equal(t, r.s.Counts().Isolated, 1)
	assert.Equal(t, r.s.Counts().Suspects, 1)
	clear := rstate.ClearQuarantine{Fingerprint: bad.String(), Operator: "op", AtMS: t0 + sec}
	assert.Assert(t, apply[rstate.ClearResult](r, clear).Cleared)
	assert.Assert(t, !apply[rstate.ClearResult](r, clear).Cleared)
	assert.Assert(t, !r.s.Isolated(bad))
	die(t0+2*sec, "u3", bad)
	die(t0+2*sec, "u4", bad)
	do(t0+4*sec, poison.Expire{})
	assert.Assert(t, r.s.Isolated(bad))
	do(t0+2*sec+hour, poison.Expire{})
	assert.Equal(t, len(r.s.Suspects()), 0)

	apply[rstate.ConfigResult](r, put(0, "c1", config(fleet.Limits{MaxUpstreamDeaths: 3, QuarantineMS: 10 * sec}), t0+2*hour))
	r.reload()
	for i, up := range []string{"u5", "u6", "u7"} {
		die(t0+2*hour, up, bad)
		do(t0+2*hour+2*sec, poison.Expire{})
		assert.Equal(t, r.s.Isolated(bad), i == 2, up)
	}
	do(t0+2*hour+20*sec, poison.Expire{})
	assert.Equal(t, len(r.s.Suspects()), 0)
}

// Guards against a result that its receiver cannot decode, and against a state that grows with each report.
func TestCrashReportsAreBounded(t *testing.T) {
	l := rstate.NewLog(rstate.Limits{})
	index, list := uint64(0), make([]poison.Fingerprint, 600)
	for d := range uint64(200) {
		for i := range list {
			binary.LittleEndian.PutUint64(list[i][:], d<<16+uint64(i)+1)
		}
		for _, c := range rstate.CrashCommands(poison.ReportDeath{Upstream: "u", Incarnation: d, Members: list}, t0) {
			data, err := rstate.EncodeCommand(c)
			assert.NilError(t, err)
			index++
			r, err := rstate.DecodeResult(l.Apply(index, data))
			assert.NilError(t, err)
			assert.Assert(t, len(r.(rstate.CrashResult).Changed) < 64)
		}
	}
	data, err := l.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 2<<20, "%d bytes", len(data))
	assert.NilError(t, l.Restore(data))
	again, err := l.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, again))
}

// Guards against a state whose time runs backwards with the clock of another sender, and against an index that is
// applied twice after a restart.
func TestTimeAndIndexOnlyIncrease(t *testing.T) {
	r := newRig(t, rstate.Limits{})
	apply[rstate.ClaimResult](r, claim("k", "a", t0+hour))
	apply[rstate.ClaimResult](r, claim("j", "b", t0))
	assert.Equal(t, r.s.NowMS(), t0+hour)
	assert.Equal(t, r.s.Apply(r.index, abandon("k", "a", t0+2*hour)).(rstate.Refused).Code, rstate.RefusedApplied)
	assert.Equal(t, r.s.NowMS(), t0+hour)
	_, ok := r.s.Key("crew", "k")
	assert.Assert(t, ok)
}
