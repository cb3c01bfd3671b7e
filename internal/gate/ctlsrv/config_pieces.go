package ctlsrv

import (
	"crypto/sha256"
	"sync"

	"github.com/berylledge/berylledge/internal/base/pack"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/state/vdoc"
)

// configPieces splits configurations into pieces for entry nodes, compressed against the version that each of
// them has. The zero value is ready to use.
type configPieces struct {
	mu     sync.Mutex
	recent []vdoc.Document   // most recent versions, newest last
	sum    []byte            // SHA-256 of the newest version
	packed map[uint64][]byte // newest version, keyed by the version it is compressed against
}

// maxRecent is the number of versions that a configuration can be compressed against.
const maxRecent = 6

// piece returns the next piece of the newest configuration for a reader that has version have, or nil if that is
// the newest.
func (t *configPieces) piece(latest vdoc.Document, have uint64, want poller.Want) *poller.Piece {
	if latest.Version <= have {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(latest)
	latest = t.recent[len(t.recent)-1]
	base := want.Base
	earlier := t.find(base)
	if earlier == nil {
		base = 0
	}
	body, ok := t.packed[base]
	if !ok {
		body = pack.Compress(latest.Body, earlier)
		t.packed[base] = body
	}
	p := &poller.Piece{Version: latest.Version, Base: base, Total: len(body), Sum: t.sum}
	if want.Version == latest.Version && want.Base == base && want.Offset > 0 && want.Offset < len(body) {
		p.Offset = want.Offset
	}
	p.Body = body[p.Offset:min(p.Offset+poller.PieceBytes, len(body))]
	return p
}

func (t *configPieces) add(latest vdoc.Document) {
	if n := len(t.recent); n > 0 && t.recent[n-1].Version >= latest.Version {
		return
	}
	t.recent = append(t.recent, latest)
	if len(t.recent) > maxRecent {
		t.recent = t.recent[1:]
	}
	sum := sha256.Sum256(latest.Body)
	t.sum, t.packed = sum[:], map[uint64][]byte{}
}

// find returns the body of a recent version, or nil.
func (t *configPieces) find(version uint64) []byte {
	for _, d := range t.recent {
		if version != 0 && d.Version == version {
			return d.Body
		}
	}
	return nil
}
