package stgsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// region is half of a large deployment: an urgent kind with three stages in a row, a less urgent one with short chains, and the
// least urgent one with the same three stages.
func region() Options {
	pool := func(batch int, item conf.MS, room float64) conf.Pool {
		return conf.Pool{Slots: 1, Queue: 2, Batch: batch, CallTime: 150, ItemTime: item, ResultMemoryMB: room, HandleTTL: 4000}
	}
	board := func(after ...int) conf.Stage { return conf.Stage{Service: "board", After: after, ResultBytes: 8000} }
	return Options{
		Services: []Service{
			{"board", 7, pool(8, 16, 51)},
			{"yard", 7, pool(18, 7.1, 3.3)},
			{"portal", 9, pool(38, 3.4, 0.68)},
		},
		Kinds: []Kind{
			{
				Name: "review", Rank: 0, PerSecond: 23, Worth: 5.5, Late: 0.33, Target: 1500 * time.Millisecond, Deadline: 12 * time.Second,
				Things: 523, Shared: 13300, Own: 3720,
				Stages: []Stage{
					{Stage: conf.Stage{Service: "board", ResultBytes: 3_000_000}, Share: 0.4, Pieces: 1.5},
					{Stage: board(), Work: 0.3},
					{Stage: conf.Stage{Service: "yard", After: []int{1}, ResultBytes: 60_000}, Pieces: 6},
					{Stage: conf.Stage{Service: "portal", After: []int{2}, ResultBytes: 6000}, Pieces: 16},
				},
			},
			{
				Name: "check", Rank: 2, PerSecond: 18, Worth: 0.52, Late: 0.12, Target: 5 * time.Second, Deadline: 8 * time.Second,
				Things: 276, Shared: 6300, Own: 2890,
				Stages: []Stage{
					{Stage: board(), Work: 0.3},
					{Stage: conf.Stage{Service: "yard", After: []int{0}, ResultBytes: 60_000}, Pieces: 6},
					{Stage: conf.Stage{Service: "portal", After: []int{1}, ResultBytes: 6000}, Pieces: 16},
				},
			},
			{
				Name: "hint", Rank: 1, PerSecond: 39, Worth: 0.19, Late: 0.028, Target: 1500 * time.Millisecond, Deadline: 10 * time.Second,
				Things: 1341, Shared: 350, Own: 1110,
				Stages: []Stage{{Stage: conf.Stage{Service: "board", ResultBytes: 3_000_000}, Share: 0.7, Pieces: 2.5}},
			},
		},
		Engines: 30, Length: 20 * time.Second,
	}
}

// shallow is half of another large deployment: the urgent kind has one stage, and the least urgent kind has long chains and is
// most of the traffic.
func shallow() Options {
	pool := func(batch int, item conf.MS, room float64) conf.Pool {
		return conf.Pool{Slots: 1, Queue: 2, Batch: batch, CallTime: 150, ItemTime: item, ResultMemoryMB: room, HandleTTL: 4000}
	}
	board := conf.Stage{Service: "board", ResultBytes: 8000}
	big := conf.Stage{Service: "board", ResultBytes: 3_000_000}
	yard := func(after int) Stage {
		return Stage{Stage: conf.Stage{Service: "yard", After: []int{after}, ResultBytes: 60_000}, Pieces: 8}
	}
	portal := func(after int) Stage {
		return Stage{Stage: conf.Stage{Service: "portal", After: []int{after}, ResultBytes: 6000}, Pieces: 16}
	}
	return Options{
		Services: []Service{{"board", 8, pool(10, 13, 52)}, {"yard", 7, pool(48, 2.7, 8.5)}, {"portal", 9, pool(80, 1.6, 1.4)}},
		Kinds: []Kind{
			{
				Name: "review", Rank: 0, PerSecond: 38, Worth: 5.3, Late: 0.32, Target: time.Second, Deadline: 10 * time.Second,
				Things: 784, Shared: 13300, Own: 3720, Stages: []Stage{{Stage: big, Share: 0.7, Pieces: 2.5}},
			},
			{
				Name: "check", Rank: 1, PerSecond: 30, Worth: 1, Late: 0.15, Target: 2500 * time.Millisecond, Deadline: 8 * time.Second,
				Things: 414, Shared: 6300, Own: 2890, Stages: []Stage{{Stage: board, Work: 0.3}, yard(0), portal(1)},
			},
			{
				Name: "hint", Rank: 2, PerSecond: 65, Worth: 0.09, Late: 0.02, Target: 5 * time.Second, Deadline: 12 * time.Second,
				Things: 2012, Shared: 350, Own: 1110,
				Stages: []Stage{{Stage: big, Share: 0.4, Pieces: 1.5}, {Stage: board, Work: 0.3}, yard(1), portal(2)},
			},
		},
		Engines: 45, Length: 20 * time.Second,
	}
}

// share is the mean part of its worth that the most urgent kind earns over some seeds.
func share(o Options) float64 {
	const seeds = 2
	sum := 0.0
	for seed := range seeds {
		o.Seed = uint64(seed + 1)
		sum += Run(o).Kinds["review"].Share()
	}
	return sum / seeds
}

// Load pattern: a flood of the least urgent kind, which passes the same stages. Guards against an order that does not tell the
// kinds apart, so that the flood makes the most urgent kind late (incident SHORT).
func TestAFloodOfTheLeastUrgentKindDoesNotDelayTheMostUrgent(t *testing.T) {
	const kept = 0.95 // part of what is earned without the flood
	flood := region()
	flood.Bursts = []Burst{{"check", 4 * time.Second, 6 * time.Second, 5}}
	calm, flooded := share(region()), share(flood)
	assert.Assert(t, flooded >= kept*calm, "%.3f of the worth in the flood, %.3f in calm", flooded, calm)
	equal := flood
	equal.Kinds = region().Kinds
	for i := range equal.Kinds {
		equal.Kinds[i].Rank = 1
	}
	assert.Assert(t, share(equal) < kept*calm, "with equal ranks the flood must show, or this test says nothing")
}

// Load pattern: a burst of the most urgent kind, alone and beside one of the least urgent kind, that stays below what full calls
// make. Guards against queues that are let grow until each request is late by a little (incident SHORT).
func TestABurstOfTheUrgentKindStaysUseful(t *testing.T) {
	const useful = 0.7 // part of the worth owed, at 0.9 of the capacity for some seconds
	own := region()
	own.Bursts = []Burst{{"review", 4 * time.Second, 5 * time.Second, 2.96}}
	both := region()
	both.Bursts = []Burst{{"review", 4 * time.Second, 6 * time.Second, 2.96}, {"check", 2 * time.Second, 6 * time.Second, 2.2}}
	for name, o := range map[string]Options{"alone": own, "beside another": both} {
		got := share(o)
		assert.Assert(t, got >= useful, "%s: %.3f", name, got)
	}
}

// Load pattern: bursts of the most and of the least urgent kind, which is most of the traffic. Guards against a cure for one kind
// that starves the other.
func TestTheLeastUrgentKindIsNotStarved(t *testing.T) {
	const least = 0.5 // part of the worth owed
	o := shallow()
	o.Bursts = []Burst{{"review", 4 * time.Second, 6 * time.Second, 3.1}, {"hint", 3 * time.Second, 6 * time.Second, 2.1}}
	o.Seed = 1
	result := Run(o)
	for name, kind := range result.Kinds {
		assert.Assert(t, kind.Share() >= least, "%s: %.3f", name, kind.Share())
	}
}

// Load pattern: the nodes that keep the queues change in a burst. Guards against pieces that are lost with them and against an
// account of the memory that stays wrong: what is earned afterwards must recover.
func TestQueuesThatChangeOwnersRecover(t *testing.T) {
	const kept = 0.75 // part of what is earned without the change
	calm := region()
	calm.Bursts = []Burst{{"review", 4 * time.Second, 4 * time.Second, 2}}
	change := calm
	change.NewOwners = []time.Duration{6 * time.Second}
	before, after := share(calm), share(change)
	assert.Assert(t, after >= kept*before, "%.3f with the change, %.3f without", after, before)
}

// monitors is half of a small deployment whose engines read slowly: chats of many events, which pass three stages, beside long digests,
// which pass one.
func monitors() Options {
	const gap = 300 * time.Millisecond
	pool := func(batch int, item conf.MS, room float64) conf.Pool {
		return conf.Pool{Slots: 1, Queue: 2, Batch: batch, CallTime: 200, ItemTime: item, ResultMemoryMB: room, HandleTTL: 4000}
	}
	chain := []Stage{
		{Stage: conf.Stage{Service: "registry", ResultBytes: 8000}, Work: 0.3},
		{Stage: conf.Stage{Service: "notify", After: []int{0}, ResultBytes: 60_000}, Pieces: 8},
		{Stage: conf.Stage{Service: "payroll", After: []int{1}, ResultBytes: 6000}, Pieces: 16},
	}
	return Options{
		Services: []Service{{"registry", 3, pool(10, 17, 22)}, {"notify", 3, pool(30, 5.7, 4.1)}, {"payroll", 3, pool(52, 3.3, 0.68)}},
		Kinds: []Kind{
			{
				Name: "digest", Rank: 0, PerSecond: 7.2, Worth: 3.7, Late: 0.56, Target: 1400 * time.Millisecond, Deadline: 6 * time.Second,
				Things: 70, Shared: 6300, Own: 2890, Events: 17, Gap: gap,
				Stages: []Stage{{Stage: conf.Stage{Service: "registry", ResultBytes: 1_000_000}, Pieces: 2}},
			},
			{
				Name: "brief", Rank: 1, PerSecond: 5.7, Worth: 1.8, Late: 0.27, Target: 2 * time.Second, Deadline: 6 * time.Second,
				Things: 300, Shared: 568, Own: 1800, Events: 8, Gap: gap, Stages: chain,
			},
			{
				Name: "chat", Rank: 2, PerSecond: 9.7, Worth: 0.39, Late: 0.058, Target: 1900 * time.Millisecond, Deadline: 20 * time.Second,
				Things: 500, Shared: 172, Own: 543, Events: 93, Gap: gap, Stages: chain,
			},
		},
		Engines: 9, Length: 20 * time.Second, Rate: 38_400,
	}
}

// Load pattern: bursts of long digests and of briefs beside chats, whose events must not pause. Guards against prompts that are read
// where they make streams late, and against a cure that costs the others more than it gives.
func TestBurstsOfDigestsDoNotMakeChatsLate(t *testing.T) {
	const (
		seeds = 10
		kept  = 0.99 // part of the worth of a placer that does not know which pauses are on time
	)
	type outcome struct {
		worth, chats float64
		paused       int
	}
	play := func(hide bool) (out outcome) {
		for seed := range uint64(seeds) {
			o := monitors()
			o.Seed, o.HideGaps = seed+1, hide
			o.Bursts = []Burst{{"digest", 3 * time.Second, 5 * time.Second, 2}, {"brief", 12 * time.Second, 5 * time.Second, 2}}
			result := Run(o)
			out.worth += result.Worth() / seeds
			out.chats += result.Kinds["chat"].Share() / seeds
			for _, kind := range result.Kinds {
				out.paused += kind.Paused
			}
		}
		return out
	}
	unknown, known := play(true), play(false)
	assert.Assert(t, known.paused < unknown.paused, "late by a pause: %d, without knowing them %d", known.paused, unknown.paused)
	assert.Assert(t, known.chats > unknown.chats, "chats: %.3f, without knowing the pauses %.3f", known.chats, unknown.chats)
	assert.Assert(t, known.worth >= kept*unknown.worth, "all: %.3f, without knowing the pauses %.3f", known.worth, unknown.worth)
}
