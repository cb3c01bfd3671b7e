// Command large prints a configuration of the design size: 29 pipelines of three to six stages with deadlines of 8 s,
// 2,300 teams, 21 models and the links between 4 regions.
//
// Usage:
//
//	go run ./examples/large > config.json
package main

import (
	"fmt"
	"time"

	"github.com/berylledge/berylledge/examples/show"
	"github.com/berylledge/berylledge/pkg/fleet"
)

// The design size of docs/design.md, section 1.6.
const (
	pipelines = 29
	teams     = 2300
	models    = 21
)

// fewLarge is the number of teams that send far more than the rest.
const fewLarge = 12

func main() { show.Config(config()) }

func config() *fleet.Config {
	c := fleet.New()
	c.Ranks = []fleet.Rank{{Name: "urgent", Share: 0.4}, {Name: "normal", Share: 0.35}, {Name: "background", Share: 0.2}}
	for i := range teams {
		t := fleet.Team{Name: fmt.Sprintf("team-%04d", i), Weight: 1, MaxPerSecond: 2, MaxInFlight: 20}
		if i < fewLarge {
			t.MaxPerSecond, t.MaxInFlight = 40, 400
		}
		c.Teams = append(c.Teams, t)
	}
	for i := range models {
		c.Models = append(c.Models, fleet.Model{Name: model(i), Version: "1", SizeMB: int64(6000 + 3000*(i%7))})
	}
	for i := range pipelines {
		c.Pipelines = append(c.Pipelines, pipeline(i))
	}
	regions := []string{"east", "north", "south", "west"}
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			c.Links = append(c.Links, fleet.Link{RegionA: a, RegionB: b, KbitPerSec: 60_000, PricePerGB: 8, ReservedKbit: 12_000})
		}
	}
	return c
}

func model(i int) string { return fmt.Sprintf("model-%02d", i) }

// pipeline returns a pipeline of three to six stages; each fourth one ends with a booking.
func pipeline(i int) fleet.Pipeline {
	all := []fleet.Stage{
		fleet.Plain("encode", fleet.Encode, "", 20),
		fleet.Plain("retrieve", fleet.Retrieve, fmt.Sprintf("store-%d", i%5), 60),
		fleet.Plain("rerank", fleet.Rerank, "", 60),
		fleet.Generation("draft", model(i%models), 120, 1500),
		fleet.Plain("check", fleet.Call, "checker", 80),
	}
	last := fleet.Generation("answer", model((i+7)%models), 370, 4000)
	if i%4 == 3 {
		last = fleet.Once("book", "booking", 250)
	}
	return fleet.Pipeline{
		Name: fmt.Sprintf("pipeline-%02d", i), DeadlineMS: fleet.MS(8 * time.Second), AnswerStage: last.Name,
		Stages: append(all[:2+i%4:2+i%4], last),
	}
}
