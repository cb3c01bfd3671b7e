package poller

import (
	"bytes"
	"crypto/sha256"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/base/pack"
	"github.com/berylledge/berylledge/internal/gate/conf"
)

// Want asks for a configuration that is newer than the one in force.
type Want struct {
	Base    uint64 `cbor:"1,keyasint,omitempty"` // version that the reader has; 0: the document is packed alone
	Version uint64 `cbor:"2,keyasint,omitempty"` // of which a part has arrived
	Offset  int    `cbor:"3,keyasint,omitempty"` // bytes of it that have arrived
}

// Piece is a part of a packed configuration.
type Piece struct {
	Version uint64 `cbor:"1,keyasint"`
	Base    uint64 `cbor:"2,keyasint,omitempty"` // version that it is packed against
	Offset  int    `cbor:"3,keyasint,omitempty"`
	Total   int    `cbor:"4,keyasint"` // bytes of all pieces
	Sum     []byte `cbor:"5,keyasint"` // SHA-256 of the unpacked document
	Body    []byte `cbor:"6,keyasint"`
}

// PieceBytes is the length of a piece. On a link of 10 Mbit/s it takes 26 ms.
const PieceBytes = 32 << 10

// maxTextBytes bounds a packed configuration.
const maxTextBytes = 16 << 20

// text is a configuration that arrives in pieces from one control node.
type text struct {
	from  string
	first Piece // without its body
	body  []byte
	alone bool // the last one could not be unpacked against the version in force
}

// want returns the next question to a control node.
func (t *text) want(from string, have uint64) *Want {
	w := &Want{Base: have}
	if t.alone {
		w.Base = 0
	}
	if t.from == from && len(t.body) > 0 && t.first.Version > have {
		w.Base, w.Version, w.Offset = t.first.Base, t.first.Version, len(t.body)
	}
	return w
}

// add takes a piece and reports whether the text is whole. One that does not fit in is passed over, and asked for again.
func (t *text) add(from string, p *Piece) bool {
	if p.Total <= 0 || p.Total > maxTextBytes {
		return false
	}
	same := t.from == from && t.first.Version == p.Version && t.first.Base == p.Base && bytes.Equal(t.first.Sum, p.Sum)
	switch {
	case p.Offset == 0:
		t.from, t.first, t.body = from, *p, bytes.Clone(p.Body)
		t.first.Body = nil
	case same && p.Offset == len(t.body):
		t.body = append(t.body, p.Body...)
	default:
		return false
	}
	return len(t.body) >= t.first.Total
}

// unpack returns the document, and forgets the text. earlier is the document of the version in force.
func (t *text) unpack(earlier []byte) ([]byte, error) {
	body, first := t.body, t.first
	*t = text{alone: first.Base != 0}
	if first.Base == 0 {
		earlier = nil
	}
	document, err := pack.Expand(body, earlier, pack.MostBytes)
	if err != nil {
		return nil, err
	}
	if sum := sha256.Sum256(document); !bytes.Equal(sum[:], first.Sum) {
		return nil, errors.Newf("the checksum of the configuration differs, packed against version %d", first.Base)
	}
	t.alone = false
	return document, nil
}

// takePiece takes a piece of a configuration. It reports whether a configuration came in force, and whether to ask for the next
// piece.
func (p *Poller) takePiece(from string, piece *Piece) (used, more bool) {
	if piece.Version <= p.version || piece.Base != 0 && piece.Base != p.version {
		return false, false
	}
	if !p.text.add(from, piece) {
		return false, p.text.from == from && len(piece.Body) > 0
	}
	document, err := p.text.unpack(p.document)
	if err != nil {
		p.rejected(piece.Version, from, err)
		return false, false
	}
	before := p.version
	if !p.takeDocument(piece.Version, document, from) {
		return false, false
	}
	p.o.Events.Emit(event.ConfigInForce, event.F("revision", piece.Version), event.F("peer", from), event.F("before", before),
		event.F("known_ms", p.o.Clock.Now().Sub(p.newest.since).Milliseconds()), event.F("base", piece.Base), event.F("bytes", piece.Total))
	return true, false
}

// takeDocument puts a configuration in force. It was checked before the group took it.
func (p *Poller) takeDocument(version uint64, document []byte, from string) bool {
	cfg, err := p.o.Dialect.DecodeConfig(document)
	if err != nil {
		p.rejected(version, from, err)
		return false
	}
	p.table, p.version, p.document = conf.NewTable(cfg), version, document
	return true
}

func (p *Poller) rejected(version uint64, from string, err error) {
	p.o.Events.Emit(event.ConfigRejected, event.F("revision", version), event.F("peer", from), event.F("reason", err))
}
