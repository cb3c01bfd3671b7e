package stgsim

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
)

// wholeTable makes TestSharesOf300EntryVMs play all lines of its table, which takes most of a minute.
var wholeTable = flag.Bool("whole-table", false, "play all lines of the table")

// Times of the flood that the tests play.
const (
	floodStart  = 6 * time.Second
	floodLength = 5 * time.Second
	floodTimes  = 10
)

// fastReading is a reading speed at which one engine serves all. With several engines, the choice between nearly equal costs depends
// on the order in which costs are added, so that runs with the same seed differ.
const fastReading = 100_000_000

// sharedRegion is a region with one stage service and one kind of request for each team. Team t has rates[t] requests a second.
func sharedRegion(rates []float64, upstreams, dataCentres int) Options {
	pool := conf.Pool{Slots: 1, Queue: 2, Batch: 8, CallTime: 60, ItemTime: 5, ResultMemoryMB: 500, HandleTTL: 4000}
	o := Options{Services: []Service{{"encode", upstreams, pool}}, Engines: 1, Rate: fastReading, Length: 16 * time.Second, HideGaps: true, FairShares: true}
	for t, rate := range rates {
		o.Kinds = append(o.Kinds, Kind{
			Name: fmt.Sprintf("t%03d", t), Team: fmt.Sprintf("t%03d", t), DataCentre: fmt.Sprint("dc", t%dataCentres), Rank: 1, PerSecond: rate,
			Worth: 1, Late: 0.3, Target: 1500 * time.Millisecond, Deadline: 6 * time.Second, Things: 40, Shared: 500, Own: 300,
			Stages: []Stage{{Stage: conf.Stage{Service: "encode", ResultBytes: 1000}, Pieces: 4}},
		})
	}
	return o
}

// skewed returns n rates with the given sum, the largest ten times the smallest.
func skewed(n int, total float64) []float64 {
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		out[i] = 1 + 9*float64(i)/float64(n-1)
		sum += out[i]
	}
	for i := range out {
		out[i] *= total / sum
	}
	return out
}

// maxMin splits capacity fairly between demands.
func maxMin(demands []float64, capacity float64) []float64 {
	out := make([]float64, len(demands))
	open := len(demands)
	for left := capacity; open > 0 && left > 1e-9; {
		part := left / float64(open)
		open, left = 0, 0
		for i, d := range demands {
			if out[i] >= d {
				continue
			}
			out[i] += part
			if out[i] >= d {
				left += out[i] - d
				out[i] = d
				continue
			}
			open++
		}
	}
	return out
}

func (r Result) served(name string) float64 {
	return float64(r.Kinds[name].OnTime + r.Kinds[name].Late)
}

func (r Result) total() float64 {
	sum := 0.0
	for name := range r.Kinds {
		sum += r.served(name)
	}
	return sum
}

// floodedBy makes the kinds for which it returns true flood, and counts the requests of the flood.
func (o Options) floodedBy(seed uint64, flood func(Kind) bool) Options {
	o.Seed, o.Bursts = seed, nil
	for _, k := range o.Kinds {
		if flood(k) {
			o.Bursts = append(o.Bursts, Burst{Kind: k.Name, At: floodStart, For: floodLength, Times: floodTimes})
		}
	}
	o.CountFrom, o.CountTo = floodStart, floodStart+floodLength
	return o
}

// withoutShares plays the same load with a placer that does not divide scarce room.
func (o Options) withoutShares() Result {
	o.FairShares = false
	return Run(o)
}

// served returns the served requests by a property of their kind, and parts the max-min fair parts of the total.
func (r Result) servedBy(o Options, key func(Kind) string) (names []string, served, parts []float64) {
	sent := map[string]float64{}
	done := map[string]float64{}
	for _, k := range o.Kinds {
		if _, ok := sent[key(k)]; !ok {
			names = append(names, key(k))
		}
		sent[key(k)] += float64(r.Kinds[k.Name].Sent)
		done[key(k)] += r.served(k.Name)
	}
	slices.Sort(names)
	demands := make([]float64, len(names))
	for i, name := range names {
		demands[i] = sent[name]
		served = append(served, done[name])
	}
	return names, served, maxMin(demands, r.total())
}

// least returns the smallest ratio of what was served to the fair part.
func least(served, parts []float64) float64 {
	out := 1.0
	for i := range served {
		if parts[i] > 0 {
			out = min(out, served[i]/parts[i])
		}
	}
	return out
}

func teamOf(k Kind) string       { return k.Team }
func dataCentreOf(k Kind) string { return k.DataCentre }

// Load: 16 teams of one rank, the largest with ten times the load of the smallest, which sends ten times its load for five
// seconds; the stages have capacity for 60% of the whole. Guards against a flood of one team that is paid for by all others.
func TestCompetingTeamsShareScarceRoom(t *testing.T) {
	base := sharedRegion(skewed(16, 150), 9, 4)
	var total, before float64
	for seed := range uint64(4) {
		o := base.floodedBy(seed, func(k Kind) bool { return k.Team == "t015" })
		r := Run(o)
		old := o.withoutShares()
		names, served, parts := r.servedBy(o, teamOf)
		for i, name := range names {
			assert.Assert(t, served[i] >= parts[i]/2, "seed %d, team %s: %v of %v", seed, name, served[i], parts[i])
		}
		_, servedBefore, partsBefore := old.servedBy(o, teamOf)
		flood := len(names) - 1
		t.Logf("seed %d: least part %.2f (before %.2f), flooding team %.0f of %.0f (before %.0f), total %d (before %d), pieces in the flood %d (before %d)",
			seed, least(served, parts), least(servedBefore, partsBefore), served[flood], parts[flood], servedBefore[flood], r.Served, old.Served, r.CountedPieces, old.CountedPieces)
		total += float64(r.Served)
		before += float64(old.Served)
	}
	assert.Assert(t, total >= 0.95*before, "%v of %v", total, before)
}

// Load: eight teams with callers in four data centres; in one of them, all teams send ten times their load for five seconds, so
// that no team differs from the others. Guards against a data centre whose callers take the room of the others.
func TestNoDataCentreStarves(t *testing.T) {
	base := sharedRegion(skewed(32, 150), 9, 4)
	for i := range base.Kinds {
		base.Kinds[i].Team = fmt.Sprint("team", i/4)
		base.Kinds[i].PerSecond = 150.0 / 32
	}
	for seed := range uint64(4) {
		o := base.floodedBy(seed, func(k Kind) bool { return k.DataCentre == "dc0" })
		r := Run(o)
		old := o.withoutShares()
		names, served, parts := r.servedBy(o, dataCentreOf)
		for i, name := range names {
			assert.Assert(t, served[i] >= parts[i]*0.8, "seed %d, %s: %v of %v", seed, name, served[i], parts[i])
		}
		_, servedBefore, partsBefore := old.servedBy(o, dataCentreOf)
		t.Logf("seed %d: least part %.2f (before %.2f), total %d (before %d), pieces in the flood %d (before %d)", seed, least(served, parts),
			least(servedBefore, partsBefore), r.Served, old.Served, r.CountedPieces, old.CountedPieces)
		assert.Assert(t, float64(r.CountedPieces) >= 0.99*float64(old.CountedPieces), "seed %d: less work is done during the flood", seed)
	}
}

// Load: a team of rank 0 floods at ten times its load, beyond the whole capacity; a team of rank 2 gets little. Guards against
// shares that give room of an urgent rank to a less urgent one.
func TestRanksComeBeforeShares(t *testing.T) {
	base := sharedRegion([]float64{40, 20, 40}, 6, 2)
	base.Kinds[0].Rank, base.Kinds[1].Rank, base.Kinds[2].Rank = 0, 0, 2
	onTime, onTimeBefore := 0, 0
	for seed := range uint64(3) {
		o := base.floodedBy(seed, func(k Kind) bool { return k.Team == "t000" })
		o.CountTo -= 2 * time.Second // what waits at the end of the flood gets room after it, of any rank
		r := Run(o)
		old := o.withoutShares()
		urgent, urgentBefore := r.Kinds["t000"].OnTime+r.Kinds["t001"].OnTime, old.Kinds["t000"].OnTime+old.Kinds["t001"].OnTime
		t.Logf("seed %d: rank 0 on time %d (before %d), its quiet team %.0f of %d (before %.0f), rank 2 %.0f (before %.0f)", seed, urgent, urgentBefore,
			r.served("t001"), r.Kinds["t001"].Sent, old.served("t001"), r.served("t002"), old.served("t002"))
		onTime += urgent
		onTimeBefore += urgentBefore
		assert.Assert(t, r.served("t002") <= 1.15*old.served("t002"), "seed %d: rank 2: %v, before %v", seed, r.served("t002"), old.served("t002"))
		assert.Assert(t, r.served("t001") >= 0.5*float64(r.Kinds["t001"].Sent), "seed %d: the quiet team of rank 0: %v", seed, r.served("t001"))
	}
	assert.Assert(t, float64(onTime) >= 0.95*float64(onTimeBefore), "rank 0: %v, before %v", onTime, onTimeBefore)
}

// Load: 16 teams at 70% of the capacity, one of them at three times its load for five seconds, which still fits; and the loads of
// other tests in this package. Guards against decisions that differ although no request is refused.
func TestNothingChangesWhileRoomSuffices(t *testing.T) {
	loads := map[string]Options{"teams": sharedRegion(skewed(16, 120), 9, 4), "region": region()}
	for name, o := range loads {
		o.Engines, o.Rate, o.FairShares = 1, fastReading, true
		for i := range o.Kinds {
			o.Kinds[i].Team, o.Kinds[i].DataCentre = o.Kinds[i].Name, fmt.Sprint("dc", i)
		}
		if name == "region" {
			for i := range o.Services {
				o.Services[i].Upstreams *= 2
			}
		} else {
			o.Bursts = []Burst{{Kind: "t004", At: floodStart, For: floodLength, Times: 3}}
		}
		r := Run(o)
		for _, k := range o.Kinds {
			assert.Equal(t, r.Kinds[k.Name].Refused, 0, "%s", name)
		}
		assert.DeepEqual(t, r, o.withoutShares())
	}
}

// Load: 300 entry VMs in six data centres, 200 teams of one rank, the largest with ten times the load of the smallest; one, five or
// ten of them flood at ten times their load for five seconds; capacity for about 60% of the whole. It makes the table of
// docs/CAPACITY.md. Guards against shares that hold only with few teams.
func TestSharesOf300EntryVMs(t *testing.T) {
	floods := []int{5}
	if *wholeTable {
		floods = []int{1, 5, 10}
	}
	for _, flooding := range floods {
		rates := skewed(200, 800)
		whole := 800.0
		for _, rate := range rates[200-flooding:] {
			whole += (floodTimes - 1) * rate
		}
		o := sharedRegion(rates, max(int(0.6*whole*4/80), 1), 1)
		o.Length = 13 * time.Second
		for i := range 300 {
			o.Entries = append(o.Entries, fmt.Sprint("dc", i%6))
		}
		for i := range o.Kinds {
			o.Kinds[i].DataCentre = ""
		}
		o = o.floodedBy(1, func(k Kind) bool { return k.Team >= fmt.Sprintf("t%03d", 200-flooding) })
		r := Run(o)
		old := o.withoutShares()
		_, served, parts := r.servedBy(o, teamOf)
		_, servedBefore, partsBefore := old.servedBy(o, teamOf)
		t.Logf("%d flooding, %.0f/s of %.0f/s: least part %.2f (before %.2f), below 0.8: %d (before %d), below half: %d (before %d), total %d (before %d), pieces in the flood %d (before %d)",
			flooding, float64(o.Services[0].Upstreams)*20, whole, least(served, parts), least(servedBefore, partsBefore), fewer(served, parts, 0.8),
			fewer(servedBefore, partsBefore, 0.8), fewer(served, parts, 0.5), fewer(servedBefore, partsBefore, 0.5), r.Served, old.Served, r.CountedPieces, old.CountedPieces)
		assert.Equal(t, fewer(served, parts, 0.5), 0)
		assert.Assert(t, float64(r.Served) >= 0.95*float64(old.Served))
	}
}

// fewer counts those that were served less than a fraction of their fair part.
func fewer(served, parts []float64, fraction float64) int {
	n := 0
	for i := range served {
		if served[i] < fraction*parts[i] {
			n++
		}
	}
	return n
}
