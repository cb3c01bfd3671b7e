package ctlsrv

import (
	"crypto/sha256"
	"sync"

	"github.com/berylledge/berylledge/internal/base/pack"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/state/vdoc"
)

// texts hands configurations to entry nodes in pieces, packed against the version that each of them has. The zero value is
// ready.
type texts struct {
	mu     sync.Mutex
	kept   []vdoc.Document   // the latest ones, newest last
	sum    []byte            // of the newest one
	packed map[uint64][]byte // the newest one by the version that it is packed against
}

// keptVersions is the number of configurations that a reader may have to get a difference.
const keptVersions = 6

// piece returns the next piece of the newest configuration for a reader that has a version, nil if that is the newest one.
func (t *texts) piece(latest vdoc.Document, have uint64, want poller.Want) *poller.Piece {
	if latest.Version <= have {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keep(latest)
	latest = t.kept[len(t.kept)-1]
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

func (t *texts) keep(latest vdoc.Document) {
	if n := len(t.kept); n > 0 && t.kept[n-1].Version >= latest.Version {
		return
	}
	t.kept = append(t.kept, latest)
	if len(t.kept) > keptVersions {
		t.kept = t.kept[1:]
	}
	sum := sha256.Sum256(latest.Body)
	t.sum, t.packed = sum[:], map[uint64][]byte{}
}

// find returns the body of a kept version, or nil.
func (t *texts) find(version uint64) []byte {
	for _, d := range t.kept {
		if version != 0 && d.Version == version {
			return d.Body
		}
	}
	return nil
}
