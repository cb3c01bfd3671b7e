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

// Permit is the answer of a Guard.
type Permit struct {
	ID     uint64
	Run    bool // the run may start; if it may not, Status says why, Clean if the context ended first
	Status poison.Status
	// Proven says that the content succeeded lately, so any upstream may be picked.
	Proven bool
	// Solo runs start on the upstream that claim picked, and are cancelled at Until.
	Solo  bool
	Until time.Time
}

// Guard keeps requests that crash upstreams from running again. It is safe for concurrent use. A run that was permitted is
// ended by exactly one of Refused, Ended, Broken, Lost and Cancelled.
type Guard interface {
	// Ask waits until a content may run. claim picks an upstream for a solo run; it may be called several times.
	Ask(ctx context.Context, f poison.Fingerprint, claim func() (upstream string, ok bool)) Permit
	// Again waits for the next permit of a run after Refused returned true.
	Again(ctx context.Context, id uint64, claim func() (upstream string, ok bool)) Permit
	// Stands reports whether the permit of a run is still good once its upstream is chosen. If not, Again or Cancelled must
	// follow.
	Stands(id uint64) bool
	// Started says that a run has a connection and will be sent.
	Started(id uint64, upstream string, incarnation uint64)
	// Refused says that the run was not sent, because no connection could be made. If it returns true, Again or Cancelled
	// must follow.
	Refused(id uint64) bool
	// Ended says that the run ended and its upstream lives.
	Ended(id uint64, ok bool)
	// Broken says that the connection broke; it waits until the failure may be answered or retried.
	Broken(id uint64)
	// Lost says that the run was given up before its upstream answered.
	Lost(id uint64)
	// Cancelled gives a permit back.
	Cancelled(id uint64)
	// UpstreamDied and Survived bring evidence about an incarnation of an upstream; it lived at the given time.
	UpstreamDied(upstream string, incarnation uint64)
	UpstreamAlive(upstream string, incarnation uint64, at time.Time)
}

// enter picks the upstream of the next attempt once the guard lets the content run.
func (st *stageRun) enter(ctx context.Context, resume bool) *failure {
	g := st.o.Guard
	if g == nil {
		if resume {
			return nil
		}
		return st.pick(ctx, 0)
	}
	claim := func() (string, bool) {
		if !resume && st.pick(ctx, 0) != nil {
			return "", false
		}
		return st.last.Upstream.ID, true
	}
	fp := st.fingerprint()
	for {
		if st.pending {
			st.permit = g.Again(ctx, st.permit.ID, claim)
		} else {
			st.permit = g.Ask(ctx, fp, claim)
		}
		st.pending = false
		if !st.permit.Run {
			return st.blocked(fp)
		}
		if resume || st.permit.Solo {
			return nil
		}
		word := fp.Uint64()
		if st.permit.Proven {
			word = 0
		}
		if f := st.pick(ctx, word); f != nil {
			g.Cancelled(st.permit.ID)
			return f
		}
		if g.Stands(st.permit.ID) {
			return nil
		}
		st.pending = true
	}
}

// dropPermit gives back a permit that is still owed.
func (st *stageRun) dropPermit() {
	if st.pending {
		st.o.Guard.Cancelled(st.permit.ID)
	}
}

// fingerprint hashes what the upstream works on.
func (st *stageRun) fingerprint() poison.Fingerprint {
	return poison.Sum(st.req.Pipeline.Name, st.stage.Name, st.req.InputHash[:], []byte(st.prior))
}

func (st *stageRun) blocked(fp poison.Fingerprint) *failure {
	if st.permit.Status == poison.Clean {
		return &failure{code: caller.CodeDeadline, message: "stage " + st.stage.Name + ": the deadline passed"}
	}
	st.o.Events.Emit(event.RequestBlocked, event.F("request", st.req.ID), event.F("stage", st.stage.Name),
		event.F("team", st.req.Team), event.F("fingerprint", fp), event.F("status", st.permit.Status))
	if st.permit.Status == poison.Isolated {
		return &failure{code: caller.CodeQuarantined, message: "stage " + st.stage.Name + ": requests with this content crashed upstreams"}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return &failure{
		code: caller.CodeSuspected, retryAfter: st.retry.RetryAfter(retryAfterBase),
		message: "stage " + st.stage.Name + ": this content was running on upstreams that died, and it is not known yet which content was the cause",
	}
}

// watched returns the context of an attempt: it tells the guard of the connection, and ends with a solo run.
func (st *stageRun) watched(ctx context.Context) (context.Context, context.CancelFunc) {
	g := st.o.Guard
	if g == nil {
		return ctx, func() {}
	}
	id, up := st.permit.ID, st.last.Upstream
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { g.Started(id, up.ID, up.Incarnation) },
	})
	if !st.permit.Solo {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, st.permit.Until.Sub(st.o.Clock.Now()))
}

// conclude tells the guard how an attempt ended. After a broken connection it looks for the upstream and waits.
func (st *stageRun) conclude(o outcome) {
	g := st.o.Guard
	if g == nil {
		return
	}
	id, up := st.permit.ID, st.last.Upstream
	switch {
	case o.ok:
		g.Ended(id, true)
	case o.class == retry.ClassConnect:
		st.pending = g.Refused(id)
		if o.gone && !st.leaving() {
			g.UpstreamDied(up.ID, up.Incarnation)
		}
		if !st.pending {
			g.Broken(id) // its upstream was found dead meanwhile
		}
	case !o.broken:
		g.Ended(id, false)
	case o.class != retry.ClassReset:
		g.Lost(id)
	default:
		probed, cancel := context.WithCancel(st.closing)
		leaving := st.leaving()
		st.wg.Go(func() { st.probe(probed, up, leaving) }) // it may end after the next attempt has begun
		g.Broken(id)
		cancel()
	}
}

// leaving reports whether the upstream said that it leaves: its end is not a crash.
func (st *stageRun) leaving() bool {
	u := st.o.View().Get(st.last.Upstream.ID)
	return u != nil && u.Incarnation == st.last.Upstream.Incarnation && u.Leaving
}

const (
	// probeDelay lets a dying process close its listener: the system closes its connections one after the other.
	probeDelay = 20 * time.Millisecond
	// probeRead is how long a new connection must stay open to show that the process lives.
	probeRead = 30 * time.Millisecond
	// probeTries bounds the probes of an upstream that takes connections and closes them.
	probeTries = 8
)

// probe finds out whether the upstream whose connection broke is gone: a refused connection shows its death, one that stays
// open its life. Anything else is left to its lease.
func (st *stageRun) probe(ctx context.Context, up *upview.Upstream, leaving bool) {
	if leaving {
		st.o.Guard.UpstreamAlive(up.ID, up.Incarnation, st.o.Clock.Now())
		return
	}
	for range probeTries {
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
		_ = conn.SetReadDeadline(now.Add(probeRead))
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			st.o.Guard.UpstreamAlive(up.ID, up.Incarnation, now)
			return
		}
	}
}

// brokenBy reports whether reading a result failed because of the connection; a result that is not JSON came from an
// upstream that lives.
func brokenBy(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return !errors.As(err, &syntax) && !errors.As(err, &kind)
}
