package poison

import (
	"bytes"
	"slices"
	"time"
)

// RegistryPolicy holds the parameters of a Fleet. All replicas must have the same.
type RegistryPolicy struct {
	// MaxDeaths is the number of distinct upstream deaths after which a fingerprint no longer runs.
	MaxDeaths int
	// EntryTTL is the time after its last death at which a fingerprint is forgotten.
	EntryTTL time.Duration
	// Settle is how long reports of other nodes about the same death are awaited before a fingerprint counts as the only
	// one that was running.
	Settle time.Duration
	// SoloAfter is the time from the latest death of a suspect to its solo run. Copies that were sent at the same time may
	// have killed another upstream a moment ago, and the report of that death is still on its way.
	SoloAfter time.Duration
	// SoloFor is the longest solo run. The node cancels the run before it ends.
	SoloFor time.Duration
	// MaxRecords bounds the deaths that are kept; the oldest are forgotten.
	MaxRecords int
	// MaxMembers bounds the fingerprints of one death, those that were cleared included.
	MaxMembers int
}

// DefaultRegistryPolicy returns the parameters that docs/notes/routing.md explains.
func DefaultRegistryPolicy() RegistryPolicy {
	return RegistryPolicy{
		MaxDeaths: 2, EntryTTL: time.Hour, Settle: time.Second, SoloAfter: 500 * time.Millisecond, SoloFor: time.Minute, MaxRecords: 64, MaxMembers: 256,
	}
}

// Command is a change of the fleet's state: ReportDeath, ReportSuccess, AskSolo, EndSolo, Clear or Expire.
//
//sumtype:decl
type Command interface{ command() }

// ReportDeath says that an incarnation of an upstream died while a node had the members running on it. Each node
// reports its own members.
type ReportDeath struct {
	Upstream    string
	Incarnation uint64
	Members     []Fingerprint
}

// ReportSuccess says that a run succeeded that was started by a node that knew the state up to Version.
type ReportSuccess struct {
	Fingerprint Fingerprint
	Version     uint64
}

// ClaimSolo asks for permission to run a suspect on an upstream. Run is unique on the node: a resend of a granted claim,
// whose answer was lost, is granted again.
type ClaimSolo struct {
	Fingerprint Fingerprint
	Upstream    string
	Node        string
	Run         uint64
}

// EndSolo says that a solo run ended. A late resend does not end the next run of the same content.
type EndSolo struct {
	Fingerprint Fingerprint
	Node        string
	Run         uint64
}

// Clear makes a fingerprint clean by an operator's decision.
type Clear struct{ Fingerprint Fingerprint }

// Expire only lets time pass. It is due once a second while there are entries: a held fingerprint becomes isolated by it.
type Expire struct{}

func (ReportDeath) command()   {}
func (ReportSuccess) command() {}
func (ClaimSolo) command()       {}
func (EndSolo) command()       {}
func (Clear) command()         {}
func (Expire) command()        {}

// Result is the answer to a command.
type Result struct {
	// Version counts the commands; each node learns it with the changes.
	Version uint64
	// BaseVersion is the version of the latest change before this command. Whoever knows the entries as of it, or of a later
	// version, knows them as of Version with Changed.
	BaseVersion uint64
	// Changed holds the fingerprints whose entry changed, ordered; a clean one has left the list.
	Changed []Entry
	// Granted and Until answer AskSolo. UpstreamTaken says that another upstream may still be granted.
	Granted       bool
	Until         time.Time
	UpstreamTaken bool
}

// death is the death of one incarnation of an upstream with the requests that may have caused it.
type death struct {
	upstream    string
	incarnation uint64
	at          time.Time
	members     map[Fingerprint]uint64 // with the version at which each was reported
	cleared     map[Fingerprint]bool
	overflow    bool // members were left out, so nobody counts as the only one
}

// only reports whether a single fingerprint is left that can have caused the death.
func (d *death) only() bool { return len(d.members) == 1 && !d.overflow }

// solo is a granted run.
type solo struct {
	upstream string
	node     string
	run      uint64
	until    time.Time
}

// Registry is the shared part. It depends only on the policy and on the commands with their times.
type Registry struct {
	policy  RegistryPolicy
	version uint64
	changed uint64   // version of the latest change of an entry
	deaths  []*death // oldest first
	solos   map[Fingerprint]solo
	entries map[Fingerprint]Entry
}

// NewRegistry returns a fleet without suspects.
func NewRegistry(policy RegistryPolicy) *Registry {
	return &Registry{policy: policy, solos: map[Fingerprint]solo{}, entries: map[Fingerprint]Entry{}}
}

// SetLimits replaces the two parameters that operators set. It takes effect with the next command.
func (f *Registry) SetLimits(maxDeaths int, expire time.Duration) {
	f.policy.MaxDeaths, f.policy.EntryTTL = maxDeaths, expire
}

// Version returns the number of commands so far.
func (f *Registry) Version() uint64 { return f.version }

// LastChange returns the version of the latest change of an entry.
func (f *Registry) LastChange() uint64 { return f.changed }

// Len returns the number of entries.
func (f *Registry) Len() int { return len(f.entries) }

// Entry returns the entry of a fingerprint; its status is Clean if there is none.
func (f *Registry) Entry(fp Fingerprint) Entry { return f.entries[fp] }

// Apply carries out a command. The time is that of the log entry, so that all replicas decide alike.
func (f *Registry) Apply(now time.Time, cmd Command) Result {
	f.version++
	f.expire(now)
	var res Result
	switch c := cmd.(type) {
	case ReportDeath:
		f.addDeath(now, c)
	case ReportSuccess:
		f.removeMember(c.Fingerprint, c.Version)
	case ClaimSolo:
		res = f.grant(now, c)
	case EndSolo:
		if s := f.solos[c.Fingerprint]; s.node == c.Node && s.run == c.Run {
			delete(f.solos, c.Fingerprint)
		}
	case Clear:
		f.removeMember(c.Fingerprint, f.version)
		delete(f.solos, c.Fingerprint)
	case Expire:
	}
	res.Version, res.BaseVersion = f.version, f.changed
	if res.Changed = f.evaluate(now); len(res.Changed) > 0 {
		f.changed = f.version
	}
	return res
}

// List returns all entries, ordered by fingerprint.
func (f *Registry) List() []Entry {
	out := make([]Entry, 0, len(f.entries))
	for _, e := range f.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return out
}

// Compare orders fingerprints.
func (f Fingerprint) Compare(g Fingerprint) int { return bytes.Compare(f[:], g[:]) }

func (f *Registry) expire(now time.Time) {
	f.deaths = slices.DeleteFunc(f.deaths, func(d *death) bool { return now.Sub(d.at) >= f.policy.EntryTTL || len(d.members) == 0 })
	for fp, s := range f.solos {
		if !now.Before(s.until) {
			delete(f.solos, fp)
		}
	}
}

func (f *Registry) addDeath(now time.Time, c ReportDeath) {
	i := slices.IndexFunc(f.deaths, func(d *death) bool { return d.upstream == c.Upstream && d.incarnation == c.Incarnation })
	if i < 0 {
		if len(f.deaths) >= f.policy.MaxRecords {
			f.deaths = f.deaths[1:]
		}
		f.deaths = append(f.deaths, &death{
			upstream: c.Upstream, incarnation: c.Incarnation, at: now,
			members: map[Fingerprint]uint64{}, cleared: map[Fingerprint]bool{},
		})
		i = len(f.deaths) - 1
	}
	d := f.deaths[i]
	for _, m := range c.Members {
		_, known := d.members[m]
		switch {
		case known || d.cleared[m]:
		case len(d.members)+len(d.cleared) < f.policy.MaxMembers:
			d.members[m] = f.version
		default:
			d.overflow = true
		}
		if s, ok := f.solos[m]; ok && s.upstream == c.Upstream {
			delete(f.solos, m)
		}
	}
}

// removeMember clears a fingerprint of all deaths for which it was reported up to a version.
func (f *Registry) removeMember(fp Fingerprint, version uint64) {
	for _, d := range f.deaths {
		if at, ok := d.members[fp]; ok && at <= version {
			delete(d.members, fp)
			d.cleared[fp] = true
		}
	}
}

func (f *Registry) grant(now time.Time, c ClaimSolo) Result {
	if f.entries[c.Fingerprint].Status != Suspect {
		return Result{}
	}
	if s, ok := f.solos[c.Fingerprint]; ok && s.node == c.Node && s.run == c.Run && s.upstream == c.Upstream {
		return Result{Granted: true, Until: s.until}
	}
	for _, d := range f.deaths {
		if _, in := d.members[c.Fingerprint]; in && now.Sub(d.at) < f.policy.SoloAfter {
			return Result{}
		}
	}
	if _, running := f.solos[c.Fingerprint]; running || f.besideSolo(c.Fingerprint) {
		return Result{}
	}
	for _, s := range f.solos {
		if s.upstream == c.Upstream {
			return Result{UpstreamTaken: true}
		}
	}
	until := now.Add(f.policy.SoloFor)
	f.solos[c.Fingerprint] = solo{c.Upstream, c.Node, c.Run, until}
	return Result{Granted: true, Until: until}
}

// besideSolo reports whether a fingerprint with MaxDeaths deaths must wait for the solo run of one that shares a death.
func (f *Registry) besideSolo(fp Fingerprint) bool {
	if f.entries[fp].Deaths < f.policy.MaxDeaths {
		return false
	}
	for _, d := range f.deaths {
		if _, in := d.members[fp]; !in {
			continue
		}
		for m := range d.members {
			if _, running := f.solos[m]; running {
				return true
			}
		}
	}
	return false
}

// evaluate computes all entries anew and returns those that changed.
func (f *Registry) evaluate(now time.Time) []Entry {
	of := map[Fingerprint][]*death{}
	for _, d := range f.deaths {
		for m := range d.members {
			of[m] = append(of[m], d)
		}
	}
	next := make(map[Fingerprint]Entry, len(of))
	for fp, list := range of {
		e := Entry{Fingerprint: fp, Status: Suspect, Deaths: len(list)}
		for _, d := range list {
			if at := d.at.Add(f.policy.EntryTTL); at.After(e.Expires) {
				e.Expires = at
			}
		}
		if e.Deaths >= f.policy.MaxDeaths {
			e.Status = Held
			if slices.ContainsFunc(list, func(d *death) bool { return d.only() && now.Sub(d.at) >= f.policy.Settle }) {
				e.Status = Isolated
			}
		}
		next[fp] = e
	}
	f.release(next, of)
	return f.replace(next)
}

// release lets held fingerprints run solo again whose deaths another one explains, or which nothing else can decide: all
// that is left of their deaths is held, so each waits for the others. grant lets only one of these run at a time. If the
// innocent one comes first, its success settles the case; if not, the case costs another death.
func (f *Registry) release(next map[Fingerprint]Entry, of map[Fingerprint][]*death) {
	var free []Fingerprint
	for fp, e := range next {
		if e.Status != Held {
			continue
		}
		unexplained := 0
		stuck := true
		for _, d := range of[fp] {
			others := f.others(d, fp, next)
			if !others[Isolated] {
				unexplained++
			}
			stuck = stuck && !others[Suspect] && !d.only()
		}
		if unexplained < f.policy.MaxDeaths || stuck {
			free = append(free, fp)
		}
	}
	for _, fp := range free {
		e := next[fp]
		e.Status = Suspect
		next[fp] = e
	}
}

// others returns which statuses the other members of a death have.
func (f *Registry) others(d *death, fp Fingerprint, entries map[Fingerprint]Entry) map[Status]bool {
	out := map[Status]bool{}
	for m := range d.members {
		if m != fp {
			out[entries[m].Status] = true
		}
	}
	return out
}

func (f *Registry) replace(next map[Fingerprint]Entry) []Entry {
	var changed []Entry
	for fp, e := range next {
		if f.entries[fp] != e {
			changed = append(changed, e)
		}
	}
	for fp := range f.entries {
		if _, ok := next[fp]; !ok {
			changed = append(changed, Entry{Fingerprint: fp})
		}
	}
	f.entries = next
	slices.SortFunc(changed, func(a, b Entry) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return changed
}
