package event

import (
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Code is the number of a kind of event. Numbers are never used again for something else.
type Code int

// Kind describes a kind of event.
type Kind struct {
	Code    Code
	Name    string
	Level   hclog.Level
	Meaning string
	Fields  []string
	Action  string // what the operator does
}

// Numbers by area: 1xxx process, 2xxx requests, 3xxx upstreams, 4xxx nodes, 5xxx control group, 6xxx configuration.
const (
	ProcessStarted Code = 1001
	ProcessStopped Code = 1002
	DrainStarted   Code = 1003
	DrainFinished  Code = 1004

	RequestAccepted  Code = 2001
	RequestRefused   Code = 2002
	RequestFinished  Code = 2003
	RequestFailed    Code = 2004
	RequestCancelled Code = 2005
	RequestResumed   Code = 2006
	StageStarted     Code = 2101
	StageFinished    Code = 2102
	StageSkipped     Code = 2103
	AttemptStarted   Code = 2201
	AttemptFailed    Code = 2202
	StreamResumed    Code = 2203
	ResultDropped    Code = 2204
	ClaimGranted     Code = 2301
	ClaimRefused     Code = 2302
	ClaimSettled     Code = 2303
	RequestSuspected Code = 2401
	RequestIsolated  Code = 2402
	SuspectCleared   Code = 2403
	SoloGranted      Code = 2404
	RequestBlocked   Code = 2405
	DeathReported    Code = 2406

	UpstreamAnnounced Code = 3001
	UpstreamLeaving   Code = 3002
	UpstreamExpired   Code = 3003

	NodeJoined  Code = 4001
	NodeLeaving Code = 4002
	NodeFailed  Code = 4003

	PeerMessageRefused Code = 4101
	PeerTraffic        Code = 4102
	PeerHandlerFailed  Code = 4103

	ControlLost   Code = 4201
	ControlFound  Code = 4202
	ProcessReload Code = 4203
	LinesLeftOut  Code = 4204
	// ControlFollowed is of entry nodes that forward requests.
	ControlFollowed Code = 4205
	LimitReached    Code = 4206

	LeaderChanged  Code = 5001
	ControlFailed  Code = 5002
	MembersChanged Code = 5003
	GroupFormed    Code = 5004
	FolderReplaced Code = 5005

	ConfigAccepted Code = 6001
	ConfigInForce  Code = 6002
	ConfigRejected Code = 6003
	ConfigOrder    Code = 6004
	ConfigLate     Code = 6005

	EvacuationOrder   Code = 6101
	EvacuationStored  Code = 6102
	EvacuationInForce Code = 6103

	OperatorChange Code = 7001

	ForwardFinished   Code = 8001
	ForwardRefused    Code = 8002
	ForwardSent       Code = 8003
	ForwardRetried    Code = 8004
	ContentCrashed    Code = 8005
	ContentBlocked    Code = 8006
	ContentCleared    Code = 8007
	PieceFailed       Code = 8101
	CallFailed        Code = 8102
	QueueOpened       Code = 8103
	QueueState        Code = 8104
	PlacerOpened      Code = 8105
	PlacerSilent      Code = 8106
	ResultsAdopted    Code = 8107
	ResultsDropped    Code = 8108
	EngineSpeed       Code = 8109
	RoomScarce        Code = 8110
	UpstreamCold      Code = 8201
	UpstreamWarm      Code = 8202
	UpstreamSuspended Code = 8203
	UpstreamResumed   Code = 8204
	PauseIgnored      Code = 8205
)

var catalogue = []Kind{
	{ProcessStarted, "process_started", hclog.Info, "The process serves its roles. It has memory_bytes of memory and may hold memory_bound for others; memory_from and descriptors_from tell where the limits are known from: setting, runtime (GOMEMLIMIT), cgroup, machine, rlimit (RLIMIT_NOFILE) or unknown.", []string{"roles", "address", "memory_bytes", "memory_from", "memory_bound", "descriptors", "descriptors_from"}, ""},
	{ProcessStopped, "process_stopped", hclog.Info, "The process has ended its last task.", []string{"reason"}, ""},
	{DrainStarted, "drain_started", hclog.Info, "A planned stop began; this VM is no longer given to callers.", []string{"in_flight", "wait_ms"}, ""},
	{DrainFinished, "drain_finished", hclog.Info, "The planned stop ended: no request is in flight.", []string{"cut_off"}, "If cut_off is above 0, raise --drain-limit."},

	{RequestAccepted, "request_accepted", hclog.Debug, "A request was admitted.", []string{"request", "team", "rank", "pipeline"}, ""},
	{RequestRefused, "request_refused", hclog.Info, "A request was refused; ran says whether its work ran.", []string{"request", "team", "code", "ran"}, "See the code in docs/caller_api.md."},
	{RequestFinished, "request_finished", hclog.Debug, "The whole answer is available.", []string{"request", "team", "tokens", "elapsed_ms"}, ""},
	{RequestFailed, "request_failed", hclog.Warn, "An admitted request ended without a whole answer.", []string{"request", "team", "code", "ran"}, "Follow the request with the time line."},
	{RequestCancelled, "request_cancelled", hclog.Debug, "The caller cancelled a request.", []string{"request", "team"}, ""},
	{RequestResumed, "request_resumed", hclog.Debug, "A caller resumed the stream of a request.", []string{"request", "after"}, ""},
	{StageStarted, "stage_started", hclog.Debug, "A stage of a request began.", []string{"request", "stage", "budget_ms"}, ""},
	{StageFinished, "stage_finished", hclog.Debug, "A stage of a request ended.", []string{"request", "stage", "elapsed_ms", "cost"}, ""},
	{StageSkipped, "stage_skipped", hclog.Debug, "The condition of a stage did not hold.", []string{"request", "stage"}, ""},
	{AttemptStarted, "attempt_started", hclog.Debug, "A stage was sent to an upstream.", []string{"request", "stage", "attempt", "upstream"}, ""},
	{AttemptFailed, "attempt_failed", hclog.Info, "An upstream did not complete a stage.", []string{"request", "stage", "attempt", "upstream", "reason"}, "Look at the upstream if this repeats."},
	{StreamResumed, "stream_resumed", hclog.Info, "A broken token stream was resumed at an offset.", []string{"request", "stage", "attempt", "upstream", "offset"}, ""},
	{ResultDropped, "result_dropped", hclog.Warn, "A late, doubled or foreign result was dropped.", []string{"request", "stage", "upstream", "reason"}, "If it repeats, the upstream answers requests wrongly: eject it."},
	{ClaimGranted, "claim_granted", hclog.Debug, "Work that may not repeat may run now, once.", []string{"request", "team", "stage"}, ""},
	{ClaimRefused, "claim_refused", hclog.Info, "Work that may not repeat was not started.", []string{"request", "team", "stage", "reason"}, ""},
	{ClaimSettled, "claim_settled", hclog.Debug, "The outcome of work that may not repeat is recorded.", []string{"request", "team", "stage", "outcome"}, ""},

	{RequestSuspected, "request_suspected", hclog.Warn, "A content was running on an upstream that died; it runs alone until it is cleared. Held ones wait until others are cleared.", []string{"fingerprint", "status", "deaths"}, "See docs/notes/crash.md."},
	{RequestIsolated, "request_isolated", hclog.Error, "A content crashed upstreams and does not run until it expires or is cleared.", []string{"fingerprint", "deaths"}, "Find its team by request_blocked; see docs/notes/crash.md."},
	{SuspectCleared, "suspect_cleared", hclog.Info, "A content is no longer suspected: it ran without harm, expired, or was cleared.", []string{"fingerprint"}, ""},
	{SoloGranted, "solo_granted", hclog.Info, "A suspect runs alone on an upstream.", []string{"fingerprint", "upstream"}, ""},
	{RequestBlocked, "request_blocked", hclog.Warn, "A request was refused because its content is suspected or isolated.", []string{"request", "stage", "team", "fingerprint", "status"}, "See docs/notes/crash.md."},
	{DeathReported, "death_reported", hclog.Warn, "An upstream died under requests of this node; the control group knows it.", []string{"upstream", "incarnation", "members"}, "Look for the cause on the upstream."},

	{UpstreamAnnounced, "upstream_announced", hclog.Info, "An upstream is known and may receive work.", []string{"upstream", "kind", "address"}, ""},
	{UpstreamLeaving, "upstream_leaving", hclog.Info, "An upstream said that it leaves; it gets no new work.", []string{"upstream"}, ""},
	{UpstreamExpired, "upstream_expired", hclog.Warn, "The lease of an upstream ran out without a renewal.", []string{"upstream"}, "Check the upstream's VM and network."},

	{NodeJoined, "node_joined", hclog.Info, "Another node is reachable.", []string{"peer", "address"}, ""},
	{NodeLeaving, "node_leaving", hclog.Info, "Another node began a planned stop.", []string{"peer"}, ""},
	{NodeFailed, "node_failed", hclog.Warn, "Another node is unreachable.", []string{"peer"}, "Check the VM; replace it if it does not return."},
	{PeerMessageRefused, "peer_message_refused", hclog.Warn, "A message between processes could not be decoded or was too large.", []string{"peer", "reason"}, "Check that both run supported versions."},
	{PeerTraffic, "peer_traffic", hclog.Info, "What this process sent to other processes since the last such line, as KIND=MESSAGES/BYTES, most bytes first. roster, raft, held and leaving go between control nodes, follow between entry nodes and control nodes, pieces and place between entry nodes.", []string{"kinds", "dropped", "seconds"}, "Compare with the tables of docs/CAPACITY.md when a link or a control node is full."},
	{PeerHandlerFailed, "peer_handler_failed", hclog.Error, "The work on a message of another process ended by a fault of the program. The message had no effect that is known; the process goes on.", []string{"peer", "kind", "reason", "stack"}, "Report it with the stack."},

	{ControlLost, "control_lost", hclog.Warn, "No control node answers this entry node.", []string{"age_ms", "control"}, "Check the control nodes and the network."},
	{ControlFound, "control_found", hclog.Info, "A control node answers this entry node again.", []string{"control"}, ""},
	{ProcessReload, "process_reload", hclog.Info, "The settings were read again; only the seeds take effect without a restart.", []string{"seeds", "reason"}, ""},
	{LinesLeftOut, "lines_left_out", hclog.Warn, "Log lines of one kind were left out, because there were more than the limit.", []string{"kind", "count"}, "See the counters at /metrics."},
	{ControlFollowed, "control_followed", hclog.Info, "This entry node follows another control node from now on; sure says whether that one has all that was acknowledged, revision which configuration it had.", []string{"control", "sure", "data_centre", "revision"}, ""},
	{LimitReached, "limit_reached", hclog.Warn, "A caller or another peer was refused or cut off because of a limit of this process; held is what it held in bytes, count how many there were since the last line on this limit, of which there is one a second.", []string{"limit", "peer", "held", "count"}, "See docs/OPERATIONS.md, callers outside the limits."},

	{LeaderChanged, "leader_changed", hclog.Info, "The control group has another leader, as this member sees it.", []string{"leader", "term"}, ""},
	{ControlFailed, "control_failed", hclog.Error, "This member of the control group has stopped, because its disk failed.", []string{"reason"}, "Replace the disk or the VM; see docs/OPERATIONS.md."},
	{MembersChanged, "members_changed", hclog.Info, "The members of the control group changed.", []string{"members"}, ""},

	{GroupFormed, "group_formed", hclog.Info, "This member belongs to a control group; initial is false if it waits to be added.", []string{"cluster", "initial", "member"}, ""},
	{FolderReplaced, "folder_replaced", hclog.Error, "The data folder was damaged; it was set aside, and the member starts as a new one.", []string{"reason"}, "Check the disk."},

	{ConfigAccepted, "config_accepted", hclog.Info, "The control group accepted a configuration.", []string{"revision", "operator", "change"}, ""},
	{ConfigInForce, "config_in_force", hclog.Info, "This node works with a configuration from now on. Of an entry node: which one it had before, how long it had known of the new one, and the version that the bytes on the way were packed against (0: none).", []string{"revision", "peer", "before", "known_ms", "base", "bytes"}, ""},
	{ConfigRejected, "config_rejected", hclog.Error, "A configuration from another node was not used.", []string{"revision", "peer", "reason"}, "Two bodies under one revision point to two control groups: compare the cluster ids."},

	{ConfigOrder, "config_order", hclog.Info, "An operator sent a configuration; stored is the highest version known after it.", []string{"version", "stored", "status", "reason"}, ""},
	{ConfigLate, "config_late", hclog.Warn, "A control node has had a newer configuration for a second, and it is not in force here. control is the one that this node follows and control_revision what it has; arrived counts the bytes of the next configuration.", []string{"revision", "in_force", "age_ms", "peer", "control", "control_revision", "sure", "arrived"}, "Find out whether the followed control node lacks it (leader_changed there) or the bytes do not arrive (peer_traffic)."},

	{EvacuationOrder, "evacuation_order", hclog.Info, "An operator ordered (evacuate) or revoked (revoke) the evacuation of a data centre. After status 503 it may or may not be in force.", []string{"data_centre", "action", "status", "reason"}, "After 503, send the order again to any control node."},
	{EvacuationStored, "evacuation_stored", hclog.Info, "The control group has stored a change of the evacuated data centres, as this member has applied it; after a start also the set that was stored before.", []string{"version", "data_centres"}, ""},
	{EvacuationInForce, "evacuation_in_force", hclog.Info, "This entry node sends nothing more to the upstreams of these data centres; none if the list is empty.", []string{"version", "data_centres", "peer"}, "Compare version with evacuation_stored on the control nodes."},

	{OperatorChange, "operator_change", hclog.Info, "An operator changed something through this process.", []string{"operator", "action", "target", "outcome"}, ""},

	{ForwardFinished, "forward_finished", hclog.Info, "A forwarded request has its final answer; ran says whether an upstream ran it. age_ms is how long before the caller sent its first attempt, from which target_ms counts. Times from its arrival: its place at an engine (seat_ms), its stages' end (stage_ms), the last send (sent_ms), the first event (first_ms). Along the chain of stages that ended last: until it was asked for (before_ms; hold_ms of it was waiting for the later stages), in queues (queued_ms), in calls (called_ms), between entry nodes (handed_ms). pause_ms is the longest time between two events. late names what made it late: before (refusals before it), stages, upstream (its first event or answer), or pause. unread and ahead are prompt tokens that the engine had to read for this request and for those before it when its place was given, streams the requests there that got events then. speed is how long the engine takes to read a token, relative to the median engine (0: no engine).", []string{"request", "route", "team", "status", "upstream", "attempts", "target_ms", "age_ms", "seat_ms", "hold_ms", "before_ms", "queued_ms", "called_ms", "handed_ms", "stage_ms", "sent_ms", "first_ms", "pause_ms", "elapsed_ms", "late", "unread", "ahead", "streams", "speed", "ran", "reason"}, "See docs/OPERATIONS.md."},
	{ForwardRefused, "forward_refused", hclog.Info, "A forwarded request was refused before it was sent to an upstream; forecast_ms and wait_ms are what its stages were expected to take and to wait, queued_ms what they waited.", []string{"request", "host", "path", "route", "team", "status", "reason", "retry_after_ms", "rank", "age_ms", "elapsed_ms", "forecast_ms", "wait_ms", "queued_ms", "version"}, "See docs/OPERATIONS.md."},
	{ForwardSent, "forward_sent", hclog.Debug, "A forwarded request was sent to an upstream.", []string{"request", "upstream", "address", "attempt", "left_ms"}, ""},
	{ForwardRetried, "forward_retried", hclog.Info, "An upstream did not answer a forwarded request, which is sent once more.", []string{"request", "upstream", "attempt", "outcome", "reason"}, ""},
	{ContentCrashed, "content_crashed", hclog.Info, "The connection to an upstream broke while it ran a forwarded request; crashes counts the starts of upstreams that broke so since the content was last answered.", []string{"request", "content", "upstream", "born_ms", "crashes"}, ""},
	{ContentBlocked, "content_blocked", hclog.Warn, "Requests with this content are refused from now on: each upstream that ran it broke.", []string{"content", "peer"}, "Find the first content_crashed lines with this content; ask the caller what it sends."},
	{ContentCleared, "content_cleared", hclog.Info, "A content that had been running on upstreams that broke was answered, so it is not their cause.", []string{"request", "content"}, ""},
	{PieceFailed, "piece_failed", hclog.Info, "A piece of a stage was not made. It says how many pieces waited in the queue of the service in that region, how many were made a second lately (0: not known), how long this one waited, and how much longer its result would have been of use.", []string{"request", "stage", "piece", "service", "region", "upstream", "reason", "queued", "per_second", "waited_ms", "left_ms"}, ""},
	{CallFailed, "call_failed", hclog.Info, "A call of a stage upstream failed as a whole.", []string{"upstream", "pieces", "outcome", "reason"}, ""},
	{QueueOpened, "queue_opened", hclog.Info, "This node keeps the queue of a stage service in a region from now on, with the configuration of this version. Nodes that use results tell it of them with their next pieces.", []string{"service", "region", "upstreams", "version"}, ""},
	{QueueState, "queue_state", hclog.Info, "The queue of a stage service in a region, once a second while it works: pieces that wait by rank from 0, pieces made a second lately (0: not known), upstreams that take work, calls under way, results and their memory; and since the line before: calls, the pieces in them, how the pieces ended, results that no one wanted any more, and results made in another data centre than the one that needs them (away). call_us and piece_us are the learnt times of a call and of each piece in it, speeds the learnt durations of work at the fastest and the slowest upstream, relative to the median one, reporting the upstreams that have told theirs in the last second.", []string{"service", "region", "waiting", "oldest_ms", "per_second", "upstreams", "busy", "calls", "pieces", "made", "no_room", "late", "refused", "unwanted", "away", "away_kb", "results", "used_kb", "limit_kb", "call_us", "piece_us", "reporting", "speeds"}, ""},
	{PlacerOpened, "placer_opened", hclog.Info, "This node places requests on the model engines of a service in a region from now on. It has no account of the requests and parts of prompts that the engines have.", []string{"service", "region", "engines"}, ""},
	{PlacerSilent, "placer_silent", hclog.Warn, "The node that places requests did not answer in time; this one asks another node for a while.", []string{"peer", "service", "region", "reason"}, "See whether that node is overloaded: its link, its processor time, how many queues it keeps (queue_opened)."},
	{ResultsAdopted, "results_adopted", hclog.Info, "A node that uses results has told this one, which keeps the queue of their service now.", []string{"service", "region", "results"}, ""},
	{ResultsDropped, "results_dropped", hclog.Info, "The connection of a node that uses results has ended. It was asked which it still uses; the others were freed, all of them if it did not answer.", []string{"peer", "results", "freed", "reason"}, ""},
	{EngineSpeed, "engine_speed", hclog.Info, "The node that places requests has learnt another speed of a model engine: factor is how long the engine takes to read a token, relative to the median engine of the service in the region. Logged when it has changed by a fifth.", []string{"service", "region", "upstream", "factor"}, "A factor far above 1 that stays: look at that engine's machine."},

	{RoomScarce, "room_scarce", hclog.Info, "The node that places requests has refused requests of this rank, once a second meanwhile. Teams with recent work, those above their fair share and those below half of theirs; the team with most of the work given in the last seconds, with its part and its fair part; the data centre whose entry nodes got most, with its part.", []string{"service", "region", "rank", "teams", "above", "below", "team", "given", "fair", "data_centre", "taken"}, "See docs/OPERATIONS.md."},

	{UpstreamCold, "upstream_cold", hclog.Info, "An upstream is cold. Of all nodes together it gets no more requests a second than it bears, for the time that is left.", []string{"upstream", "per_second", "left_ms"}, ""},
	{UpstreamWarm, "upstream_warm", hclog.Info, "An upstream is no longer cold, or has gone.", []string{"upstream"}, ""},
	{UpstreamSuspended, "upstream_suspended", hclog.Info, "An answer of an upstream ended its use by this node: it is leaving, or asked for a pause.", []string{"upstream", "born_ms", "cause", "until"}, "If many upstreams of a service are paused, it lacks capacity."},
	{UpstreamResumed, "upstream_resumed", hclog.Info, "This node uses an upstream again, or the upstream has started anew or is gone.", []string{"upstream", "born_ms", "cause", "reason"}, ""},
	{PauseIgnored, "pause_ignored", hclog.Warn, "A 503 of an upstream had a Retry-After that is not a number of seconds above zero.", []string{"upstream", "value"}, "Mend the upstream; its pauses are not kept."},
}

// Lookup returns the description of a code.
func Lookup(code Code) (Kind, bool) {
	for _, k := range catalogue {
		if k.Code == code {
			return k, true
		}
	}
	return Kind{}, false
}

// Kinds returns the catalogue in the order of its numbers.
func Kinds() []Kind { return append([]Kind(nil), catalogue...) }

// Markdown renders the catalogue as the page docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nMade by `make docs` from `internal/base/event/catalogue.go`. ")
	b.WriteString("Each log line carries the number as `event`.\n\n")
	b.WriteString("| number | name | level | meaning | fields | what to do |\n|---|---|---|---|---|---|\n")
	for _, k := range catalogue {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s | %s |\n", k.Code, k.Name, k.Level, k.Meaning, strings.Join(k.Fields, ", "), k.Action)
	}
	return b.String()
}
