package proxy

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/poison"
)

// contentOf returns what identifies the request when it comes again.
func (x *exchange) contentOf() poison.Fingerprint {
	if x.content == nil {
		c := deny.Sum(x.r.Host, x.r.RequestURI, x.teamName(), x.body)
		x.content = &c
	}
	return *x.content
}

// consultWait bounds how long a request waits for news of its content; without them it is sent.
const consultWait = 250 * time.Millisecond

// blocked refuses a request whose content crashed one upstream after the other. One that has crashed any waits for what
// other nodes reported.
func (x *exchange) blocked() *refusal {
	if x.f.o.Blame.Len() == 0 || x.f.o.Blame.Open(x.contentOf()) == 0 {
		return nil
	}
	if !x.informed {
		x.informed = true
		ctx, cancel := context.WithTimeout(x.ctx, consultWait)
		x.f.o.Consult(ctx)
		cancel()
	}
	left, yes := x.f.o.Blame.Blocked(x.f.o.Clock.Now(), x.contentOf())
	if !yes {
		return nil
	}
	r := x.giveUp("requests with this content crashed the upstreams that ran them", left)
	return &r
}

// noteCrash notes that an upstream broke the connection while it ran the request.
func (x *exchange) noteCrash(u roster.Upstream) {
	x.informed = false
	now, c := x.f.o.Clock.Now(), x.contentOf()
	crashes := x.f.o.Blame.Crashed(now, c, deny.Start(u.ID, u.StartedMs))
	x.f.o.Events.Emit(event.ContentCrashed, event.F("request", x.id), event.F("content", c), event.F("upstream", u.ID),
		event.F("born_ms", u.StartedMs), event.F("crashes", crashes))
	if crashes == deny.MostCrashes {
		x.f.o.Events.Emit(event.ContentBlocked, event.F("content", c), event.F("peer", x.f.o.Node))
	}
	x.f.report(now)
}

// reportEvery bounds the questions ahead of time while an upstream that dies takes many requests with it. Notes in between
// go with the next question.
const reportEvery = 500 * time.Millisecond

func (f *Front) report(now time.Time) {
	f.mu.Lock()
	due := now.Sub(f.reported) >= reportEvery
	if due {
		f.reported = now
	}
	f.mu.Unlock()
	if due {
		f.o.Report()
	}
}

// noteAnswer notes that an upstream answered the request, so that its content crashes none.
func (x *exchange) noteAnswer() {
	if x.f.o.Blame.Len() == 0 || !x.f.o.Blame.Worked(x.f.o.Clock.Now(), x.contentOf()) {
		return
	}
	x.f.o.Events.Emit(event.ContentCleared, event.F("request", x.id), event.F("content", x.contentOf()))
}

// brokeOff reports whether an upstream's connection broke, as it does when the process dies. One that falls silent ends
// with the time of the request instead.
func brokeOff(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errIncomplete} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
