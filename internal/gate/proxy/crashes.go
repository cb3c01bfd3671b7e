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
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// contentFingerprint identifies the content of the request, so that a repetition of it is recognised.
func (x *exchange) contentFingerprint() poison.Fingerprint {
	if x.fingerprint == nil {
		c := deny.Sum(x.r.Host, x.r.RequestURI, x.teamName(), x.body)
		x.fingerprint = &c
	}
	return *x.fingerprint
}

// crashRefreshTimeout bounds how long a request waits for other nodes' crash reports about its content. After
// that, it is sent without them.
const crashRefreshTimeout = 250 * time.Millisecond

// checkBlocked refuses a request whose content has repeatedly crashed upstreams. If it has crashed at least one,
// the check first waits for crash reports from other nodes.
func (x *exchange) checkBlocked() *refusal {
	if x.f.o.Crashes.Len() == 0 || x.f.o.Crashes.CrashCount(x.contentFingerprint()) == 0 {
		return nil
	}
	if !x.crashesRefreshed {
		x.crashesRefreshed = true
		ctx, cancel := context.WithTimeout(x.ctx, crashRefreshTimeout)
		x.f.o.RefreshCrashes(ctx)
		cancel()
	}
	left, yes := x.f.o.Crashes.Blocked(x.f.o.Clock.Now(), x.contentFingerprint())
	if !yes {
		return nil
	}
	r := x.gatewayError("requests with this content crashed the upstreams that ran them", left)
	return &r
}

// recordCrash records that an upstream closed the connection while it was running the request.
func (x *exchange) recordCrash(u roster.Upstream) {
	x.crashesRefreshed = false
	x.f.recordCrash(x.id, x.contentFingerprint(), u)
}

// recordCrash records that an upstream ended while it was running a request with some content.
func (f *Forwarder) recordCrash(request string, content poison.Fingerprint, u roster.Upstream) {
	now := f.o.Clock.Now()
	crashes := f.o.Crashes.RecordCrash(now, content, deny.IncarnationID(u.ID, u.StartedMs))
	f.o.Events.Emit(event.ContentCrashed, event.F("request", request), event.F("content", content), event.F("upstream", u.ID),
		event.F("born_ms", u.StartedMs), event.F("crashes", crashes))
	if crashes == deny.MaxCrashes {
		f.o.Events.Emit(event.ContentBlocked, event.F("content", content), event.F("peer", f.o.Node))
	}
	f.reportCrash(now)
}

// crashReportInterval limits reports outside the regular poll, since a dying upstream can fail many requests at
// once. Crashes recorded in between are sent with the next poll.
const crashReportInterval = 500 * time.Millisecond

func (f *Forwarder) reportCrash(now time.Time) {
	f.mu.Lock()
	due := now.Sub(f.lastCrashReport) >= crashReportInterval
	if due {
		f.lastCrashReport = now
	}
	f.mu.Unlock()
	if due {
		f.o.ReportCrashes()
	}
}

// recordSuccess clears the crash record of the request's content and the suspicions against it, after an upstream responded to it.
func (x *exchange) recordSuccess() {
	if x.f.hasSilentRuns.Load() {
		x.f.dropSilentRuns(x.contentFingerprint())
	}
	if x.f.o.Crashes.Len() == 0 || !x.f.o.Crashes.RecordSuccess(x.f.o.Clock.Now(), x.contentFingerprint()) {
		return
	}
	x.f.o.Events.Emit(event.ContentCleared, event.F("request", x.id), event.F("content", x.contentFingerprint()))
}

// isDisconnect reports whether err means that the upstream closed the connection, as it does when its process
// dies. A request at an upstream that stops responding ends at its deadline instead (noteSilentRun).
func isDisconnect(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, upcon.ErrReset, errIncomplete} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
