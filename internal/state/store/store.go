// Package store keeps the durable state of a control node in one folder: the identity of the member, its term and
// vote, the log entries and the last snapshot. docs/state.md describes the layout.
//
// Usage:
//
//	id, err := store.Create(dir, "vm-1", "10.0.0.1:7000", rand.Reader) // once, on an empty folder
//	s, err := store.Open(dir, store.Options{})
//	err = s.Form(initial)        // or s.Join(cluster), once
//	restored, err := s.Load()
//	err = s.Persist(p)           // for each raft.Persist; nil means that all of it is synced
//	err = s.Close()
//
// # Durability
//
// Persist writes one bbolt transaction, which is atomic and synced (bbolt syncs the pages and then the meta page).
// After a failed Persist the store refuses all further writes, because the kernel may have dropped the dirty pages and
// a second sync could then succeed without having written them. The caller must not acknowledge anything and has to
// stop; a restart shows what the disk holds.
//
// # Corruption
//
// Each record carries a checksum over its bucket, key and value, and the record of the hard state names the last
// entry, so that missing entries are noticed. Open first verifies the structure of the file, including both meta pages:
// bbolt alone would silently continue from the older meta page when the newer one is damaged, and so forget an
// acknowledged write. A damaged folder is reported as *CorruptError and is never repaired: the member is replaced by a
// new one.
package store

import (
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"github.com/berylledge/berylledge/internal/state/raft"
)

// FormatVersion is the version of the folder layout that this package reads and writes.
const FormatVersion = 1

const (
	dataFile = "state.db"
	lockFile = "lock"
	pageSize = 4096
	// fileLockTimeout bounds the wait for the lock of bbolt; the lock file has already excluded other processes.
	fileLockTimeout = time.Second
)

var (
	metaBucket     = []byte("meta")
	entriesBucket  = []byte("entries")
	snapshotBucket = []byte("snapshot")

	formatKey   = []byte("format")
	identityKey = []byte("identity")
	hardKey     = []byte("hard_state")
	snapshotKey = []byte("last")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Options are the settings of Open. The zero value is valid.
type Options struct {
	// MaxFileBytes bounds the size of the data file; 0 means no bound. Exceeding it is reported as *DiskFullError.
	MaxFileBytes int
	// SyncFolder makes the names in a folder durable; nil: the operating system does. Tests let it fail.
	SyncFolder func(dir string) error
}

// Identity says who the member in a folder is. A new folder has a new ID, so that a wiped member cannot return under
// its old one.
type Identity struct {
	Member raft.Member `cbor:"1,keyasint"`
	// Cluster is 0 until Form or Join.
	Cluster uint64 `cbor:"2,keyasint,omitempty"`
	// Epoch is 0, or the random epoch of a group that was restored from an export.
	Epoch uint64 `cbor:"3,keyasint,omitempty"`
	// Bootstrap lists the initial voters; it is empty in a member that joined.
	Bootstrap []raft.Member `cbor:"4,keyasint,omitempty"`
}

// hardRecord is the stored hard state. LastIndex reveals missing entries at the end of the log, and Transaction, the
// number of the last transaction, reveals a page that was not written although the meta page was.
type hardRecord struct {
	Hard        raft.HardState `cbor:"1,keyasint"`
	LastIndex   uint64         `cbor:"2,keyasint,omitempty"`
	Transaction int            `cbor:"3,keyasint,omitempty"`
}

// Stats counts the work of a store since Open.
type Stats struct {
	// Persists is the number of synced transactions, Entries the number of entries in them.
	Persists, Entries uint64
	// BytesWritten is the size of the records written; BytesRead is what Open and Load have read from the file.
	BytesWritten, BytesRead uint64
}

// Store is an open folder. It is not safe for concurrent use.
type Store struct {
	// Identity is the stored identity.
	Identity Identity
	// Stats is updated by Load and Persist.
	Stats Stats

	dir    string
	lock   *os.File
	db     *bolt.DB
	last   uint64
	failed error
}

// Create makes a folder for a new member and returns its id: the name and 8 random bytes in hexadecimal digits.
// It returns *ExistsError when the folder already holds a member.
func Create(dir, name, address string, random io.Reader) (string, error) {
	nonce := make([]byte, 8)
	if _, err := io.ReadFull(random, nonce); err != nil {
		return "", errors.Wrap(err, "read randomness for the member id")
	}
	id := Identity{Member: raft.Member{ID: name + "." + hex.EncodeToString(nonce), Address: address}}
	return id.Member.ID, create(dir, id, nil)
}

// Exists reports whether a folder holds a member. One whose making was interrupted holds none, and Create accepts it.
func Exists(dir string) (bool, error) {
	_, err := os.Stat(filepath.Join(dir, dataFile))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, errors.Wrap(err, "look for the data file")
}

// OpenOrCreate opens a folder, after making it unless it holds a member. The making of one that was interrupted is repeated.
func OpenOrCreate(dir, name, address string, random io.Reader, o Options) (*Store, error) {
	made, err := Exists(dir)
	if err != nil {
		return nil, err
	}
	if !made {
		if _, err := Create(dir, name, address, random); err != nil {
			return nil, err
		}
	}
	return Open(dir, o)
}

func create(dir string, id Identity, p *raft.Persist) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create the data folder")
	}
	lock, err := lockDir(dir, syscall.LOCK_EX)
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	path := filepath.Join(dir, dataFile)
	made, err := Exists(dir)
	if err != nil {
		return err
	}
	if made {
		return &ExistsError{Dir: dir}
	}
	// The file gets its name once it is complete, so that a crash leaves no member without an identity.
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove an unfinished data file")
	}
	if err := fill(temporary, id, p); err != nil {
		return typedError(dir, err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "name the data file")
	}
	return nil // Open syncs the folder
}

func fill(path string, id Identity, p *raft.Persist) error {
	db, err := openFile(path, Options{})
	if err != nil {
		return err
	}
	s := &Store{db: db}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{metaBucket, entriesBucket, snapshotBucket} {
			if _, err := tx.CreateBucket(b); err != nil {
				return err
			}
		}
		if err := s.put(tx, metaBucket, formatKey, uint64(FormatVersion)); err != nil {
			return err
		}
		if err := s.put(tx, metaBucket, identityKey, id); err != nil {
			return err
		}
		if p == nil {
			p = &raft.Persist{}
		}
		return s.write(tx, *p)
	})
	return errors.CombineErrors(err, db.Close())
}

func openFile(path string, o Options) (*bolt.DB, error) {
	return bolt.Open(path, 0o600, &bolt.Options{
		Timeout: fileLockTimeout, PageSize: pageSize, FreelistType: bolt.FreelistMapType, MaxSize: o.MaxFileBytes,
	})
}

// lockDir takes a lock on the folder; it is released when the file is closed or the process ends.
func lockDir(dir string, how int) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open the lock file")
	}
	if err := syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &LockedError{Dir: dir}
		}
		return nil, errors.Wrap(err, "lock the data folder")
	}
	return f, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	return errors.Wrap(errors.CombineErrors(d.Sync(), d.Close()), "sync the data folder")
}

// Open opens a folder made by Create or Restore, after verifying it. Errors: *LockedError, *CorruptError,
// *FormatError, *DiskFullError.
func Open(dir string, o Options) (*Store, error) {
	if _, err := os.Stat(filepath.Join(dir, dataFile)); err != nil {
		return nil, errors.Wrap(err, "open the data file")
	}
	lock, err := lockDir(dir, syscall.LOCK_EX)
	if err != nil {
		return nil, err
	}
	s := &Store{dir: dir, lock: lock}
	if err := s.open(o); err != nil {
		return nil, errors.CombineErrors(typedError(dir, err), s.Close())
	}
	if err := syncNames(dir, o); err != nil {
		return nil, errors.CombineErrors(err, s.Close())
	}
	return s, nil
}

// syncNames makes the names of the data file and of its folder durable. It is done at each start: the process that made them
// may have died before, and what is acknowledged from now on must not be lost with a name.
func syncNames(dir string, o Options) error {
	sync := o.SyncFolder
	if sync == nil {
		sync = syncDir
	}
	for _, folder := range []string{dir, filepath.Dir(dir)} {
		if err := sync(folder); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) open(o Options) error {
	path := filepath.Join(s.dir, dataFile)
	read, err := checkFile(path)
	s.Stats.BytesRead += read
	if err != nil {
		return err
	}
	if s.db, err = openFile(path, o); err != nil {
		return err
	}
	return s.db.View(func(tx *bolt.Tx) error {
		var version uint64
		if err := s.get(tx, metaBucket, formatKey, &version); err != nil {
			return err
		}
		if version != FormatVersion {
			return &FormatError{Dir: s.dir, Found: version}
		}
		return s.get(tx, metaBucket, identityKey, &s.Identity)
	})
}

// Close releases the folder.
func (s *Store) Close() error {
	var err error
	if s.db != nil {
		err = s.db.Close()
	}
	if s.lock != nil {
		err = errors.CombineErrors(err, s.lock.Close())
	}
	return err
}

// Form makes the member one of the initial voters of a new group. The list must be equal in all of them and contain
// this member. It returns *IdentityError when the member already belongs to another group.
func (s *Store) Form(initial []raft.Member) error {
	if !slices.ContainsFunc(initial, func(m raft.Member) bool { return m.ID == s.Identity.Member.ID }) {
		return &IdentityError{Dir: s.dir, Detail: "the list of initial voters does not contain " + s.Identity.Member.ID}
	}
	return s.setCluster(raft.ClusterID(0, initial), initial)
}

// Join makes the member wait to be added to the group with this id.
func (s *Store) Join(cluster uint64) error { return s.setCluster(cluster, nil) }

func (s *Store) setCluster(cluster uint64, initial []raft.Member) error {
	if s.Identity.Cluster == cluster {
		return nil
	}
	if s.Identity.Cluster != 0 || cluster == 0 {
		return &IdentityError{Dir: s.dir, Detail: "the member already belongs to another group, or the cluster id is 0"}
	}
	id := s.Identity
	id.Cluster, id.Bootstrap = cluster, initial
	err := s.update(func(tx *bolt.Tx) error {
		var hard hardRecord
		if err := s.get(tx, metaBucket, hardKey, &hard); err != nil {
			return err
		}
		hard.Transaction = tx.ID()
		if err := s.put(tx, metaBucket, hardKey, hard); err != nil {
			return err
		}
		return s.put(tx, metaBucket, identityKey, id)
	})
	if err == nil {
		s.Identity = id
	}
	return err
}

// update runs a synced transaction. After a failure it refuses further ones (see the package comment).
func (s *Store) update(f func(tx *bolt.Tx) error) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.db.Update(f); err != nil {
		s.failed = typedError(s.dir, err)
	}
	return s.failed
}

// Persist writes p atomically and syncs it. An error means that nothing of it may be acknowledged; the store then
// refuses all further writes with the same error. A full disk is reported as *DiskFullError.
func (s *Store) Persist(p raft.Persist) error {
	if err := s.update(func(tx *bolt.Tx) error { return s.write(tx, p) }); err != nil {
		return err
	}
	s.last = lastAfter(s.last, p)
	s.Stats.Persists++
	s.Stats.Entries += uint64(len(p.Entries))
	return nil
}

func lastAfter(last uint64, p raft.Persist) uint64 {
	if n := len(p.Entries); n > 0 {
		return p.Entries[n-1].Index
	}
	if p.Reset {
		return p.Snapshot.Index
	}
	return last
}

func (s *Store) write(tx *bolt.Tx, p raft.Persist) error {
	record := hardRecord{Hard: p.HardState, LastIndex: lastAfter(s.last, p), Transaction: tx.ID()}
	if err := s.put(tx, metaBucket, hardKey, record); err != nil {
		return err
	}
	if p.Snapshot != nil {
		if err := s.put(tx, snapshotBucket, snapshotKey, p.Snapshot); err != nil {
			return err
		}
	}
	if p.Reset {
		if err := tx.DeleteBucket(entriesBucket); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(entriesBucket); err != nil {
			return err
		}
	}
	b := tx.Bucket(entriesBucket)
	b.FillPercent = 1 // entries are appended in order of their keys
	c := b.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= p.Compact; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	if len(p.Entries) == 0 {
		return nil
	}
	from := indexKey(p.Entries[0].Index)
	for k, _ := c.Seek(from); k != nil; k, _ = c.Seek(from) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	for _, e := range p.Entries {
		if err := s.put(tx, entriesBucket, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// put stores a value behind the checksum of its bucket, key and encoding.
func (s *Store) put(tx *bolt.Tx, bucket, key []byte, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	record := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), checksum(bucket, key, data))
	record = append(record, data...)
	s.Stats.BytesWritten += uint64(len(record) + len(key))
	return tx.Bucket(bucket).Put(key, record)
}

func checksum(parts ...[]byte) uint32 {
	sum := uint32(0)
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	return sum
}

func (s *Store) get(tx *bolt.Tx, bucket, key []byte, value any) error {
	b := tx.Bucket(bucket)
	if b == nil {
		return corrupt("bucket %s is missing", bucket)
	}
	return s.decode(bucket, key, b.Get(key), value)
}

func (s *Store) decode(bucket, key, record []byte, value any) error {
	s.Stats.BytesRead += uint64(len(key) + len(record))
	if len(record) < 4 {
		return corrupt("record %s/%x is missing or short", bucket, key)
	}
	if binary.BigEndian.Uint32(record) != checksum(bucket, key, record[4:]) {
		return corrupt("record %s/%x has a wrong checksum", bucket, key)
	}
	if err := cbor.Unmarshal(record[4:], value); err != nil {
		return corrupt("record %s/%x: %v", bucket, key, err)
	}
	return nil
}

// Load returns the durable state for raft.New. It reads all records and returns *CorruptError when one is damaged or
// missing.
func (s *Store) Load() (raft.DurableState, error) {
	var r raft.DurableState
	err := s.db.View(func(tx *bolt.Tx) error { return s.load(tx, &r) })
	return r, typedError(s.dir, err)
}

func (s *Store) load(tx *bolt.Tx, r *raft.DurableState) error {
	var hard hardRecord
	if err := s.get(tx, metaBucket, hardKey, &hard); err != nil {
		return err
	}
	if hard.Transaction != tx.ID() {
		return corrupt("the hard state belongs to transaction %d instead of %d", hard.Transaction, tx.ID())
	}
	r.HardState = hard.Hard
	last := uint64(0)
	if b := tx.Bucket(snapshotBucket); b != nil && b.Get(snapshotKey) != nil {
		r.Snapshot = &raft.Snapshot{}
		if err := s.get(tx, snapshotBucket, snapshotKey, r.Snapshot); err != nil {
			return err
		}
		last = r.Snapshot.Index
	}
	b := tx.Bucket(entriesBucket)
	if b == nil {
		return corrupt("bucket %s is missing", entriesBucket)
	}
	if err := b.ForEach(func(k, v []byte) error {
		var e raft.Entry
		if err := s.decode(entriesBucket, k, v, &e); err != nil {
			return err
		}
		n := len(r.Entries)
		if n == 0 && e.Index > last+1 || n > 0 && e.Index != r.Entries[n-1].Index+1 {
			return corrupt("entries before %d are missing", e.Index)
		}
		r.Entries = append(r.Entries, e)
		return nil
	}); err != nil {
		return err
	}
	if n := len(r.Entries); n > 0 {
		last = max(last, r.Entries[n-1].Index)
	}
	if last != hard.LastIndex {
		return corrupt("the log ends at %d instead of %d", last, hard.LastIndex)
	}
	s.last = last
	return nil
}

// typedError maps the errors of bbolt and the operating system to the types of this package.
func typedError(dir string, err error) error {
	var c *CorruptError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &c):
		c.Dir = dir
		return err
	case errors.Is(err, berrors.ErrMaxSizeReached), errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT),
		errors.Is(err, syscall.EFBIG), strings.Contains(err.Error(), syscall.ENOSPC.Error()):
		// bbolt passes on errors of growing the file as text only, hence the comparison of the text.
		return &DiskFullError{Dir: dir, Err: err}
	case errors.Is(err, berrors.ErrTimeout):
		return &LockedError{Dir: dir}
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return &CorruptError{Dir: dir, Detail: err.Error()}
	}
	return errors.Wrapf(err, "data folder %s", dir)
}
