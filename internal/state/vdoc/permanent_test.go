package vdoc

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func storePermanent(t *testing.T, r *Replica, index uint64, key string) Result {
	t.Helper()
	return change(t, r, index, Change{Notice: Notice{Key: key}, After: r.Accepted()})
}

func change(t *testing.T, r *Replica, index uint64, c Change) Result {
	t.Helper()
	data, err := EncodeChange(c)
	assert.NilError(t, err)
	result, err := DecodeResult(r.Apply(index, data))
	assert.NilError(t, err)
	return result
}

func removePermanent(t *testing.T, r *Replica, index uint64, key string) {
	t.Helper()
	change(t, r, index, Change{Notice: Notice{Key: key}, Remove: true, After: r.Accepted()})
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
	data, err := EncodeChange(Change{Notice: Notice{Key: "p"}, After: 4})
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

// Guards against a change that a partition held up and that undoes a newer, acknowledged one, also where the newer one found nothing to
// do: an evacuation that is ordered again while it is in force, or revoked before it has arrived.
func TestLateChangeIsRejected(t *testing.T) {
	store := Change{Notice: Notice{Key: "p"}}
	remove := Change{Notice: Notice{Key: "p"}, Remove: true}
	for _, c := range []struct {
		name        string
		before      []Change
		late, newer Change
		want        []string
	}{
		{"removal after storing once more", []Change{store}, remove, store, []string{"p"}},
		{"storing after a removal of nothing", nil, store, remove, nil},
		{"removal after removal and storing", []Change{store, remove}, remove, store, []string{"p"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(func(Document) {})
			index := uint64(0)
			next := func(c Change) bool {
				index++
				return !change(t, r, index, c).Conflict
			}
			for _, b := range c.before {
				b.After = r.Accepted()
				assert.Assert(t, next(b))
			}
			c.late.After = r.Accepted()
			c.newer.After = r.Accepted()
			assert.Assert(t, next(c.newer))

			snapshot, err := r.Snapshot()
			assert.NilError(t, err)
			restored := New(func(Document) {})
			assert.NilError(t, restored.Restore(snapshot))
			for _, r := range []*Replica{r, restored} {
				assert.Assert(t, change(t, r, index+1, c.late).Conflict)
				list, _ := r.Permanent()
				var keys []string
				for _, n := range list {
					keys = append(keys, n.Key)
				}
				assert.DeepEqual(t, keys, c.want)
			}
		})
	}
}

// Guards against members that judge a change differently after an update, because one restored a snapshot of the earlier release and
// another one replayed its log.
func TestStateOfAnEarlierReleaseCountsAlike(t *testing.T) {
	type earlierState struct {
		List  []Notice `cbor:"1,keyasint,omitempty"`
		Index uint64   `cbor:"2,keyasint"`
	}
	type earlierCommand struct {
		Permanent []Notice      `cbor:"5,keyasint,omitempty"`
		State     *earlierState `cbor:"7,keyasint,omitempty"`
	}
	encode := func(c earlierCommand) []byte {
		data, err := cbor.Marshal(c)
		assert.NilError(t, err)
		return data
	}
	p := []Notice{{Key: "p"}}
	replayed, restored := New(func(Document) {}), New(func(Document) {})
	for _, index := range []uint64{7, 9} { // the second one found nothing to do
		replayed.Apply(index, encode(earlierCommand{Permanent: p}))
	}
	assert.NilError(t, restored.Restore(encode(earlierCommand{State: &earlierState{List: p, Index: 7}})))
	for _, r := range []*Replica{replayed, restored} {
		assert.Equal(t, r.Accepted(), uint64(7))
		assertPermanent(t, r, 7, "p")
		assert.Assert(t, change(t, r, 11, Change{Notice: Notice{Key: "q"}, After: 6}).Conflict)
		assert.Assert(t, !change(t, r, 12, Change{Notice: Notice{Key: "q"}, After: 7}).Conflict)
	}
}
