package rstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"github.com/berylledge/berylledge/pkg/fleet"
)

// Bounds of the problems of one ConfigResult. A message quotes the offending value, which can be as large as the
// configuration.
const (
	MaxProblems     = 20
	maxProblemBytes = 500
)

// Revision is one accepted configuration. Config is nil when only the audit fields are still kept.
type Revision struct {
	Revision uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	Operator string `cbor:"3,keyasint"`
	Note     string `cbor:"4,keyasint,omitempty"`
	AtMS     int64  `cbor:"5,keyasint"` // the state's time at acceptance
	Index    uint64 `cbor:"6,keyasint"` // of the log
	Hash     []byte `cbor:"7,keyasint"` // SHA-256 of Config
	// SameAs is the latest earlier revision in the history with equal content (a rollback), or 0.
	SameAs uint64 `cbor:"8,keyasint,omitempty"`
	Config []byte `cbor:"9,keyasint,omitempty"`
}

// change is the remembered first answer to a change id.
type change struct {
	Digest []byte       `cbor:"1,keyasint"` // of the request, so that an id is not reused for another change
	Result ConfigResult `cbor:"2,keyasint"`
}

// rules are the parts of the latest configuration that the state itself obeys.
type rules struct {
	retentionMS  int64
	quarantineMS int64
	maxDeaths    int
}

func (s *State) rulesOf(cfg *fleet.Config) rules {
	r := rules{s.limits.RetentionMS, s.limits.QuarantineMS, s.limits.MaxUpstreamDeaths}
	if cfg == nil {
		return r
	}
	if v := cfg.Limits.RetentionMS; v > 0 {
		r.retentionMS = v
	}
	if v := cfg.Limits.QuarantineMS; v > 0 {
		r.quarantineMS = v
	}
	if v := cfg.Limits.MaxUpstreamDeaths; v > 0 {
		r.maxDeaths = v
	}
	return r
}

// putConfig compares and sets. An accepted or conflicting change is remembered by its id; once it is forgotten, its
// expected revision is stale, so a resend conflicts and is never applied a second time. The operator then finds the own
// change id in Winner as long as the history reaches back.
func (s *State) putConfig(c PutConfig) ConfigResult {
	digest := changeDigest(c)
	if first := s.changes.get(c.ChangeID); first != nil {
		return s.replay(first, digest)
	}
	if c.ExpectedRevision != s.latest() {
		r := ConfigResult{Status: ConfigConflict, Revision: s.latest(), Winner: s.winner(c.ExpectedRevision)}
		s.remember(c.ChangeID, digest, r)
		return r
	}
	cfg, problems := checkConfig(c.Config)
	if len(problems) > 0 {
		// Not remembered: the same bytes have the same problems, and the operator may correct them under this id.
		return ConfigResult{Status: ConfigInvalid, Revision: s.latest(), Problems: problems}
	}
	s.accept(c, cfg)
	r := ConfigResult{
		Status: ConfigAccepted, Revision: s.latest(),
		Winner: Winner{Operator: c.Operator, ChangeID: c.ChangeID, Revision: s.latest()},
	}
	s.remember(c.ChangeID, digest, r)
	return r
}

func (s *State) replay(first *change, digest []byte) ConfigResult {
	if !bytes.Equal(first.Digest, digest) {
		return ConfigResult{Status: ConfigInvalid, Revision: s.latest(), Problems: []fleet.Problem{
			{Place: "change_id", Message: "was used for another change; take a new one"},
		}}
	}
	r := first.Result
	if r.Status == ConfigAccepted {
		r.Status = ConfigReplayed
	}
	return r
}

// changeDigest covers what makes two requests the same change. The note and the time are left out.
func changeDigest(c PutConfig) []byte {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, c.ExpectedRevision))
	h.Write([]byte(c.Operator + "\x00"))
	h.Write(c.Config)
	return h.Sum(nil)
}

func (s *State) remember(id string, digest []byte, r ConfigResult) {
	if s.changes.len() >= s.limits.MaxChangeIDs {
		s.changes.evict()
	}
	s.changes.put(id, s.nowMS+s.limits.ChangeIDMS, change{digest, r})
}

func (s *State) latest() uint64 {
	if len(s.revisions) == 0 {
		return 0
	}
	return s.revisions[len(s.revisions)-1].Revision
}

// winner returns the change that followed the expected revision, or the latest one if the history does not reach back.
func (s *State) winner(expected uint64) Winner {
	r := s.Revision(expected + 1)
	if r == nil {
		r = s.Latest()
	}
	if r == nil {
		return Winner{}
	}
	return Winner{Operator: r.Operator, ChangeID: r.ChangeID, Revision: r.Revision}
}

// checkConfig requires the canonical form, so that equal configurations have equal hashes.
func checkConfig(data []byte) (*fleet.Config, []fleet.Problem) {
	cfg, err := fleet.Parse(data)
	if err != nil {
		return nil, bounded([]fleet.Problem{{Place: "config", Message: err.Error()}})
	}
	if problems := cfg.Check(); len(problems) > 0 {
		return nil, bounded(problems)
	}
	if !bytes.Equal(cfg.Print(), data) {
		return nil, []fleet.Problem{{Place: "config", Message: "is not in the form that fleet.Config.Print gives"}}
	}
	return cfg, nil
}

func bounded(problems []fleet.Problem) []fleet.Problem {
	problems = problems[:min(len(problems), MaxProblems)]
	for i := range problems {
		m := problems[i].Message
		problems[i].Message = strings.ToValidUTF8(m[:min(len(m), maxProblemBytes)], "")
	}
	return problems
}

func (s *State) accept(c PutConfig, cfg *fleet.Config) {
	hash := sha256.Sum256(c.Config)
	r := Revision{
		Revision: s.latest() + 1, ChangeID: c.ChangeID, Operator: c.Operator, Note: c.Note,
		AtMS: s.nowMS, Index: s.applied, Hash: hash[:], Config: bytes.Clone(c.Config),
	}
	for i := len(s.revisions) - 1; i >= 0 && r.SameAs == 0; i-- {
		if bytes.Equal(s.revisions[i].Hash, r.Hash) {
			r.SameAs = s.revisions[i].Revision
		}
	}
	s.revisions = append(s.revisions, r)
	if i := len(s.revisions) - 1 - s.limits.MaxContents; i >= 0 {
		s.revisions[i].Config = nil
	}
	if len(s.revisions) > s.limits.MaxRevisions {
		s.revisions = append([]Revision(nil), s.revisions[1:]...)
	}
	s.rules = s.rulesOf(cfg)
	s.setCrashLimits()
}

// Latest returns the latest revision, or nil. The caller must not change it.
func (s *State) Latest() *Revision { return s.Revision(s.latest()) }

// Revision returns a revision of the history, or nil. The caller must not change it.
func (s *State) Revision(revision uint64) *Revision {
	if len(s.revisions) == 0 || revision < s.revisions[0].Revision || revision > s.latest() {
		return nil
	}
	return &s.revisions[revision-s.revisions[0].Revision]
}

// History returns up to n revisions, the latest first. Contents are included as far as they are kept.
func (s *State) History(n int) []Revision {
	n = min(n, len(s.revisions))
	out := make([]Revision, 0, n)
	for i := range n {
		out = append(out, s.revisions[len(s.revisions)-1-i])
	}
	return out
}
