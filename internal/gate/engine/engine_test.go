package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/stage"
)

var t0 = time.Unix(1000, 0)

func newPlacer(n int) *Placer {
	p := New()
	var list []Target
	for i := range n {
		list = append(list, Target{ID: fmt.Sprint("e", i), Slots: 64, CacheTokens: 100_000})
	}
	p.SetTargets(list)
	return p
}

func review(doc string, own int) Request {
	return Request{Parts: []Part{{doc, 13_000}, {doc + "-own", own}}, Prompt: 13_000 + own, Output: 100}
}

func place(t *testing.T, p *Placer, r Request) (uint64, string) {
	t.Helper()
	seat, ok := p.Place(t0, r)
	assert.Assert(t, ok)
	return seat.Ticket, seat.ID
}

// Load pattern: long prompts beside many chats whose events must not pause. Guards against placing a long prompt where
// most streams run because no prompts are waiting to be read there.
func TestALongPromptAvoidsEnginesWithManyStreams(t *testing.T) {
	p := newPlacer(2)
	for i := range 20 {
		ticket, id := place(t, p, Request{Parts: []Part{{fmt.Sprint("chat", i), 100}}, Prompt: 100, Output: 400, Rank: 2, Exclude: []string{"e1"}})
		assert.Equal(t, id, "e0")
		p.FirstEvent(t0, ticket)
	}
	_, id := place(t, p, Request{Parts: []Part{{"other", 2000}}, Prompt: 2000, Exclude: []string{"e0"}})
	assert.Equal(t, id, "e1")
	_, id = place(t, p, review("long", 3000))
	assert.Equal(t, id, "e1", "twenty streams would pause for 16,000 tokens")
	_, id = place(t, p, Request{Parts: []Part{{"short", 50}}, Prompt: 50})
	assert.Equal(t, id, "e0", "a short prompt hardly delays them")
}

const (
	gap           = 300 * time.Millisecond
	tokenReadTime = 25 * time.Microsecond // reading time
)

// trainedPlacer returns a placer that has measured reading times.
func trainedPlacer(t *testing.T, engines int) *Placer {
	t.Helper()
	p := newPlacer(engines)
	for i := range 20 {
		r := review(fmt.Sprint("learn", i), 500*i)
		r.Gap = gap
		ticket, _ := place(t, p, r)
		p.FirstEvent(t0.Add(time.Duration(13_000+500*i)*tokenReadTime), ticket)
		p.End(t0, ticket, Served)
	}
	return p
}

// startChats places streaming requests with short prompts and returns the number at each engine.
func startChats(t *testing.T, p *Placer, n int) map[string]int {
	t.Helper()
	at := map[string]int{}
	for i := range n {
		ticket, id := place(t, p, Request{Parts: []Part{{fmt.Sprint("chat", i), 700}}, Prompt: 700, Output: 300, Rank: 2, Gap: gap})
		at[id]++
		p.FirstEvent(t0.Add(700*tokenReadTime), ticket)
	}
	return at
}

// Load pattern: long digests beside chats, at light load. Guards against a prompt whose reading makes the streams of
// its engine late, because no other prompt waits there.
func TestAPromptThatIsReadForLongerThanAPauseAvoidsStreams(t *testing.T) {
	p := trainedPlacer(t, 2)
	for busy := range startChats(t, p, 1) {
		place(t, p, Request{Parts: []Part{{"waits", 4000}}, Prompt: 4000, Exclude: []string{busy}})
		_, id := place(t, p, Request{Parts: []Part{{"brief", 1500}}, Prompt: 1500, Gap: gap})
		assert.Equal(t, id, busy, "a pause of 37 ms is acceptable")
		_, id = place(t, p, Request{Parts: []Part{{"digest", 12_500}}, Prompt: 12_500, Gap: gap})
		assert.Assert(t, id != busy, "the chat would pause for 312 ms with a permitted gap of 300 ms")
	}
}

// Load pattern: chats beside long digests, at light load. Guards against spreading chats over all engines, so that a
// long prompt makes streams late wherever it is placed.
func TestChatsShareAFewEngines(t *testing.T) {
	p := trainedPlacer(t, 8)
	at := startChats(t, p, 16)
	assert.Assert(t, len(at) <= 4, "%v", at)
}

// Guards against a chat that joins streams at an engine where a long prompt is about to arrive.
func TestAChatAvoidsAPromptWhoseStagesStillRun(t *testing.T) {
	p := trainedPlacer(t, 2)
	_, id := place(t, p, Request{
		Parts: []Part{{"digest", 12_500}}, Prompt: 12_500, Rank: 3, Gap: gap, PendingStages: []PendingStage{{Service: "s", Pieces: 1}},
	})
	place(t, p, Request{Parts: []Part{{"waits", 1500}}, Prompt: 1500, Rank: 2, Exclude: []string{id}})
	assert.Equal(t, startChats(t, p, 1)[id], 0)
}

// Load pattern: consecutive requests about a few long documents. Guards against reading each document at every engine.
func TestRequestsReturnToTheEngineThatReadTheirDocument(t *testing.T) {
	p := newPlacer(3)
	home := map[string]string{}
	for range 4 {
		for i := range 9 {
			doc := fmt.Sprint("doc", i)
			ticket, id := place(t, p, review(doc, 100))
			if home[doc] == "" {
				home[doc] = id
			}
			assert.Equal(t, id, home[doc])
			p.FirstEvent(t0, ticket)
			p.End(t0, ticket, Served)
		}
	}
}

// Load pattern: many users ask about one document at once. Guards against sending all of them to one engine while the
// others are idle.
func TestABurstAboutOneDocumentSpreads(t *testing.T) {
	p := newPlacer(3)
	count := map[string]int{}
	for i := range 12 {
		r := review("doc", 4000)
		r.Parts[1].ID = fmt.Sprint("own", i)
		_, id := place(t, p, r)
		count[id]++
	}
	assert.Equal(t, len(count), 3, "%v", count)
}

// Load pattern: one very long prompt among short ones. Guards against short requests that wait behind it.
func TestShortRequestsAvoidALongPrompt(t *testing.T) {
	p := newPlacer(2)
	ticket, long := place(t, p, Request{Prompt: 50_000, Parts: []Part{{"x", 50_000}}})
	for range 5 {
		_, id := place(t, p, Request{Prompt: 1000, Parts: []Part{{"y", 1000}}})
		assert.Assert(t, id != long)
	}
	p.FirstEvent(t0, ticket)
	_, id := place(t, p, Request{Prompt: 1000, Parts: []Part{{"z", 1000}}})
	assert.Equal(t, id, long, "it has read the prompt")
}

// Guards against engines that fail but still get requests because they cached the documents, and against a service
// without available engines after each engine failed once.
func TestFailedEngineIsAvoided(t *testing.T) {
	p := newPlacer(2)
	ticket, first := place(t, p, review("doc", 10))
	p.End(t0, ticket, Failed)
	for range 20 {
		ticket, id := place(t, p, review("doc", 10))
		assert.Assert(t, id != first)
		p.End(t0, ticket, Served)
	}
	other := review("doc", 10)
	other.Exclude = []string{"e0", "e1"}
	_, ok := p.Place(t0, other)
	assert.Assert(t, !ok)
	other.Exclude = []string{"e0"}
	_, id := place(t, p, other)
	assert.Equal(t, id, "e1")
}

// Guards against tickets of a dead node that count as load forever.
func TestTicketsExpire(t *testing.T) {
	p := newPlacer(1)
	place(t, p, review("doc", 10))
	_, ok := p.Place(t0.Add(time.Minute), review("doc", 10))
	assert.Assert(t, ok)
	assert.Equal(t, len(p.tickets), 1)
}

// Guards against counting parts as cached that the engine has long evicted.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	p := newPlacer(1)
	for i := range 20 {
		ticket, _ := place(t, p, review(fmt.Sprint("doc", i), 10))
		p.FirstEvent(t0, ticket)
		p.End(t0, ticket, Served)
	}
	e := p.targets["e0"]
	assert.Assert(t, e.cachedTokens <= 80_000, "%d", e.cachedTokens)
	r := review("doc0", 10)
	assert.Equal(t, e.unreadTokens(r, r.chains()), 13_010)
}

// Load pattern: a burst of requests whose later stage is the bottleneck. Guards against admitting requests because the
// burst has not reached that stage's queue yet.
func TestForecastCountsRequestsThatHaveNotReachedAStage(t *testing.T) {
	p := newPlacer(3)
	p.SetPools(map[string]Pool{
		"encode": {Upstreams: 3, Batch: 10, Call: 100 * time.Millisecond},
		"rerank": {Upstreams: 1, Batch: 10, Call: 100 * time.Millisecond},
	})
	r := Request{Prompt: 10, Rank: 1, Due: time.Minute, PendingStages: []PendingStage{{Service: "encode", Pieces: 1}, {Service: "rerank", After: []int{0}, Pieces: 10}}}
	assert.DeepEqual(t, p.Forecast(t0, r, false), Forecast{Total: 200 * time.Millisecond, Full: 100 * time.Millisecond})
	var tickets []uint64
	for range 6 {
		ticket, _ := place(t, p, r)
		tickets = append(tickets, ticket)
	}
	assert.Equal(t, p.Forecast(t0, r, false).Wait, 500*time.Millisecond) // 20 ms for the first stage, and 600-120 ms for the second
	urgent := r
	urgent.Rank = 0
	assert.Equal(t, p.Forecast(t0, urgent, false).Wait, time.Duration(0), "less urgent pieces yield")
	hasty := r
	hasty.Due = time.Second
	assert.Equal(t, p.Forecast(t0, hasty, false).Wait, time.Duration(0), "pieces that are due later yield")
	p.StageDone(t0, tickets[0], 0)
	p.StageDone(t0, tickets[0], 1)
	p.StageDone(t0, tickets[0], 1)
	p.End(t0, tickets[0], Served)
	p.End(t0, tickets[1], Cancelled)
	assert.Equal(t, p.processingTime("rerank", p.piecesAhead(t0, stage.UrgencyClass(1, false, false), 0, t0.Add(time.Hour))["rerank"]), 400*time.Millisecond)
	for _, ticket := range tickets {
		p.End(t0, ticket, Cancelled)
	}
	assert.Equal(t, p.Forecast(t0, r, false).Wait, time.Duration(0))
	r.PendingStages[0].Service = "none"
	assert.Assert(t, p.Forecast(t0, r, false).Total > time.Minute, "a service without upstreams")
}

// Load pattern: a later stage is the bottleneck. Guards against results that expire in its queue.
func TestRequestsAreHeldBeforeTheirFirstStage(t *testing.T) {
	p := newPlacer(1)
	p.SetPools(map[string]Pool{
		"encode": {Upstreams: 3, Batch: 10, Call: 100 * time.Millisecond},
		"rerank": {Upstreams: 1, Batch: 10, Call: 100 * time.Millisecond},
	})
	r := Request{Due: time.Minute, PendingStages: []PendingStage{{Service: "encode", Pieces: 1}, {Service: "rerank", After: []int{0}, Pieces: 10}}}
	assert.Equal(t, p.Forecast(t0, r, false).Hold, time.Duration(0))
	for range 20 {
		p.Place(t0, r)
	}
	f := p.Forecast(t0, r, false)
	assert.Assert(t, f.Hold > 1500*time.Millisecond && f.Hold < 2*time.Second, "%v", f.Hold)
}

// Load pattern: refused callers retry in a burst. Guards against retries whose target has already passed and which
// displace new requests that can still be on time (incident SHORT).
func TestTheTargetOfAReturningCallerCountsFromItsFirstAttempt(t *testing.T) {
	p := newPlacer(1)
	r := review("doc", 10)
	r.Due = 1500 * time.Millisecond
	seat, _ := p.Place(t0, r)
	p.End(t0, seat.Ticket, Cancelled)
	again, _ := p.Place(t0.Add(time.Second), r)
	assert.Equal(t, again.Due, t0.Add(1500*time.Millisecond))
	p.End(t0.Add(time.Second), again.Ticket, Full)
	late, _ := p.Place(t0.Add(2*time.Second), r)
	assert.Equal(t, late.Due, t0.Add(1500*time.Millisecond))
	assert.Assert(t, late.Forecast.Late)
	other := review("doc", 11)
	other.Parts[1].ID, other.Due = "another", r.Due
	fresh, _ := p.Place(t0.Add(2*time.Second), other)
	assert.Equal(t, fresh.Due, t0.Add(3500*time.Millisecond), "the shared part does not identify a request")
	p.End(t0.Add(2*time.Second), late.Ticket, Served)
	much, _ := p.Place(t0.Add(2*time.Second+retryWindow), r)
	assert.Equal(t, much.Due, t0.Add(2*time.Second+retryWindow+r.Due), "the entry expires")
}
