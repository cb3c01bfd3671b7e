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

// permanentState is the encoding of all permanent notices in snapshots.
type permanentState struct {
	List  []Notice `cbor:"1,keyasint,omitempty"` // sorted by key
	Index uint64   `cbor:"2,keyasint"`
}

// permanentSet holds the permanent notices.
type permanentSet struct {
	byKey map[string]Notice
	index uint64 // log index of the last command that changed the set
}

// EncodePermanent returns the command that stores a permanent notice.
func EncodePermanent(n Notice) ([]byte, error) { return cbor.Marshal(command{Permanent: []Notice{n}}) }

// EncodeRemoval returns the command that removes the permanent notice under a key.
func EncodeRemoval(key string) ([]byte, error) { return cbor.Marshal(command{Removed: []string{key}}) }

// apply executes the command of the entry at index, and reports whether it was rejected because the set is full. An entry that the
// set already contains is ignored: a member that opens its folder again replays its log on the state that it has.
func (s *permanentSet) apply(index uint64, c command) (full bool) {
	if index <= s.index {
		return false
	}
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
	return permanentState{List: list, Index: s.index}
}

// restore takes the set of a snapshot unless the present one is at least as new.
func (s *permanentSet) restore(state permanentState) {
	if state.Index <= s.index {
		return
	}
	*s = permanentSet{byKey: map[string]Notice{}, index: state.Index}
	for _, n := range state.List {
		s.byKey[n.Key] = n
	}
}

// Permanent returns the permanent notices sorted by key, and the log index of the last command that changed them; 0 if none did.
// Their bodies must not be modified.
func (r *Replica) Permanent() (list []Notice, index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.permanent.state()
	return state.List, state.Index
}
