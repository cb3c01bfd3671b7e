// Package vdoc is a replicated document whose highest version is in force.
//
// It is the state of a control group that stores whole configurations: each command carries a document and its version,
// and a command takes effect only if its version is above the stored one. A resent or overtaken command changes nothing,
// so it can be acknowledged at any time. The first content that reaches the log under a version keeps that version.
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

// Document is a whole configuration under its version. Version 0 means that there is none.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

// command is a Document as it stands in the log and in snapshots.
type command struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
	Packed  bool   `cbor:"3,keyasint,omitempty"` // Body is compressed
}

// Result is what became of a command.
type Result struct {
	Changed bool   `cbor:"1,keyasint"` // the command's document is stored now
	Version uint64 `cbor:"2,keyasint"` // stored version after the command
}

// Replica implements raftd.Replica. Latest may be called from any goroutine.
type Replica struct {
	notify func(Document)

	mu     sync.Mutex
	latest Document
}

// New returns an empty replica. notify is called after each change with the new document, which must not be changed.
func New(notify func(Document)) *Replica { return &Replica{notify: notify} }

// Latest returns the stored document. Its body must not be changed.
func (r *Replica) Latest() Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// Apply carries out one command and returns an encoded Result.
func (r *Replica) Apply(_ uint64, data []byte) []byte {
	d, err := decode(data)
	if err != nil {
		// Each member sees the same bytes and refuses them in the same way.
		return encode(Result{Version: r.Latest().Version})
	}
	changed := r.put(d)
	return encode(Result{Changed: changed, Version: r.Latest().Version})
}

func (r *Replica) put(d Document) bool {
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

// Snapshot returns the document.
func (r *Replica) Snapshot() ([]byte, error) { return Encode(r.Latest()) }

// Restore takes the document of a snapshot.
func (r *Replica) Restore(data []byte) error {
	d, err := decode(data)
	if err != nil {
		return errors.Wrap(err, "snapshot of the document")
	}
	r.put(d)
	return nil
}

// Encode returns the command that stores a document. It is compressed where that makes it shorter: each member of the group
// gets the whole document, over links that other traffic uses as well.
func Encode(d Document) ([]byte, error) {
	c := command{Version: d.Version, Body: d.Body}
	if packed := pack.Compress(d.Body, nil); len(packed) < len(d.Body) {
		c.Body, c.Packed = packed, true
	}
	return cbor.Marshal(c)
}

func decode(data []byte) (Document, error) {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Document{}, err
	}
	if !c.Packed {
		return Document{Version: c.Version, Body: c.Body}, nil
	}
	body, err := pack.Expand(c.Body, nil, pack.MostBytes)
	return Document{Version: c.Version, Body: body}, err
}

// DecodeResult decodes what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "result of a document command")
}

func encode(r Result) []byte {
	data, err := cbor.Marshal(r)
	if err != nil { // a struct of two numbers can always be encoded
		panic(err)
	}
	return data
}
