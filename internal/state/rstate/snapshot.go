package rstate

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/pkg/fleet"
)

const kindSnapshot kind = 128

// row is an entry of an aging map in a snapshot.
type row[V any] struct {
	Key   string `cbor:"1,keyasint"`
	At    int64  `cbor:"2,keyasint"`
	Value V      `cbor:"3,keyasint"`
}

// image is the content of a snapshot. All lists are ordered by key, so equal states have equal bytes.
type image struct {
	Limits         Limits                `cbor:"1,keyasint"`
	Applied        uint64                `cbor:"2,keyasint"`
	NowMS          int64                 `cbor:"3,keyasint"`
	Revisions      []Revision            `cbor:"4,keyasint"`
	Changes        []row[change]         `cbor:"5,keyasint"`
	HorizonMS      int64                 `cbor:"6,keyasint"`
	Records        []row[record]         `cbor:"7,keyasint"`
	Tombstones     []row[struct{}]       `cbor:"8,keyasint"`
	Fence          uint64                `cbor:"9,keyasint"`
	Leases         []row[Lease]          `cbor:"10,keyasint"`
	Orders         []row[order]          `cbor:"11,keyasint"`
	OrderHorizonMS int64                 `cbor:"12,keyasint"`
	Bucket         bucket                `cbor:"13,keyasint"`
	Downloads      []row[DownloadResult] `cbor:"14,keyasint"`
	Suspects       []byte                `cbor:"17,keyasint"` // see poison.Registry.Snapshot
}

func rows[V any](a *aging[V]) []row[V] {
	out := make([]row[V], 0, a.len())
	for _, e := range a.order {
		out = append(out, row[V]{e.key, e.at, e.value})
	}
	return out
}

func sortRows[V any](rows []row[V]) {
	slices.SortFunc(rows, func(x, y row[V]) int { return cmp.Compare(x.Key, y.Key) })
}

func fill[V any](a *aging[V], rows []row[V]) {
	for _, r := range rows {
		a.put(r.Key, r.At, r.Value)
	}
}

// image copies the state without sorting or encoding its large lists, which takes most of the time of a snapshot. The copy
// shares only byte slices and lists that the state replaces and never changes in place.
func (s *State) image() (*image, error) {
	suspects, err := s.suspects.Snapshot()
	if err != nil {
		return nil, err
	}
	return &image{
		Limits: s.limits, Applied: s.applied, NowMS: s.nowMS, Revisions: slices.Clone(s.revisions),
		Changes: rows(s.changes), HorizonMS: s.horizonMS, Records: rows(s.records), Tombstones: rows(s.tombstones),
		Fence: s.fence, Leases: rows(s.leases), Orders: rows(s.orders), OrderHorizonMS: s.orderHorizonMS,
		Bucket: s.bucket, Downloads: rows(s.downloads), Suspects: suspects,
	}, nil
}

func (im *image) encode() ([]byte, error) {
	sortRows(im.Changes)
	sortRows(im.Records)
	sortRows(im.Tombstones)
	sortRows(im.Leases)
	sortRows(im.Orders)
	sortRows(im.Downloads)
	return encode(kindSnapshot, im)
}

// Snapshot returns the state as bytes. Equal states have equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	im, err := s.image()
	if err != nil {
		return nil, err
	}
	return im.encode()
}

// Restore returns the state of a snapshot. Errors: VersionError, UnknownKindError or an error of the codec.
func Restore(data []byte) (*State, error) {
	e, err := open(bigDecMode, data)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if e.Kind != kindSnapshot {
		return nil, errors.Wrap(&UnknownKindError{uint64(e.Kind)}, "snapshot")
	}
	var im image
	if err := bigDecMode.Unmarshal(e.Body, &im); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return restore(&im)
}

func restore(im *image) (*State, error) {
	s := New(im.Limits)
	s.applied, s.nowMS, s.revisions = im.Applied, im.NowMS, im.Revisions
	s.horizonMS, s.orderHorizonMS = im.HorizonMS, im.OrderHorizonMS
	s.fence, s.bucket = im.Fence, im.Bucket
	fill(s.changes, im.Changes)
	fill(s.records, im.Records)
	fill(s.tombstones, im.Tombstones)
	fill(s.leases, im.Leases)
	fill(s.orders, im.Orders)
	fill(s.downloads, im.Downloads)
	for _, e := range s.records.byKey {
		s.outputBytes += e.value.reserved()
	}
	if r := s.Latest(); r != nil {
		cfg, err := fleet.Parse(r.Config)
		if err != nil {
			return nil, errors.Wrapf(err, "snapshot: revision %d", r.Revision)
		}
		s.rules = s.rulesOf(cfg)
	}
	var err error
	s.suspects, err = poison.RestoreRegistry(s.crashPolicy(), im.Suspects)
	return s, errors.Wrap(err, "snapshot")
}

// Digest returns the SHA-256 of the snapshot in hexadecimal digits, for comparisons between replicas.
func (s *State) Digest() (string, error) {
	data, err := s.Snapshot()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
