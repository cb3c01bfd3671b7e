package crashd

import (
	"github.com/berylledge/berylledge/internal/flow/crash"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/rstate"
)

// learnedNews returns the event for what a control node told. Brief news only say that there is more to ask for.
func learnedNews(n rstate.CrashNews) crash.EntriesReceived {
	if n.Brief {
		return crash.EntriesReceived{Version: n.Version, BaseVersion: n.Version}
	}
	return crash.EntriesReceived{Version: n.Version, Full: true, Entries: entries(n.Entries)}
}

// learnedResult returns the event for the result of an own command.
func learnedResult(r rstate.CrashResult) crash.EntriesReceived {
	if r.Brief {
		return crash.EntriesReceived{Version: r.Version, BaseVersion: r.Version}
	}
	return crash.EntriesReceived{Version: r.Version, BaseVersion: r.Before, Entries: entries(r.Changed)}
}

func entries(list []rstate.CrashEntry) []poison.Entry {
	out := make([]poison.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, e.Entry())
	}
	return out
}
