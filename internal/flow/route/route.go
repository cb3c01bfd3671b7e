// Package route picks the upstream for each attempt of a stage.
//
// A Router is a deterministic state machine: with the same policy, seed and order of calls it makes the same choices. It
// is not safe for concurrent use, starts no goroutine and reads no clock.
//
// A stage that is not a model stage goes to the candidate with the lowest expected cost. The candidates are all upstreams
// of a small pool, or a random sample of a larger one (power of d choices). The load of an upstream is estimated from the
// node's own attempts there, which it knows exactly, and from the reported load of the other nodes, as far as that deviates
// from the pool's mean by more than noise. Reports lag, and otherwise all nodes would choose the same upstream from the
// same report. For a model stage the candidates also include the engines that are believed to have the prompt's prefix
// cached and the engine to which this node recently sent it; the one with the lowest expected time to first token is
// picked.
//
// An upstream that fails, or that answers far more slowly than its pool, is ejected for a time that grows with each
// ejection. At most a third of a pool is ejected. If most of a pool is unhealthy, ejection is ignored, because the upstreams
// are then unlikely to be the cause. An upstream that is leaving or whose lease has expired is never picked.
//
// Usage:
//
//	r := route.New(route.DefaultPolicy(), seed)
//	c, err := r.Pick(now, table.View(), route.Request{Pool: "encode", DataCentre: "kgn-1", Region: "jm"})
//	var none *route.NoUpstreamError
//	if errors.As(err, &none) { ... } // see none.Reason
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

// Policy holds the parameters of a Router. DefaultPolicy sets all of them.
type Policy struct {
	// SampleSize is the number of healthy upstreams sampled for each pick.
	SampleSize int
	// SmallPool is the largest pool of which all upstreams are considered instead of a sample.
	SmallPool int
	// MaxPrefixHolders is the number of engines considered in addition to the sample because they hold the prompt's prefix.
	MaxPrefixHolders int
	// DefaultServiceTime is the assumed service time of a request until the pool's own is known.
	DefaultServiceTime time.Duration
	// PrefillPerToken is the prefill time of an engine for one prompt token that is not cached.
	PrefillPerToken time.Duration
	// RoleMismatchPenalty is added to the cost of an engine whose role does not match the stage.
	RoleMismatchPenalty time.Duration
	// AdapterLoadTime is added for an engine that has loaded the model but not the adapter. 0 excludes such engines.
	AdapterLoadTime time.Duration
	// OtherDataCentrePenalty and OtherRegionPenalty are added for upstreams outside the node's own data centre or region; both
	// include the network latency.
	OtherDataCentrePenalty time.Duration
	OtherRegionPenalty     time.Duration
	// CrossRegionPerKiB is added for each KiB of prompt sent to another region. It covers the transmission time on the slow
	// link and its price.
	CrossRegionPerKiB time.Duration
	// FailureCost is the time lost by a failed attempt. It is weighted by the upstream's recent failure rate.
	FailureCost time.Duration
	// UseSummaries allows a Choice to name another data centre instead of an upstream.
	UseSummaries bool

	// SlowStart is the time over which the share of a new or reinstated upstream grows to its full share.
	SlowStart time.Duration
	// EjectConsecutiveFailures is the number of consecutive failures, and EjectFailureRatio the recent failure rate, at which
	// an upstream is ejected.
	EjectConsecutiveFailures int
	EjectFailureRatio        float64
	// EjectLatencyRatio ejects an upstream whose recent latency exceeds the median of its pool by this factor.
	EjectLatencyRatio float64
	// MinSamples is the number of samples required for EjectFailureRatio, for EjectLatencyRatio, and before an upstream's own
	// service time is used.
	MinSamples int
	// BaseEjectionTime is the duration of the first ejection. It doubles with each ejection that follows within
	// MaxEjectionTime after the end of the last one, up to MaxEjectionTime.
	BaseEjectionTime, MaxEjectionTime time.Duration
}

// DefaultPolicy returns the default parameters; docs/notes/routing.md explains them.
func DefaultPolicy() Policy {
	return Policy{
		SampleSize:               2,
		SmallPool:                16,
		MaxPrefixHolders:         4,
		DefaultServiceTime:       100 * time.Millisecond,
		PrefillPerToken:          100 * time.Microsecond,
		RoleMismatchPenalty:      50 * time.Millisecond,
		AdapterLoadTime:          400 * time.Millisecond,
		OtherDataCentrePenalty:   3 * time.Millisecond,
		OtherRegionPenalty:       15 * time.Millisecond,
		CrossRegionPerKiB:        time.Millisecond,
		FailureCost:              time.Second,
		SlowStart:                20 * time.Second,
		EjectConsecutiveFailures: 5,
		EjectFailureRatio:        0.5,
		EjectLatencyRatio:        4,
		MinSamples:               10,
		BaseEjectionTime:         5 * time.Second,
		MaxEjectionTime:          5 * time.Minute,
	}
}

// Request describes the attempt for which to pick an upstream.
type Request struct {
	// Pool is the name of the service or model; "model:adapter" requests an adapter.
	Pool string
	// Model is set if the stage runs on a model engine.
	Model bool
	// Role is the preferred engine role; empty means any.
	Role upapi.Role
	// Prefixes holds the prefix hashes of the prompt (see upapi.PrefixHashes).
	Prefixes     []uint64
	PromptTokens int64
	// Rank is the priority; 0 is the most urgent.
	Rank               int
	DataCentre, Region string // of this node
	// Fingerprint is a hash of the content. If it is not 0, it determines the sample instead of the random source: all nodes
	// with the same view then consider the same few upstreams for the same content. This bounds how many upstreams a
	// request that crashes them can take down when it is sent through several nodes at once (see package crash). Different
	// contents are spread as evenly as by random sampling.
	Fingerprint uint64
	// Exclude lists the IDs of upstreams that must not be picked, such as those of earlier attempts.
	Exclude []string
	// TimeLeft is the time until the deadline. 0 means no deadline; a negative time means that it has passed.
	TimeLeft time.Duration
	// Repeatable is set if a failed attempt may be repeated. Other requests avoid failing upstreams more strongly.
	Repeatable bool
}

// Choice is the result of Pick for a Request.
type Choice struct {
	// Upstream is the picked upstream. It is nil only if Forward is set.
	Upstream *upview.Upstream
	// Forward is the summary of another data centre whose entry nodes should pick the upstream (Policy.UseSummaries).
	Forward *upview.Summary
	// ExpectedDelay is the estimated time until the first output.
	ExpectedDelay time.Duration
	// SavedTokens is the number of prompt tokens that are expected to be cached.
	SavedTokens int64
	// LoadAdapter is the adapter that the engine must load before the attempt; empty if none.
	LoadAdapter string
	// Ejected is set if the upstream is ejected but was picked because no healthier one was available.
	Ejected bool

	prefixes []uint64
}

// Result classifies the end of an attempt by what it says about the upstream's health.
type Result int

// Results of an attempt.
const (
	Succeeded Result = iota
	// Failed is an error or a broken stream caused by the upstream.
	Failed
	// TimedOut is an attempt that was not answered within its timeout.
	TimedOut
	// Busy is a refusal by a healthy upstream that has no free slot.
	Busy
	// HedgeLost is an attempt that was cancelled because a hedge answered first. It counts as half a failure: an upstream
	// that never answers loses to every hedge and would otherwise never record a failure.
	HedgeLost
	// Neutral is an end that says nothing about the upstream, such as a bad request or a cancellation by the caller.
	Neutral
)

// Outcome is the result of an attempt with its measured times.
type Outcome struct {
	Result Result
	// Latency is the time to the first byte of the answer; 0 means unknown.
	Latency time.Duration
	// Service is the time that the upstream spent working on the attempt; 0 means unknown.
	Service time.Duration
}

// Reason is the reason why no upstream could be picked.
type Reason string

// Reasons of a NoUpstreamError.
const (
	ReasonUnknownPool Reason = "unknown_pool" // no upstream has announced the service or model
	ReasonNoneLive    Reason = "none_live"    // all are leaving or draining, or their leases have expired
	ReasonExcluded    Reason = "excluded"     // all live ones are in Request.Exclude
	ReasonDeadline    Reason = "deadline"     // the deadline has passed
)

// NoUpstreamError reports that no upstream could be picked.
type NoUpstreamError struct {
	Pool     string
	Reason   Reason
	Known    int // total number of upstreams of the pool
	Leaving  int // leaving or draining
	Expired  int
	Excluded int // live, but in Request.Exclude
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream for %q: %s (%d known, %d leaving, %d expired, %d excluded)",
		e.Pool, e.Reason, e.Known, e.Leaving, e.Expired, e.Excluded)
}

// Router picks upstreams and tracks their load and health as this node observes them.
type Router struct {
	policy         Policy
	rng            *rand.Rand
	ownLoad        map[string]*ownLoad
	health         map[string]*health
	pools          map[string]*pool
	recentPrefixes recentPrefixes

	// Buffers reused by each Pick.
	candidates    []*upview.Upstream
	prefixHolders []string
	ranked        []rankedUpstream
	prunedAt      time.Time
	roundRobin    uint64 // rotates the order of upstreams in small pools
}

// rankedUpstream is an upstream with its rendezvous hash for a fingerprint.
type rankedUpstream struct {
	hash     uint64
	upstream *upview.Upstream
}

// New returns a router. The seed determines all sampling.
func New(policy Policy, seed uint64) *Router {
	rng := rand.New(rand.NewPCG(seed, 0x726f757465))
	return &Router{
		policy:         policy,
		rng:            rng,
		roundRobin:     uint64(rng.Uint32()), // so that nodes do not rotate in lockstep
		ownLoad:        map[string]*ownLoad{},
		health:         map[string]*health{},
		pools:          map[string]*pool{},
		recentPrefixes: newRecentPrefixes(),
	}
}

// Pick selects an upstream for one attempt. The error is a *NoUpstreamError.
func (r *Router) Pick(now time.Time, view *upview.View, req Request) (Choice, error) {
	if req.TimeLeft < 0 {
		return Choice{}, &NoUpstreamError{Pool: req.Pool, Reason: ReasonDeadline}
	}
	r.prune(now, view)
	p := r.pool(now, view, req.Pool)
	r.collectCandidates(now, view, req, p)
	best, found := r.best(now, view, req, p)
	if req.Model && r.policy.AdapterLoadTime > 0 {
		if other, ok := r.pickBase(now, view, req); ok && (!found || other.ExpectedDelay < best.ExpectedDelay) {
			best, found = other, true
		}
	}
	if r.policy.UseSummaries {
		if remote, ok := r.pickRemote(now, view, req); ok && (!found || remote.ExpectedDelay < best.ExpectedDelay) {
			best, found = remote, true
		}
	}
	if !found {
		return Choice{}, noUpstreamError(now, view.Pool(req.Pool), req)
	}
	best.prefixes = req.Prefixes
	return best, nil
}

// Dispatched records that an attempt was sent to the picked upstream.
func (r *Router) Dispatched(now time.Time, c Choice) {
	if c.Upstream == nil {
		return
	}
	r.ownLoadOf(c.Upstream).add(now, 1)
	r.recentPrefixes.add(now, c.Upstream.ID, c.prefixes)
}

// Done records that the attempt has ended, successfully or not.
func (r *Router) Done(now time.Time, c Choice) {
	if c.Upstream == nil {
		return
	}
	// An attempt on an earlier incarnation is not counted in the load of the current one.
	if l := r.ownLoad[c.Upstream.ID]; l != nil && l.incarnation == c.Upstream.Incarnation {
		l.add(now, -1)
	}
}

func noUpstreamError(now time.Time, list []*upview.Upstream, req Request) *NoUpstreamError {
	e := &NoUpstreamError{Pool: req.Pool, Known: len(list)}
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
