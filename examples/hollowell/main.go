// Command hollowell prints the configuration of a pond-care firm with field crews, an office and land owners.
//
// Usage:
//
//	go run ./examples/hollowell > config.json
//	berylledge serve --config-file config.json ...
//
// Its platform has 9 model runners, 3 order-taking runners and three services of 3 to 5 runners. Upstreams announce
// themselves, so the configuration names pools (a model or a service) and never an address.
package main

import (
	"time"

	"github.com/berylledge/berylledge/examples/show"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// Models. The 9 model runners hold pondModel; the crews' adapter is loaded on some of them.
const (
	pondModel = "pond-13b"
	crewModel = pondModel + ":crews"
)

// Services. The first three have 3 to 5 runners each; the 3 order-taking runners offer the desks for visits and bills.
const (
	embedder = "pond-embedder" // 5 runners
	records  = "pond-records"  // 4 runners
	ranker   = "pond-ranker"   // 3 runners
	visits   = "visit-desk"
	bills    = "bill-desk"
)

func main() { show.Config(config()) }

func config() *fleet.Config {
	c := fleet.New()
	c.Ranks = []fleet.Rank{
		{Name: "urgent", Share: 0.5},     // a crew stands at a pond and waits
		{Name: "normal", Share: 0.3},     // the office
		{Name: "background", Share: 0.1}, // land owners; their floods must cost the crews nothing
	}
	c.Teams = teams()
	c.Models = []fleet.Model{
		{Name: pondModel, Version: "2026-10", Replicas: 9, SizeMB: 26_000},
		{Name: crewModel, Version: "2026-11", Replicas: 4, SizeMB: 180},
	}
	c.Pipelines = []fleet.Pipeline{history(), algae(), visit(), bill()}
	c.Links = []fleet.Link{{
		RegionA: "lake", RegionB: "valley", KbitPerSec: 30_000, PricePerGB: 9,
		ReservedKbit: 6000, // control traffic and the tokens of crews whose nearest runners are in the other region
	}}
	c.Limits = fleet.Limits{
		RetentionMS:    fleet.MS(72 * time.Hour),   // a crew resends a visit after a weekend without a network
		ResumeWindowMS: fleet.MS(5 * time.Minute),  // crews lose the connection between ponds
		StaleConfigMS:  fleet.MS(10 * time.Minute), // an idle crew costs more than a limit that is minutes old
		RetryBudgetPct: 10,
	}
	return c
}

func teams() []fleet.Team {
	return []fleet.Team{
		{Name: "crews-north", Weight: 2, MaxInFlight: 200},
		{Name: "crews-south", Weight: 2, MaxInFlight: 200},
		{Name: "office", Weight: 1, MaxPerSecond: 40, MaxInFlight: 100},
		{Name: "estates", Weight: 1, MaxPerSecond: 30, MaxInFlight: 60}, // one land owner with hundreds of ponds
		{Name: "landowners", Weight: 1, MaxPerSecond: 20, MaxInFlight: 60},
	}
}

// history reads everything that is known about a pond. A crew plans its day by it and can wait minutes for it.
func history() fleet.Pipeline {
	return fleet.Pipeline{Name: "pond-history", DeadlineMS: fleet.MS(4 * time.Minute), Stages: []fleet.Stage{
		fleet.Plain("embed", fleet.Encode, embedder, 40),
		fleet.Plain("find", fleet.Retrieve, records, 1500),
		fleet.Plain("rank", fleet.Rerank, ranker, 400),
		fleet.Generation("write", crewModel, 6000, 100_000),
	}}
}

func algae() fleet.Pipeline {
	return fleet.Pipeline{Name: "algae-question", DeadlineMS: fleet.MS(8 * time.Second), Stages: []fleet.Stage{
		fleet.Plain("embed", fleet.Encode, embedder, 20),
		fleet.Plain("find", fleet.Retrieve, records, 60),
		fleet.Plain("rank", fleet.Rerank, ranker, 60),
		fleet.Generation("answer", pondModel, 250, 3500),
	}}
}

// visit books a crew. The confirmation of the desk is the answer; the summary for the crew is written only if asked for.
func visit() fleet.Pipeline {
	return fleet.Pipeline{Name: "crew-visit", DeadlineMS: fleet.MS(10 * time.Second), AnswerStage: "book", Stages: []fleet.Stage{
		fleet.Plain("find", fleet.Retrieve, records, 60),
		fleet.Generation("summary", crewModel, 120, 1800).If("summary", "yes"),
		fleet.Once("book", visits, 300),
	}}
}

func bill() fleet.Pipeline {
	return fleet.Pipeline{Name: "bill", DeadlineMS: fleet.MS(10 * time.Second), Stages: []fleet.Stage{
		fleet.Plain("find", fleet.Retrieve, records, 60),
		fleet.Once("send", bills, 400),
	}}
}
