// Command bluemahoe prints the configuration of an index printer that serves law chambers, courts and presses.
//
// Usage:
//
//	go run ./examples/bluemahoe > config.json
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

// Models. Six runners read manuscripts with the large model, three write captions with the small one.
const (
	readerModel  = "reader-34b"
	captionModel = "caption-3b"
)

// Services. The first three have 3 to 5 runners each; the 3 order-taking runners offer the cutting table.
const (
	embedder  = "page-embedder"  // 5 runners
	citations = "citation-store" // 3 runners
	ranker    = "citation-rank"  // 3 runners
	cutting   = "cutting-table"
)

func main() { show.Config(config()) }

func config() *fleet.Config {
	c := fleet.New()
	c.Ranks = []fleet.Rank{
		{Name: "urgent", Share: 0.4},     // a press run or a cutting table waits
		{Name: "normal", Share: 0.35},    // citation labels
		{Name: "background", Share: 0.2}, // whole manuscripts, which run for many minutes
	}
	c.Teams = teams()
	c.Models = []fleet.Model{
		{Name: readerModel, Version: "7", Replicas: 6, SizeMB: 68_000},
		{Name: captionModel, Version: "3", Replicas: 3, SizeMB: 6000},
	}
	c.Pipelines = []fleet.Pipeline{manuscript(), label(), caption(), cut()}
	c.Links = []fleet.Link{{
		RegionA: "kingston", RegionB: "montego", KbitPerSec: 40_000, PricePerGB: 14,
		ReservedKbit: 8000, // a manuscript may not delay the captions and the control traffic that cross the link
	}}
	c.Limits = fleet.Limits{
		MaxInputBytes:  3 << 20, // a manuscript of a thousand pages
		RetentionMS:    fleet.MS(48 * time.Hour),
		ResumeWindowMS: fleet.MS(10 * time.Minute), // a tab scheme takes long to make and should not be made again
		RetryBudgetPct: 5,                          // cost counts more than the last late answer
	}
	return c
}

// teams gives the large ones rate limits and no more weight than the small ones, which send a few requests an hour.
func teams() []fleet.Team {
	return []fleet.Team{
		{Name: "harbour-chambers", Weight: 1, MaxPerSecond: 25, MaxInFlight: 80},
		{Name: "duke-street-chambers", Weight: 1, MaxPerSecond: 25, MaxInFlight: 80},
		{Name: "parish-court-portland", Weight: 1, MaxPerSecond: 5, MaxInFlight: 10},
		{Name: "parish-court-manchester", Weight: 1, MaxPerSecond: 5, MaxInFlight: 10},
		{Name: "mona-press", Weight: 1, MaxPerSecond: 5, MaxInFlight: 20},
	}
}

// manuscript drafts the tab scheme of a whole manuscript.
func manuscript() fleet.Pipeline {
	return fleet.Pipeline{Name: "manuscript", DeadlineMS: fleet.MS(40 * time.Minute), Stages: []fleet.Stage{
		fleet.Plain("embed", fleet.Encode, embedder, 60_000),
		fleet.Plain("find", fleet.Retrieve, citations, 5000),
		fleet.Generation("scheme", readerModel, 30_000, 900_000),
	}}
}

func label() fleet.Pipeline {
	return fleet.Pipeline{Name: "citation-label", DeadlineMS: fleet.MS(8 * time.Second), Stages: []fleet.Stage{
		fleet.Plain("embed", fleet.Encode, embedder, 25),
		fleet.Plain("find", fleet.Retrieve, citations, 80),
		fleet.Plain("rank", fleet.Rerank, ranker, 70),
		fleet.Generation("check", readerModel, 120, 2600),
	}}
}

// caption is one stage with a tight deadline, because the press run waits for it.
func caption() fleet.Pipeline {
	return fleet.Pipeline{Name: "caption", DeadlineMS: fleet.MS(1500 * time.Millisecond), Stages: []fleet.Stage{
		fleet.Generation("caption", captionModel, 24, 500),
	}}
}

// cut sends a cut order. Paper that is cut twice is lost, hence at most once.
func cut() fleet.Pipeline {
	return fleet.Pipeline{Name: "cut-order", DeadlineMS: fleet.MS(6 * time.Second), Stages: []fleet.Stage{
		fleet.Plain("find", fleet.Retrieve, citations, 80).If("check", "yes"),
		fleet.Once("cut", cutting, 500),
	}}
}
