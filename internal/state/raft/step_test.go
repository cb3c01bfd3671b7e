package raft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var threeVoters = []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}

// machineDriver steps a single machine.
type machineDriver struct {
	m   *Machine
	now time.Time
}

func newMachineDriver(members []Member, r DurableState) *machineDriver {
	d := &machineDriver{m: New(Config{ID: "a", Bootstrap: members}, r), now: time.Unix(1, 0)}
	d.m.Step(d.now, Tick{})
	return d
}

func (d *machineDriver) step(ev Event) (p *Persist, sent []Message, rest []Action) {
	for _, a := range d.m.Step(d.now, ev) {
		switch a := a.(type) {
		case Persist:
			p = &a
		case Send:
			sent = append(sent, a.Message)
		case Apply, Restore, ProposalDone, ProposalFailed, ReadReady, ReadFailed, LeaderChanged:
			rest = append(rest, a)
		}
	}
	return p, sent, rest
}

func (d *machineDriver) receive(msg Message) (*Persist, []Message, []Action) {
	msg.To = "a"
	return d.step(Received{Message: msg})
}

// elect makes the machine leader of the next term with the votes of b, and returns its first Persist as leader.
func (d *machineDriver) elect() *Persist {
	d.now = d.now.Add(3 * time.Second)
	p, _, _ := d.step(Tick{})
	term := d.m.hardState.Term + 1
	if len(d.m.members()) > 1 {
		for _, from := range []string{"b", "c"} {
			if q, _, _ := d.receive(Message{Kind: KindPreVoteReply, From: from, Term: term}); q != nil {
				p = q
			}
		}
		d.receive(Message{Kind: KindVoteReply, From: "b", Term: term})
	}
	p, _, _ = d.step(Persisted{Seq: p.Seq})
	return p
}

func entriesOf(term uint64, from, to uint64) (out []Entry) {
	for i := from; i <= to; i++ {
		out = append(out, Entry{Index: i, Term: term})
	}
	return out
}

// Guards against a separate sync for each proposal.
func TestProposalsShareOnePersist(t *testing.T) {
	d := newMachineDriver(threeVoters[:1], DurableState{})
	d.step(Persisted{Seq: d.elect().Seq})
	assert.Equal(t, d.m.role, Leader)
	first, _, _ := d.step(Propose{ID: 1, Data: []byte("x")})
	assert.Equal(t, len(first.Entries), 1)
	for i := range uint64(50) {
		p, _, _ := d.step(Propose{ID: 2 + i, Data: []byte("x")})
		assert.Assert(t, p == nil)
	}
	second, _, _ := d.step(Persisted{Seq: first.Seq})
	assert.Equal(t, len(second.Entries), 50)
}

// Guards against committing an entry of an older term because a quorum has it, although another leader may still replace
// it, and against a read at such a commit index.
func TestEntriesOfOlderTermsAreNotCommittedAlone(t *testing.T) {
	d := newMachineDriver(threeVoters, DurableState{HardState: HardState{Term: 2}, Entries: entriesOf(2, 1, 1)})
	d.elect()
	assert.Equal(t, d.m.role, Leader)
	d.step(Read{ID: 7})
	_, _, rest := d.receive(Message{Kind: KindAppendReply, From: "b", Term: 3, Index: 1, Match: 1, Round: 1})
	assert.Equal(t, d.m.commit, uint64(0))
	assert.Equal(t, len(rest), 0)
	assert.Equal(t, d.m.reads.round, uint64(0))
}

// Guards against acknowledging entries that a newer leader replaced while they were being written, and against a write
// that omits their replacements.
func TestReplacedEntriesAreWrittenAgain(t *testing.T) {
	d := newMachineDriver(threeVoters, DurableState{})
	p, _, _ := d.receive(Message{Kind: KindAppend, From: "b", Term: 1, Entries: entriesOf(1, 1, 3)})
	assert.Equal(t, len(p.Entries), 3)
	none, sent, _ := d.receive(Message{Kind: KindAppend, From: "c", Term: 2, Index: 1, LogTerm: 1, Entries: entriesOf(2, 2, 4)})
	assert.Assert(t, none == nil && len(sent) == 0)
	p, sent, _ = d.step(Persisted{Seq: p.Seq})
	assert.Equal(t, len(sent), 0)
	assert.DeepEqual(t, p.Entries[len(p.Entries)-3:], entriesOf(2, 2, 4))
	p, sent, _ = d.step(Persisted{Seq: p.Seq})
	assert.Assert(t, p == nil)
	assert.Equal(t, sent[0].Match, uint64(4))

	p, _, _ = d.receive(Message{Kind: KindAppend, From: "b", Term: 3, Index: 2, LogTerm: 2, Entries: entriesOf(3, 3, 3)})
	assert.DeepEqual(t, p.Entries, entriesOf(3, 3, 3))
}

// Guards against a heartbeat reply that acknowledges entries that are still being written.
func TestHeartbeatDoesNotAcknowledgeUnwrittenEntries(t *testing.T) {
	d := newMachineDriver(threeVoters, DurableState{HardState: HardState{Term: 1}})
	p, _, _ := d.receive(Message{Kind: KindAppend, From: "b", Term: 1, Entries: entriesOf(1, 1, 3)})
	_, sent, _ := d.receive(Message{Kind: KindAppend, From: "b", Term: 1, Index: 3, LogTerm: 1, Round: 9})
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].Match, uint64(0))
	assert.Equal(t, sent[0].Round, uint64(9))
	_, sent, _ = d.step(Persisted{Seq: p.Seq})
	assert.Equal(t, sent[0].Match, uint64(3))
}

// Guards against one round trip per conflicting entry: the follower's hint covers the whole conflicting term.
func TestConflictIsSkippedByTerm(t *testing.T) {
	d := newMachineDriver(threeVoters, DurableState{HardState: HardState{Term: 2}, Entries: append(entriesOf(1, 1, 2), entriesOf(2, 3, 90)...)})
	_, sent, _ := d.receive(Message{Kind: KindAppend, From: "b", Term: 5, Index: 80, LogTerm: 4})
	assert.Equal(t, len(sent), 0) // deferred until term 5 is durable
	_, sent, _ = d.step(Persisted{Seq: 1})
	assert.Assert(t, sent[0].Reject)
	assert.Equal(t, sent[0].HintTerm, uint64(2))
	assert.Equal(t, sent[0].HintIndex, uint64(3))
}

// Guards against handling messages of another group, and against votes for an unknown id whose log is not newer.
func TestMessagesOfOtherGroupsAndUnknownMembersAreIgnored(t *testing.T) {
	d := newMachineDriver(threeVoters, DurableState{HardState: HardState{Term: 1}, Entries: entriesOf(1, 1, 2)})
	for _, msg := range []Message{
		{Kind: KindVote, Cluster: 9, From: "b", Term: 5, Index: 9, LogTerm: 4},
		{Kind: KindAppend, Cluster: 9, From: "b", Term: 5},
		{Kind: KindVote, From: "x", Term: 5, Index: 2, LogTerm: 1},
		{Kind: KindAppendReply, From: "x", Term: 5, Reject: true},
	} {
		p, sent, rest := d.receive(msg)
		assert.Assert(t, p == nil && sent == nil && rest == nil, "%+v", msg)
		assert.Equal(t, d.m.hardState.Term, uint64(1))
	}
	p, _, _ := d.receive(Message{Kind: KindVote, From: "x", Term: 5, Index: 3, LogTerm: 1})
	assert.Equal(t, p.HardState.Vote, "x")
}

// Guards against unbounded memory and traffic: proposals and unacknowledged messages are limited.
func TestProposalsAndMessagesAreBounded(t *testing.T) {
	d := newMachineDriver(threeVoters, DurableState{})
	d.m.cfg.MaxUncommittedBytes, d.m.cfg.MaxInflight, d.m.cfg.MaxMessageBytes = 1000, 2, 100
	d.elect()
	d.receive(Message{Kind: KindAppendReply, From: "b", Term: 1, Index: 0, Match: 0})
	appends, refused := 0, 0
	for i := range uint64(20) {
		_, sent, rest := d.step(Propose{ID: i + 1, Data: make([]byte, 84)})
		for _, msg := range sent {
			if msg.To == "b" {
				appends++
				assert.Assert(t, len(msg.Entries) <= 1)
			}
		}
		for _, a := range rest {
			if f, ok := a.(ProposalFailed); ok {
				assert.Equal(t, f.Reason, ReasonOverloaded)
				refused++
			}
		}
	}
	assert.Equal(t, appends, 1) // the empty entry of the new term occupies the other slot
	assert.Equal(t, refused, 11)
}

// Guards against a group that waits a full election timeout for a leader after all its members restarted.
func TestRestartedMemberCampaignsSoon(t *testing.T) {
	for seed := range uint64(50) {
		m := New(Config{ID: "a", Seed: seed, Bootstrap: threeVoters}, DurableState{HardState: HardState{Term: 3}, Entries: entriesOf(3, 1, 2)})
		now := time.Unix(1, 0)
		m.Step(now, Tick{})
		wait := m.Deadline().Sub(now)
		assert.Assert(t, wait >= DefaultHeartbeat && wait < 2*DefaultHeartbeat, "%s", wait)
		m.Step(m.Deadline(), Tick{})
		assert.Equal(t, m.Status().Role, PreCandidate)
	}
}

// Guards against candidates that retry too early for replies to arrive over slow disks and links.
func TestACandidateWithoutAnswersWaitsLongerEachTime(t *testing.T) {
	for seed := range uint64(50) {
		m := New(Config{ID: "a", Seed: seed, Bootstrap: threeVoters}, DurableState{HardState: HardState{Term: 3}, Entries: entriesOf(3, 1, 2)})
		m.Step(time.Unix(1, 0), Tick{})
		for _, least := range []time.Duration{2 * DefaultHeartbeat, 4 * DefaultHeartbeat, DefaultElectionTimeout, DefaultElectionTimeout} {
			now := m.Deadline()
			m.Step(now, Tick{})
			wait := m.Deadline().Sub(now)
			assert.Assert(t, wait >= least && wait < least+DefaultHeartbeat, "%s", wait)
			assert.Equal(t, m.Status().Role, PreCandidate)
		}
	}
}

// Guards against a restarted member that reports stale state as current, because it knows a leader whose entries have not
// arrived yet.
func TestRestartedMemberIsCurrentOnlyInTheLeadersTerm(t *testing.T) {
	d := newMachineDriver(threeVoters, DurableState{HardState: HardState{Term: 4, Commit: 1}, Entries: entriesOf(4, 1, 3)})
	assert.Assert(t, !d.m.Status().Current, "no leader is known")
	p, _, _ := d.receive(Message{Kind: KindAppend, From: "b", Term: 5, Index: 3, LogTerm: 4, Commit: 3})
	d.step(Persisted{Seq: p.Seq})
	assert.Equal(t, d.m.Status().Leader, "b")
	assert.Assert(t, !d.m.Status().Current, "the leader has committed nothing in its term")
	p, _, _ = d.receive(Message{Kind: KindAppend, From: "b", Term: 5, Index: 3, LogTerm: 4, Entries: entriesOf(5, 4, 4), Commit: 4})
	d.step(Persisted{Seq: p.Seq})
	assert.Assert(t, d.m.Status().Current)
}

// Guards against a member that is cut off and shows contact with its group for as long as it knows a leader.
func TestStatusTellsTheLastContact(t *testing.T) {
	d := newMachineDriver(threeVoters, DurableState{HardState: HardState{Term: 1}})
	d.receive(Message{Kind: KindAppend, From: "b", Term: 1})
	heard := d.now
	for range 4 {
		d.now = d.now.Add(DefaultElectionTimeout)
		d.step(Tick{})
		assert.Equal(t, d.m.Status().Contact, heard)
	}

	d = newMachineDriver(threeVoters, DurableState{})
	d.elect()
	d.now = d.now.Add(DefaultHeartbeat)
	heard = d.now
	d.receive(Message{Kind: KindAppendReply, From: "b", Term: d.m.hardState.Term})
	d.now = d.now.Add(DefaultHeartbeat)
	d.step(Tick{})
	assert.Equal(t, d.m.role, Leader)
	assert.Equal(t, d.m.Status().Contact, heard)
}
