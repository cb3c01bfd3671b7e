package rstate

import (
	"time"

	"github.com/berylledge/berylledge/internal/state/poison"
)

// CrashOp says which command of package poison a Crash carries.
type CrashOp string

// The operations. Clear is a command of its own, ClearQuarantine, because operators give it.
const (
	CrashReportDeath   CrashOp = "report_death"
	CrashReportSuccess CrashOp = "report_success"
	CrashAskSolo       CrashOp = "ask_solo"
	CrashEndSolo       CrashOp = "end_solo"
	CrashExpire        CrashOp = "expire"
)

// MaxCrashMembers bounds the fingerprints of one report of a death; a node with more of them reports in parts.
const MaxCrashMembers = 256

// Crash carries a command of package poison. Fields that the operation does not use are zero.
type Crash struct {
	Op          CrashOp            `cbor:"1,keyasint"`
	Fingerprint poison.Fingerprint `cbor:"2,keyasint"`
	Upstream    string             `cbor:"3,keyasint,omitempty"`
	Incarnation uint64             `cbor:"4,keyasint,omitempty"`
	// Members holds the fingerprints of a report of a death, one after the other.
	Members []byte `cbor:"5,keyasint,omitempty"`
	Node    string `cbor:"6,keyasint,omitempty"`
	Run     uint64 `cbor:"7,keyasint,omitempty"`
	Version uint64 `cbor:"8,keyasint,omitempty"`
	AtMS    int64  `cbor:"9,keyasint"`
}

// CrashCommands returns the commands that carry a command of package poison: more than one for a report with more than
// MaxCrashMembers members, and none for poison.Clear.
func CrashCommands(c poison.Command, atMS int64) []Crash {
	switch c := c.(type) {
	case poison.ReportDeath:
		var out []Crash
		for rest := c.Members; len(rest) > 0; {
			n := min(len(rest), MaxCrashMembers)
			x := Crash{Op: CrashReportDeath, Upstream: c.Upstream, Incarnation: c.Incarnation, AtMS: atMS}
			for _, fp := range rest[:n] {
				x.Members = append(x.Members, fp[:]...)
			}
			out, rest = append(out, x), rest[n:]
		}
		return out
	case poison.ReportSuccess:
		return []Crash{{Op: CrashReportSuccess, Fingerprint: c.Fingerprint, Version: c.Version, AtMS: atMS}}
	case poison.ClaimSolo:
		return []Crash{{Op: CrashAskSolo, Fingerprint: c.Fingerprint, Upstream: c.Upstream, Node: c.Node, Run: c.Run, AtMS: atMS}}
	case poison.EndSolo:
		return []Crash{{Op: CrashEndSolo, Fingerprint: c.Fingerprint, Node: c.Node, Run: c.Run, AtMS: atMS}}
	case poison.Expire:
		return []Crash{{Op: CrashExpire, AtMS: atMS}}
	case poison.Clear:
	}
	return nil
}

func (c Crash) command() poison.Command {
	switch c.Op {
	case CrashReportDeath:
		r := poison.ReportDeath{Upstream: c.Upstream, Incarnation: c.Incarnation}
		for m := c.Members; len(m) > 0; m = m[fingerprintBytes:] {
			r.Members = append(r.Members, poison.Fingerprint(m[:fingerprintBytes]))
		}
		return r
	case CrashReportSuccess:
		return poison.ReportSuccess{Fingerprint: c.Fingerprint, Version: c.Version}
	case CrashAskSolo:
		return poison.ClaimSolo{Fingerprint: c.Fingerprint, Upstream: c.Upstream, Node: c.Node, Run: c.Run}
	case CrashEndSolo:
		return poison.EndSolo{Fingerprint: c.Fingerprint, Node: c.Node, Run: c.Run}
	case CrashExpire:
	}
	return poison.Expire{}
}

const fingerprintBytes = len(poison.Fingerprint{})

func (c Crash) check() error {
	f := fields{kind: c.kind()}
	switch c.Op {
	case CrashReportDeath:
		f.id("upstream", c.Upstream)
		f.size("members", len(c.Members), fingerprintBytes, MaxCrashMembers*fingerprintBytes)
		if len(c.Members)%fingerprintBytes != 0 {
			f.fail("members", "is not a list of fingerprints")
		}
	case CrashAskSolo:
		f.id("upstream", c.Upstream)
		f.id("node", c.Node)
	case CrashEndSolo:
		f.id("node", c.Node)
	case CrashReportSuccess, CrashExpire:
	default:
		f.fail("op", "is not one of report_death, report_success, ask_solo, end_solo, expire")
	}
	f.time("at_ms", c.AtMS)
	return f.err
}

// CrashEntry is a suspect with its status, in results and in messages between processes.
type CrashEntry struct {
	Fingerprint poison.Fingerprint `cbor:"1,keyasint"`
	Status      poison.Status      `cbor:"2,keyasint"`
	Deaths      int                `cbor:"3,keyasint"`
	ExpiresMS   int64              `cbor:"4,keyasint"`
}

// CrashEntries returns entries of package poison in the form that messages carry.
func CrashEntries(list []poison.Entry) []CrashEntry {
	out := make([]CrashEntry, 0, len(list))
	for _, e := range list {
		x := CrashEntry{Fingerprint: e.Fingerprint, Status: e.Status, Deaths: e.Deaths}
		if e.Status != poison.Clean {
			x.ExpiresMS = e.Expires.UnixMilli()
		}
		out = append(out, x)
	}
	return out
}

// CrashNews are all suspects as of a version. Brief says that there are too many to be told without being asked.
type CrashNews struct {
	Version uint64       `cbor:"1,keyasint"`
	Entries []CrashEntry `cbor:"2,keyasint"`
	Brief   bool         `cbor:"3,keyasint,omitempty"`
}

// Entry returns the entry in the form of package poison.
func (e CrashEntry) Entry() poison.Entry {
	return poison.Entry{Fingerprint: e.Fingerprint, Status: e.Status, Deaths: e.Deaths, Expires: time.UnixMilli(e.ExpiresMS).UTC()}
}

// maxChanged bounds the changed entries of a result, so that it stays within the limits of the decoder.
const maxChanged = 48

// applyCrash carries out a command at the state's time.
func (s *State) applyCrash(cmd poison.Command) CrashResult {
	res := s.suspects.Apply(time.UnixMilli(s.nowMS).UTC(), cmd)
	out := CrashResult{Version: res.Version, Before: res.BaseVersion, Granted: res.Granted, UpstreamTaken: res.UpstreamTaken}
	if res.Granted {
		out.UntilMS = res.Until.UnixMilli()
	}
	if out.Brief = len(res.Changed) > maxChanged; !out.Brief {
		out.Changed = CrashEntries(res.Changed)
	}
	return out
}

// clearQuarantine accepts what an operator typed: an unknown or malformed fingerprint clears nothing.
func (s *State) clearQuarantine(c ClearQuarantine) ClearResult {
	fp, ok := poison.ParseFingerprint(c.Fingerprint)
	if !ok || s.suspects.Entry(fp).Status == poison.Clean {
		return ClearResult{}
	}
	s.applyCrash(poison.Clear{Fingerprint: fp})
	return ClearResult{Cleared: true}
}

// CrashChanged returns the version of the latest change of a suspect.
func (s *State) CrashChanged() uint64 { return s.suspects.LastChange() }

// CrashNews returns all suspects.
func (s *State) CrashNews() CrashNews {
	return CrashNews{Version: s.suspects.Version(), Entries: CrashEntries(s.suspects.List())}
}

// Suspects returns all entries, isolated ones included, ordered by fingerprint.
func (s *State) Suspects() []poison.Entry { return s.suspects.List() }

// Isolated reports whether a fingerprint is isolated.
func (s *State) Isolated(fp poison.Fingerprint) bool {
	return s.suspects.Entry(fp).Status == poison.Isolated
}

func (s *State) crashPolicy() poison.RegistryPolicy {
	p := poison.DefaultRegistryPolicy()
	p.MaxDeaths, p.EntryTTL = s.rules.maxDeaths, time.Duration(s.rules.quarantineMS)*time.Millisecond
	return p
}

// setCrashLimits puts the limits of the present configuration in force.
func (s *State) setCrashLimits() {
	p := s.crashPolicy()
	s.suspects.SetLimits(p.MaxDeaths, p.EntryTTL)
}
