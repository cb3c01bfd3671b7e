package ctlsrv

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/pack"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/state/vdoc"
)

func testDocument(version uint64, routes int) vdoc.Document {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%x.example","prefix":"/%x/","kind":"safe","timeout_ms":%d},`,
			i*2654435761%0xfffffff, i*40503%0xffff, i*2246822519%0xffffff, 2000+version)
	}
	return vdoc.Document{Version: version, Body: []byte(b.String())}
}

// read fetches the newest configuration as an entry node does. It returns it with the number of bytes
// transferred.
func read(t *testing.T, x *configPieces, latest vdoc.Document, have vdoc.Document) (string, int) {
	t.Helper()
	want, body := poller.Want{Base: have.Version}, []byte(nil)
	for {
		p := x.piece(latest, have.Version, want)
		assert.Assert(t, p != nil && len(p.Body) <= poller.PieceBytes)
		assert.Equal(t, p.Offset, len(body))
		body = append(body, p.Body...)
		want = poller.Want{Base: p.Base, Version: p.Version, Offset: len(body)}
		if len(body) < p.Total {
			continue
		}
		earlier := have.Body
		if p.Base == 0 {
			earlier = nil
		}
		out, err := pack.Expand(body, earlier, pack.MostBytes)
		assert.NilError(t, err)
		sum := sha256.Sum256(out)
		assert.Equal(t, string(sum[:]), string(p.Sum))
		return string(out), len(body)
	}
}

// Guards against sending every entry node each version in full: 1,000 routes in ten versions within 5 s
// saturated the link between two regions for 10 s.
func TestQuickVersionsOfALargeConfigurationAreSentAsDifferences(t *testing.T) {
	var x configPieces
	have := testDocument(1, 1000)
	_, first := read(t, &x, have, vdoc.Document{})
	sent := 0
	for version := uint64(2); version <= 11; version++ {
		latest := testDocument(version, 1000)
		got, n := read(t, &x, latest, have)
		assert.Equal(t, got, string(latest.Body))
		have, sent = latest, sent+n
	}
	assert.Assert(t, first < len(have.Body)/2, "%d of %d bytes for the first one", first, len(have.Body))
	assert.Assert(t, sent < len(have.Body), "%d bytes for ten versions, one has %d", sent, len(have.Body))
}

// Guards against an entry node that falls behind because its version is not kept any more, or was never on this
// node.
func TestUnknownVersionGetsTheWholeConfiguration(t *testing.T) {
	var x configPieces
	for version := uint64(1); version <= maxRecent+2; version++ {
		x.piece(testDocument(version, 50), 0, poller.Want{})
	}
	latest := testDocument(maxRecent+2, 50)
	got, _ := read(t, &x, latest, testDocument(1, 50))
	assert.Equal(t, got, string(latest.Body))
	assert.Assert(t, x.piece(latest, latest.Version, poller.Want{Base: latest.Version}) == nil)
	p := x.piece(latest, 0, poller.Want{Version: 3, Offset: 1 << 30})
	assert.Equal(t, p.Offset, 0, "offset into another version")
}

// Guards against returning an older configuration than the newest one requested so far.
func TestOlderConfigurationIsNotHandedOut(t *testing.T) {
	var x configPieces
	x.piece(testDocument(5, 1), 0, poller.Want{})
	assert.Equal(t, x.piece(testDocument(4, 1), 0, poller.Want{}).Version, uint64(5))
}
