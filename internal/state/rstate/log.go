package rstate

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Log holds a State behind byte slices: it applies encoded commands in the order of the log and returns encoded
// results. It is safe for concurrent use, so that queries run beside Apply.
type Log struct {
	mu    sync.RWMutex
	state *State
}

// NewLog returns a Log with an empty state.
func NewLog(limits Limits) *Log { return &Log{state: New(limits)} }

// Apply applies a committed command and returns the encoded result. Bytes that are not a command of this version change
// nothing and give Refused; a proposer must have checked them with DecodeCommand before.
func (l *Log) Apply(index uint64, data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, err := EncodeResult(l.apply(index, data))
	if err != nil { // results hold only plain values, which can always be encoded
		panic(err)
	}
	return out
}

func (l *Log) apply(index uint64, data []byte) Result {
	cmd, err := DecodeCommand(data)
	if err != nil {
		return l.state.skip(index, err)
	}
	return l.state.Apply(index, cmd)
}

// skip accounts for an index whose command cannot be decoded.
func (s *State) skip(index uint64, err error) Refused {
	code := RefusedDecode
	var unknown *UnknownKindError
	if errors.As(err, &unknown) {
		code = RefusedKind
	}
	if index <= s.applied {
		return Refused{Code: RefusedApplied, Reason: "the index was applied before"}
	}
	s.applied = index
	return Refused{Code: code, Reason: err.Error()}
}

// Snapshot returns the state as bytes. Commands wait only while the state is copied, not while it is encoded.
func (l *Log) Snapshot() ([]byte, error) {
	l.mu.RLock()
	im, err := l.state.image()
	l.mu.RUnlock()
	if err != nil {
		return nil, err
	}
	return im.encode()
}

// Restore replaces the state by that of a snapshot. After an error the state is unchanged.
func (l *Log) Restore(data []byte) error {
	s, err := Restore(data)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	return nil
}

// Query runs f with the state. f must not keep the state or change it.
func (l *Log) Query(f func(*State)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	f(l.state)
}
