package raft

// readQueue holds linearizable reads, which are confirmed by rounds of heartbeats (ReadIndex in the Raft thesis). A read
// that arrives during a round waits for the next one, because replies to heartbeats sent before its arrival do not prove
// that this member was still the leader when it arrived.
type readQueue struct {
	waiting   []uint64        // ids waiting for the next round
	round     uint64          // number of the last round
	active    bool            // the last round is not yet confirmed
	index     uint64          // commit index at the start of the active round
	inFlight  []uint64        // ids in the active round
	confirmed []confirmedRead // reads waiting until their index is applied
}

type confirmedRead struct{ id, index uint64 }

func (m *Machine) read(id uint64) {
	if m.role != Leader {
		m.emit(ReadFailed{ID: id, Reason: ReasonNotLeader})
		return
	}
	m.reads.waiting = append(m.reads.waiting, id)
}

// committedInTerm reports whether an entry of the current term is committed. Only then does the commit index cover all
// committed entries of earlier terms.
func (m *Machine) committedInTerm() bool {
	t, ok := m.log.term(m.commit)
	return ok && t == m.hardState.Term
}

func (m *Machine) startReads() {
	q := &m.reads
	if q.active || len(q.waiting) == 0 || !m.committedInTerm() {
		return
	}
	q.round++
	q.active, q.index = true, m.commit
	q.inFlight, q.waiting = q.waiting, nil
	m.sendHeartbeats()
	m.confirmReads()
}

// confirmReads ends the active round once a quorum has replied to it.
func (m *Machine) confirmReads() {
	q := &m.reads
	if !q.active || !m.hasQuorum(m.members(), func(id string) bool {
		return id == m.cfg.ID || m.peers[id] != nil && m.peers[id].ackedRound >= q.round
	}) {
		return
	}
	for _, id := range q.inFlight {
		q.confirmed = append(q.confirmed, confirmedRead{id: id, index: q.index})
	}
	q.active, q.inFlight = false, nil
}

func (m *Machine) finishReads() {
	q := &m.reads
	for len(q.confirmed) > 0 && q.confirmed[0].index <= m.applied {
		m.emit(ReadReady{ID: q.confirmed[0].id, Index: q.confirmed[0].index})
		q.confirmed = q.confirmed[1:]
	}
}

// failReads fails all unconfirmed reads when this member stops being the leader.
func (m *Machine) failReads(reason Reason) {
	q := &m.reads
	for _, id := range append(q.inFlight, q.waiting...) {
		m.emit(ReadFailed{ID: id, Reason: reason})
	}
	q.active, q.inFlight, q.waiting = false, nil, nil
}
