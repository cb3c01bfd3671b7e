package vdoc

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func storePermanent(t *testing.T, r *Replica, index uint64, key string) Result {
	t.Helper()
	data, err := EncodePermanent(Notice{Key: key})
	assert.NilError(t, err)
	result, err := DecodeResult(r.Apply(index, data))
	assert.NilError(t, err)
	return result
}

func removePermanent(t *testing.T, r *Replica, index uint64, key string) {
	t.Helper()
	data, err := EncodeRemoval(key)
	assert.NilError(t, err)
	r.Apply(index, data)
}

func assertPermanent(t *testing.T, r *Replica, index uint64, keys ...string) {
	t.Helper()
	list, got := r.Permanent()
	assert.Equal(t, got, index)
	var have []string
	for _, n := range list {
		have = append(have, n.Key)
	}
	assert.DeepEqual(t, have, keys)
}

// Guards against a full list of ordinary notices that drops a permanent one, and against one that is lost when the log is compacted.
func TestPermanentNoticeIsNeverDropped(t *testing.T) {
	r := New(func(Document) {})
	storePermanent(t, r, 7, "p")
	for i := range maxNotices + 5 {
		storeNotice(t, r, fmt.Sprint(i), "")
	}
	assertPermanent(t, r, 7, "p")
	snapshot, err := r.Snapshot()
	assert.NilError(t, err)
	again := New(func(Document) {})
	assert.NilError(t, again.Restore(snapshot))
	assertPermanent(t, again, 7, "p")
	list, _ := again.Notices(0)
	assert.Equal(t, len(list), maxNotices)
}

// Guards against a removal that a snapshot undoes: the member that restores it would show the notice again.
func TestRemovalOfAPermanentNoticeIsKeptInSnapshots(t *testing.T) {
	r := New(func(Document) {})
	storePermanent(t, r, 7, "p")
	old, err := r.Snapshot()
	assert.NilError(t, err)
	removePermanent(t, r, 9, "p")
	assertPermanent(t, r, 9)
	assert.NilError(t, r.Restore(old))
	assertPermanent(t, r, 9)

	snapshot, err := r.Snapshot()
	assert.NilError(t, err)
	again := New(func(Document) {})
	storePermanent(t, again, 7, "p")
	assert.NilError(t, again.Restore(snapshot))
	assertPermanent(t, again, 9)
}

// Guards against a repeated command that readers take for a change, and against a replayed entry that takes the state back.
func TestRepeatedPermanentNoticeChangesNothing(t *testing.T) {
	r := New(func(Document) {})
	storePermanent(t, r, 7, "p")
	storePermanent(t, r, 8, "p")
	removePermanent(t, r, 9, "other")
	assertPermanent(t, r, 7, "p")
	removePermanent(t, r, 10, "p")
	storePermanent(t, r, 7, "p")
	assertPermanent(t, r, 10)
}

// Guards against a state without bound, and against a limit that undoes an acknowledged notice in favour of a new one.
func TestPermanentNoticesAreBounded(t *testing.T) {
	r := New(func(Document) {})
	for i := range MaxPermanent {
		assert.Assert(t, !storePermanent(t, r, uint64(i+1), fmt.Sprint(i)).Full)
	}
	assert.Assert(t, storePermanent(t, r, 1000, "one more").Full)
	assert.Assert(t, !storePermanent(t, r, 1001, "0").Full, "it is stored already")
	list, index := r.Permanent()
	assert.Equal(t, len(list), MaxPermanent)
	assert.Equal(t, index, uint64(MaxPermanent))
	removePermanent(t, r, 1002, "0")
	assert.Assert(t, !storePermanent(t, r, 1003, "one more").Full)
}

// Guards against a member of a release without permanent notices that cannot read the log, or that takes the order for a configuration.
func TestReleaseWithoutPermanentNoticesIgnoresThem(t *testing.T) {
	data, err := EncodePermanent(Notice{Key: "p"})
	assert.NilError(t, err)
	var c struct {
		Version    uint64   `cbor:"1,keyasint"`
		Body       []byte   `cbor:"2,keyasint"`
		Compressed bool     `cbor:"3,keyasint,omitempty"`
		Notices    []Notice `cbor:"4,keyasint,omitempty"`
	}
	assert.NilError(t, cbor.Unmarshal(data, &c))
	assert.Equal(t, c.Version, uint64(0))
	assert.Equal(t, len(c.Notices), 0)
}
