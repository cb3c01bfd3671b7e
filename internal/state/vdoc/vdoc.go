// Package vdoc implements a replicated state machine that stores the document with the highest version.
//
// A control group uses it to replicate whole configurations. Each command carries a document and its version, and takes
// effect only if its version is higher than the stored one. A duplicate or reordered command changes nothing, so it is
// always safe to acknowledge. If two commands carry the same version, the one that is earlier in the log wins.
//
// Usage:
//
//	r := vdoc.New(func(d vdoc.Document) { ... }) // called for each new version, from the group's goroutine
//	body, err := vdoc.Encode(vdoc.Document{Version: 7, Body: text})
//	reply, err := group.Propose(ctx, body)
//	result, err := vdoc.DecodeResult(reply)
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

// command is the encoding of a Document in the log and in snapshots.
type command struct {
	Version    uint64 `cbor:"1,keyasint"`
	Body       []byte `cbor:"2,keyasint"`
	Compressed bool   `cbor:"3,keyasint,omitempty"` // Body is compressed with package pack
}

// Result is the outcome of a command.
type Result struct {
	Changed bool   `cbor:"1,keyasint"` // the command's document was stored
	Version uint64 `cbor:"2,keyasint"` // stored version after the command
}

// Replica implements raftd.Replica. Latest may be called from any goroutine.
type Replica struct {
	notify func(Document)

	mu     sync.Mutex
	latest Document
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
func (r *Replica) Apply(_ uint64, data []byte) []byte {
	d, err := decodeCommand(data)
	if err != nil {
		// Every member applies the same bytes, so all of them reject the command alike and their states stay equal.
		return encodeResult(Result{Version: r.Latest().Version})
	}
	changed := r.storeIfNewer(d)
	return encodeResult(Result{Changed: changed, Version: r.Latest().Version})
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

// Snapshot returns the stored document, encoded like a command.
func (r *Replica) Snapshot() ([]byte, error) { return Encode(r.Latest()) }

// Restore stores the document of a snapshot unless the stored one is at least as new.
func (r *Replica) Restore(data []byte) error {
	d, err := decodeCommand(data)
	if err != nil {
		return errors.Wrap(err, "decode document snapshot")
	}
	r.storeIfNewer(d)
	return nil
}

// Encode returns the command that stores a document. The body is compressed if that makes it shorter, because every member of
// the group receives the whole document over links that it shares with other traffic.
func Encode(d Document) ([]byte, error) {
	c := command{Version: d.Version, Body: d.Body}
	if compressed := pack.Compress(d.Body, nil); len(compressed) < len(d.Body) {
		c.Body, c.Compressed = compressed, true
	}
	return cbor.Marshal(c)
}

func decodeCommand(data []byte) (Document, error) {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Document{}, err
	}
	if !c.Compressed {
		return Document{Version: c.Version, Body: c.Body}, nil
	}
	body, err := pack.Expand(c.Body, nil, pack.MostBytes)
	return Document{Version: c.Version, Body: body}, err
}

// DecodeResult decodes a Result that Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode document command result")
}

func encodeResult(r Result) []byte {
	data, err := cbor.Marshal(r)
	if err != nil { // a struct of a bool and an integer can always be encoded
		panic(err)
	}
	return data
}
