package chain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// region is half of a large deployment: an urgent kind with three stages in a row, a less urgent one with short chains, and the
// least urgent one with the same three stages.
func region() Options {
	pool := func(batch int, item conf.MS, room float64) conf.Pool {
		return conf.Pool{Slots: 1, Queue: 2, Batch: batch, CallTime: 150, ItemTime: item, RoomMB: room, HandleFor: 4000}
	}
	board := func(after ...int) conf.Stage { return conf.Stage{Service: "board", After: after, Bytes: 8000} }
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
					{Stage: conf.Stage{Service: "board", Bytes: 3_000_000}, Share: 0.4, Pieces: 1.5},
					{Stage: board(), Work: 0.3},
					{Stage: conf.Stage{Service: "yard", After: []int{1}, Bytes: 60_000}, Pieces: 6},
					{Stage: conf.Stage{Service: "portal", After: []int{2}, Bytes: 6000}, Pieces: 16},
				},
			},
			{
				Name: "check", Rank: 2, PerSecond: 18, Worth: 0.52, Late: 0.12, Target: 5 * time.Second, Deadline: 8 * time.Second,
				Things: 276, Shared: 6300, Own: 2890,
				Stages: []Stage{
					{Stage: board(), Work: 0.3},
					{Stage: conf.Stage{Service: "yard", After: []int{0}, Bytes: 60_000}, Pieces: 6},
					{Stage: conf.Stage{Service: "portal", After: []int{1}, Bytes: 6000}, Pieces: 16},
				},
			},
			{
				Name: "hint", Rank: 1, PerSecond: 39, Worth: 0.19, Late: 0.028, Target: 1500 * time.Millisecond, Deadline: 10 * time.Second,
				Things: 1341, Shared: 350, Own: 1110,
				Stages: []Stage{{Stage: conf.Stage{Service: "board", Bytes: 3_000_000}, Share: 0.7, Pieces: 2.5}},
			},
		},
		Engines: 30, Length: 20 * time.Second,
	}
}

// shallow is half of another large deployment: the urgent kind has one stage, and the least urgent kind has long chains and is
// most of the traffic.
func shallow() Options {
	pool := func(batch int, item conf.MS, room float64) conf.Pool {
		return conf.Pool{Slots: 1, Queue: 2, Batch: batch, CallTime: 150, ItemTime: item, RoomMB: room, HandleFor: 4000}
	}
	board := conf.Stage{Service: "board", Bytes: 8000}
	big := conf.Stage{Service: "board", Bytes: 3_000_000}
	yard := func(after int) Stage {
		return Stage{Stage: conf.Stage{Service: "yard", After: []int{after}, Bytes: 60_000}, Pieces: 8}
	}
	portal := func(after int) Stage {
		return Stage{Stage: conf.Stage{Service: "portal", After: []int{after}, Bytes: 6000}, Pieces: 16}
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

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	s := slices.Clone(list)
	slices.Sort(s)
	return s[int(p*float64(len(s)-1))]
}

func show(t *testing.T, name string, r Result) {
	t.Helper()
	text := fmt.Sprintf("%s: worth %.3f, %.1f pieces a call, no room %d, reread %d k", name, r.Worth(), float64(r.Pieces)/float64(r.Calls), r.NoRoom, r.Reread/1000)
	for _, k := range []string{"review", "check", "hint"} {
		c := r.Kinds[k]
		text += fmt.Sprintf("\n  %-7s %.3f of %d: on time %d late %d refusals %d; stages %d/%d engine %d/%d", k, c.Share(), c.Sent, c.OnTime, c.Late, c.Refused,
			percentile(c.Stages, .5).Milliseconds(), percentile(c.Stages, .9).Milliseconds(), percentile(c.Engine, .5).Milliseconds(), percentile(c.Engine, .9).Milliseconds())
	}
	t.Log(text)
}

func patterns() map[string]Options {
	calm := region()
	own := region()
	own.Bursts = []Burst{{"review", 4 * time.Second, 5 * time.Second, 2.96}}
	least := region()
	least.Bursts = []Burst{{"check", 4 * time.Second, 5 * time.Second, 2.96}}
	both := region()
	both.Bursts = []Burst{{"review", 4 * time.Second, 6 * time.Second, 2.96}, {"check", 2 * time.Second, 6 * time.Second, 2.2}}
	owners := both
	owners.NewOwners = []time.Duration{7 * time.Second}
	hboth, hmid := shallow(), shallow()
	hboth.Bursts = []Burst{{"review", 4 * time.Second, 6 * time.Second, 3.1}, {"hint", 3 * time.Second, 6 * time.Second, 2.1}}
	hmid.Bursts = []Burst{{"check", 4 * time.Second, 6 * time.Second, 3.1}}
	return map[string]Options{"6hboth": hboth, "7hmid": hmid, "1calm": calm, "2own": own, "3least": least, "4both": both, "5owners": owners}
}

func TestShow(t *testing.T) {
	p := patterns()
	names := []string{"1calm", "2own", "3least", "4both", "5owners"}
	for _, n := range names {
		o := p[n]
		o.Seed = 1
		show(t, n, Run(o))
	}
}
