package crashd

import (
	"github.com/berylledge/berylledge/internal/flow/crash"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/rstate"
)

// learnedNews returns the event for what a control node told. Brief news only say that there is more to ask for.
func learnedNews(n rstate.CrashNews) crash.Learned {
	if n.Brief {
		return crash.Learned{Version: n.Version, Before: n.Version}
	}
	return crash.Learned{Version: n.Version, Whole: true, Entries: entries(n.Entries)}
}

// learnedResult returns the event for the result of an own command.
func learnedResult(r rstate.CrashResult) crash.Learned {
	if r.Brief {
		return crash.Learned{Version: r.Version, Before: r.Version}
	}
	return crash.Learned{Version: r.Version, Before: r.Before, Entries: entries(r.Changed)}
}

func entries(list []rstate.CrashEntry) []poison.Entry {
	out := make([]poison.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, e.Entry())
	}
	return out
}
