package crash

import (
	"slices"
	"time"
)

// Policy holds the parameters of a Machine. DefaultPolicy fills all of them.
type Policy struct {
	// Confirm is how long a broken attempt waits for evidence that its upstream died or survived.
	Confirm time.Duration
	// Remember is how long broken attempts are kept for evidence that comes late, such as an expired lease.
	Remember time.Duration
	// HoldAnswer is the longest time for which the answer to a failure is held back until the report is known.
	HoldAnswer time.Duration
	// Retry is the delay before a claim that was not granted is made again, and the delay that held callers are told.
	Retry time.Duration
	// Refused is the delay of a run after an upstream refused its connection, and of all contents that are not proven
	// after the node heard of a death: what died with the upstream should be known before the run goes to another one.
	Refused time.Duration
	// Proven is the number of contents that are remembered as having succeeded.
	Proven int
	// MaxWait is the longest wait of a request for a solo run; it is refused afterwards as not run.
	MaxWait time.Duration
}

// DefaultPolicy returns the parameters that docs/notes/routing.md explains.
func DefaultPolicy() Policy {
	return Policy{
		Confirm: 500 * time.Millisecond, Remember: 30 * time.Second, HoldAnswer: time.Second,
		Retry: 100 * time.Millisecond, Refused: 100 * time.Millisecond, Proven: 4096, MaxWait: 10 * time.Second,
	}
}

// Event is something that happened on the node.
//
//sumtype:decl
type Event interface{ event() }

// Ask wants to start a run. The answer is Run, RunSolo (after ClaimSolo) or Block, at once or later.
type Ask struct {
	ID          uint64
	Fingerprint Fingerprint
}

// Started says that the run was dispatched to an upstream.
type Started struct {
	ID          uint64
	Upstream    string
	Incarnation uint64
}

// Refused says that the upstream refused the connection, so that the run was not dispatched. It is answered like Ask.
type Refused struct{ ID uint64 }

// Recheck takes back a permit that was given before what is known now. It is answered like Ask; see Stands.
type Recheck struct{ ID uint64 }

// Ended says that the run ended while its upstream was seen to live, or that it could not be started. OK says that it
// produced its whole result.
type Ended struct {
	ID uint64
	OK bool
}

// Broken says that the connection of the run broke, or that its upstream fell silent. Run's failure is answered after
// Release.
type Broken struct{ ID uint64 }

// Died says that an incarnation of an upstream is gone: a higher one was announced, its lease ran out, or a new
// connection to it was refused. It is not used for an upstream that said that it leaves.
type Died struct {
	Upstream    string
	Incarnation uint64
}

// Survived says that an incarnation of an upstream was heard of, by a renewal or an answer. At is a time at which it
// certainly lived: a renewal that was on its way when the upstream died says nothing about runs that broke later. The
// zero value means now.
type Survived struct {
	Upstream    string
	Incarnation uint64
	At          time.Time
}

// Cancelled says that a request that was waiting for its answer to Ask has gone.
type Cancelled struct{ ID uint64 }

// Learned carries entries from the control group. Unless it is whole, it is used only by a node that knows the entries
// as of the version Before; see Gap. One that is older than what the node knows is ignored.
type Learned struct {
	Version uint64
	Before  uint64
	Whole   bool // the entries are all that there are
	Entries []Entry
}

// Reported says that the control group applied a ReportDeath, as the command of the given version.
type Reported struct {
	Upstream    string
	Incarnation uint64
	Version     uint64
}

// SoloAnswer is the control group's answer to a ClaimSolo. Granted is false as well if the group could not be reached.
type SoloAnswer struct {
	ID          uint64
	Fingerprint Fingerprint
	Granted     bool
	Until       time.Time
}

// Tick lets time pass; it is due every 100 ms while requests wait.
type Tick struct{}

func (Ask) event()        {}
func (Started) event()    {}
func (Refused) event()    {}
func (Recheck) event()    {}
func (Ended) event()      {}
func (Broken) event()     {}
func (Died) event()       {}
func (Survived) event()   {}
func (Cancelled) event()  {}
func (Learned) event()    {}
func (Reported) event()   {}
func (SoloAnswer) event() {}
func (Tick) event()       {}

// Action is what the node has to do.
//
//sumtype:decl
type Action interface{ action() }

// Run lets a run start. Proven says that the content succeeded lately; unless it is set, the upstream must be sampled by
// the fingerprint (route.Need.Fingerprint).
type Run struct {
	ID     uint64
	Proven bool
}

// ClaimSolo asks for an upstream to be picked and AskSolo to be proposed for it.
type ClaimSolo struct {
	ID          uint64
	Fingerprint Fingerprint
}

// RunSolo lets a run start on the upstream of its claim. It must be cancelled at Until.
type RunSolo struct {
	ID    uint64
	Until time.Time
}

// Block refuses a run as not run. Unless it is isolated, the caller may send it again after RetryAfter.
type Block struct {
	ID          uint64
	Fingerprint Fingerprint
	Status      Status
	RetryAfter  time.Duration
}

// ReportCrash asks for ReportDeath to be proposed. It is repeated until Reported confirms it.
type ReportCrash struct{ Report ReportDeath }

// ReportClear asks for ReportSuccess to be proposed.
type ReportClear struct{ Report ReportSuccess }

// Release says that the failure of a broken run may now be answered or retried (through a new Ask).
type Release struct{ ID uint64 }

// FinishSolo asks for EndSolo to be proposed: a solo run ended.
type FinishSolo struct {
	ID          uint64
	Fingerprint Fingerprint
}

func (Run) action()         {}
func (ClaimSolo) action()   {}
func (RunSolo) action()     {}
func (Block) action()       {}
func (ReportCrash) action() {}
func (ReportClear) action() {}
func (Release) action()     {}
func (FinishSolo) action()  {}

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
	fingerprint Fingerprint
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
	entries map[Fingerprint]Entry
	runs    map[uint64]*run
	free    *run // a run that ended, to be used again
	trouble bool // some run may be beyond the running phase; spares the search for it on each Ask
	proven  map[Fingerprint]bool
	ring    []Fingerprint // of proven, in the order of their first success
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
		policy: policy, entries: map[Fingerprint]Entry{}, runs: map[uint64]*run{}, proven: map[Fingerprint]bool{}, dead: map[string]gone{},
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
func (m *Machine) status(now time.Time, fp Fingerprint) Status {
	e, ok := m.entries[fp]
	if !ok || !now.Before(e.Expires) {
		return Clean
	}
	return e.Status
}

// answer answers an Ask if it can.
func (m *Machine) answer(now time.Time, r *run) {
	status := m.status(now, r.fingerprint)
	switch {
	case status == Isolated || status == Held:
		m.block(r, status)
	case now.Sub(r.asked) >= m.policy.MaxWait:
		m.block(r, Suspect)
	case status == Suspect:
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
	return r == nil || r.phase != allowed || r.solo || m.status(now, r.fingerprint) == Clean && !m.awaitsNews(now, r)
}

func (m *Machine) block(r *run, s Status) {
	delete(m.runs, r.id)
	m.do(Block{ID: r.id, Fingerprint: r.fingerprint, Status: s, RetryAfter: m.policy.Retry})
}

// unresolved reports whether a run of the content may have crashed its upstream while the control group does not know
// it yet. A run whose upstream is silent stops counting after Confirm, because most silent upstreams have another cause;
// two of them on different upstreams count until there is evidence, so that content that silences its upstreams does not
// take one after the other.
func (m *Machine) unresolved(fp Fingerprint) bool {
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
		m.do(ReportClear{ReportSuccess{r.fingerprint, r.version}})
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
func (m *Machine) prove(fp Fingerprint) {
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

// died makes all runs on the incarnation suspects, those that broke earlier included.
func (m *Machine) died(now time.Time, e Died) {
	if d, known := m.dead[e.Upstream]; !known || d.incarnation < e.Incarnation {
		m.dead[e.Upstream] = gone{e.Incarnation, now}
		m.newsUntil = now.Add(m.policy.Refused)
	}
	var fresh []*run
	for _, r := range m.on(e.Upstream, e.Incarnation) {
		if r.died {
			continue
		}
		r.died = true
		m.trouble = true
		fresh = append(fresh, r)
		if r.phase != over {
			r.enter(now, dead)
		}
	}
	m.report(now, fresh)
}

// report reports runs on the same incarnation.
func (m *Machine) report(now time.Time, runs []*run) {
	if len(runs) == 0 {
		return
	}
	var members []Fingerprint
	for _, r := range runs {
		r.reportedAt = now
		members = append(members, r.fingerprint)
	}
	slices.SortFunc(members, compare)
	m.do(ReportCrash{ReportDeath{runs[0].upstream, runs[0].incarnation, slices.Compact(members)}})
}

// settle ends the runs whose report is confirmed and in force on this node.
func (m *Machine) settle() {
	for _, r := range m.ordered(func(r *run) bool { return r.confirmed > 0 && r.confirmed <= m.version }) {
		if r.phase == dead {
			m.do(Release{r.id})
		}
		delete(m.runs, r.id)
	}
}

// on returns the dispatched runs on an incarnation, ordered by id.
func (m *Machine) on(upstream string, incarnation uint64) []*run {
	return m.ordered(func(r *run) bool {
		return r.phase >= running && r.upstream == upstream && r.incarnation == incarnation
	})
}

func (m *Machine) ordered(match func(*run) bool) []*run {
	var out []*run
	for _, r := range m.runs {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

func (m *Machine) survived(e Survived) {
	for _, r := range m.on(e.Upstream, e.Incarnation) {
		if !e.At.IsZero() && r.since.After(e.At) {
			continue
		}
		switch r.phase {
		case broken:
			m.do(Release{r.id})
			m.finishSolo(r)
			delete(m.runs, r.id)
		case over:
			m.finishSolo(r)
			delete(m.runs, r.id)
		case asking, claiming, allowed, running, dead:
		}
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
		if entry.Status == Clean {
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

// repeatReports sends the reports again that are not confirmed.
func (m *Machine) repeatReports(now time.Time) {
	due := m.ordered(func(r *run) bool {
		return r.died && r.confirmed == 0 && now.Sub(r.reportedAt) >= m.policy.HoldAnswer
	})
	for len(due) > 0 {
		first := due[0]
		var same, rest []*run
		for _, r := range due {
			if r.upstream == first.upstream && r.incarnation == first.incarnation {
				same = append(same, r)
			} else {
				rest = append(rest, r)
			}
		}
		m.report(now, same)
		due = rest
	}
}

// List returns the entries that the node knows, ordered by fingerprint.
func (m *Machine) List(now time.Time) []Entry {
	var out []Entry
	for _, e := range m.entries {
		if now.Before(e.Expires) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return compare(a.Fingerprint, b.Fingerprint) })
	return out
}
