package spread_test

import (
	"bytes"
	"crypto/sha256"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/fleet/spread"
)

var t0 = time.Unix(1_800_000_000, 0)

// newControlNode returns a control node that has the given bodies as revisions 1, 2, ...
func newControlNode(bodies ...string) *spread.Machine {
	m := spread.New(spread.Config{ID: "c1", Control: true})
	m.Step(t0, spread.Start{})
	m.Step(t0, spread.Beat{Stamp: 1})
	for i, b := range bodies {
		m.Step(t0, spread.Commit{Revision: uint64(i + 1), Body: []byte(b)})
	}
	return m
}

func sends(as []spread.Action) (out []spread.Message) {
	for _, a := range as {
		if s, ok := a.(spread.Send); ok {
			out = append(out, s.Message)
		}
	}
	return out
}

// fetchFromControl lets a node without disk fetch from a control node and returns its fetch and the answer.
func fetchFromControl(t *testing.T, c *spread.Machine) (*spread.Machine, spread.Message) {
	t.Helper()
	m := spread.New(spread.Config{ID: "e1"})
	m.Step(t0, spread.Start{})
	m.Step(t0, spread.SetPeers{Control: []string{"c1"}})
	q := sends(m.Step(t0, spread.Tick{}))
	assert.Equal(t, len(q), 1)
	latest := sends(c.Step(t0, spread.Received{Message: q[0]}))
	f := sends(m.Step(t0, spread.Received{Message: latest[0]}))
	assert.Equal(t, f[0].Kind, spread.KindFetch)
	return m, sends(c.Step(t0, spread.Received{Message: f[0]}))[0]
}

// Guards against a body that was damaged on the way, or that is not the one that was announced, coming into force.
func TestDamagedBodyIsRefused(t *testing.T) {
	damage := map[string]func(*spread.Message){
		"body":          func(b *spread.Message) { b.Snapshot = append(b.Snapshot[:2:2], 0, 1, 2) },
		"digest":        func(b *spread.Message) { b.Digest = bytes.Repeat([]byte{7}, 32) },
		"no digest":     func(b *spread.Message) { b.Digest = nil },
		"other content": func(b *spread.Message) { *b = forgeBody(t, *b) },
	}
	for name, f := range damage {
		m, body := fetchFromControl(t, newControlNode("one", "two"))
		f(&body)
		m.Step(t0, spread.Received{Message: body})
		assert.Equal(t, m.InForce(), uint64(0), name)
		assert.Equal(t, m.Serve(t0), spread.ServeNone, name)
	}
	m, body := fetchFromControl(t, newControlNode("one", "two"))
	m.Step(t0, spread.Received{Message: body})
	assert.Equal(t, m.InForce(), uint64(2))
	assert.Equal(t, m.Serve(t0), spread.ServeAll)
}

// forgeBody returns a consistent answer with the same revision but another body.
func forgeBody(t *testing.T, b spread.Message) spread.Message {
	t.Helper()
	_, out := fetchFromControl(t, newControlNode("one", "forged"))
	out.Seq = b.Seq
	return out
}

// Guards against a control node that lost its majority telling a restarted node which revision is the newest.
func TestMinorityControlNodeIsNotBelieved(t *testing.T) {
	c := newControlNode("one")
	late := t0.Add(10 * time.Second) // no beat since
	m := spread.New(spread.Config{ID: "e1"})
	m.Step(late, spread.Start{})
	m.Step(late, spread.SetPeers{Control: []string{"c1"}})
	q := sends(m.Step(late, spread.Tick{}))
	latest := sends(c.Step(late, spread.Received{Message: q[0]}))
	assert.Equal(t, len(sends(m.Step(late, spread.Received{Message: latest[0]}))), 0)
	assert.Equal(t, m.Serve(late), spread.ServeNone)
}

// Guards against a revision in force that a crash before the disk's sync would take back, and against a stored body
// that is used although it is damaged.
func TestDiskComesBeforeForce(t *testing.T) {
	m := spread.New(spread.Config{ID: "c1", Control: true, Disk: true})
	m.Step(t0, spread.Start{})
	m.Step(t0, spread.Commit{Revision: 1, Body: []byte("one")})
	m.Step(t0, spread.Commit{Revision: 2, Body: []byte("two")})
	assert.Equal(t, m.InForce(), uint64(0))
	m.Step(t0, spread.Persisted{Revision: 1})
	assert.Equal(t, m.InForce(), uint64(1))
	m.Step(t0, spread.Persisted{Revision: 2})
	assert.Equal(t, m.InForce(), uint64(2))

	r := spread.Restored{Revision: 5, Body: []byte("five"), Digest: sha256.Sum256([]byte("five")), HeardAt: t0.Add(-time.Hour)}
	m = spread.New(spread.Config{ID: "e1", Disk: true})
	m.Step(t0, spread.Start{Restored: r})
	assert.Equal(t, m.InForce(), uint64(5))
	assert.Equal(t, m.Serve(t0), spread.ServeUrgent) // it was down for longer than the bound
	r.Body = []byte("fivE")
	m = spread.New(spread.Config{ID: "e1", Disk: true})
	m.Step(t0, spread.Start{Restored: r})
	assert.Equal(t, m.InForce(), uint64(0))
}

// Guards against a large message that is decoded without a bound.
func TestDecodeIsBounded(t *testing.T) {
	_, err := spread.Decode(make([]byte, 5<<20))
	assert.ErrorContains(t, err, "exceeds the limit")
}

// Guards against a late or stale peer that puts a lower revision in force.
func TestLowerRevisionIsRefused(t *testing.T) {
	c := newControlNode("one")
	m, old := fetchFromControl(t, c)
	m.Step(t0, spread.Received{Message: old})
	c.Step(t0, spread.Commit{Revision: 2, Body: []byte("two")})
	f := sends(m.Step(t0, spread.Hint{Stamp: 2, Revision: 2}))
	m.Step(t0, spread.Received{Message: sends(c.Step(t0, spread.Received{Message: f[0]}))[0]})
	assert.Equal(t, m.InForce(), uint64(2))
	m.Step(t0, spread.Received{Message: old})
	assert.Equal(t, m.InForce(), uint64(2))

	m, _ = fetchFromControl(t, newControlNode("one", "two")) // knows that 2 exists and has nothing yet
	m.Step(t0, spread.Received{Message: old})
	assert.Equal(t, m.InForce(), uint64(0))
}
