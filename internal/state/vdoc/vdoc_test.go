package vdoc

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func apply(t *testing.T, r *Replica, version uint64, body string) Result {
	t.Helper()
	data, err := Encode(Document{Version: version, Body: []byte(body)})
	assert.NilError(t, err)
	result, err := DecodeResult(r.Apply(1, data))
	assert.NilError(t, err)
	return result
}

// Guards against a duplicate or reordered command replacing a newer configuration, and against two contents under one version.
func TestOnlyAHigherVersionReplaces(t *testing.T) {
	var seen []uint64
	r := New(func(d Document) { seen = append(seen, d.Version) })
	for _, c := range []struct {
		version uint64
		body    string
		want    Result
	}{
		{3, "a", Result{Changed: true, Version: 3}},
		{3, "other", Result{Changed: false, Version: 3}},
		{2, "old", Result{Changed: false, Version: 3}},
		{9, "b", Result{Changed: true, Version: 9}},
		{3, "a", Result{Changed: false, Version: 9}},
	} {
		assert.Equal(t, apply(t, r, c.version, c.body), c.want)
	}
	assert.Equal(t, string(r.Latest().Body), "b")
	assert.DeepEqual(t, seen, []uint64{3, 9})
}

// Guards against an older snapshot replacing a newer document on restore.
func TestRestoreKeepsTheNewerDocument(t *testing.T) {
	old := New(func(Document) {})
	apply(t, old, 4, "old")
	snapshot, err := old.Snapshot()
	assert.NilError(t, err)
	r := New(func(Document) {})
	apply(t, r, 5, "new")
	assert.NilError(t, r.Restore(snapshot))
	assert.Equal(t, r.Latest().Version, uint64(5))
}

// Guards against a malformed command that crashes a member or makes the members' states diverge.
func TestUnreadableCommandChangesNothing(t *testing.T) {
	r := New(func(Document) {})
	apply(t, r, 4, "x")
	result, err := DecodeResult(r.Apply(2, []byte{0xff, 0x01}))
	assert.NilError(t, err)
	assert.Equal(t, result, Result{Changed: false, Version: 4})
}

// Guards against uncompressed configurations in the log: 10 versions of 1,400 routes within 5 s exceed the capacity of a link
// between regions.
func TestLargeDocumentIsCompressedInTheLog(t *testing.T) {
	body := strings.Repeat(`{"name":"r","host":"api.example","prefix":"/x/"},`, 1400)
	data, err := Encode(Document{Version: 3, Body: []byte(body)})
	assert.NilError(t, err)
	assert.Assert(t, len(data) < len(body)/4, "%d of %d bytes", len(data), len(body))
	r := New(func(Document) {})
	r.Apply(1, data)
	assert.Equal(t, string(r.Latest().Body), body)
}

// Guards against a member that, after an update, cannot read the uncompressed commands that an older release logged.
func TestUncompressedCommandIsRead(t *testing.T) {
	data, err := cbor.Marshal(Document{Version: 3, Body: []byte("old")})
	assert.NilError(t, err)
	r := New(func(Document) {})
	r.Apply(1, data)
	assert.Equal(t, string(r.Latest().Body), "old")
}
