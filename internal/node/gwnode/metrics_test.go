package gwnode

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/stats"
	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Guards against a page that differs from the metrics that are published.
func TestPageOfMetricsIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/gate_metrics.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), MetricsPage(), "run `make docs`")
}

// Guards against metrics that are not published, or not those of what happened.
func TestProcessesPublishTheirMetrics(t *testing.T) {
	f := newFleet(t, 77)
	f.startSmallest()
	assert.Equal(t, f.request(11, "/x/"), 200)
	assert.Equal(t, f.request(11, "/y/"), 404)
	published := func(node int, line string) {
		f.eventually(line, func() bool {
			status, text := f.do("GET", "http://"+f.at(node, metricsPort)+stats.Path, nil)
			return status == 200 && strings.Contains(text, line)
		})
	}
	for node, lines := range map[int][]string{
		1: {`berylledge_config_version 5`, `berylledge_upstreams{state="1"} 1`, `berylledge_group_members 1`},
		11: {
			`berylledge_config_version 5`, `berylledge_answers_total{status="200"} 1`,
			`berylledge_refusals_total{status="404"} 1`, `berylledge_answer_seconds_count 1`, `berylledge_dialed_total 1`,
			`berylledge_config_behind_seconds 0`, `berylledge_peer_sent_messages_total{kind="follow"}`,
		},
	} {
		for _, line := range lines {
			published(node, line)
		}
	}
	assert.Equal(t, f.beat(1, roster.Draining, 2), 200)
	published(1, `berylledge_upstreams{state="2"} 1`)
	published(1, `berylledge_upstreams{state="1"} 0`)
}
