package exec

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http/httptrace"
	"os"
	"syscall"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/internal/flow/retry"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/pkg/caller"
)

// Permit is the reply of a Guard.
type Permit struct {
	ID     uint64
	Run    bool // the run may start; otherwise Status is the reason, or Clean if the context ended first
	Status poison.Status
	// Proven is set if the content succeeded recently, so that any upstream may be picked.
	Proven bool
	// A Solo run starts on the upstream that the claim function picked and is cancelled at Until.
	Solo  bool
	Until time.Time
}

// Guard prevents requests that crash upstreams from running again. It is safe for concurrent use. Each permitted run must
// be ended by exactly one of ConnectRefused, Ended, ConnectionLost, Abandoned and Cancelled.
type Guard interface {
	// RequestPermit waits until content may run. claim picks an upstream for a solo run and may be called several times.
	RequestPermit(ctx context.Context, f poison.Fingerprint, claim func() (upstream string, ok bool)) Permit
	// AwaitPermit waits for the next permit of a run after ConnectRefused returned true or PermitValid returned false.
	AwaitPermit(ctx context.Context, id uint64, claim func() (upstream string, ok bool)) Permit
	// PermitValid reports whether the permit of a run is still valid after its upstream was chosen. If not, AwaitPermit or
	// Cancelled must follow.
	PermitValid(id uint64) bool
	// Started reports that a run has a connection and is about to be sent.
	Started(id uint64, upstream string, incarnation uint64)
	// ConnectRefused reports that the run was not sent because no connection could be made. If it returns true, AwaitPermit
	// or Cancelled must follow.
	ConnectRefused(id uint64) bool
	// Ended reports that the run ended and its upstream is alive.
	Ended(id uint64, ok bool)
	// ConnectionLost reports that the connection broke. It blocks until the failure may be returned to the caller or retried.
	ConnectionLost(id uint64)
	// Abandoned reports that the run was given up before its upstream responded.
	Abandoned(id uint64)
	// Cancelled returns an unused permit.
	Cancelled(id uint64)
	// UpstreamDied and UpstreamAlive provide evidence about an incarnation of an upstream. For UpstreamAlive, at is a time
	// at which it was certainly alive.
	UpstreamDied(upstream string, incarnation uint64)
	UpstreamAlive(upstream string, incarnation uint64, at time.Time)
}

// acquirePermit waits until the guard permits the content to run, and picks the upstream of the next attempt.
func (st *stageRun) acquirePermit(ctx context.Context, resume bool) *failure {
	g := st.o.Guard
	if g == nil {
		if resume {
			return nil
		}
		return st.pickUpstream(ctx, 0)
	}
	claim := func() (string, bool) {
		if !resume && st.pickUpstream(ctx, 0) != nil {
			return "", false
		}
		return st.choice.Upstream.ID, true
	}
	fp := st.fingerprint()
	for {
		if st.permitPending {
			st.permit = g.AwaitPermit(ctx, st.permit.ID, claim)
		} else {
			st.permit = g.RequestPermit(ctx, fp, claim)
		}
		st.permitPending = false
		if !st.permit.Run {
			return st.blockedFailure(fp)
		}
		if resume || st.permit.Solo {
			return nil
		}
		sampleKey := fp.Uint64()
		if st.permit.Proven {
			sampleKey = 0
		}
		if f := st.pickUpstream(ctx, sampleKey); f != nil {
			g.Cancelled(st.permit.ID)
			return f
		}
		if g.PermitValid(st.permit.ID) {
			return nil
		}
		st.permitPending = true
	}
}

// cancelPendingPermit cancels a permit request that the guard has not answered.
func (st *stageRun) cancelPendingPermit() {
	if st.permitPending {
		st.o.Guard.Cancelled(st.permit.ID)
	}
}

// fingerprint hashes the input of the stage.
func (st *stageRun) fingerprint() poison.Fingerprint {
	return poison.Sum(st.req.Pipeline.Name, st.stage.Name, st.req.InputHash[:], []byte(st.priorOutput))
}

func (st *stageRun) blockedFailure(fp poison.Fingerprint) *failure {
	if st.permit.Status == poison.Clean {
		return &failure{code: caller.CodeDeadline, message: "stage " + st.stage.Name + ": deadline exceeded"}
	}
	st.o.Events.Emit(event.RequestBlocked, event.F("request", st.req.ID), event.F("stage", st.stage.Name),
		event.F("team", st.req.Team), event.F("fingerprint", fp), event.F("status", st.permit.Status))
	if st.permit.Status == poison.Isolated {
		return &failure{code: caller.CodeQuarantined, message: "stage " + st.stage.Name + ": requests with this content have crashed upstreams"}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return &failure{
		code: caller.CodeSuspected, retryAfter: st.retry.RetryAfter(retryAfterBase),
		message: "stage " + st.stage.Name + ": this content was running on upstreams that died; the cause has not been determined yet",
	}
}

// attemptContext returns the context of an attempt. It notifies the guard when a connection is obtained, and expires with
// the grant of a solo run.
func (st *stageRun) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	g := st.o.Guard
	if g == nil {
		return ctx, func() {}
	}
	id, up := st.permit.ID, st.choice.Upstream
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { g.Started(id, up.ID, up.Incarnation) },
	})
	if !st.permit.Solo {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, st.permit.Until.Sub(st.o.Clock.Now()))
}

// notifyGuard tells the guard how an attempt ended. After a broken connection it also probes the upstream, and blocks until
// the failure may be returned or retried.
func (st *stageRun) notifyGuard(o outcome) {
	g := st.o.Guard
	if g == nil {
		return
	}
	id, up := st.permit.ID, st.choice.Upstream
	switch {
	case o.ok:
		g.Ended(id, true)
	case o.class == retry.ClassConnect:
		st.permitPending = g.ConnectRefused(id)
		if o.connRefused && !st.upstreamLeaving() {
			g.UpstreamDied(up.ID, up.Incarnation)
		}
		if !st.permitPending {
			g.ConnectionLost(id) // the upstream was found dead meanwhile
		}
	case !o.connLost:
		g.Ended(id, false)
	case o.class != retry.ClassReset:
		g.Abandoned(id)
	default:
		probeCtx, cancel := context.WithCancel(st.closing)
		leaving := st.upstreamLeaving()
		st.wg.Go(func() { st.probeUpstream(probeCtx, up, leaving) }) // may outlast the start of the next attempt
		g.ConnectionLost(id)
		cancel()
	}
}

// upstreamLeaving reports whether the upstream announced its departure, in which case its end is not a crash.
func (st *stageRun) upstreamLeaving() bool {
	u := st.o.View().Get(st.choice.Upstream.ID)
	return u != nil && u.Incarnation == st.choice.Upstream.Incarnation && u.Leaving
}

const (
	// probeDelay lets a dying process close its listener: the system closes its sockets one after the other.
	probeDelay = 20 * time.Millisecond
	// probeReadTimeout is how long a new connection must stay open to show that the process is alive.
	probeReadTimeout = 30 * time.Millisecond
	// maxProbes bounds the probes of an upstream that accepts connections and closes them.
	maxProbes = 8
)

// probeUpstream determines whether an upstream whose connection broke is gone. A refused connection shows that it is dead,
// one that stays open that it is alive. Otherwise its lease decides.
func (st *stageRun) probeUpstream(ctx context.Context, up *upview.Upstream, leaving bool) {
	if leaving {
		st.o.Guard.UpstreamAlive(up.ID, up.Incarnation, st.o.Clock.Now())
		return
	}
	for range maxProbes {
		if clock.Sleep(ctx, st.o.Clock, probeDelay) != nil {
			return
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", up.Address)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				st.o.Guard.UpstreamDied(up.ID, up.Incarnation)
				return
			}
			continue
		}
		now := st.o.Clock.Now()
		_ = conn.SetReadDeadline(now.Add(probeReadTimeout))
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			st.o.Guard.UpstreamAlive(up.ID, up.Incarnation, now)
			return
		}
	}
}

// isConnectionError reports whether reading a result failed because of the connection. An upstream that sent a result that
// is not valid JSON is alive.
func isConnectionError(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return !errors.As(err, &syntax) && !errors.As(err, &kind)
}
