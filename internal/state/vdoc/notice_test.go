package vdoc

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func storeNotice(t *testing.T, r *Replica, key, body string) {
	t.Helper()
	data, err := EncodeNotice(Notice{Key: key, Body: []byte(body)})
	assert.NilError(t, err)
	r.Apply(1, data)
}

func texts(list []Notice) []string {
	var out []string
	for _, n := range list {
		out = append(out, n.Key+"="+string(n.Body))
	}
	return out
}

// Guards against a reader that misses a notice, or that gets one again with each call.
func TestEachNoticeIsReadOnce(t *testing.T) {
	r := New(func(Document) {})
	storeNotice(t, r, "a", "1")
	storeNotice(t, r, "b", "1")
	list, last := r.Notices(0)
	assert.DeepEqual(t, texts(list), []string{"a=1", "b=1"})
	list, _ = r.Notices(last)
	assert.Equal(t, len(list), 0)
	storeNotice(t, r, "a", "2")
	list, last = r.Notices(last)
	assert.DeepEqual(t, texts(list), []string{"a=2"})
	list, _ = r.Notices(0)
	assert.DeepEqual(t, texts(list), []string{"b=1", "a=2"})
	list, _ = r.Notices(last)
	assert.Equal(t, len(list), 0)
}

// Guards against a notice that is lost when the log is compacted, and against one that changes the document.
func TestSnapshotHoldsTheNotices(t *testing.T) {
	r := New(func(Document) {})
	apply(t, r, 4, "x")
	storeNotice(t, r, "a", "1")
	assert.Equal(t, r.Latest().Version, uint64(4))
	snapshot, err := r.Snapshot()
	assert.NilError(t, err)
	again := New(func(Document) {})
	assert.NilError(t, again.Restore(snapshot))
	list, _ := again.Notices(0)
	assert.DeepEqual(t, texts(list), []string{"a=1"})
	assert.Equal(t, string(again.Latest().Body), "x")
}

// Guards against a state that grows with each departure, and against members that keep different notices.
func TestOnlyTheNewestNoticesAreKept(t *testing.T) {
	r := New(func(Document) {})
	for i := range maxNotices + 5 {
		storeNotice(t, r, fmt.Sprint(i), "")
	}
	list, last := r.Notices(0)
	assert.Equal(t, len(list), maxNotices)
	assert.Equal(t, list[0].Key, "5")
	assert.Equal(t, last, uint64(maxNotices+5))
	list, _ = r.Notices(last - 2)
	assert.Equal(t, len(list), 2)
}

// Guards against the departure of an earlier run that a partition held up, and that replaces the one of a newer run under the same id.
func TestNoticeOfAnEarlierRunChangesNothing(t *testing.T) {
	r := New(func(Document) {})
	var last uint64
	store := func(run int64, step uint8, body string) {
		data, err := EncodeNotice(Notice{Key: "u", Body: []byte(body), Run: run, Step: step})
		assert.NilError(t, err)
		r.Apply(1, data)
	}
	for _, c := range []struct {
		run  int64
		step uint8
		body string
		want []string
	}{
		{7, 2, "draining", []string{"u=draining"}},
		{5, 3, "earlier", nil},
		{7, 3, "gone", []string{"u=gone"}},
		{7, 2, "late", nil},
		{7, 3, "again", []string{"u=again"}},
		{9, 2, "newer", []string{"u=newer"}},
		{0, 0, "of an earlier release", []string{"u=of an earlier release"}},
	} {
		store(c.run, c.step, c.body)
		var list []Notice
		list, last = r.Notices(last)
		assert.DeepEqual(t, texts(list), c.want)
	}
}
