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
func (c *configPieces) piece(latest vdoc.Document, have uint64, want poller.Want) *poller.Piece {
	if latest.Version <= have {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(latest)
	latest = c.recent[len(c.recent)-1]
	base := want.Base
	earlier := c.find(base)
	if earlier == nil {
		base = 0
	}
	body, ok := c.packed[base]
	if !ok {
		body = pack.Compress(latest.Body, earlier)
		c.packed[base] = body
	}
	p := &poller.Piece{Version: latest.Version, Base: base, Total: len(body), Sum: c.sum}
	if want.Version == latest.Version && want.Base == base && want.Offset > 0 && want.Offset < len(body) {
		p.Offset = want.Offset
	}
	p.Body = body[p.Offset:min(p.Offset+poller.PieceBytes, len(body))]
	return p
}

func (c *configPieces) add(latest vdoc.Document) {
	if n := len(c.recent); n > 0 && c.recent[n-1].Version >= latest.Version {
		return
	}
	c.recent = append(c.recent, latest)
	if len(c.recent) > maxRecent {
		c.recent = c.recent[1:]
	}
	sum := sha256.Sum256(latest.Body)
	c.sum, c.packed = sum[:], map[uint64][]byte{}
}

// find returns the body of a recent version, or nil.
func (c *configPieces) find(version uint64) []byte {
	for _, d := range c.recent {
		if version != 0 && d.Version == version {
			return d.Body
		}
	}
	return nil
}
