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

func document(version uint64, routes int) vdoc.Document {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%x.example","prefix":"/%x/","kind":"safe","timeout_ms":%d},`,
			i*2654435761%0xfffffff, i*40503%0xffff, i*2246822519%0xffffff, 2000+version)
	}
	return vdoc.Document{Version: version, Body: []byte(b.String())}
}

// read fetches the newest configuration as an entry node does, and returns it with the bytes that were sent.
func read(t *testing.T, x *texts, latest vdoc.Document, have vdoc.Document) (string, int) {
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

// Guards against whole configurations for each entry node and each version: "1,000 routes in ten versions within 5 s" filled the
// link between two regions for 10 s.
func TestQuickVersionsOfALargeConfigurationAreSentAsDifferences(t *testing.T) {
	var x texts
	have := document(1, 1000)
	_, first := read(t, &x, have, vdoc.Document{})
	sent := 0
	for version := uint64(2); version <= 11; version++ {
		latest := document(version, 1000)
		got, n := read(t, &x, latest, have)
		assert.Equal(t, got, string(latest.Body))
		have, sent = latest, sent+n
	}
	assert.Assert(t, first < len(have.Body)/2, "%d of %d bytes for the first one", first, len(have.Body))
	assert.Assert(t, sent < len(have.Body), "%d bytes for ten versions, one has %d", sent, len(have.Body))
}

// Guards against an entry node that stays behind because the version that it has is not kept any more, or never was here.
func TestUnknownVersionGetsTheWholeConfiguration(t *testing.T) {
	var x texts
	for version := uint64(1); version <= keptVersions+2; version++ {
		x.piece(document(version, 50), 0, poller.Want{})
	}
	latest := document(keptVersions+2, 50)
	got, _ := read(t, &x, latest, document(1, 50))
	assert.Equal(t, got, string(latest.Body))
	assert.Assert(t, x.piece(latest, latest.Version, poller.Want{Base: latest.Version}) == nil)
	p := x.piece(latest, 0, poller.Want{Version: 3, Offset: 1 << 30})
	assert.Equal(t, p.Offset, 0, "a part of another version")
}

// Guards against a node that hands out an older configuration after it was asked for a newer one.
func TestOlderConfigurationIsNotHandedOut(t *testing.T) {
	var x texts
	x.piece(document(5, 1), 0, poller.Want{})
	assert.Equal(t, x.piece(document(4, 1), 0, poller.Want{}).Version, uint64(5))
}
