package store_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/state/raft"
	"github.com/berylledge/berylledge/internal/state/store"
)

var random = rand.NewChaCha8([32]byte{1})

func newFolder(t *testing.T) (string, *store.Store) {
	dir := filepath.Join(t.TempDir(), "state")
	_, err := store.Create(dir, "a", "", random)
	assert.NilError(t, err)
	s, err := store.Open(dir, store.Options{})
	assert.NilError(t, err)
	assert.NilError(t, s.Form([]raft.Member{s.Identity.Member}))
	return dir, s
}

func entries(term, from, to uint64) (out []raft.Entry) {
	for i := from; i <= to; i++ {
		out = append(out, raft.Entry{Index: i, Term: term, Data: bytes.Repeat([]byte{byte(i), byte(term)}, 40)})
	}
	return out
}

func persist(t *testing.T, s *store.Store, p raft.Persist) {
	t.Helper()
	assert.NilError(t, s.Persist(p))
}

func load(dir string) (raft.DurableState, error) {
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		return raft.DurableState{}, err
	}
	r, err := s.Load()
	return r, errors.Join(err, s.Close())
}

func state(term, commit uint64) raft.HardState {
	return raft.HardState{Term: term, Vote: "a", Commit: commit}
}

// Guards against entries that survive their replacement, compaction or a snapshot from the leader, and against lost
// fields.
func TestPersistedStateIsLoaded(t *testing.T) {
	dir, s := newFolder(t)
	check := func(want raft.DurableState) {
		t.Helper()
		assert.NilError(t, s.Close())
		got, err := load(dir)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		s, err = store.Open(dir, store.Options{})
		assert.NilError(t, err)
		_, err = s.Load()
		assert.NilError(t, err)
	}
	persist(t, s, raft.Persist{HardState: state(1, 0), Entries: entries(1, 1, 300)})
	persist(t, s, raft.Persist{HardState: state(2, 9), Entries: entries(2, 200, 250)})
	check(raft.DurableState{HardState: state(2, 9), Entries: append(entries(1, 1, 199), entries(2, 200, 250)...)})

	snap := &raft.Snapshot{Index: 240, Term: 2, Members: []raft.Member{{ID: "a"}}, Data: bytes.Repeat([]byte("x"), 20000)}
	persist(t, s, raft.Persist{HardState: state(2, 240), Snapshot: snap, Compact: 230})
	check(raft.DurableState{HardState: state(2, 240), Snapshot: snap, Entries: entries(2, 231, 250)})

	snap = &raft.Snapshot{Index: 900, Term: 3, Members: []raft.Member{{ID: "b", Learner: true}}}
	persist(t, s, raft.Persist{HardState: state(3, 900), Snapshot: snap, Reset: true})
	check(raft.DurableState{HardState: state(3, 900), Snapshot: snap})
	persist(t, s, raft.Persist{HardState: state(3, 900), Entries: entries(3, 901, 902)})
	check(raft.DurableState{HardState: state(3, 900), Snapshot: snap, Entries: entries(3, 901, 902)})
	var locked *store.LockedError
	assert.Assert(t, errors.As(store.Verify(dir), &locked))
	assert.NilError(t, s.Close())
	report, err := store.Inspect(dir)
	assert.NilError(t, err)
	assert.Equal(t, report.First, uint64(901))
	assert.Equal(t, report.SnapshotIndex, uint64(900))
}

// damagedFolder returns the bytes of a data file and what it holds.
func damagedFolder(t *testing.T) (dir, path string, data []byte, want raft.DurableState) {
	dir, s := newFolder(t)
	snap := &raft.Snapshot{Index: 20, Term: 1, Members: []raft.Member{{ID: "a"}}, Data: bytes.Repeat([]byte("s"), 9000)}
	persist(t, s, raft.Persist{HardState: state(1, 0), Entries: entries(1, 1, 200)})
	persist(t, s, raft.Persist{HardState: state(1, 20), Snapshot: snap, Compact: 10})
	persist(t, s, raft.Persist{HardState: state(2, 20), Entries: entries(2, 201, 230)})
	assert.NilError(t, s.Close())
	want, err := load(dir)
	assert.NilError(t, err)
	path = filepath.Join(dir, "state.db")
	data, err = os.ReadFile(path)
	assert.NilError(t, err)
	return dir, path, data, want
}

// Guards against silent data loss and against a crash of the process when bits of the file flip: the folder must be
// reported as corrupt or give exactly what was written.
func TestBitFlipsAreDetected(t *testing.T) {
	dir, path, data, want := damagedFolder(t)
	rng := rand.New(rand.NewPCG(7, 7))
	found := 0
	for i := range 1500 {
		at := rng.IntN(len(data))
		if i < 200 {
			at = i // meta page 0
		} else if i < 400 {
			at = 4096 + i - 200 // meta page 1
		}
		damaged := bytes.Clone(data)
		damaged[at] ^= 1 << rng.IntN(8)
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		got, err := load(dir)
		if err != nil {
			var c *store.CorruptError
			assert.Assert(t, errors.As(err, &c), "flip at %d: %v", at, err)
			found++
			continue
		}
		assert.Assert(t, reflect.DeepEqual(got, want))
	}
	assert.Assert(t, found > 300, "%d of 1500 flips were detected", found)
}

// Guards against a file that was cut off, which would end the process with a fault when bbolt maps it.
func TestTruncatedFileIsDetected(t *testing.T) {
	dir, path, data, want := damagedFolder(t)
	for size := 0; size < len(data); size += 1024 {
		assert.NilError(t, os.WriteFile(path, data[:size], 0o600))
		got, err := load(dir)
		if err == nil {
			assert.Assert(t, reflect.DeepEqual(got, want)) // only unused pages at the end are missing
			continue
		}
		var c *store.CorruptError
		assert.Assert(t, errors.As(err, &c), "size %d: %v", size, err)
	}
}

// Guards against a torn write. Without the new meta page the earlier state must be intact; with it, a missing page
// must be noticed.
func TestTornWriteIsDetectedOrUndone(t *testing.T) {
	dir, path, before, want := damagedFolder(t)
	s, err := store.Open(dir, store.Options{})
	assert.NilError(t, err)
	_, err = s.Load()
	assert.NilError(t, err)
	persist(t, s, raft.Persist{HardState: state(3, 30), Entries: entries(3, 225, 260)})
	assert.NilError(t, s.Close())
	complete, err := load(dir)
	assert.NilError(t, err)
	after, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, len(after), len(before))
	rng := rand.New(rand.NewPCG(3, 3))
	var changed []int
	for p := 2; p < len(after)/4096; p++ {
		if !bytes.Equal(after[p*4096:][:4096], before[p*4096:][:4096]) {
			changed = append(changed, p)
		}
	}
	for i := range 200 {
		torn, missing := bytes.Clone(before), 0
		for _, p := range changed {
			if rng.IntN(2) == 0 {
				missing++
				continue
			}
			copy(torn[p*4096:], after[p*4096:][:512*(1+rng.IntN(8))])
		}
		withMeta := i%2 == 1
		if withMeta {
			copy(torn[:8192], after[:8192])
		}
		assert.NilError(t, os.WriteFile(path, torn, 0o600))
		got, err := load(dir)
		var c *store.CorruptError
		switch {
		case !withMeta:
			assert.NilError(t, err)
			assert.Assert(t, reflect.DeepEqual(got, want))
		case err != nil:
			assert.Assert(t, errors.As(err, &c), "%v", err)
		default:
			assert.Equal(t, missing, 0)
			assert.Assert(t, reflect.DeepEqual(got, complete))
		}
	}
}

// Guards against an acknowledgement of a write that did not fit, and against later writes that would leave a gap.
func TestFullDiskIsReportedAndFinal(t *testing.T) {
	dir, s := newFolder(t)
	assert.NilError(t, s.Close())
	s, err := store.Open(dir, store.Options{MaxFileBytes: 256 << 10})
	assert.NilError(t, err)
	_, err = s.Load()
	assert.NilError(t, err)
	stored := uint64(0)
	for err == nil {
		if err = s.Persist(raft.Persist{HardState: state(1, 0), Entries: entries(1, stored+1, stored+50)}); err == nil {
			stored += 50
		}
	}
	var full *store.DiskFullError
	assert.Assert(t, errors.As(err, &full), "%v", err)
	assert.Assert(t, stored >= 50)
	err = s.Persist(raft.Persist{HardState: state(2, 0)})
	assert.Assert(t, errors.As(err, &full), "%v", err)
	assert.NilError(t, s.Close())
	r, err := load(dir)
	assert.NilError(t, err)
	assert.Equal(t, uint64(len(r.Entries)), stored)
	assert.Equal(t, r.HardState.Term, uint64(1))
}

// Guards against two processes that write the same folder. The test starts itself as the second process.
func TestSecondOpenerIsRefused(t *testing.T) {
	if dir := os.Getenv("BERYLLEDGE_SECOND_OPENER"); dir != "" {
		_, err := store.Open(dir, store.Options{})
		var locked *store.LockedError
		assert.Assert(t, errors.As(err, &locked), "%v", err)
		return
	}
	dir, s := newFolder(t)
	for range 2 {
		cmd := exec.Command(os.Args[0], "-test.run=^TestSecondOpenerIsRefused$")
		cmd.Env = append(os.Environ(), "BERYLLEDGE_SECOND_OPENER="+dir)
		out, err := cmd.CombinedOutput()
		assert.NilError(t, err, "%s", out)
	}
	assert.NilError(t, s.Close())
	_, err := load(dir)
	assert.NilError(t, err)
}

// Guards against a wiped or restored folder that takes part in the old group, and against one that changes groups.
func TestIdentityIsUniquePerFolder(t *testing.T) {
	dir, s := newFolder(t)
	old := s.Identity
	var wrong *store.IdentityError
	assert.Assert(t, errors.As(s.Join(old.Cluster+1), &wrong))
	assert.Assert(t, errors.As(s.Form([]raft.Member{{ID: "x"}}), &wrong))
	assert.NilError(t, s.Join(old.Cluster))
	snap := &raft.Snapshot{Index: 7, Term: 3, Members: []raft.Member{old.Member, {ID: "b"}}, Data: []byte("state")}
	persist(t, s, raft.Persist{HardState: state(3, 7), Snapshot: snap, Reset: true})
	assert.NilError(t, s.Close())
	var exists *store.ExistsError
	_, err := store.Create(dir, "a", "", random)
	assert.Assert(t, errors.As(err, &exists))

	var file bytes.Buffer
	assert.NilError(t, store.ExportFolder(dir, &file))
	damaged := bytes.Clone(file.Bytes())
	damaged[len(damaged)-2] ^= 4
	_, err = store.ReadExport(bytes.NewReader(damaged))
	var c *store.CorruptError
	assert.Assert(t, errors.As(err, &c))
	export, err := store.ReadExport(&file)
	assert.NilError(t, err)
	_, err = store.Restore(dir, export, "a", "", random)
	assert.Assert(t, errors.As(err, &exists))

	other := filepath.Join(t.TempDir(), "restored")
	id, err := store.Restore(other, export, "a", "", random)
	assert.NilError(t, err)
	assert.Assert(t, id.Member.ID != old.Member.ID && id.Cluster != old.Cluster)
	r, err := load(other)
	assert.NilError(t, err)
	assert.Equal(t, string(r.Snapshot.Data), "state")
	assert.DeepEqual(t, r.Snapshot.Members, []raft.Member{id.Member})
}

// Guards against a disk that confirmed a write and returns older content: a hard state of an earlier transaction, a log
// without its last entry, or a meta page that misses a transaction.
func TestStaleContentIsDetected(t *testing.T) {
	dir, path, before, _ := damagedFolder(t)
	edit := func(f func(meta, entries *bolt.Bucket) error) {
		t.Helper()
		db, err := bolt.Open(path, 0o600, nil)
		assert.NilError(t, err)
		assert.NilError(t, db.Update(func(tx *bolt.Tx) error {
			return f(tx.Bucket([]byte("meta")), tx.Bucket([]byte("entries")))
		}))
		assert.NilError(t, db.Close())
	}
	detected := func() {
		t.Helper()
		_, err := load(dir)
		var c *store.CorruptError
		assert.Assert(t, errors.As(err, &c), "%v", err)
	}
	edit(func(_, _ *bolt.Bucket) error { return nil }) // leaves the hard state of the transaction before
	detected()

	assert.NilError(t, os.WriteFile(path, before, 0o600))
	edit(func(meta, entries *bolt.Bucket) error {
		key := []byte("hard_state")
		var hard map[uint64]any
		if err := cbor.Unmarshal(meta.Get(key)[4:], &hard); err != nil {
			return err
		}
		hard[3] = meta.Tx().ID()
		data, err := cbor.Marshal(hard)
		if err != nil {
			return err
		}
		sum := crc32.Checksum(append([]byte("metahard_state"), data...), crc32.MakeTable(crc32.Castagnoli))
		last, _ := entries.Cursor().Last()
		return errors.Join(entries.Delete(last), meta.Put(key, append(binary.BigEndian.AppendUint32(nil, sum), data...)))
	})
	detected()

	assert.NilError(t, os.WriteFile(path, before, 0o600))
	s, err := store.Open(dir, store.Options{})
	assert.NilError(t, err)
	_, err = s.Load()
	assert.NilError(t, err)
	persist(t, s, raft.Persist{HardState: state(4, 30)})
	persist(t, s, raft.Persist{HardState: state(5, 30)})
	assert.NilError(t, s.Close())
	after, err := os.ReadFile(path)
	assert.NilError(t, err)
	transaction := func(data []byte, page int) uint64 { return binary.LittleEndian.Uint64(data[page*4096+64:]) }
	older := 0
	if transaction(after, 1) < transaction(after, 0) {
		older = 1
	}
	copy(after[older*4096:][:4096], before[older*4096:][:4096])
	assert.NilError(t, os.WriteFile(path, after, 0o600))
	detected()
}

// Guards against a member that acknowledges entries although the name of its data file, or of its folder, is not durable:
// the process that made them died before it synced them, and a loss of power takes the whole folder back.
func TestNamesAreDurableBeforeTheFolderIsUsed(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "group")
	_, err := store.Create(dir, "a", "127.0.0.1:1", random)
	assert.NilError(t, err)
	for range 2 { // at each start: the last one may have died
		var synced []string
		s, err := store.Open(dir, store.Options{SyncFolder: func(folder string) error {
			synced = append(synced, folder)
			return nil
		}})
		assert.NilError(t, err)
		assert.DeepEqual(t, synced, []string{dir, filepath.Dir(dir)})
		assert.NilError(t, s.Close())
	}
	failed := errors.New("the disk is gone")
	for _, at := range []string{dir, filepath.Dir(dir)} {
		_, err = store.Open(dir, store.Options{SyncFolder: func(folder string) error {
			if folder == at {
				return failed
			}
			return nil
		}})
		assert.ErrorIs(t, err, failed)
	}
	s, err := store.Open(dir, store.Options{})
	assert.NilError(t, err, "the lock was given back")
	assert.NilError(t, s.Close())
}
