package spread

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/pack"
)

// maxBody bounds an unpacked body, so that a small message cannot fill the memory.
const maxBody = 16 << 20

// aim notes that a revision exists and starts to fetch it.
func (m *Machine) aim(now time.Time, revision, short uint64) {
	if revision > m.target {
		m.target, m.targetShort = revision, short
		m.attempts = 0
		clear(m.tried)
		m.pursue(now)
	}
}

// pursue fetches the target from the next source, unless a fetch is under way.
func (m *Machine) pursue(now time.Time) {
	if m.target <= m.current.revision || m.fetching != nil || m.writing != nil || m.cfg.Control || !m.started {
		return
	}
	if !m.confirmed && !m.asked {
		return // not before the control group has said what the newest revision is
	}
	to, ok := m.source()
	if !ok {
		return
	}
	m.seq++
	f := &fetch{to: to, seq: m.seq, full: m.attempts > 0 && m.attempts%3 == 0}
	f.deadline = now.Add(m.cfg.FetchTimeout * time.Duration(min(max(m.attempts-quickAttempts+2, 1), 4)))
	m.fetching = f
	have := m.current.revision
	if f.full {
		have = 0 // differences did not lead to the goal; ask for the whole body
	}
	m.send(to, Message{Kind: KindFetch, Seq: f.seq, Have: have, Revision: m.target})
}

// source chooses whom to ask: a peer that has the revision, a representative that will have it soon, or a control node.
// A representative goes to a control node, nearest first, so that only a few nodes per data centre do.
func (m *Machine) source() (string, bool) {
	var holders, leads []string
	for _, id := range m.peers.Local {
		if !m.tried[id] && m.has[id] >= m.target {
			holders = append(holders, id)
		}
	}
	for _, id := range m.peers.Leads {
		if !m.tried[id] && id != m.cfg.ID {
			leads = append(leads, id)
		}
	}
	control := m.peers.Control
	switch {
	case len(holders) > 0:
		return holders[m.rng.IntN(len(holders))], true
	case !m.peers.Lead && len(leads) > 0 && m.attempts < 2:
		return leads[m.rng.IntN(len(leads))], true
	case len(control) > 0:
		return control[m.attempts%len(control)], true
	case len(leads) > 0:
		return leads[m.rng.IntN(len(leads))], true
	default:
		clear(m.tried) // all failed; start over
		return "", false
	}
}

func (m *Machine) giveUp(f *fetch) {
	m.tried[f.to] = true
	m.attempts++
	m.fetching = nil
}

// takeFetch answers with a body. A node that expects the revision itself holds the question; another one says that it
// does not have it, so that the asker tries the next source at once.
func (m *Machine) takeFetch(now time.Time, msg Message) {
	if m.current.revision >= msg.Revision && m.confirmed {
		m.answer(msg)
		return
	}
	if msg.Revision > m.target && !m.cfg.Control {
		m.aim(now, msg.Revision, 0)
	}
	if len(m.waiting) < maxWaiting && (m.peers.Lead || m.cfg.Control) {
		m.waiting = slices.DeleteFunc(m.waiting, func(w Message) bool { return w.From == msg.From })
		m.waiting = append(m.waiting, msg)
		return
	}
	m.send(msg.From, Message{Kind: KindBody, Seq: msg.Seq})
}

func (m *Machine) answer(msg Message) {
	out := Message{
		Kind: KindBody, Seq: msg.Seq, Have: msg.Have, Revision: m.current.revision, Digest: m.current.digest[:],
	}
	at := msg.Have
	for _, s := range m.history {
		if s.from == at && at < m.current.revision {
			out.Steps = append(out.Steps, s.StepTo)
			at = s.Revision
		}
	}
	if at != m.current.revision || msg.Have == 0 {
		out.Steps = nil
		if m.packed == nil {
			m.packed = pack.Compress(m.current.body, nil)
		}
		out.Snapshot = m.packed
	}
	m.send(msg.From, out)
}

func (m *Machine) takeBody(now time.Time, msg Message) {
	f := m.fetching
	expected := f != nil && f.seq == msg.Seq && f.to == msg.From
	if msg.Revision <= m.current.revision || m.writing != nil || m.cfg.Control {
		if expected && msg.Revision < m.target {
			m.giveUp(f)
			m.pursue(now)
		}
		return
	}
	if len(msg.Steps) > 0 && msg.Have != m.current.revision {
		if expected { // another answer was faster; ask again from the revision that is in force now
			m.fetching = nil
			m.pursue(now)
		}
		return
	}
	v, err := m.build(msg)
	if err != nil {
		m.emit(Rejected{From: msg.From, Revision: msg.Revision, Err: err})
		if expected {
			m.giveUp(f)
			m.attempts = max(m.attempts, 3) / 3 * 3 // the next request is for the whole body
			m.pursue(now)
		}
		return
	}
	if msg.Revision < m.floor || !m.confirmed && !m.asked {
		return // older than what the group had when this node started
	}
	m.fetching = nil
	m.accept(now, v)
}

// build builds the body of a message and checks it against its digest, and against the one from gossip if it is of
// the same revision.
func (m *Machine) build(msg Message) (version, error) {
	v := version{revision: msg.Revision, from: m.current.revision}
	if len(msg.Digest) != len(v.digest) {
		return v, errors.New("the body came without a digest")
	}
	copy(v.digest[:], msg.Digest)
	if msg.Revision == m.target && m.targetShort != 0 && Short(v.digest) != m.targetShort {
		return v, errors.New("the digest differs from the one announced with the revision")
	}
	var err error
	if len(msg.Steps) > 0 {
		v.body, v.steps = m.current.body, msg.Steps
		at := m.current.revision
		for _, s := range msg.Steps {
			if v.body, err = pack.Expand(s.Delta, v.body, maxBody); err != nil {
				return v, err
			}
			if s.Revision <= at {
				return v, errors.Newf("revision %d follows revision %d in the differences", s.Revision, at)
			}
			at = s.Revision
		}
	} else if v.body, err = pack.Expand(msg.Snapshot, nil, maxBody); err != nil {
		return v, err
	}
	if sha256.Sum256(v.body) != v.digest {
		return v, errors.New("the body does not have its digest")
	}
	return v, nil
}
