// Package vdoc implements a replicated state machine that stores the document with the highest version, and the latest
// notice under each key.
//
// A control group uses it to replicate whole configurations. Each command carries a document and its version, and takes
// effect only if its version is higher than the stored one. A duplicate or reordered command changes nothing, so it is
// always safe to acknowledge. If two commands carry the same version, the one that is earlier in the log wins.
//
// Notices are short messages that must survive a restart of all members, such as the departure of an upstream. They do not
// depend on the document. Only the newest maxNotices are kept.
//
// A notice may name the run of a process that it is about. It is then ignored if the stored notice is about a later run, so that one
// that was delivered late does not replace a newer one.
//
// A permanent notice, such as the order to evacuate a data centre, is kept until it is removed. All permanent notices share the log
// index of the last command that changed them, which orders their states across members and restarts. A Change is a compare-and-set
// on the number of the last accepted one.
//
// Usage:
//
//	r := vdoc.New(func(d vdoc.Document) { ... }) // called for each new version, from the group's goroutine
//	body, err := vdoc.Encode(vdoc.Document{Version: 7, Body: text})
//	reply, err := group.Propose(ctx, body)
//	result, err := vdoc.DecodeResult(reply)
//
//	body, err = vdoc.EncodeNotice(vdoc.Notice{Key: "u1", Body: text})
//	_, err = group.Propose(ctx, body)
//	list, last := r.Notices(0)    // all of them
//	list, last = r.Notices(last)  // those stored since
//
//	body, err = vdoc.EncodeChange(vdoc.Change{Notice: vdoc.Notice{Key: "evacuation/dc-1"}, After: r.Accepted()})
//	list, index := r.Permanent()
package vdoc

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/pack"
)

// Document is a whole configuration and its version. Version 0 means that no configuration is stored.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

// command is the encoding of a Document in the log, of a Notice in the log, and of the whole state in snapshots. Members of
// releases without notices take a Notice for a document of version 0, which has no effect. Releases without permanent notices take
// a command with one in the same way.
type command struct {
	Version    uint64   `cbor:"1,keyasint"`
	Body       []byte   `cbor:"2,keyasint"`
	Compressed bool     `cbor:"3,keyasint,omitempty"` // Body is compressed with package pack
	Notices    []Notice `cbor:"4,keyasint,omitempty"`

	Permanent []Notice        `cbor:"5,keyasint,omitempty"` // stored by this command
	Removed   []string        `cbor:"6,keyasint,omitempty"` // keys of permanent notices that this command removes
	State     *permanentState `cbor:"7,keyasint,omitempty"` // in snapshots
	// After is Change.After. Commands of earlier releases have none and are always accepted; members of earlier releases accept all.
	After *uint64 `cbor:"8,keyasint,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Changed bool   `cbor:"1,keyasint"`           // the command's document was stored
	Version uint64 `cbor:"2,keyasint"`           // stored version after the command
	Full    bool   `cbor:"3,keyasint,omitempty"` // a permanent notice was rejected, because there are MaxPermanent
	// Conflict says that a Change was rejected, because another one was accepted after the one that it names.
	Conflict bool `cbor:"4,keyasint,omitempty"`
}

// Replica implements raftd.Replica. Latest may be called from any goroutine.
type Replica struct {
	notify func(Document)

	mu        sync.Mutex
	latest    Document
	notices   noticeList
	permanent permanentSet
}

// New returns an empty replica. notify is called after each change with the new document, which must not be modified.
func New(notify func(Document)) *Replica { return &Replica{notify: notify} }

// Latest returns the stored document. Its body must not be modified.
func (r *Replica) Latest() Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// Apply applies one command and returns an encoded Result. A malformed command changes nothing.
func (r *Replica) Apply(index uint64, data []byte) []byte {
	c, err := decodeCommand(data)
	if err != nil {
		// Every member applies the same bytes, so all of them reject the command alike and their states stay equal.
		return encodeResult(Result{Version: r.Latest().Version})
	}
	changed := r.storeIfNewer(c.document())
	r.storeNotices(c.Notices)
	v := r.applyPermanent(index, c)
	return encodeResult(Result{Changed: changed, Version: r.Latest().Version, Full: v.full, Conflict: v.conflict})
}

// storeIfNewer stores d if its version is higher than the stored one, and reports whether it did.
func (r *Replica) storeIfNewer(d Document) bool {
	r.mu.Lock()
	changed := d.Version > r.latest.Version
	if changed {
		r.latest = d
	}
	r.mu.Unlock()
	if changed {
		r.notify(d)
	}
	return changed
}

func (r *Replica) applyPermanent(index uint64, c command) verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permanent.apply(index, c)
}

// Snapshot returns the stored document and the notices, encoded like a command.
func (r *Replica) Snapshot() ([]byte, error) {
	c := newCommand(r.Latest())
	c.Notices, _ = r.Notices(0)
	if state := r.permanentState(); state.Accepted > 0 {
		c.State = &state
	}
	return cbor.Marshal(c)
}

func (r *Replica) permanentState() permanentState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permanent.state()
}

// Restore stores the document of a snapshot unless the stored one is at least as new, its notices, and its permanent notices unless
// the present ones are at least as new.
func (r *Replica) Restore(data []byte) error {
	c, err := decodeCommand(data)
	if err != nil {
		return errors.Wrap(err, "decode document snapshot")
	}
	r.storeIfNewer(c.document())
	r.storeNotices(c.Notices)
	if c.State != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.permanent.restore(*c.State)
	}
	return nil
}

// Encode returns the command that stores a document.
func Encode(d Document) ([]byte, error) { return cbor.Marshal(newCommand(d)) }

// newCommand compresses the body if that makes it shorter, because every member of the group receives the whole document over
// links that it shares with other traffic.
func newCommand(d Document) command {
	c := command{Version: d.Version, Body: d.Body}
	if compressed := pack.Compress(d.Body, nil); len(compressed) < len(d.Body) {
		c.Body, c.Compressed = compressed, true
	}
	return c
}

// decodeCommand decodes a command and expands its body.
func decodeCommand(data []byte) (command, error) {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return command{}, err
	}
	if !c.Compressed {
		return c, nil
	}
	body, err := pack.Expand(c.Body, nil, pack.MostBytes)
	c.Body, c.Compressed = body, false
	return c, err
}

func (c command) document() Document { return Document{Version: c.Version, Body: c.Body} }

// DecodeResult decodes a Result that Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode document command result")
}

func encodeResult(r Result) []byte {
	data, err := cbor.Marshal(r)
	if err != nil { // a struct of bools and an integer can always be encoded
		panic(err)
	}
	return data
}
