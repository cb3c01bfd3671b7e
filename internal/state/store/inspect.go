package store

import (
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/state/raft"
)

// Report describes a folder for operators.
type Report struct {
	Identity  Identity
	HardState raft.HardState
	// First and Last are the first and last stored entry; both are 0 when there is none.
	First, Last uint64
	// SnapshotIndex is 0 when there is no snapshot.
	SnapshotIndex uint64
	SnapshotBytes int
	// FileBytes is the size of the data file.
	FileBytes int64
}

// Inspect reads a folder that no process has open. It verifies everything that it reads; see Verify.
func Inspect(dir string) (Report, error) {
	var report Report
	r, s, err := read(dir)
	if err != nil {
		return report, err
	}
	report.Identity, report.HardState = s.Identity, r.HardState
	if n := len(r.Entries); n > 0 {
		report.First, report.Last = r.Entries[0].Index, r.Entries[n-1].Index
	}
	if r.Snapshot != nil {
		report.SnapshotIndex, report.SnapshotBytes = r.Snapshot.Index, len(r.Snapshot.Data)
	}
	info, err := os.Stat(filepath.Join(dir, dataFile))
	if err != nil {
		return report, errors.Wrap(err, "read the size of the data file")
	}
	report.FileBytes = info.Size()
	return report, nil
}

// Verify checks the structure of the data file and all records. It returns *CorruptError for the first damage found
// and *LockedError when a process has the folder open.
func Verify(dir string) error {
	_, _, err := read(dir)
	return err
}

func read(dir string) (raft.DurableState, *Store, error) {
	s, err := Open(dir, Options{})
	if err != nil {
		return raft.DurableState{}, nil, err
	}
	r, err := s.Load()
	return r, s, errors.CombineErrors(err, s.Close())
}

const (
	exportMagic = "BERYLX01"
	// maxExport bounds the size in bytes of an export that is read into memory.
	maxExport = 1 << 30
)

// Export is a snapshot with the id of the group that it comes from.
type Export struct {
	Cluster  uint64        `cbor:"1,keyasint"`
	Snapshot raft.Snapshot `cbor:"2,keyasint"`
}

// WriteExport writes a snapshot with its checksum.
func WriteExport(w io.Writer, e Export) error {
	data, err := cbor.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode the export")
	}
	head := binary.BigEndian.AppendUint32([]byte(exportMagic), checksum([]byte(exportMagic), data))
	if _, err := w.Write(head); err != nil {
		return errors.Wrap(err, "write the export")
	}
	_, err = w.Write(data)
	return errors.Wrap(err, "write the export")
}

// ReadExport reads what WriteExport wrote. It returns *CorruptError when it is damaged.
func ReadExport(r io.Reader) (Export, error) {
	var e Export
	data, err := io.ReadAll(io.LimitReader(r, maxExport))
	if err != nil {
		return e, errors.Wrap(err, "read the export")
	}
	n := len(exportMagic)
	if len(data) < n+4 || string(data[:n]) != exportMagic ||
		binary.BigEndian.Uint32(data[n:]) != checksum([]byte(exportMagic), data[n+4:]) {
		return e, &CorruptError{Dir: "export", Detail: "wrong checksum or not an export"}
	}
	if err := cbor.Unmarshal(data[n+4:], &e); err != nil {
		return e, &CorruptError{Dir: "export", Detail: err.Error()}
	}
	return e, nil
}

// Restore makes an empty folder into the only voter of a new group with the state of the export. The group has a
// random epoch and hence another cluster id, and the member a new id, so that neither can take part in the old group.
// Other members join the new group as learners. It returns *ExistsError when the folder holds a member.
func Restore(dir string, e Export, name, address string, random io.Reader) (Identity, error) {
	nonce := make([]byte, 16)
	if _, err := io.ReadFull(random, nonce); err != nil {
		return Identity{}, errors.Wrap(err, "read randomness for the identity")
	}
	self := raft.Member{ID: fmt.Sprintf("%s.%x", name, nonce[:8]), Address: address}
	id := Identity{Member: self, Epoch: binary.BigEndian.Uint64(nonce[8:]) | 1, Bootstrap: []raft.Member{self}}
	id.Cluster = raft.ClusterID(id.Epoch, id.Bootstrap)
	s := e.Snapshot
	s.Members = slices.Clone(id.Bootstrap)
	return id, create(dir, id, &raft.Persist{
		HardState: raft.HardState{Term: s.Term, Commit: s.Index}, Snapshot: &s, Reset: true,
	})
}

// ExportFolder writes the stored snapshot of a folder that no process has open. Entries after the snapshot are not
// part of it; a running node exports its full state (package raftd).
func ExportFolder(dir string, w io.Writer) error {
	r, s, err := read(dir)
	if err != nil {
		return err
	}
	if r.Snapshot == nil {
		return &IdentityError{Dir: dir, Detail: "there is no snapshot to export"}
	}
	return WriteExport(w, Export{Cluster: s.Identity.Cluster, Snapshot: *r.Snapshot})
}
