package vdoc

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// MaxPermanent bounds the permanent notices. A command that would exceed it is rejected, because dropping an older notice would
// undo what was acknowledged.
const MaxPermanent = 256

// Change stores a permanent notice, or removes the one under its key.
//
// A change may be delivered late: a partition or a frozen member holds it up while its sender gives it up and a newer change is
// acknowledged. Therefore each one names the last change that its sender knew, and is rejected if another one was accepted since.
// An accepted change counts for this even if it had no effect, such as the removal of a notice that was not stored.
type Change struct {
	Notice Notice // its body is ignored in a removal
	Remove bool
	After  uint64 // Replica.Accepted when the change was made
}

// permanentState is the encoding of all permanent notices in snapshots.
type permanentState struct {
	List     []Notice `cbor:"1,keyasint,omitempty"` // sorted by key
	Index    uint64   `cbor:"2,keyasint"`
	Accepted uint64   `cbor:"3,keyasint,omitempty"` // 0 in snapshots of earlier releases
}

// permanentSet holds the permanent notices.
type permanentSet struct {
	byKey    map[string]Notice
	index    uint64 // log index of the last command that changed the set
	accepted uint64 // log index of the last command that was accepted; not before index
}

// EncodeChange returns the command that carries out a change.
func EncodeChange(c Change) ([]byte, error) {
	out := command{After: &c.After}
	if c.Remove {
		out.Removed = []string{c.Notice.Key}
	} else {
		out.Permanent = []Notice{c.Notice}
	}
	return cbor.Marshal(out)
}

// verdict is what a permanentSet says to a command.
type verdict struct {
	full     bool // rejected, because there are MaxPermanent notices
	conflict bool // rejected, because another change was accepted since
}

// apply executes the command of the entry at index. An entry that the set already contains is ignored: a member that opens its
// folder again replays its log on the state that it has.
func (s *permanentSet) apply(index uint64, c command) verdict {
	switch {
	case index <= s.accepted || len(c.Removed)+len(c.Permanent) == 0:
		return verdict{}
	case c.After != nil && s.accepted > *c.After:
		return verdict{conflict: true}
	}
	full := s.execute(index, c)
	if c.After != nil && !full {
		s.accepted = index
	}
	// A snapshot of an earlier release tells only of commands that had an effect, so that only those of its log count.
	s.accepted = max(s.accepted, s.index)
	return verdict{full: full}
}

// execute changes the set, and reports whether a notice had no room.
func (s *permanentSet) execute(index uint64, c command) (full bool) {
	for _, key := range c.Removed {
		if _, ok := s.byKey[key]; ok {
			delete(s.byKey, key)
			s.index = index
		}
	}
	for _, n := range c.Permanent {
		old, ok := s.byKey[n.Key]
		switch {
		case ok && bytes.Equal(old.Body, n.Body):
			continue // a repeated command must not look like a change to readers
		case !ok && len(s.byKey) >= MaxPermanent:
			full = true
			continue
		}
		if s.byKey == nil {
			s.byKey = map[string]Notice{}
		}
		s.byKey[n.Key] = n
		s.index = index
	}
	return full
}

func (s *permanentSet) state() permanentState {
	list := slices.SortedFunc(maps.Values(s.byKey), func(a, b Notice) int { return strings.Compare(a.Key, b.Key) })
	return permanentState{List: list, Index: s.index, Accepted: s.accepted}
}

// restore takes the set of a snapshot unless the present one is at least as new.
func (s *permanentSet) restore(state permanentState) {
	accepted := max(state.Accepted, state.Index)
	if accepted <= s.accepted {
		return
	}
	*s = permanentSet{byKey: map[string]Notice{}, index: state.Index, accepted: accepted}
	for _, n := range state.List {
		s.byKey[n.Key] = n
	}
}

// Permanent returns the permanent notices sorted by key, and the log index of the last command that changed them; 0 if none did.
// Their bodies must not be modified.
func (r *Replica) Permanent() (list []Notice, index uint64) {
	state := r.permanentState()
	return state.List, state.Index
}

// Accepted returns the number of the last accepted change; 0 if there was none.
func (r *Replica) Accepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permanent.accepted
}
