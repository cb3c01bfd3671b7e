package gwnode

import (
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/berylledge/berylledge/internal/base/stats"
	"github.com/berylledge/berylledge/internal/gate/batch"
	"github.com/berylledge/berylledge/internal/gate/proxy"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/node/quota"
)

// Names of metrics.
const (
	answers        = "answers_total"
	refusals       = "refusals_total"
	answerTime     = "answer_seconds"
	repeats        = "repeats_total"
	inFlight       = "in_flight"
	dialed         = "dialed_total"
	peerBytes      = "peer_sent_bytes_total"
	peerMessages   = "peer_sent_messages_total"
	peerDropped    = "peer_dropped_messages_total"
	groupTerm      = "group_term"
	groupMembers   = "group_members"
	configVersion  = "config_version"
	configBehind   = "config_behind_seconds"
	upstreams      = "upstreams"
	suspects       = "suspect_contents"
	coldUpstreams  = "cold_upstreams"
	staleUpstreams = "stale_upstreams"
	evacuated      = "evacuated_data_centres"
	suspendedNow   = "upstreams_suspended"
	suspendedTotal = "upstreams_suspended_total"
	stageWaiting   = "stage_waiting"
	stageOldest    = "stage_oldest_seconds"
	stageCalls     = "stage_calls_total"
	stagePieces    = "stage_pieces_total"
	stageEnds      = "stage_ends_total"
	stageRoom      = "stage_room_bytes"
	stageLimit     = "stage_room_limit_bytes"
	engineSpeed    = "engine_speed_ratio"
	entryCapacity  = "entry_capacity_cores"
	stageSpeed     = "stage_speed_ratio"
	stageCallTime  = "stage_call_seconds"
	stagePiece     = "stage_piece_seconds"
	overShare      = "share_refusals_total"
)

var (
	byStatus = []string{"status"}
	byKind   = []string{"kind"}
	byCause  = []string{"cause"}
	byQueue  = []string{"service", "region"}
)

var metrics = append([]stats.Metric{
	{Name: answers, Type: stats.Counter, Labels: byStatus, Help: "Final answers of requests for which an upstream was tried, by status; 0: closed without a whole answer."},
	{Name: refusals, Type: stats.Counter, Labels: byStatus, Help: "Answers that this node gave instead of an upstream, by status, also without having tried one."},
	{Name: answerTime, Type: stats.Histogram, Help: "Time from the arrival of a request for which an upstream was tried to the end of its answer."},
	{Name: overShare, Type: stats.Counter, Help: "Requests that this node refused because their team, or its data centre, was far above its share of scarce room."},
	{Name: repeats, Type: stats.Counter, Help: "Requests that were sent to an upstream again."},
	{Name: inFlight, Type: stats.Gauge, Help: "Requests that have no final answer yet."},
	{Name: dialed, Type: stats.Counter, Help: "Connections opened to upstreams."},
	{Name: peerBytes, Type: stats.Counter, Labels: byKind, Help: "Bytes of messages sent to other processes, without framing. An answer counts under the kind of its question."},
	{Name: peerMessages, Type: stats.Counter, Labels: byKind, Help: "Messages sent to other processes."},
	{Name: peerDropped, Type: stats.Counter, Help: "Messages that found the queue full or the address unreachable."},
	{Name: groupTerm, Type: stats.Gauge, Help: "Term of the control group as this member sees it."},
	{Name: groupMembers, Type: stats.Gauge, Help: "Members of the control group as this member sees it."},
	{Name: configVersion, Type: stats.Gauge, Help: "Version of the configuration: stored by a control node, in force on an entry node."},
	{Name: configBehind, Type: stats.Gauge, Help: "For how long an entry node has known of a newer configuration than the one in force; 0 if of none."},
	{Name: upstreams, Type: stats.Gauge, Labels: []string{"state"}, Help: "Registered upstreams by state: 1 ready, 2 leaving, 3 gone."},
	{Name: suspects, Type: stats.Gauge, Help: "Contents that are watched after a crash of an upstream."},
	{Name: coldUpstreams, Type: stats.Gauge, Help: "Upstreams that are cold and whose requests are limited, as an entry node sees them."},
	{Name: staleUpstreams, Type: stats.Gauge, Help: "Upstreams of which an entry node may lack the last report, so that they count as cold where their service states a cold rate."},
	{Name: evacuated, Type: stats.Gauge, Help: "Evacuated data centres: stored by a control node, in force on an entry node."},
	{Name: suspendedNow, Type: stats.Gauge, Labels: byCause, Help: "Upstreams to which this node sends nothing after an answer that said so, by cause: leaving, paused."},
	{Name: suspendedTotal, Type: stats.Counter, Labels: byCause, Help: "Times that this began, by cause."},
	{Name: stageWaiting, Type: stats.Gauge, Labels: byQueue, Help: "Pieces that wait in a queue of this node."},
	{Name: stageOldest, Type: stats.Gauge, Labels: byQueue, Help: "Longest time that one of them has waited."},
	{Name: stageCalls, Type: stats.Counter, Labels: byQueue, Help: "Calls sent to stage upstreams."},
	{Name: stagePieces, Type: stats.Counter, Labels: byQueue, Help: "Pieces that these calls held."},
	{Name: stageEnds, Type: stats.Counter, Labels: append([]string{"end"}, byQueue...), Help: "Pieces by their end: made, no_room, late, refused, failed, unwanted."},
	{Name: stageRoom, Type: stats.Gauge, Labels: byQueue, Help: "Bytes of results that a queue keeps account of."},
	{Name: stageLimit, Type: stats.Gauge, Labels: byQueue, Help: "Bytes that its upstreams seem to have room for."},
	{Name: engineSpeed, Type: stats.Gauge, Labels: append([]string{"bound"}, byQueue...), Help: "Learnt time in which the fastest (bound least) and the slowest engine (most) reads a token, relative to the median engine. Of nodes that have placed requests on the engines."},
	{Name: entryCapacity, Type: stats.Gauge, Help: "Processor time of the VM, in cores, that an entry node reports for its share of callers and of queues; 0: unknown."},
	{Name: stageSpeed, Type: stats.Gauge, Labels: append([]string{"bound"}, byQueue...), Help: "Learnt duration of calls at the fastest (bound least) and the slowest stage upstream (most), relative to the median upstream; 0 once another node keeps the queue."},
	{Name: stageCallTime, Type: stats.Gauge, Labels: byQueue, Help: "Learnt fixed time of a call at the median stage upstream; the configured one until calls differ from it."},
	{Name: stagePiece, Type: stats.Gauge, Labels: byQueue, Help: "Learnt time of each piece in a call, in addition."},
}, quota.Metrics()...)

// MetricsPage renders the catalogue as the page docs/gate_metrics.md.
func MetricsPage() string {
	return "# Metrics of `berylledge gate`\n\nMade by `make docs` from `internal/node/gwnode/metrics.go`. `GET /metrics` on `metrics_port` answers in the text\n" +
		"format of Prometheus. Values are brought up to date once a second. Histograms count by buckets.\n\n" + stats.Table(metrics)
}

// startMetrics starts the page of metrics, which exists before the parts that it samples.
func (p *Process) startMetrics() error {
	var err error
	p.page, err = stats.New(stats.Options{Clock: p.o.Clock, Metrics: metrics, Sample: p.sample})
	return err
}

func (p *Process) metricsRoute() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: stats.Path, Handler: p.page.Handler().ServeHTTP}
}

// measure returns the hooks of the front; none without a page.
func (p *Process) measure() proxy.MetricHooks {
	if p.page == nil {
		return proxy.MetricHooks{}
	}
	return proxy.MetricHooks{
		Responded: func(status int, took time.Duration) {
			p.page.Add(answers, 1, stats.Tags{"status": strconv.Itoa(status)})
			p.page.Observe(answerTime, took, nil)
		},
		Refused:   func(status int) { p.page.Add(refusals, 1, stats.Tags{"status": strconv.Itoa(status)}) },
		Retried:   func() { p.page.Add(repeats, 1, nil) },
		OverShare: func() { p.page.Add(overShare, 1, nil) },
	}
}

func (p *Process) sample(page *stats.Page) {
	select {
	case <-p.ready:
	default:
		return // not all parts exist yet
	}
	c := p.hub.Counters()
	for _, v := range c.Kinds {
		tags := stats.Tags{"kind": v.Kind.String()}
		page.Raise(peerBytes, v.Bytes, tags)
		page.Raise(peerMessages, v.Messages, tags)
	}
	page.Raise(peerDropped, c.Dropped, nil)
	p.refused.Sample(page, p.account)
	if p.member != nil {
		p.sampleControl(page)
	}
	if p.forwarder != nil {
		p.sampleEntry(page)
	}
}

func (p *Process) sampleControl(page *stats.Page) {
	s, _ := p.member.Status() // zero values before the group is formed
	page.Set(groupTerm, float64(s.Raft.Term), nil)
	page.Set(groupMembers, float64(len(s.Raft.Members)), nil)
	page.Set(configVersion, float64(p.member.Latest().Version), nil)
	states := p.control.Upstreams()
	for state := roster.Ready; state <= roster.Gone; state++ {
		page.Set(upstreams, float64(states[state]), stats.Tags{"state": strconv.Itoa(int(state))})
	}
	page.Set(suspects, float64(p.control.Suspects()), nil)
	page.Set(evacuated, float64(len(p.control.Evacuations().DataCentres)), nil)
}

func (p *Process) sampleEntry(page *stats.Page) {
	page.Set(inFlight, float64(p.forwarder.InFlight()), nil)
	page.Raise(dialed, p.pool.Dialed(), nil)
	page.Set(configVersion, float64(p.poller.Version()), nil)
	page.Set(configBehind, p.poller.Behind().Seconds(), nil)
	page.Set(suspects, float64(p.blocklist.Len()), nil)
	for _, s := range p.forwarder.EngineSpeeds() {
		page.Set(engineSpeed, s.Least, stats.Tags{"service": s.Service, "region": s.Region, "bound": "least"})
		page.Set(engineSpeed, s.Most, stats.Tags{"service": s.Service, "region": s.Region, "bound": "most"})
	}
	page.Set(coldUpstreams, float64(p.forwarder.ColdUpstreams()), nil)
	page.Set(staleUpstreams, float64(p.poller.View().StaleUpstreams()), nil)
	page.Set(evacuated, float64(len(p.poller.View().Evacuations.DataCentres)), nil)
	for cause, n := range p.batcher.PaceTable().Counts(p.o.Clock.Now()) {
		page.Set(suspendedNow, float64(n), stats.Tags{"cause": cause.String()})
	}
	for cause, n := range p.batcher.PaceTable().Totals() {
		page.Raise(suspendedTotal, n, stats.Tags{"cause": cause.String()})
	}
	page.Set(entryCapacity, float64(p.s.Limits.capacity())/1000, nil)
	now := map[queueName]bool{}
	for _, q := range p.batcher.Queues() {
		sampleQueue(page, &q)
		now[queueName{q.Service, q.Region}] = true
	}
	for name := range p.sampled {
		if !now[name] { // another node keeps it by now
			sampleRoom(page, &batch.QueueState{Service: name.service, Region: name.region})
		}
	}
	p.sampled = now
}

// queueName names a queue of stage work.
type queueName struct{ service, region string }

// sampleRoom publishes what a queue holds now.
func sampleRoom(page *stats.Page, q *batch.QueueState) {
	tags := stats.Tags{"service": q.Service, "region": q.Region}
	waiting := 0
	for _, n := range q.Waiting {
		waiting += n
	}
	page.Set(stageWaiting, float64(waiting), tags)
	page.Set(stageOldest, q.OldestWait.Seconds(), tags)
	page.Set(stageRoom, float64(q.UsedBytes), tags)
	page.Set(stageLimit, float64(q.LimitBytes), tags)
	page.Set(stageCallTime, q.CallTime.Seconds(), tags)
	page.Set(stagePiece, q.PieceTime.Seconds(), tags)
	page.Set(stageSpeed, q.Least, stats.Tags{"service": q.Service, "region": q.Region, "bound": "least"})
	page.Set(stageSpeed, q.Most, stats.Tags{"service": q.Service, "region": q.Region, "bound": "most"})
}

func sampleQueue(page *stats.Page, q *batch.QueueState) {
	sampleRoom(page, q)
	tags := stats.Tags{"service": q.Service, "region": q.Region}
	page.Raise(stageCalls, int64(q.Counters.Calls), tags)
	page.Raise(stagePieces, int64(q.Counters.Pieces), tags)
	for end, n := range map[string]int{
		"made": q.Counters.Completed, "no_room": q.Counters.NoRoom, "late": q.Counters.Late, "refused": q.Counters.Refused, "failed": q.Counters.Failed,
		"unwanted": q.Counters.Unwanted,
	} {
		page.Raise(stageEnds, int64(n), stats.Tags{"service": q.Service, "region": q.Region, "end": end})
	}
}
