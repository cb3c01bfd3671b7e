package raftd

import (
	"time"

	"github.com/berylledge/berylledge/internal/state/raft"
)

// seenWindow is the number of forwarded ids per member that a leader remembers, to recognize repeated messages. Ids
// that are further back than this are ignored.
const seenWindow = 8192

// forwardTable holds the requests that this node has forwarded and the ids that it has seen from others.
type forwardTable struct {
	// nextID starts with the time of the start, so that ids stay unique when a node restarts.
	nextID uint64
	sent   map[uint64]forwarded
	order  []uint64 // ids in order of their deadlines
	seen   map[string]*seenIDs
	// startTerm is the term at the start. An earlier incarnation may have accepted a request of this or an earlier term.
	startTerm uint64
}

type forwarded struct {
	req      *request
	term     uint64
	deadline time.Time
}

type seenIDs struct {
	max uint64
	ids map[uint64]bool
}

func newForwardTable(startTerm, firstID uint64) forwardTable {
	return forwardTable{
		nextID: firstID, sent: map[uint64]forwarded{}, seen: map[string]*seenIDs{}, startTerm: startTerm,
	}
}

func (f *forwardTable) add(r *request, term uint64, deadline time.Time) uint64 {
	f.nextID++
	f.sent[f.nextID] = forwarded{req: r, term: term, deadline: deadline}
	f.order = append(f.order, f.nextID)
	return f.nextID
}

func (f *forwardTable) take(id uint64) (forwarded, bool) {
	w, ok := f.sent[id]
	delete(f.sent, id)
	return w, ok
}

// deadline returns when the oldest forwarded request expires.
func (f *forwardTable) deadline() (time.Time, bool) {
	for len(f.order) > 0 {
		if w, ok := f.sent[f.order[0]]; ok {
			return w.deadline, true
		}
		f.order = f.order[1:]
	}
	return time.Time{}, false
}

// isNew notes an id from another member and reports whether it had not been seen.
func (f *forwardTable) isNew(from string, id uint64) bool {
	s := f.seen[from]
	if s == nil {
		s = &seenIDs{ids: map[uint64]bool{}}
		f.seen[from] = s
	}
	if s.ids[id] || id+seenWindow <= s.max {
		return false
	}
	s.ids[id] = true
	s.max = max(s.max, id)
	if len(s.ids) > 2*seenWindow {
		for old := range s.ids {
			if old+seenWindow <= s.max {
				delete(s.ids, old)
			}
		}
	}
	return true
}

// onForward accepts a request from a follower. A proposal of another term is refused: the leader of that term may have
// been an earlier incarnation of this node, which may have accepted the same message, and then the outcome is unknown.
func (l *loop) onForward(msg raft.Message) {
	f := *msg.Forward
	if !l.forwards.isNew(msg.From, f.ID) {
		return
	}
	leader, term := l.m.Leader()
	reply := raft.Forward{ID: f.ID, Read: f.Read}
	switch {
	case leader == l.cfg.Identity.Member.ID && (f.Read || msg.Term == term):
		id := l.register(origin{from: msg.From, id: f.ID})
		if f.Read {
			l.events = append(l.events, raft.Read{ID: id})
		} else {
			l.events = append(l.events, raft.Propose{ID: id, Data: f.Data})
		}
		return
	case msg.Term <= l.forwards.startTerm && !f.Read:
		reply.Reason = raft.ReasonUnknown
	default:
		reply.Reason = raft.ReasonNotLeader
	}
	l.send(raft.Message{Kind: raft.KindForwardReply, To: msg.From, Forward: &reply})
}

func (l *loop) onForwardReply(msg raft.Message) {
	w, ok := l.forwards.take(msg.Forward.ID)
	if !ok {
		return
	}
	l.settle(w.req, *msg.Forward)
	if leader, term := l.m.Leader(); leader != "" && term > w.term {
		l.retry() // the request was refused by an earlier leader, and the present one is already known
	}
}

// expire gives up the forwarded requests whose reply is overdue. A read is tried again; the outcome of a proposal is
// unknown.
func (l *loop) expire() {
	now := l.cfg.Clock.Now()
	for {
		at, ok := l.forwards.deadline()
		if !ok || at.After(now) {
			return
		}
		w, _ := l.forwards.take(l.forwards.order[0])
		if w.req.kind == kindRead {
			l.waiting = append(l.waiting, w.req)
			continue
		}
		w.req.finish(nil, &UnknownError{Err: l.refusal(raft.ReasonUnknown)})
	}
}
