package proxy

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/poison"
)

// A request may crash an upstream whose VM then sends nothing: the connection stays open, and the request ends at its deadline like a
// slow one. That the upstream crashed shows only when another start replaces it. The requests that had no end at an upstream are
// therefore kept for a while, and count as crashes if that start of the upstream is gone by then. An answer to the same content ends
// the suspicion, as it clears recorded crashes (package deny).

// silentRun is a request that ended without an answer or a disconnect.
type silentRun struct {
	request  string
	content  poison.Fingerprint
	upstream roster.Upstream
	at       time.Time
}

const (
	silentRunLife = 20 * time.Second // a crashed upstream is back after some seconds
	maxSilentRuns = 256
)

// noteSilentRun keeps a request that got no answer from an upstream by its end.
func (x *exchange) noteSilentRun(u roster.Upstream) {
	f := x.f
	run := silentRun{x.id, x.contentFingerprint(), u, f.o.Clock.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.silentRuns) >= maxSilentRuns {
		f.silentRuns = f.silentRuns[1:]
	}
	f.silentRuns = append(f.silentRuns, run)
	f.hasSilentRuns.Store(true)
}

// dropSilentRuns forgets the kept requests with some content, after one of them was answered.
func (f *Forwarder) dropSilentRuns(content poison.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silentRuns = slices.DeleteFunc(f.silentRuns, func(run silentRun) bool { return run.content == content })
	f.hasSilentRuns.Store(len(f.silentRuns) > 0)
}

// checkSilentRuns records a crash for each kept request whose upstream is gone.
func (f *Forwarder) checkSilentRuns(now time.Time) {
	for _, run := range f.takeSilentRuns(now) {
		f.recordCrash(run.request, run.content, run.upstream)
	}
}

// takeSilentRuns removes the requests whose upstream is gone, and returns them. Requests at upstreams that leave as planned, and old
// ones, are dropped.
func (f *Forwarder) takeSilentRuns(now time.Time) []silentRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	var gone []silentRun
	kept := f.silentRuns[:0]
	for _, run := range f.silentRuns {
		switch current, ok := f.find(run.upstream); {
		case !ok || current.StartedMs != run.upstream.StartedMs:
			gone = append(gone, run)
		case current.State == roster.Ready && now.Sub(run.at) < silentRunLife:
			kept = append(kept, run)
		}
	}
	clear(f.silentRuns[len(kept):])
	f.silentRuns = kept
	f.hasSilentRuns.Store(len(kept) > 0)
	return gone
}

// find returns the present record of an upstream.
func (f *Forwarder) find(u roster.Upstream) (roster.Upstream, bool) {
	for _, now := range f.o.View().Services[u.Service] {
		if now.ID == u.ID {
			return now, true
		}
	}
	return roster.Upstream{}, false
}
