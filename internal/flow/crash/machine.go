package crash

import (
	"slices"
	"time"

	"github.com/berylledge/berylledge/internal/state/poison"
)

// phase is where a run stands.
type phase int

const (
	asking   phase = iota // waits for the answer to Ask
	claiming              // a ClaimSolo is out
	allowed               // Run or RunSolo was returned
	running
	broken // connection lost, no evidence yet
	dead   // upstream died, answer held back until the report is known
	over   // answered, kept for late evidence or until its report is confirmed
)

type run struct {
	id          uint64
	fingerprint poison.Fingerprint
	phase       phase
	since       time.Time // of the phase
	asked       time.Time
	notBefore   time.Time // earliest answer to Ask
	solo        bool
	upstream    string
	incarnation uint64
	version     uint64 // known when the run started
	died        bool
	reportedAt  time.Time // last ReportCrash
	confirmed   uint64    // version of the report, 0 if it is not confirmed
}

// gone is the death of an upstream as one node heard of it.
type gone struct {
	incarnation uint64
	at          time.Time
}

// Machine is the part of one node. It is not safe for concurrent use.
type Machine struct {
	policy  Policy
	version uint64
	entries map[poison.Fingerprint]poison.Entry
	runs    map[uint64]*run
	free    *run // a run that ended, to be used again
	trouble bool // some run may be beyond the running phase; spares the search for it on each Ask
	proven  map[poison.Fingerprint]bool
	ring    []poison.Fingerprint // of proven, in the order of their first success
	next    int
	// dead holds the highest incarnation of each upstream that died lately, and newsUntil the time by which what died with
	// the latest of them should be known.
	dead      map[string]gone
	newsUntil time.Time
	out       []Action
}

// New returns a machine that knows no suspects.
func New(policy Policy) *Machine {
	return &Machine{
		policy: policy, entries: map[poison.Fingerprint]poison.Entry{}, runs: map[uint64]*run{}, proven: map[poison.Fingerprint]bool{}, dead: map[string]gone{},
	}
}

// Step takes one event and returns the actions that follow, in the order in which they must be carried out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	switch e := ev.(type) {
	case Ask:
		r := m.newRun()
		*r = run{id: e.ID, fingerprint: e.Fingerprint, phase: asking, since: now, asked: now}
		m.runs[e.ID] = r
		m.answer(now, r)
	case Started:
		if r := m.runs[e.ID]; r != nil {
			r.enter(now, running)
			r.upstream, r.incarnation, r.version = e.Upstream, e.Incarnation, m.version
		}
	case Refused:
		// A run that got a stale connection first was started, and its message did not leave.
		if r := m.runs[e.ID]; r != nil && (r.phase == allowed || r.phase == running) {
			m.finishSolo(r)
			r.enter(now, asking)
			r.notBefore = now.Add(m.policy.Refused)
		}
	case Recheck:
		if r := m.runs[e.ID]; r != nil && r.phase == allowed {
			m.answer(now, r)
		}
	case Ended:
		m.ended(e)
	case Broken:
		if r := m.runs[e.ID]; r != nil && r.phase == running {
			r.enter(now, broken)
			m.trouble = true
		}
	case Died:
		m.died(now, e)
	case Survived:
		m.survived(e)
	case Cancelled:
		if r := m.runs[e.ID]; r != nil && r.phase <= allowed {
			m.finishSolo(r)
			delete(m.runs, e.ID)
		}
	case Learned:
		m.learned(now, e)
	case Reported:
		for _, r := range m.on(e.Upstream, e.Incarnation) {
			if r.died {
				r.confirmed = e.Version
			}
		}
		m.settle()
	case SoloAnswer:
		m.soloAnswer(now, e)
	case Tick:
		m.tick(now)
	}
	return m.out
}

func (r *run) enter(now time.Time, p phase) { r.phase, r.since = p, now }

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

// status returns the status of a fingerprint, without entries that have expired.
func (m *Machine) status(now time.Time, fp poison.Fingerprint) poison.Status {
	e, ok := m.entries[fp]
	if !ok || !now.Before(e.Expires) {
		return poison.Clean
	}
	return e.Status
}

// answer answers an Ask if it can.
func (m *Machine) answer(now time.Time, r *run) {
	status := m.status(now, r.fingerprint)
	switch {
	case status == poison.Isolated || status == poison.Held:
		m.block(r, status)
	case now.Sub(r.asked) >= m.policy.MaxWait:
		m.block(r, poison.Suspect)
	case status == poison.Suspect:
		r.solo = true
		r.enter(now, claiming)
		m.do(ClaimSolo{r.id, r.fingerprint})
	case m.awaitsNews(now, r):
		r.enter(now, asking)
	default:
		r.solo = false
		r.enter(now, allowed)
		m.do(Run{r.id, m.proven[r.fingerprint]})
	}
}

// awaitsNews reports whether it will be known soon whether a content that is not suspected crashed an upstream: an upstream
// has just died, or refused this run, or another run of the same content lost its upstream.
func (m *Machine) awaitsNews(now time.Time, r *run) bool {
	return now.Before(r.notBefore) || now.Before(m.newsUntil) && !m.proven[r.fingerprint] || m.unresolved(r.fingerprint)
}

// Stands reports whether a permit would be given again. An upstream may die between the permit and the choice of one, and
// the choice then avoids it although what died with it is not known.
func (m *Machine) Stands(now time.Time, id uint64) bool {
	r := m.runs[id]
	return r == nil || r.phase != allowed || r.solo || m.status(now, r.fingerprint) == poison.Clean && !m.awaitsNews(now, r)
}

func (m *Machine) block(r *run, s poison.Status) {
	delete(m.runs, r.id)
	m.do(Block{ID: r.id, Fingerprint: r.fingerprint, Status: s, RetryAfter: m.policy.Retry})
}

// unresolved reports whether a run of the content may have crashed its upstream while the control group does not know
// it yet. A run whose upstream is silent stops counting after Confirm, because most silent upstreams have another cause;
// two of them on different upstreams count until there is evidence, so that content that silences its upstreams does not
// take one after the other.
func (m *Machine) unresolved(fp poison.Fingerprint) bool {
	if !m.trouble {
		return false
	}
	silent := ""
	for _, r := range m.runs {
		if r.fingerprint != fp || r.phase < broken {
			continue
		}
		if r.phase != over || r.died || silent != "" && silent != r.upstream {
			return true
		}
		silent = r.upstream
	}
	return false
}

func (m *Machine) ended(e Ended) {
	r := m.runs[e.ID]
	if r == nil {
		return
	}
	delete(m.runs, e.ID)
	if e.OK {
		m.prove(r.fingerprint)
	}
	if _, known := m.entries[r.fingerprint]; known && e.OK {
		m.do(ReportClear{poison.ReportSuccess{Fingerprint: r.fingerprint, Version: r.version}})
	}
	m.finishSolo(r)
	m.free = r
}

// newRun returns memory for a run; to reuse that of the last one spares most allocations while nothing is wrong.
func (m *Machine) newRun() *run {
	r := m.free
	if r == nil {
		return new(run)
	}
	m.free = nil
	return r
}

// prove remembers a content that succeeded, and forgets the oldest one above the limit.
func (m *Machine) prove(fp poison.Fingerprint) {
	if m.proven[fp] || m.policy.Proven <= 0 {
		return
	}
	m.proven[fp] = true
	if len(m.ring) < m.policy.Proven {
		m.ring = append(m.ring, fp)
		return
	}
	delete(m.proven, m.ring[m.next])
	m.ring[m.next] = fp
	m.next = (m.next + 1) % len(m.ring)
}

func (m *Machine) finishSolo(r *run) {
	if r.solo && r.phase >= allowed {
		m.do(FinishSolo{r.id, r.fingerprint})
	}
}

// Gap reports whether changes between what the node knows and a Learned are missing, so that all entries must be asked
// for.
func (m *Machine) Gap(e Learned) bool { return !e.Whole && e.Before > m.version }

// Asking reports whether the answer to an Ask or Refused is still to come.
func (m *Machine) Asking(id uint64) bool {
	r := m.runs[id]
	return r != nil && (r.phase == asking || r.phase == claiming)
}

// Holding reports whether the failure of a run must wait for its Release.
func (m *Machine) Holding(id uint64) bool {
	r := m.runs[id]
	return r != nil && (r.phase == broken || r.phase == dead)
}

// Version returns the version as of which the entries are known.
func (m *Machine) Version() uint64 { return m.version }

func (m *Machine) learned(now time.Time, e Learned) {
	if e.Version <= m.version || m.Gap(e) {
		return
	}
	m.version = e.Version
	if e.Whole {
		clear(m.entries)
	}
	for _, entry := range e.Entries {
		if entry.Status == poison.Clean {
			delete(m.entries, entry.Fingerprint)
		} else {
			m.entries[entry.Fingerprint] = entry
		}
	}
	m.settle()
	m.answerWaiting(now)
}

func (m *Machine) answerWaiting(now time.Time) {
	for _, r := range m.ordered(func(r *run) bool { return r.phase == asking }) {
		m.answer(now, r)
	}
}

func (m *Machine) soloAnswer(now time.Time, e SoloAnswer) {
	r := m.runs[e.ID]
	if r == nil || r.phase != claiming {
		// The request has gone meanwhile, so its grant is given back.
		if e.Granted {
			m.do(FinishSolo{e.ID, e.Fingerprint})
		}
		return
	}
	if e.Granted {
		r.enter(now, allowed)
		m.do(RunSolo{r.id, e.Until})
		return
	}
	// Claimed again by a later tick: another node may be running it now.
	r.enter(now, claiming)
	r.solo = false
}

func (m *Machine) tick(now time.Time) {
	m.trouble = false
	for _, r := range m.ordered(func(*run) bool { return true }) {
		m.trouble = m.trouble || r.phase >= broken
		age := now.Sub(r.since)
		switch r.phase {
		case claiming:
			if !r.solo && age >= m.policy.Retry {
				m.answer(now, r)
			}
		case broken:
			// The grant of a solo run is kept: without evidence its content must not run elsewhere.
			if age >= m.policy.Confirm {
				m.do(Release{r.id})
				r.enter(now, over)
			}
		case dead:
			if age >= m.policy.HoldAnswer {
				m.do(Release{r.id})
				r.enter(now, over)
			}
		case over:
			if age >= m.policy.Remember {
				m.finishSolo(r)
				delete(m.runs, r.id)
			}
		case asking, allowed, running:
		}
	}
	m.repeatReports(now)
	for fp, e := range m.entries {
		if !now.Before(e.Expires) {
			delete(m.entries, fp)
		}
	}
	for upstream, d := range m.dead {
		if now.Sub(d.at) >= m.policy.Remember {
			delete(m.dead, upstream)
		}
	}
	m.answerWaiting(now)
}

// List returns the entries that the node knows, ordered by fingerprint.
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
