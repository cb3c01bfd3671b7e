package crash

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/state/poison"
)

// phase is the lifecycle state of a run.
type phase int

const (
	phaseRequested    phase = iota // waiting for a permit
	phaseClaimingSolo              // waiting for the reply to a ClaimSolo
	phasePermitted                 // PermitRun or PermitSolo was emitted
	phaseRunning
	phaseConnectionLost // no evidence yet whether the upstream died
	phaseAwaitingReport // upstream died; failure withheld until the death report is applied
	phaseReleased       // failure returned; kept for late evidence or until the report is applied
)

type run struct {
	id            uint64
	fingerprint   poison.Fingerprint
	phase         phase
	phaseStart    time.Time // when the phase was entered
	requestedAt   time.Time
	notBefore     time.Time // earliest time of a permit
	solo          bool
	upstream      string
	incarnation   uint64
	startVersion  uint64 // Machine.version when the run started
	upstreamDied  bool
	reportedAt    time.Time // last ReportDeath
	reportVersion uint64    // version of the applied report, 0 if unconfirmed
}

// deathRecord is the death of an upstream as learned by this node.
type deathRecord struct {
	incarnation uint64
	at          time.Time
}

// Machine tracks the runs of one node. It is not safe for concurrent use.
type Machine struct {
	policy          Policy
	version         uint64
	entries         map[poison.Fingerprint]poison.Entry
	runs            map[uint64]*run
	spareRun        *run // an ended run whose memory is reused
	maybeUnresolved bool // some run may be past the running phase; avoids scanning all runs on each RunRequested
	proven          map[poison.Fingerprint]bool
	provenOrder     []poison.Fingerprint // ring buffer of the keys of proven, in the order of their first success
	oldestProven    int
	// recentDeaths holds the highest incarnation of each upstream that died recently. Until deathSettled, the
	// fingerprints that died with the latest of them may not be known yet.
	recentDeaths map[string]deathRecord
	deathSettled time.Time
	actions      []Action
}

// New returns a machine that knows no suspects.
func New(policy Policy) *Machine {
	return &Machine{
		policy: policy, entries: map[poison.Fingerprint]poison.Entry{}, runs: map[uint64]*run{}, proven: map[poison.Fingerprint]bool{}, recentDeaths: map[string]deathRecord{},
	}
}

// Step processes one event and returns the resulting actions, in the order in which they must be carried out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	switch e := ev.(type) {
	case RunRequested:
		r := m.newRun()
		*r = run{id: e.ID, fingerprint: e.Fingerprint, phase: phaseRequested, phaseStart: now, requestedAt: now}
		m.runs[e.ID] = r
		m.decide(now, r)
	case Started:
		if r := m.runs[e.ID]; r != nil {
			r.setPhase(now, phaseRunning)
			r.upstream, r.incarnation, r.startVersion = e.Upstream, e.Incarnation, m.version
		}
	case ConnectRefused:
		// A run that was first given a stale connection is marked as started although its request was not sent.
		if r := m.runs[e.ID]; r != nil && (r.phase == phasePermitted || r.phase == phaseRunning) {
			m.endSolo(r)
			r.setPhase(now, phaseRequested)
			r.notBefore = now.Add(m.policy.PostDeathDelay)
		}
	case Recheck:
		if r := m.runs[e.ID]; r != nil && r.phase == phasePermitted {
			m.decide(now, r)
		}
	case Ended:
		m.handleEnded(e)
	case ConnectionLost:
		if r := m.runs[e.ID]; r != nil && r.phase == phaseRunning {
			r.setPhase(now, phaseConnectionLost)
			m.maybeUnresolved = true
		}
	case UpstreamDied:
		m.handleUpstreamDied(now, e)
	case UpstreamAlive:
		m.handleUpstreamAlive(e)
	case Cancelled:
		if r := m.runs[e.ID]; r != nil && r.phase <= phasePermitted {
			m.endSolo(r)
			delete(m.runs, e.ID)
		}
	case EntriesReceived:
		m.handleEntries(now, e)
	case DeathRecorded:
		for _, r := range m.runsOn(e.Upstream, e.Incarnation) {
			if r.upstreamDied {
				r.reportVersion = e.Version
			}
		}
		m.finishReported()
	case SoloClaimAnswered:
		m.handleSoloClaimAnswered(now, e)
	case Tick:
		m.handleTick(now)
	}
	return m.actions
}

func (r *run) setPhase(now time.Time, p phase) { r.phase, r.phaseStart = p, now }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// status returns the status of a fingerprint; an expired entry counts as clean.
func (m *Machine) status(now time.Time, fp poison.Fingerprint) poison.Status {
	e, ok := m.entries[fp]
	if !ok || !now.Before(e.Expires) {
		return poison.Clean
	}
	return e.Status
}

// decide permits or rejects a run, claims a solo run for it, or leaves it waiting.
func (m *Machine) decide(now time.Time, r *run) {
	status := m.status(now, r.fingerprint)
	switch {
	case status == poison.Isolated || status == poison.Held:
		m.reject(r, status)
	case now.Sub(r.requestedAt) >= m.policy.MaxWait:
		m.reject(r, poison.Suspect)
	case status == poison.Suspect:
		r.solo = true
		r.setPhase(now, phaseClaimingSolo)
		m.emit(ClaimSolo{r.id, r.fingerprint})
	case m.causeMayBecomeKnown(now, r):
		r.setPhase(now, phaseRequested)
	default:
		r.solo = false
		r.setPhase(now, phasePermitted)
		m.emit(PermitRun{r.id, m.proven[r.fingerprint]})
	}
}

// causeMayBecomeKnown reports whether it should be known soon whether content that is not a suspect crashed an upstream:
// an upstream has just died or refused this run, or another run of the same content lost its upstream.
func (m *Machine) causeMayBecomeKnown(now time.Time, r *run) bool {
	return now.Before(r.notBefore) || now.Before(m.deathSettled) && !m.proven[r.fingerprint] || m.hasUnresolvedRun(r.fingerprint)
}

// PermitValid reports whether a permit would be given again. If an upstream dies between the permit and the choice of an
// upstream, the choice avoids the dead one although the fingerprints that died with it are not known yet.
func (m *Machine) PermitValid(now time.Time, id uint64) bool {
	r := m.runs[id]
	return r == nil || r.phase != phasePermitted || r.solo || m.status(now, r.fingerprint) == poison.Clean && !m.causeMayBecomeKnown(now, r)
}

func (m *Machine) reject(r *run, s poison.Status) {
	delete(m.runs, r.id)
	m.emit(RejectRun{ID: r.id, Fingerprint: r.fingerprint, Status: s, RetryAfter: m.policy.RetryDelay})
}

// hasUnresolvedRun reports whether a run of the content may have crashed its upstream without the control group knowing
// yet. A run whose upstream is silent stops counting after EvidenceTimeout, because most silent upstreams have another
// cause. Two such runs on different upstreams count until there is evidence, so that content that silences its upstreams
// does not take out one after the other.
func (m *Machine) hasUnresolvedRun(fp poison.Fingerprint) bool {
	if !m.maybeUnresolved {
		return false
	}
	silent := ""
	for _, r := range m.runs {
		if r.fingerprint != fp || r.phase < phaseConnectionLost {
			continue
		}
		if r.phase != phaseReleased || r.upstreamDied || silent != "" && silent != r.upstream {
			return true
		}
		silent = r.upstream
	}
	return false
}

func (m *Machine) handleEnded(e Ended) {
	r := m.runs[e.ID]
	if r == nil {
		return
	}
	delete(m.runs, e.ID)
	if e.OK {
		m.markProven(r.fingerprint)
	}
	if _, known := m.entries[r.fingerprint]; known && e.OK {
		m.emit(ReportSuccess{poison.ReportSuccess{Fingerprint: r.fingerprint, Version: r.startVersion}})
	}
	m.endSolo(r)
	m.spareRun = r
}

// newRun returns memory for a run. Reusing the last ended run avoids most allocations while there are no failures.
func (m *Machine) newRun() *run {
	r := m.spareRun
	if r == nil {
		return new(run)
	}
	m.spareRun = nil
	return r
}

// markProven records that content succeeded, evicting the oldest fingerprint above the limit.
func (m *Machine) markProven(fp poison.Fingerprint) {
	if m.proven[fp] || m.policy.MaxProven <= 0 {
		return
	}
	m.proven[fp] = true
	if len(m.provenOrder) < m.policy.MaxProven {
		m.provenOrder = append(m.provenOrder, fp)
		return
	}
	delete(m.proven, m.provenOrder[m.oldestProven])
	m.provenOrder[m.oldestProven] = fp
	m.oldestProven = (m.oldestProven + 1) % len(m.provenOrder)
}

func (m *Machine) endSolo(r *run) {
	if r.solo && r.phase >= phasePermitted {
		m.emit(EndSolo{r.id, r.fingerprint})
	}
}

// HasGap reports whether changes between the node's version and an update are missing, so that all entries must be
// fetched.
func (m *Machine) HasGap(e EntriesReceived) bool { return !e.Full && e.BaseVersion > m.version }

// AwaitingPermit reports whether the response to a RunRequested or ConnectRefused is still pending.
func (m *Machine) AwaitingPermit(id uint64) bool {
	r := m.runs[id]
	return r != nil && (r.phase == phaseRequested || r.phase == phaseClaimingSolo)
}

// AwaitingRelease reports whether the failure of a run must wait for ReleaseFailure.
func (m *Machine) AwaitingRelease(id uint64) bool {
	r := m.runs[id]
	return r != nil && (r.phase == phaseConnectionLost || r.phase == phaseAwaitingReport)
}

// Version returns the version of the known entries.
func (m *Machine) Version() uint64 { return m.version }

func (m *Machine) handleEntries(now time.Time, e EntriesReceived) {
	if e.Version <= m.version || m.HasGap(e) {
		return
	}
	m.version = e.Version
	if e.Full {
		clear(m.entries)
	}
	for _, entry := range e.Entries {
		if entry.Status == poison.Clean {
			delete(m.entries, entry.Fingerprint)
		} else {
			m.entries[entry.Fingerprint] = entry
		}
	}
	m.finishReported()
	m.decideWaiting(now)
}

func (m *Machine) decideWaiting(now time.Time) {
	for _, r := range m.runsMatching(func(r *run) bool { return r.phase == phaseRequested }) {
		m.decide(now, r)
	}
}

func (m *Machine) handleSoloClaimAnswered(now time.Time, e SoloClaimAnswered) {
	r := m.runs[e.ID]
	if r == nil || r.phase != phaseClaimingSolo {
		// The request was cancelled meanwhile, so its grant is returned.
		if e.Granted {
			m.emit(EndSolo{e.ID, e.Fingerprint})
		}
		return
	}
	if e.Granted {
		r.setPhase(now, phasePermitted)
		m.emit(PermitSolo{r.id, e.Until})
		return
	}
	// A later tick claims again: another node may be running the content now.
	r.setPhase(now, phaseClaimingSolo)
	r.solo = false
}

func (m *Machine) handleTick(now time.Time) {
	m.maybeUnresolved = false
	for _, r := range m.runsMatching(func(*run) bool { return true }) {
		m.maybeUnresolved = m.maybeUnresolved || r.phase >= phaseConnectionLost
		age := now.Sub(r.phaseStart)
		switch r.phase {
		case phaseClaimingSolo:
			if !r.solo && age >= m.policy.RetryDelay {
				m.decide(now, r)
			}
		case phaseConnectionLost:
			// A solo run keeps its grant: without evidence its content must not run elsewhere.
			if age >= m.policy.EvidenceTimeout {
				m.emit(ReleaseFailure{r.id})
				r.setPhase(now, phaseReleased)
			}
		case phaseAwaitingReport:
			if age >= m.policy.ReportTimeout {
				m.emit(ReleaseFailure{r.id})
				r.setPhase(now, phaseReleased)
			}
		case phaseReleased:
			if age >= m.policy.Retention {
				m.endSolo(r)
				delete(m.runs, r.id)
			}
		case phaseRequested, phasePermitted, phaseRunning:
		}
	}
	m.resendReports(now)
	for fp, e := range m.entries {
		if !now.Before(e.Expires) {
			delete(m.entries, fp)
		}
	}
	for upstream, d := range m.recentDeaths {
		if now.Sub(d.at) >= m.policy.Retention {
			delete(m.recentDeaths, upstream)
		}
	}
	m.decideWaiting(now)
}

// List returns the entries known to the node, ordered by fingerprint.
func (m *Machine) List(now time.Time) []poison.Entry {
	var out []poison.Entry
	for _, e := range m.entries {
		if now.Before(e.Expires) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b poison.Entry) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return out
}
