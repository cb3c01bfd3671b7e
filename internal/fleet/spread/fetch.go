package spread

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/pack"
)

// maxBodyBytes bounds an unpacked body, so that a small message cannot fill the memory.
const maxBodyBytes = 16 << 20

// setTarget records a newer revision as the target and starts to fetch it.
func (m *Machine) setTarget(now time.Time, revision, short uint64) {
	if revision > m.target {
		m.target, m.targetShort = revision, short
		m.attempts = 0
		clear(m.triedSources)
		m.startFetch(now)
	}
}

// startFetch requests the target from the next source, unless a fetch is under way.
func (m *Machine) startFetch(now time.Time) {
	if m.target <= m.current.revision || m.fetching != nil || m.writing != nil || m.cfg.Control || !m.started {
		return
	}
	if !m.confirmed && !m.controlAnswered {
		return // not before the control group has said what the newest revision is
	}
	to, ok := m.selectSource()
	if !ok {
		return
	}
	m.seq++
	f := &fetch{to: to, seq: m.seq, full: m.attempts > 0 && m.attempts%3 == 0}
	f.deadline = now.Add(m.cfg.FetchTimeout * time.Duration(min(max(m.attempts-quickAttempts+2, 1), 4)))
	m.fetching = f
	have := m.current.revision
	if f.full {
		have = 0 // fetching deltas failed; request a full snapshot
	}
	m.send(to, Message{Kind: KindFetch, Seq: f.seq, Have: have, Revision: m.target})
}

// selectSource selects the node to fetch from: a peer that has the revision, a representative that will have it soon, or a control node.
// A representative goes to a control node, nearest first, so that only a few nodes per data centre do.
func (m *Machine) selectSource() (string, bool) {
	var holders, leads []string
	for _, id := range m.peers.Local {
		if !m.triedSources[id] && m.peerRevisions[id] >= m.target {
			holders = append(holders, id)
		}
	}
	for _, id := range m.peers.Leads {
		if !m.triedSources[id] && id != m.cfg.ID {
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
		clear(m.triedSources) // all failed; start over
		return "", false
	}
}

func (m *Machine) failFetch(f *fetch) {
	m.triedSources[f.to] = true
	m.attempts++
	m.fetching = nil
}

// handleFetch sends the active body. A representative or control node that does not have the revision yet holds the
// request; other nodes reply that they do not have it, so that the requester tries the next source at once.
func (m *Machine) handleFetch(now time.Time, msg Message) {
	if m.current.revision >= msg.Revision && m.confirmed {
		m.sendBody(msg)
		return
	}
	if msg.Revision > m.target && !m.cfg.Control {
		m.setTarget(now, msg.Revision, 0)
	}
	if len(m.pendingFetches) < maxPendingFetches && (m.peers.Lead || m.cfg.Control) {
		m.pendingFetches = slices.DeleteFunc(m.pendingFetches, func(w Message) bool { return w.From == msg.From })
		m.pendingFetches = append(m.pendingFetches, msg)
		return
	}
	m.send(msg.From, Message{Kind: KindBody, Seq: msg.Seq})
}

func (m *Machine) sendBody(msg Message) {
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
		if m.compressed == nil {
			m.compressed = pack.Compress(m.current.body, nil)
		}
		out.Snapshot = m.compressed
	}
	m.send(msg.From, out)
}

func (m *Machine) handleBody(now time.Time, msg Message) {
	f := m.fetching
	expected := f != nil && f.seq == msg.Seq && f.to == msg.From
	if msg.Revision <= m.current.revision || m.writing != nil || m.cfg.Control {
		if expected && msg.Revision < m.target {
			m.failFetch(f)
			m.startFetch(now)
		}
		return
	}
	if len(msg.Steps) > 0 && msg.Have != m.current.revision {
		if expected { // another response arrived first; fetch again from the revision active now
			m.fetching = nil
			m.startFetch(now)
		}
		return
	}
	v, err := m.decodeBody(msg)
	if err != nil {
		m.emit(Rejected{From: msg.From, Revision: msg.Revision, Err: err})
		if expected {
			m.failFetch(f)
			m.attempts = max(m.attempts, 3) / 3 * 3 // the next request is for the whole body
			m.startFetch(now)
		}
		return
	}
	if msg.Revision < m.minRevision || !m.confirmed && !m.controlAnswered {
		return // older than what the group had when this node started
	}
	m.fetching = nil
	m.accept(now, v)
}

// decodeBody reconstructs the body of a message and verifies it against its digest, and against the one from gossip if it is of
// the same revision.
func (m *Machine) decodeBody(msg Message) (version, error) {
	v := version{revision: msg.Revision, from: m.current.revision}
	if len(msg.Digest) != len(v.digest) {
		return v, errors.New("body message has a missing or malformed digest")
	}
	copy(v.digest[:], msg.Digest)
	if msg.Revision == m.target && m.targetShort != 0 && Short(v.digest) != m.targetShort {
		return v, errors.New("body digest does not match the announced digest")
	}
	var err error
	if len(msg.Steps) > 0 {
		v.body, v.steps = m.current.body, msg.Steps
		at := m.current.revision
		for _, s := range msg.Steps {
			if v.body, err = pack.Expand(s.Delta, v.body, maxBodyBytes); err != nil {
				return v, err
			}
			if s.Revision <= at {
				return v, errors.Newf("revision %d follows revision %d in the differences", s.Revision, at)
			}
			at = s.Revision
		}
	} else if v.body, err = pack.Expand(msg.Snapshot, nil, maxBodyBytes); err != nil {
		return v, err
	}
	if sha256.Sum256(v.body) != v.digest {
		return v, errors.New("body does not match its digest")
	}
	return v, nil
}
