package meter

import (
	"fmt"
	"strings"

	"github.com/berylledge/berylledge/internal/base/stats"
	"github.com/berylledge/berylledge/internal/node/quota"
)

// Names of metrics.
const (
	requests      = "requests_total"
	refusals      = "refusals_total"
	failures      = "failures_total"
	requestTime   = "request_seconds"
	queueTime     = "upstream_queue_seconds"
	tokens        = "tokens_total"
	stageCost     = "stage_cost_millitokens_total"
	stageRuns     = "stages_total"
	attempts      = "attempts_total"
	retries       = "retries_total"
	admitLimit    = "admission_limit"
	admitInFlight = "admission_in_flight"
	admitQueued   = "admission_queued"
	admitPatient  = "admission_patient"
	draining      = "draining"
	revision      = "config_revision"
	term          = "control_term"
	commit        = "control_commit_index"
	leads         = "control_leader"
	hasLeader     = "control_has_leader"
	members       = "nodes"
	bytesIn       = "peer_received_bytes_total"
	bytesOut      = "peer_sent_bytes_total"
	messagesIn    = "peer_received_messages_total"
	messagesOut   = "peer_sent_messages_total"
	dropped       = "dropped_messages_total"
)

var catalogue = append([]stats.Metric{
	{Name: requests, Type: stats.Counter, Labels: []string{"team", "rank", "outcome"}, Help: "Requests by their end: on_time, late, failed or refused. Attainment is on_time divided by the sum."},
	{Name: refusals, Type: stats.Counter, Labels: []string{"rank", "code", "ran"}, Help: "Requests that were refused before they were admitted, by code."},
	{Name: failures, Type: stats.Counter, Labels: []string{"rank", "code", "ran"}, Help: "Admitted requests that ended without a whole answer, by code."},
	{Name: requestTime, Type: stats.Histogram, Labels: []string{"rank"}, Help: "Time from admission to the end of a request."},
	{Name: queueTime, Type: stats.Histogram, Labels: []string{"rank"}, Help: "Longest wait of a request in the queue of an upstream."},
	{Name: tokens, Type: stats.Counter, Labels: []string{"team", "rank"}, Help: "Tokens delivered to callers."},
	{Name: stageCost, Type: stats.Counter, Labels: []string{"stage", "rank"}, Help: "Cost of work at upstreams in thousandths of one generated token, failed stages included."},
	{Name: stageRuns, Type: stats.Counter, Labels: []string{"stage", "rank", "outcome"}, Help: "Stages that ran, by their end: done or failed."},
	{Name: attempts, Type: stats.Counter, Labels: []string{"stage"}, Help: "Attempts at upstreams, the first of each stage included."},
	{Name: retries, Type: stats.Counter, Labels: []string{"stage"}, Help: "Attempts after the first of a stage, resumed streams included."},
	{Name: admitLimit, Type: stats.Gauge, Help: "Requests that may run at the same time on this node."},
	{Name: admitInFlight, Type: stats.Gauge, Help: "Admitted requests that have not ended."},
	{Name: admitQueued, Type: stats.Gauge, Help: "Requests that wait for admission."},
	{Name: admitPatient, Type: stats.Gauge, Help: "Of the admitted requests, long work."},
	{Name: draining, Type: stats.Gauge, Help: "1 after the planned stop has begun."},
	{Name: revision, Type: stats.Gauge, Help: "Revision of the configuration in force."},
	{Name: term, Type: stats.Gauge, Help: "Term of the control group as this member sees it."},
	{Name: commit, Type: stats.Gauge, Help: "Highest index of the log that this member knows to be committed."},
	{Name: leads, Type: stats.Gauge, Help: "1 while this member leads the control group."},
	{Name: hasLeader, Type: stats.Gauge, Help: "1 while this member knows a leader."},
	{Name: members, Type: stats.Gauge, Labels: []string{"state"}, Help: "Processes by state: alive, draining, suspect, failed, left."},
	{Name: bytesIn, Type: stats.Counter, Help: "Bytes of messages received from other processes, without framing."},
	{Name: bytesOut, Type: stats.Counter, Help: "Bytes of messages sent to other processes, without framing."},
	{Name: messagesIn, Type: stats.Counter, Help: "Messages received from other processes."},
	{Name: messagesOut, Type: stats.Counter, Help: "Messages sent to other processes."},
	{Name: dropped, Type: stats.Counter, Labels: []string{"where"}, Help: "Messages dropped because a queue was full or the peer not reachable: peer, agent or control."},
}, quota.Metrics()...)

// Catalogue returns the metrics in the order of the documentation.
func Catalogue() []stats.Metric { return append([]stats.Metric(nil), catalogue...) }

// Markdown renders the catalogue as the page docs/metrics.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nMade by `make docs` from `internal/node/meter/catalogue.go`. `GET /metrics` on the address of `--listen` answers in\n")
	b.WriteString("the text format of Prometheus. Values are brought up to date once a second.\n\n")
	fmt.Fprintf(&b, "- `team`: the %d teams of largest weight in the configuration in force, `other` for the rest and for teams that are not\n", topTeams)
	fmt.Fprintf(&b, "  configured. A process uses at most %d names of teams over its life, so that changes of the configuration cannot\n", maxTeams)
	fmt.Fprintf(&b, "  make the number of series grow without bound; `rank` and `stage` are bounded alike, at %d and %d.\n", maxRanks, maxStages)
	b.WriteString("- Histograms count by buckets. Their sums are those of the upper bounds of the buckets, not of the values.\n")
	b.WriteString("- The metrics of requests and admission exist on entry nodes only, those of control on control nodes only.\n\n")
	b.WriteString(stats.Table(catalogue))
	return b.String()
}
