package crashd

import (
	"github.com/berylledge/berylledge/internal/flow/crash"
	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/rstate"
)

// eventFromUpdate converts an update from a control node. A brief update carries no entries and only announces that there
// are changes to fetch.
func eventFromUpdate(n rstate.CrashNews) crash.EntriesReceived {
	if n.Brief {
		return crash.EntriesReceived{Version: n.Version, BaseVersion: n.Version}
	}
	return crash.EntriesReceived{Version: n.Version, Full: true, Entries: convertEntries(n.Entries)}
}

// eventFromResult converts the result of a command proposed by this node.
func eventFromResult(r rstate.CrashResult) crash.EntriesReceived {
	if r.Brief {
		return crash.EntriesReceived{Version: r.Version, BaseVersion: r.Version}
	}
	return crash.EntriesReceived{Version: r.Version, BaseVersion: r.Before, Entries: convertEntries(r.Changed)}
}

func convertEntries(list []rstate.CrashEntry) []poison.Entry {
	out := make([]poison.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, e.Entry())
	}
	return out
}
