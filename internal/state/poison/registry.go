package poison

import (
	"bytes"
	"slices"
	"time"
)

// RegistryPolicy holds the parameters of a Registry. They must be equal on all replicas.
type RegistryPolicy struct {
	// MaxDeaths is the number of distinct upstream deaths after which a fingerprint no longer runs.
	MaxDeaths int
	// EntryTTL is the time after its last death at which a fingerprint is forgotten.
	EntryTTL time.Duration
	// ReportWindow is how long to wait for reports of other nodes about the same death before a fingerprint counts as the
	// only one that was running.
	ReportWindow time.Duration
	// SoloDelay is the time from a suspect's latest death to its solo run. Copies sent at the same time may
	// have killed another upstream a moment ago, and the report of that death may still be in transit.
	SoloDelay time.Duration
	// MaxSoloDuration is the longest solo run. The node cancels the run before it elapses.
	MaxSoloDuration time.Duration
	// MaxDeathRecords bounds the stored deaths. The oldest are evicted.
	MaxDeathRecords int
	// MaxMembers bounds the fingerprints of one death, including cleared ones.
	MaxMembers int
}

// DefaultRegistryPolicy returns the parameters explained in docs/notes/routing.md.
func DefaultRegistryPolicy() RegistryPolicy {
	return RegistryPolicy{
		MaxDeaths: 2, EntryTTL: time.Hour, ReportWindow: time.Second, SoloDelay: 500 * time.Millisecond, MaxSoloDuration: time.Minute, MaxDeathRecords: 64, MaxMembers: 256,
	}
}

// Command changes the registry. It is one of ReportDeath, ReportSuccess, ClaimSolo, EndSolo, Clear and Expire.
//
//sumtype:decl
type Command interface{ command() }

// ReportDeath reports that an incarnation of an upstream died while a node had the members running on it. Each node
// reports its own members.
type ReportDeath struct {
	Upstream    string
	Incarnation uint64
	Members     []Fingerprint
}

// ReportSuccess reports a successful run, started by a node that knew the entries as of Version.
type ReportSuccess struct {
	Fingerprint Fingerprint
	Version     uint64
}

// ClaimSolo requests permission to run a suspect on an upstream. Run is unique on the node: resending a granted claim
// whose reply was lost returns the same grant.
type ClaimSolo struct {
	Fingerprint Fingerprint
	Upstream    string
	Node        string
	Run         uint64
}

// EndSolo reports that a solo run ended. A delayed resend does not end the next run of the same content.
type EndSolo struct {
	Fingerprint Fingerprint
	Node        string
	Run         uint64
}

// Clear makes a fingerprint clean at an operator's request.
type Clear struct{ Fingerprint Fingerprint }

// Expire only advances time. It is due once a second while there are entries: a held fingerprint becomes isolated by it.
type Expire struct{}

func (ReportDeath) command()   {}
func (ReportSuccess) command() {}
func (ClaimSolo) command()     {}
func (EndSolo) command()       {}
func (Clear) command()         {}
func (Expire) command()        {}

// Result is the reply to a command.
type Result struct {
	// Version is the number of commands applied, this one included. Nodes receive it with the changes.
	Version uint64
	// BaseVersion is the version of the latest change before this command. A node that knows the entries as of this or a
	// later version knows them as of Version after applying Changed.
	BaseVersion uint64
	// Changed holds the entries that changed, ordered by fingerprint. A clean entry has been removed.
	Changed []Entry
	// Granted and Until answer ClaimSolo. UpstreamTaken is set if a claim for another upstream may be granted.
	Granted       bool
	Until         time.Time
	UpstreamTaken bool
}

// death records the death of one incarnation of an upstream and the fingerprints that may have caused it.
type death struct {
	upstream    string
	incarnation uint64
	at          time.Time
	members     map[Fingerprint]uint64 // value: version of the report
	cleared     map[Fingerprint]bool
	overflow    bool // members were dropped, so no fingerprint counts as the only one
}

// hasSoleSuspect reports whether exactly one fingerprint is left that can have caused the death.
func (d *death) hasSoleSuspect() bool { return len(d.members) == 1 && !d.overflow }

// soloGrant is permission for one solo run.
type soloGrant struct {
	upstream string
	node     string
	run      uint64
	until    time.Time
}

// Registry is the replicated state. It depends only on the policy and on the commands and their times.
type Registry struct {
	policy     RegistryPolicy
	version    uint64
	lastChange uint64   // version of the latest change of an entry
	deaths     []*death // oldest first
	solos      map[Fingerprint]soloGrant
	entries    map[Fingerprint]Entry
}

// NewRegistry returns a registry without suspects.
func NewRegistry(policy RegistryPolicy) *Registry {
	return &Registry{policy: policy, solos: map[Fingerprint]soloGrant{}, entries: map[Fingerprint]Entry{}}
}

// SetLimits replaces the two parameters that operators configure. It takes effect with the next command.
func (r *Registry) SetLimits(maxDeaths int, expire time.Duration) {
	r.policy.MaxDeaths, r.policy.EntryTTL = maxDeaths, expire
}

// Version returns the number of commands applied.
func (r *Registry) Version() uint64 { return r.version }

// LastChange returns the version of the latest change of an entry.
func (r *Registry) LastChange() uint64 { return r.lastChange }

// Len returns the number of entries.
func (r *Registry) Len() int { return len(r.entries) }

// Entry returns the entry of a fingerprint. Its status is Clean if there is none.
func (r *Registry) Entry(fp Fingerprint) Entry { return r.entries[fp] }

// Apply executes a command. now is the time of the log entry, so that all replicas reach the same state.
func (r *Registry) Apply(now time.Time, cmd Command) Result {
	r.version++
	r.expire(now)
	var res Result
	switch c := cmd.(type) {
	case ReportDeath:
		r.addDeath(now, c)
	case ReportSuccess:
		r.clearMember(c.Fingerprint, c.Version)
	case ClaimSolo:
		res = r.grantSolo(now, c)
	case EndSolo:
		if s := r.solos[c.Fingerprint]; s.node == c.Node && s.run == c.Run {
			delete(r.solos, c.Fingerprint)
		}
	case Clear:
		r.clearMember(c.Fingerprint, r.version)
		delete(r.solos, c.Fingerprint)
	case Expire:
	}
	res.Version, res.BaseVersion = r.version, r.lastChange
	if res.Changed = r.evaluate(now); len(res.Changed) > 0 {
		r.lastChange = r.version
	}
	return res
}

// List returns all entries, ordered by fingerprint.
func (r *Registry) List() []Entry {
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return out
}

// Compare compares fingerprints in byte order.
func (f Fingerprint) Compare(g Fingerprint) int { return bytes.Compare(f[:], g[:]) }

func (r *Registry) expire(now time.Time) {
	r.deaths = slices.DeleteFunc(r.deaths, func(d *death) bool { return now.Sub(d.at) >= r.policy.EntryTTL || len(d.members) == 0 })
	for fp, s := range r.solos {
		if !now.Before(s.until) {
			delete(r.solos, fp)
		}
	}
}

func (r *Registry) addDeath(now time.Time, c ReportDeath) {
	i := slices.IndexFunc(r.deaths, func(d *death) bool { return d.upstream == c.Upstream && d.incarnation == c.Incarnation })
	if i < 0 {
		if len(r.deaths) >= r.policy.MaxDeathRecords {
			r.deaths = r.deaths[1:]
		}
		r.deaths = append(r.deaths, &death{
			upstream: c.Upstream, incarnation: c.Incarnation, at: now,
			members: map[Fingerprint]uint64{}, cleared: map[Fingerprint]bool{},
		})
		i = len(r.deaths) - 1
	}
	d := r.deaths[i]
	for _, m := range c.Members {
		_, known := d.members[m]
		switch {
		case known || d.cleared[m]:
		case len(d.members)+len(d.cleared) < r.policy.MaxMembers:
			d.members[m] = r.version
		default:
			d.overflow = true
		}
		if s, ok := r.solos[m]; ok && s.upstream == c.Upstream {
			delete(r.solos, m)
		}
	}
}

// clearMember clears a fingerprint from all deaths for which it was reported at or before a version.
func (r *Registry) clearMember(fp Fingerprint, version uint64) {
	for _, d := range r.deaths {
		if at, ok := d.members[fp]; ok && at <= version {
			delete(d.members, fp)
			d.cleared[fp] = true
		}
	}
}

func (r *Registry) grantSolo(now time.Time, c ClaimSolo) Result {
	if r.entries[c.Fingerprint].Status != Suspect {
		return Result{}
	}
	if s, ok := r.solos[c.Fingerprint]; ok && s.node == c.Node && s.run == c.Run && s.upstream == c.Upstream {
		return Result{Granted: true, Until: s.until}
	}
	for _, d := range r.deaths {
		if _, in := d.members[c.Fingerprint]; in && now.Sub(d.at) < r.policy.SoloDelay {
			return Result{}
		}
	}
	if _, running := r.solos[c.Fingerprint]; running || r.mustWaitForSolo(c.Fingerprint) {
		return Result{}
	}
	for _, s := range r.solos {
		if s.upstream == c.Upstream {
			return Result{UpstreamTaken: true}
		}
	}
	until := now.Add(r.policy.MaxSoloDuration)
	r.solos[c.Fingerprint] = soloGrant{c.Upstream, c.Node, c.Run, until}
	return Result{Granted: true, Until: until}
}

// mustWaitForSolo reports whether a fingerprint with MaxDeaths deaths must wait for the solo run of a fingerprint that
// shares a death with it.
func (r *Registry) mustWaitForSolo(fp Fingerprint) bool {
	if r.entries[fp].Deaths < r.policy.MaxDeaths {
		return false
	}
	for _, d := range r.deaths {
		if _, in := d.members[fp]; !in {
			continue
		}
		for m := range d.members {
			if _, running := r.solos[m]; running {
				return true
			}
		}
	}
	return false
}

// evaluate recomputes all entries and returns those that changed.
func (r *Registry) evaluate(now time.Time) []Entry {
	deathsOf := map[Fingerprint][]*death{}
	for _, d := range r.deaths {
		for m := range d.members {
			deathsOf[m] = append(deathsOf[m], d)
		}
	}
	next := make(map[Fingerprint]Entry, len(deathsOf))
	for fp, deaths := range deathsOf {
		e := Entry{Fingerprint: fp, Status: Suspect, Deaths: len(deaths)}
		for _, d := range deaths {
			if at := d.at.Add(r.policy.EntryTTL); at.After(e.Expires) {
				e.Expires = at
			}
		}
		if e.Deaths >= r.policy.MaxDeaths {
			e.Status = Held
			if slices.ContainsFunc(deaths, func(d *death) bool { return d.hasSoleSuspect() && now.Sub(d.at) >= r.policy.ReportWindow }) {
				e.Status = Isolated
			}
		}
		next[fp] = e
	}
	r.reopenHeld(next, deathsOf)
	return r.replaceEntries(next)
}

// reopenHeld makes held fingerprints suspects again, so that they can run solo, in two cases: their deaths are explained
// by an isolated fingerprint, or every member left of their deaths is held, so that each would wait for the others.
// grantSolo lets only one of the latter run at a time. If an innocent one runs first, its success decides the case;
// otherwise deciding it costs another death.
func (r *Registry) reopenHeld(next map[Fingerprint]Entry, deathsOf map[Fingerprint][]*death) {
	var reopened []Fingerprint
	for fp, e := range next {
		if e.Status != Held {
			continue
		}
		unexplained := 0
		undecidable := true
		for _, d := range deathsOf[fp] {
			statuses := r.otherStatuses(d, fp, next)
			if !statuses[Isolated] {
				unexplained++
			}
			undecidable = undecidable && !statuses[Suspect] && !d.hasSoleSuspect()
		}
		if unexplained < r.policy.MaxDeaths || undecidable {
			reopened = append(reopened, fp)
		}
	}
	for _, fp := range reopened {
		e := next[fp]
		e.Status = Suspect
		next[fp] = e
	}
}

// otherStatuses returns the set of statuses of the other members of a death.
func (r *Registry) otherStatuses(d *death, fp Fingerprint, entries map[Fingerprint]Entry) map[Status]bool {
	out := map[Status]bool{}
	for m := range d.members {
		if m != fp {
			out[entries[m].Status] = true
		}
	}
	return out
}

func (r *Registry) replaceEntries(next map[Fingerprint]Entry) []Entry {
	var changed []Entry
	for fp, e := range next {
		if r.entries[fp] != e {
			changed = append(changed, e)
		}
	}
	for fp := range r.entries {
		if _, ok := next[fp]; !ok {
			changed = append(changed, Entry{Fingerprint: fp})
		}
	}
	r.entries = next
	slices.SortFunc(changed, func(a, b Entry) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return changed
}
