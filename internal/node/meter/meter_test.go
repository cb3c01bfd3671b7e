package meter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/stats"
	"github.com/berylledge/berylledge/internal/flow/admit"
	"github.com/berylledge/berylledge/internal/node/entry"
	"github.com/berylledge/berylledge/internal/node/meter"
	"github.com/berylledge/berylledge/internal/test/leak"
	"github.com/berylledge/berylledge/internal/wire/peer"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
)

func TestMain(m *testing.M) { leak.Verify(m) }

// Guards against a page that differs from the metrics that are published.
func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/metrics.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), meter.Markdown(), "run `make docs`")
}

func start(t *testing.T, read func() meter.Sample) *meter.Meter {
	t.Helper()
	m, err := meter.New(meter.Options{Clock: clock.Real(), Read: read})
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	return m
}

func scrape(m *meter.Meter) string {
	w := httptest.NewRecorder()
	m.Route().Handler(w, httptest.NewRequest(http.MethodGet, stats.Path, nil))
	return w.Body.String()
}

// awaitLines waits until all lines are published.
func awaitLines(t *testing.T, m *meter.Meter, lines ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		text := scrape(m)
		for _, l := range lines {
			if !strings.Contains(text, "\n"+l+"\n") {
				return poll.Continue("%s is missing in\n%s", l, text)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
}

// Guards against ends of requests that are counted under the wrong outcome, and costs that are lost by rounding.
func TestRequestsAreCounted(t *testing.T) {
	m := start(t, func() meter.Sample { return meter.Sample{} })
	m.SetConfig(&fleet.Config{
		Ranks: []fleet.Rank{{Name: "urgent"}}, Teams: []fleet.Team{{Name: "crew-1"}},
		Pipelines: []fleet.Pipeline{{Stages: []fleet.Stage{{Name: "encode"}}}},
	})
	h := m.Measure()
	h.Ended("crew-1", "urgent", time.Second, entry.End{Tokens: 7, Stages: []entry.Stage{{Name: "encode", Attempts: 3, Cost: 0.25}}})
	h.Ended("crew-1", "urgent", time.Second, entry.End{Late: true})
	h.Ended("nobody", "urgent", time.Second, entry.End{
		Refusal: &caller.Refusal{Code: caller.CodeUpstreamFailed, Ran: caller.DidRun}, Stages: []entry.Stage{{Name: "gone", Attempts: 1, Failed: true}},
	})
	h.Refused("crew-1", "no such rank", &caller.Refusal{Code: caller.CodeBadRequest, Ran: caller.NotRun})
	awaitLines(
		t, m,
		`berylledge_requests_total{outcome="on_time",rank="urgent",team="crew-1"} 1`,
		`berylledge_requests_total{outcome="late",rank="urgent",team="crew-1"} 1`,
		`berylledge_requests_total{outcome="failed",rank="urgent",team="other"} 1`,
		`berylledge_requests_total{outcome="refused",rank="other",team="crew-1"} 1`,
		`berylledge_refusals_total{code="bad_request",ran="not_run",rank="other"} 1`,
		`berylledge_failures_total{code="upstream_failed",ran="ran",rank="urgent"} 1`,
		`berylledge_tokens_total{rank="urgent",team="crew-1"} 7`,
		`berylledge_stage_cost_millitokens_total{rank="urgent",stage="encode"} 250`,
		`berylledge_retries_total{stage="encode"} 2`,
		`berylledge_attempts_total{stage="other"} 1`,
		`berylledge_request_seconds_count{rank="urgent"} 3`,
	)
}

// Guards against a number of series that grows with each configuration or with names that callers invent.
func TestLabelsAreBounded(t *testing.T) {
	m := start(t, func() meter.Sample { return meter.Sample{} })
	h := m.Measure()
	for i := range 200 {
		cfg := &fleet.Config{Ranks: []fleet.Rank{{Name: fmt.Sprintf("rank-%d", i)}}}
		for j := range 100 {
			cfg.Teams = append(cfg.Teams, fleet.Team{Name: fmt.Sprintf("team-%d-%d", i, j), Weight: float64(j + 1)})
		}
		m.SetConfig(cfg)
		for _, team := range cfg.Teams {
			h.Refused(team.Name, "urgent", &caller.Refusal{Code: caller.CodeOverloaded, Ran: caller.NotRun})
		}
	}
	awaitLines(t, m, `berylledge_refusals_total{code="overloaded",ran="not_run",rank="other"} 20000`)
	text := scrape(m)
	assert.Equal(t, strings.Count(text, "\nberylledge_requests_total{"), 64+1)
	assert.Assert(t, strings.Contains(text, `team="team-0-99"`), "the heaviest team has its own label")
	assert.Assert(t, !strings.Contains(text, `team="team-0-79"`), "the 21st has none")
}

// Guards against totals that are added again with each sample.
func TestTotalsAreNotAddedTwice(t *testing.T) {
	samples := make(chan struct{}, 100)
	m := start(t, func() meter.Sample {
		samples <- struct{}{}
		return meter.Sample{
			Admission: &admit.Stats{Limit: 32, Queued: 4}, Control: &meter.Control{Term: 3, Commit: 9, Leads: true, HasLeader: true},
			Nodes: map[string]int{"alive": 3}, Peer: peer.Counters{BytesIn: 1000}, Dropped: map[string]int64{"agent": 5},
		}
	})
	for range 3 {
		<-samples
	}
	awaitLines(
		t, m, `berylledge_peer_received_bytes_total 1000`, `berylledge_dropped_messages_total{where="agent"} 5`,
		`berylledge_admission_queued 4`, `berylledge_control_leader 1`, `berylledge_control_commit_index 9`, `berylledge_nodes{state="alive"} 3`,
	)
}
