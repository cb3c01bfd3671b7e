package stage

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

var t0 = time.Unix(1000, 0)

// chain returns a graph in which stage 0 is independent and stages 1 to 3 depend on each other in sequence.
func chain() []conf.Stage {
	return []conf.Stage{
		{Service: "board", ResultBytes: 100},
		{Service: "board", ResultBytes: 1},
		{Service: "yard", After: []int{1}},
		{Service: "portal", After: []int{2}},
	}
}

func newPlan(t *testing.T, counts ...int) *Plan {
	t.Helper()
	p, err := NewPlan("r", "key", chain(), counts)
	assert.NilError(t, err)
	return p
}

func names(items []Item) []string {
	var out []string
	for _, i := range items {
		out = append(out, fmt.Sprintf("%d.%d%v", i.Stage, i.Piece, i.Inputs))
	}
	return out
}

// Guards against pieces that run before all of their inputs exist, or run twice, and against engine inputs that lack a
// piece.
func TestPlanFollowsTheGraph(t *testing.T) {
	p := newPlan(t, 2, 1, 2, 1)
	assert.DeepEqual(t, names(p.Ready()), []string{"1.0[]"})
	assert.Equal(t, len(p.Ready()), 0)
	p.RecordResult(1, 0, "b", "x", "u")
	assert.DeepEqual(t, names(p.Ready()), []string{"2.0[b]", "2.1[b]"})
	p.RecordResult(2, 1, "c1", "x", "u")
	assert.Equal(t, len(p.Ready()), 0)
	freed := p.RecordResult(2, 0, "c0", "x", "u")
	assert.DeepEqual(t, freed, []Freed{{"board", "x", "b", "u"}})
	// Stage 0 starts late, so that its results do not occupy memory while the chain runs.
	assert.DeepEqual(t, names(p.Ready()), []string{"0.0[]", "0.1[]", "3.0[c0 c1]"})
	p.RecordResult(3, 0, "d", "y", "u")
	assert.Assert(t, !p.Finished())
	p.RecordResult(0, 0, "a0", "x", "u")
	p.RecordResult(0, 1, "a1", "x", "u")
	assert.Assert(t, p.Finished())
	assert.DeepEqual(t, p.Inputs(), []string{"a0", "a1", "d"})
	assert.Equal(t, len(p.TakeResults()), 3)
	assert.Equal(t, len(p.TakeResults()), 0)
}

// Guards against a stage without pieces that blocks the stages after it.
func TestPlanLeavesOutStagesWithoutPieces(t *testing.T) {
	p := newPlan(t, 0, 1, 1, 1)
	assert.DeepEqual(t, names(p.Ready()), []string{"1.0[]"})
	assert.Equal(t, p.Depth(1), 3)
	empty := newPlan(t, 0, 0, 0, 0)
	assert.Assert(t, empty.Finished())
	assert.Equal(t, len(empty.Inputs()), 0)
	_, err := NewPlan("r", "", chain(), []int{1})
	assert.ErrorContains(t, err, "4 stages")
}

// Guards against a request that fails because a result was lost with its upstream, and against endless recomputation.
func TestPlanMakesLostInputsAgain(t *testing.T) {
	p := newPlan(t, 0, 1, 1, 0)
	p.Ready()
	p.RecordResult(1, 0, "b", "x", "u")
	p.Ready()
	assert.Assert(t, p.RecordFailure(2, 0, ReasonGone))
	assert.DeepEqual(t, names(p.Ready()), []string{"1.0[]"})
	p.RecordResult(1, 0, "b2", "x", "u")
	assert.DeepEqual(t, names(p.Ready()), []string{"2.0[b2]"})
	assert.Assert(t, p.RecordFailure(2, 0, ReasonError))
	assert.Assert(t, p.RecordFailure(2, 0, ReasonLost))
	assert.Assert(t, !p.RecordFailure(2, 0, ReasonLost))
	assert.Assert(t, !newPlan(t, 0, 1, 0, 0).RecordFailure(1, 0, ReasonLate))
}

func newQueue() *Queue {
	q := NewQueue(conf.Pool{Slots: 1, Queue: 2, Batch: 4, CallTime: 150, ItemTime: 10, ResultMemoryMB: 0.001, HandleTTL: 4000})
	q.SetTargets([]Target{{ID: "u1", Address: "a1"}})
	return q
}

func job(request string, due time.Duration, bytes int64) Job {
	return Job{Item: Item{Request: request}, Bytes: bytes, Due: t0.Add(due), Deadline: t0.Add(10 * time.Second)}
}

func requests(jobs []Job) []string {
	var out []string
	for _, j := range jobs {
		out = append(out, j.Request)
	}
	return out
}

// Load pattern: more pieces than fit into one call, with different urgency. Guards against calls that are not filled,
// and against a late request that delays later ones.
func TestQueueFillsCallsByUrgency(t *testing.T) {
	q := newQueue()
	q.Add(t0, job("late", 10*time.Millisecond, 1))
	q.Add(t0, job("slow", 3*time.Second, 1))
	for i := range 4 {
		q.Add(t0, job(fmt.Sprint("urgent", i), time.Second+time.Duration(i), 1))
	}
	calls, _ := q.Next(t0)
	assert.Equal(t, len(calls), 1)
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"urgent0", "urgent1", "urgent2", "urgent3"})
	more, _ := q.Next(t0)
	assert.Equal(t, len(more), 0, "the upstream has one slot")
	outcomes := []Outcome{{Handle: "h0"}, {Handle: "h1"}, {Handle: "h2"}, {Handle: "h3"}}
	replies, _ := q.Done(t0, calls[0].ID, Answered, outcomes)
	assert.Equal(t, len(replies), 4)
	calls, _ = q.Next(t0)
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"slow", "late"})
}

// Load pattern: results that fill an upstream's memory. Guards against calls whose results do not fit, and against
// memory that is not reclaimed when results are freed or expire.
func TestQueueTracksUpstreamMemory(t *testing.T) {
	q := newQueue()
	q.Add(t0, job("a", time.Second, 900))
	q.Add(t0, job("b", time.Second, 900))
	q.Add(t0, job("small", 2*time.Second, 50))
	calls, _ := q.Next(t0)
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"a", "small"})
	q.Done(t0, calls[0].ID, Answered, []Outcome{{Handle: "ha"}, {Handle: "hs"}})
	none, _ := q.Next(t0)
	assert.Equal(t, len(none), 0)
	assert.DeepEqual(t, q.Free([]string{"ha"}), map[string][]string{"a1": {"ha"}})
	calls, _ = q.Next(t0)
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"b"})
	q.Done(t0, calls[0].ID, Answered, []Outcome{{Handle: "hb"}})
	q.Add(t0, job("c", 9*time.Second, 900))
	calls, _ = q.Next(t0.Add(5 * time.Second))
	assert.Equal(t, len(calls), 1, "the results have expired at the upstream")
}

// Guards against pieces that are lost with an upstream, and against a failing upstream that is called without a pause.
func TestFailedCallIsRetriedAtAnotherUpstream(t *testing.T) {
	q := newQueue()
	q.Add(t0, job("a", time.Second, 1))
	calls, _ := q.Next(t0)
	replies, _ := q.Done(t0, calls[0].ID, CallFailed, nil)
	assert.Equal(t, len(replies), 0)
	calls, _ = q.Next(t0)
	assert.Equal(t, len(calls), 0, "the upstream is backing off")
	q.SetTargets([]Target{{ID: "u1", Address: "a1"}, {ID: "u2", Address: "a2"}})
	calls, _ = q.Next(t0)
	assert.Equal(t, calls[0].Upstream, "u2")
	q.SetTargets([]Target{{ID: "u1", Avoid: true}})
	q.Add(t0, job("b", time.Second, 1))
	_, replies = q.Next(t0)
	assert.Equal(t, replies[0].Reason, ReasonRefused)
}

// Guards against results of cancelled requests that keep occupying an upstream's memory.
func TestCancelledResultsAreFreed(t *testing.T) {
	q := newQueue()
	q.Add(t0, job("a", time.Second, 1))
	calls, _ := q.Next(t0)
	q.Cancel("a")
	replies, unwanted := q.Done(t0, calls[0].ID, Answered, []Outcome{{Handle: "h"}})
	assert.Equal(t, len(replies), 0)
	assert.DeepEqual(t, unwanted, []string{"h"})
}

// Guards against a rejection by a full upstream that counts as a failed attempt.
func TestFullUpstreamIsAskedAgain(t *testing.T) {
	q := newQueue()
	q.Add(t0, job("a", time.Second, 1))
	for i := range 5 {
		now := t0.Add(time.Duration(i) * 50 * time.Millisecond)
		calls, _ := q.Next(now)
		assert.Equal(t, len(calls), 1, "round %d", i)
		replies, _ := q.Done(now, calls[0].ID, QueueFull, nil)
		assert.Equal(t, len(replies), 0)
	}
}

// Load pattern: upstreams with full memory and only approximate result sizes. Guards against calls that are retried at
// once and fail, and against requests that fail for lack of memory.
func TestNoRoomWaitsForAFreedResult(t *testing.T) {
	q := newQueue()
	q.Add(t0, job("a", time.Second, 500))
	calls, _ := q.Next(t0)
	q.Done(t0, calls[0].ID, Answered, []Outcome{{Handle: "ha"}})
	q.Add(t0, job("b", time.Second, 400))
	for i := range 5 {
		now := t0.Add(time.Duration(i) * memoryBackoff)
		calls, _ = q.Next(now)
		assert.Equal(t, len(calls), 1)
		replies, _ := q.Done(now, calls[0].ID, Answered, []Outcome{{Reason: ReasonNoRoom}})
		assert.Equal(t, len(replies), 0)
		none, _ := q.Next(now)
		assert.Equal(t, len(none), 0)
		if i == 0 {
			break
		}
	}
	q.Free([]string{"ha"})
	calls, _ = q.Next(t0)
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"b"})
}

// Load pattern: a request with several large results beside others. Guards against requests that each hold part of the
// memory and wait for the rest.
func TestARequestBeginsWithAllItsPieces(t *testing.T) {
	q := newQueue()
	for i := range 2 {
		j := job("two", time.Second, 400)
		j.Piece = i
		q.Add(t0, j)
	}
	q.Add(t0, job("one", 900*time.Millisecond, 400))
	calls, _ := q.Next(t0)
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"one"})
	q.Done(t0, calls[0].ID, Answered, []Outcome{{Handle: "h"}})
	q.Free([]string{"h"})
	calls, _ = q.Next(t0)
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"two", "two"})
}

// Load pattern: a burst of many times the capacity. Guards against requests that are held until their deadline and then
// dropped, and against starvation of less urgent ones.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	q := newQueue()
	for i := range 40 {
		j := job(fmt.Sprintf("r%02d", i), 0, 1)
		j.Rank = i % 2
		q.Add(t0, j)
	}
	calls, replies := q.Next(t0)
	assert.Equal(t, len(calls[0].Jobs), 4)
	assert.Equal(t, len(replies), 40-4-minQueuedRounds*4)
	for _, r := range replies {
		assert.Equal(t, r.Reason, ReasonRefused)
	}
}

// Load pattern: sustained overload with urgent work. Guards against starvation of a rank.
func TestLessUrgentWorkKeepsAPlace(t *testing.T) {
	q := newQueue()
	low := job("low", 2*time.Second, 1)
	low.Rank = 3
	q.Add(t0, low)
	for i := range 20 {
		q.Add(t0, job(fmt.Sprint("urgent", i), 3*time.Second, 1))
	}
	calls, _ := q.Next(t0)
	assert.Assert(t, slices.Contains(requests(calls[0].Jobs), "low"))
}

// Load pattern: idle upstreams in several data centres. Guards against large results that cross data centres
// needlessly, and against urgent work that waits although another data centre is idle.
func TestResultsStayNearTheirEngine(t *testing.T) {
	q := newQueue()
	q.SetTargets([]Target{{ID: "u1", Address: "a1", DataCentre: "x"}, {ID: "u2", Address: "a2", DataCentre: "y"}})
	patient, urgent := job("patient", 5*time.Second, 1), job("urgent", 300*time.Millisecond, 1)
	patient.Home, urgent.Home = "x", "x"
	q.Add(t0, job("first", 300*time.Millisecond, 1))
	q.Next(t0) // occupies u1
	q.Add(t0, patient)
	q.Add(t0, urgent)
	calls, _ := q.Next(t0)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Upstream, "u2")
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"urgent"})
}

// Load pattern: light load, with calls that are far from full. Guards against pieces that run outside their engine's
// data centre, and so read all inputs from another one, although an upstream near the engine is idle soon. Also guards
// against pieces that wait for it while calls are full, or longer than their request can afford.
func TestPiecesWaitForTheNextCallNearTheirEngineUnderLightLoad(t *testing.T) {
	const callTime = 166 * time.Millisecond // of one piece
	for _, c := range []struct {
		name   string
		filled float64
		due    time.Duration
		left   time.Duration // of the call near the engine
		away   bool
	}{
		{"calls are far from full", 0.2, 700 * time.Millisecond, 50 * time.Millisecond, false},
		{"calls are full", 0.9, 700 * time.Millisecond, 50 * time.Millisecond, true},
		{"its request has no time to spare", 0.2, 260 * time.Millisecond, 50 * time.Millisecond, true},
		{"the upstream near it is busy for long", 0.2, 700 * time.Millisecond, 160 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue()
			q.SetTargets([]Target{
				{ID: "u1", DataCentre: "x"},
				{ID: "u2", DataCentre: "y"},
				{ID: "u3", DataCentre: "z"},
				{ID: "u4", DataCentre: "w"},
				{ID: "u5", DataCentre: "v"},
			})
			for _, home := range []string{"x", "z", "w", "v"} {
				j := job("first"+home, 300*time.Millisecond, 1)
				j.Home = home
				q.Add(t0, j)
			}
			calls, _ := q.Next(t0)
			assert.Equal(t, len(calls), 4, "u2 is idle")
			q.fillRatio = c.filled
			now := t0.Add(callTime - c.left)
			near := job("near", c.due, 1)
			near.Home, near.Due = "x", now.Add(c.due)
			q.Add(now, near)
			calls, _ = q.Next(now)
			assert.Equal(t, len(calls) > 0, c.away)
		})
	}
}

// Load pattern: result memory limits throughput to less than full calls would allow. Guards against requests that are
// refused only once they are late.
func TestRefusalFollowsTheMeasuredRate(t *testing.T) {
	q := newQueue()
	now := t0
	for i := range 8 {
		q.Add(t0, job(fmt.Sprint("early", i), 20*time.Second, 1))
	}
	for range 2 { // a call of four pieces takes 1 s instead of 190 ms
		calls, _ := q.Next(now)
		assert.Equal(t, len(calls), 1)
		now = now.Add(time.Second)
		q.Add(t0, job(fmt.Sprint("more", now.Unix()), 20*time.Second, 1))
		q.Done(now, calls[0].ID, Answered, make([]Outcome, len(calls[0].Jobs)))
	}
	for i := range 16 {
		q.Add(t0, Job{Item: Item{Request: fmt.Sprint("new", i)}, Bytes: 1, Due: now.Add(1500 * time.Millisecond), Deadline: now.Add(9 * time.Second)})
	}
	_, replies := q.Next(now)
	assert.Assert(t, len(replies) > 0, "four pieces a second can be on time")
	for _, r := range replies {
		assert.Equal(t, r.Reason, ReasonRefused)
	}
}

// Load pattern: two nodes fill the memory of one upstream while its queue changes owners. Guards against a memory limit
// that shrinks with each rejection until the idle upstream gets no calls.
func TestRefusalsForRoomDoNotStarveAnUpstream(t *testing.T) {
	q := newQueue()
	now := t0
	for i := range 40 {
		q.Add(t0, job(fmt.Sprint("r", i), time.Hour, 100))
		calls, _ := q.Next(now)
		if len(calls) > 0 {
			q.Done(now, calls[0].ID, Answered, []Outcome{{Reason: ReasonNoRoom}, {Reason: ReasonNoRoom}, {Reason: ReasonNoRoom}, {Reason: ReasonNoRoom}}[:len(calls[0].Jobs)])
		}
		now = now.Add(memoryBackoff)
	}
	calls, _ := q.Next(now)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(calls[0].Jobs), 4)
}

// Load pattern: one upstream is five times slower although its health checks pass. Guards against pieces that wait for
// it while the others would complete them sooner, and against an upstream that is excluded for good.
func TestSlowUpstreamGetsWhatOthersCannotTake(t *testing.T) {
	q := newQueue()
	q.SetTargets([]Target{{ID: "u1", Address: "a1"}, {ID: "u2", Address: "a2"}})
	q.pool.Batch = 1
	q.Add(t0, job("a", time.Minute, 1))
	q.Add(t0, job("b", time.Minute, 1))
	calls, _ := q.Next(t0)
	assert.Equal(t, len(calls), 2)
	q.Done(t0.Add(160*time.Millisecond), calls[0].ID, Answered, []Outcome{{Handle: "x"}})
	now := t0.Add(time.Second)
	q.Done(now, calls[1].ID, Answered, []Outcome{{Handle: "y"}})
	q.pool.Batch = 4
	for i := range 8 {
		q.Add(t0, job(fmt.Sprint("r", i), time.Minute, 1))
	}
	calls, _ = q.Next(now)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Upstream, "u1")
	later, _ := q.Next(now.Add(slowRetryInterval + time.Millisecond))
	assert.Equal(t, len(later), 1)
	assert.Equal(t, later[0].Upstream, "u2")
}

// Load pattern: a later stage with a long backlog. Guards against pieces that wait until their inputs expire although
// the expiry is foreseeable.
func TestPiecesWhoseInputsWillExpireAreRefusedAtOnce(t *testing.T) {
	q := newQueue()
	q.pool.HandleTTL = 1000
	for i := range 60 {
		j := job(fmt.Sprint("r", i), time.Hour, 1)
		j.Inputs = []string{"h"}
		q.Add(t0, j)
	}
	_, replies := q.Next(t0) // 4 pieces in 190 ms: about 17 in 0.8 s
	assert.Assert(t, len(replies) > 35 && len(replies) < 45, "%d", len(replies))
}

// Load pattern: a later stage with a long backlog. Guards against calls for pieces whose inputs have expired, which
// displace other pieces and are recomputed repeatedly.
func TestPiecesWithExpiredInputsAreGivenUp(t *testing.T) {
	q := newQueue()
	old := job("old", time.Hour, 1)
	old.Inputs = []string{"h"}
	q.Add(t0, old)
	q.Add(t0, job("fresh", time.Hour, 1))
	calls, replies := q.Next(t0.Add(3500 * time.Millisecond))
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"fresh"})
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].Reason, ReasonLate)
}

// Load pattern: a burst in which requests become late between two stages. Guards against results that hold memory while
// their requests wait behind all less urgent ones, and against late requests that delay on-time requests of the same
// rank (incident SHORT).
func TestABegunRequestThatIsLateYieldsToItsRankOnly(t *testing.T) {
	q := newQueue()
	add := func(name string, rank int, due time.Duration, inputs ...string) {
		j := job(name, due, 1)
		j.Rank, j.Inputs = rank, inputs
		q.Add(t0, j)
	}
	add("late", 0, -time.Second)
	add("late begun", 0, -time.Second, "h")
	add("less urgent", 1, 5*time.Second)
	add("on time", 0, time.Second)
	calls, _ := q.Next(t0)
	assert.DeepEqual(t, requests(calls[0].Jobs), []string{"on time", "late begun", "less urgent", "late"})
}
