// Package route selects the upstream for a stage.
//
// A Router is a deterministic state machine: for the same policy, seed and order of calls it makes the same choices. It
// belongs to one owner and is not safe for concurrent use. It starts no goroutine and reads no clock.
//
// A plain stage goes to the upstream with the least expected cost among the candidates: all upstreams of a small pool, or
// else a sample (power of d choices). The load of an upstream is estimated from the node's own attempts there, which it
// knows exactly, and from the reported load of the other nodes, as far as that deviates from the pool's mean by more than
// chance; reports lag, and all nodes would otherwise choose the same upstream from the same report. For a model stage the
// candidates are the same, the engines that are believed to hold the prompt's prefix, and the engine to which this node
// sent it lately; the candidate with the least expected time to the first token is taken.
//
// An upstream that fails or answers far more slowly than its pool is ejected for a growing time; at most a third of a
// pool is ejected, and when most of a pool looks bad, ejection is ignored, because then the upstreams are unlikely to be
// the cause. An upstream that is leaving or whose lease ran out is never picked.
//
// Usage:
//
//	r := route.New(route.DefaultPolicy(), seed)
//	c, err := r.Pick(now, table.View(), route.Need{Pool: "encode", DataCentre: "kgn-1", Region: "jm"})
//	var none *route.NoneError
//	if errors.As(err, &none) { ... } // none.Reason says why
//	r.Dispatched(now, c)
//	... // run the attempt
//	r.Done(now, c)
//	r.Observe(now, c.Upstream.ID, route.Outcome{Result: route.Succeeded, Latency: firstByte})
package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Policy holds the parameters of a Router. DefaultPolicy fills all of them.
type Policy struct {
	// Choices is the number of upstreams sampled for one pick.
	Choices int
	// SmallPool is the size up to which all upstreams of a list are considered instead of a sample.
	SmallPool int
	// MaxHolders is the number of holders of a prefix considered beside the sample.
	MaxHolders int
	// ServiceTime is assumed of a request until the pool's own is known.
	ServiceTime time.Duration
	// PrefillPerToken is the time that an engine needs for one prompt token that is not in its cache.
	PrefillPerToken time.Duration
	// RoleMismatch is added for an engine whose role does not suit the stage.
	RoleMismatch time.Duration
	// AdapterLoad is added for an engine that holds the model but not the adapter. 0 excludes such engines.
	AdapterLoad time.Duration
	// OtherDataCentre and OtherRegion are added for upstreams that are not in the node's own; both include the latency.
	OtherDataCentre time.Duration
	OtherRegion     time.Duration
	// LinkPerKiB is added for each KiB of prompt that crosses to another region. It stands for the time on the narrow link
	// and for its price.
	LinkPerKiB time.Duration
	// FailureCost is the time that a failed attempt costs; it is weighted with the upstream's recent share of failures.
	FailureCost time.Duration
	// UseSummaries allows a Choice that names another data centre instead of an upstream.
	UseSummaries bool

	// SlowStart is the time in which the share of a new or returned upstream grows to the full one.
	SlowStart time.Duration
	// EjectFailures is the number of failures in a row, and EjectShare the recent share of failures, that eject.
	EjectFailures int
	EjectShare    float64
	// EjectLatency ejects an upstream whose recent latency is this many times that of its pool.
	EjectLatency float64
	// MinSamples is the number of recent outcomes needed for EjectShare and EjectLatency.
	MinSamples int
	// EjectFor is the length of the first ejection; it doubles with each one that follows soon, up to EjectMax.
	EjectFor, EjectMax time.Duration
}

// DefaultPolicy returns the parameters that docs/notes/routing.md explains.
func DefaultPolicy() Policy {
	return Policy{
		Choices:         2,
		SmallPool:       16,
		MaxHolders:      4,
		ServiceTime:     100 * time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond,
		RoleMismatch:    50 * time.Millisecond,
		AdapterLoad:     400 * time.Millisecond,
		OtherDataCentre: 3 * time.Millisecond,
		OtherRegion:     15 * time.Millisecond,
		LinkPerKiB:      time.Millisecond,
		FailureCost:     time.Second,
		SlowStart:       20 * time.Second,
		EjectFailures:   5,
		EjectShare:      0.5,
		EjectLatency:    4,
		MinSamples:      10,
		EjectFor:        5 * time.Second,
		EjectMax:        5 * time.Minute,
	}
}

// Request describes the attempt for which an upstream is wanted.
type Request struct {
	// Pool is the name of the service, or of the model; "model:adapter" asks for an adapter.
	Pool string
	// Model says that the stage runs on a model engine.
	Model bool
	// Role is the role that suits the attempt; empty means that any does.
	Role upapi.Role
	// Prefixes are the hashes of the prompt (upapi.PrefixHashes).
	Prefixes     []uint64
	PromptTokens int64
	// Rank is the priority; 0 is the most urgent.
	Rank               int
	DataCentre, Region string // of this node
	// Fingerprint is a hash of the content. If it is not 0, the sample is drawn by it instead of at random: all nodes with
	// the same view then consider the same few upstreams for the same content, which bounds what a poisonous request sent
	// through several nodes at once can take down (package crash). Different contents spread as evenly as at random.
	Fingerprint uint64
	// Exclude names upstreams that must not be picked, such as those of earlier attempts.
	Exclude []string
	// TimeLeft is the time before the deadline. 0 means that there is none; a negative time means that it has passed.
	TimeLeft time.Duration
	// Repeatable says that a failed attempt may be repeated. Work that may not be repeated avoids new and failing upstreams.
	Repeatable bool
}

// Choice is the answer to a Need.
type Choice struct {
	// Upstream is the chosen one. It is nil only if Forward is set.
	Upstream *upview.Upstream
	// Forward is the summary of another data centre whose entry nodes should pick the upstream (Policy.UseSummaries).
	Forward *upview.Summary
	// ExpectedDelay is the estimated time before the work starts to produce output.
	ExpectedDelay time.Duration
	// SavedTokens is the number of prompt tokens that are expected to be in the cache.
	SavedTokens int64
	// LoadFirst names the adapter that the engine must load first; empty if none.
	LoadFirst string
	// Ejected says that the upstream looks unhealthy but no better one was left.
	Ejected bool

	prefixes []uint64
}

// Result is how an attempt ended, as far as the upstream's health is concerned.
type Result int

// The results of attempts.
const (
	Succeeded Result = iota
	// Failed is an error or a broken stream that the upstream has to answer for.
	Failed
	// TimedOut is an attempt without an answer in the time that it had.
	TimedOut
	// Busy is a refusal by a healthy upstream without a free slot.
	Busy
	// HedgeLost is an attempt that was cancelled because a hedge answered first. It counts as half a failure: an upstream that
	// never answers loses against each hedge and would otherwise show no failure at all.
	HedgeLost
	// Neutral is an end that says nothing about the upstream: cancelled by the caller, bad request.
	Neutral
)

// Outcome is the result of an attempt.
type Outcome struct {
	Result Result
	// Latency is the time to the first byte of the answer. It is not used if it is 0.
	Latency time.Duration
	// Service is the time in which the upstream worked on the attempt. It is not used if it is 0.
	Service time.Duration
}

// Reason says why no upstream could be picked.
type Reason string

// The reasons of a NoneError.
const (
	ReasonUnknownPool Reason = "unknown_pool" // no upstream has announced the service or model
	ReasonNoneLive    Reason = "none_live"    // all are leaving or draining, or their leases ran out
	ReasonExcluded    Reason = "excluded"     // all live ones are excluded by earlier attempts
	ReasonDeadline    Reason = "deadline"     // the deadline has passed
)

// NoUpstreamError is returned if no upstream can be picked.
type NoUpstreamError struct {
	Pool     string
	Reason   Reason
	Known    int // upstreams of the pool
	Leaving  int // leaving or draining
	Expired  int
	Excluded int // live, but excluded by the Need
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream for %q: %s (%d known, %d leaving, %d expired, %d excluded)",
		e.Pool, e.Reason, e.Known, e.Leaving, e.Expired, e.Excluded)
}

// Router selects upstreams.
type Router struct {
	policy Policy
	rng    *rand.Rand
	own    map[string]*tally
	health map[string]*health
	pools  map[string]*pool
	recent recentPrefixes

	// Buffers that are reused by each Pick.
	candidates []*upview.Upstream
	holders    []string
	ranked     []ranked
	swept      time.Time
	turn       uint64
}

// ranked is an upstream with its hash for one content.
type ranked struct {
	hash     uint64
	upstream *upview.Upstream
}

// New returns a router. The seed decides all sampling.
func New(policy Policy, seed uint64) *Router {
	rng := rand.New(rand.NewPCG(seed, 0x726f757465))
	return &Router{
		policy: policy,
		rng:    rng,
		turn:   uint64(rng.Uint32()), // so that nodes do not take turns in step
		own:    map[string]*tally{},
		health: map[string]*health{},
		pools:  map[string]*pool{},
		recent: newRecentPrefixes(),
	}
}

// Pick selects an upstream for one attempt. The error is a *NoneError.
func (r *Router) Pick(now time.Time, view *upview.View, need Request) (Choice, error) {
	if need.TimeLeft < 0 {
		return Choice{}, &NoUpstreamError{Pool: need.Pool, Reason: ReasonDeadline}
	}
	r.sweep(now, view)
	p := r.pool(now, view, need.Pool)
	r.collect(now, view, need, p)
	best, found := r.best(now, view, need, p)
	if need.Model && r.policy.AdapterLoad > 0 {
		if other, ok := r.pickBase(now, view, need); ok && (!found || other.ExpectedDelay < best.ExpectedDelay) {
			best, found = other, true
		}
	}
	if r.policy.UseSummaries {
		if remote, ok := r.pickRemote(now, view, need); ok && (!found || remote.ExpectedDelay < best.ExpectedDelay) {
			best, found = remote, true
		}
	}
	if !found {
		return Choice{}, why(now, view.Pool(need.Pool), need)
	}
	best.prefixes = need.Prefixes
	return best, nil
}

// Dispatched records that an attempt was sent to the choice.
func (r *Router) Dispatched(now time.Time, c Choice) {
	if c.Upstream == nil {
		return
	}
	r.tally(c.Upstream).add(now, 1)
	r.recent.add(now, c.Upstream.ID, c.prefixes)
}

// Done records that the attempt has ended, in whatever way.
func (r *Router) Done(now time.Time, c Choice) {
	if c.Upstream == nil {
		return
	}
	// The end of an attempt on an earlier incarnation is not in the tally of the present one.
	if t := r.own[c.Upstream.ID]; t != nil && t.incarnation == c.Upstream.Incarnation {
		t.add(now, -1)
	}
}

func why(now time.Time, list []*upview.Upstream, need Request) *NoUpstreamError {
	e := &NoUpstreamError{Pool: need.Pool, Known: len(list)}
	for _, u := range list {
		switch {
		case u.Leaving || u.Draining:
			e.Leaving++
		case !u.Live(now):
			e.Expired++
		default:
			e.Excluded++
		}
	}
	switch {
	case e.Known == 0:
		e.Reason = ReasonUnknownPool
	case e.Excluded > 0:
		e.Reason = ReasonExcluded
	default:
		e.Reason = ReasonNoneLive
	}
	return e
}
