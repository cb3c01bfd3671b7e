package rstate

import (
	"bytes"
	"strings"
)

// record is the ledger's entry for a key. It is kept until the key's creation time passes the horizon.
type record struct {
	BodyHash   []byte  `cbor:"1,keyasint"`
	Token      string  `cbor:"2,keyasint"`
	RequestID  string  `cbor:"3,keyasint"`
	Node       string  `cbor:"4,keyasint"`
	CreatedMS  int64   `cbor:"5,keyasint"`
	DeadlineMS int64   `cbor:"6,keyasint"`
	ClaimedMS  int64   `cbor:"7,keyasint"`
	Outcome    Outcome `cbor:"8,keyasint,omitempty"` // empty until it is settled
	SettledMS  int64   `cbor:"9,keyasint,omitempty"`
	Output     []byte  `cbor:"10,keyasint,omitempty"`
}

// reserved is what a record counts against Limits.MaxOutputBytes: an unsettled record reserves room for any output, so
// that an outcome never fails to be recorded for lack of room.
func (r *record) reserved() int64 {
	if r.Outcome == "" {
		return MaxOutput
	}
	return int64(len(r.Output))
}

func ledgerKey(team, key string) string { return team + "\x00" + key }

func (s *State) advanceLedger() {
	s.horizonMS = max(s.horizonMS, s.nowMS-s.rules.retentionMS)
	for _, e := range s.records.expire(s.horizonMS) {
		s.outputBytes -= e.value.reserved()
	}
	s.tombstones.expire(s.nowMS)
}

func (s *State) claim(c Claim) ClaimResult {
	if c.KeyCreatedMS <= s.horizonMS {
		return ClaimResult{Status: ClaimExpired}
	}
	if s.tombstones.has(c.Token) {
		return ClaimResult{Status: ClaimAbandoned}
	}
	key := ledgerKey(c.Team, c.Key)
	if r := s.records.get(key); r != nil {
		return s.answer(r, c)
	}
	if reason := s.claimProblem(c); reason != "" {
		return ClaimResult{Status: ClaimRefused, Reason: reason}
	}
	if s.ledgerLen() >= s.limits.MaxRecords || s.outputBytes+MaxOutput > s.limits.MaxOutputBytes {
		return ClaimResult{Status: ClaimFull}
	}
	r := record{
		BodyHash: bytes.Clone(c.BodyHash), Token: c.Token, RequestID: c.RequestID, Node: c.Node,
		CreatedMS: c.KeyCreatedMS, DeadlineMS: c.DispatchDeadlineMS, ClaimedMS: s.nowMS,
	}
	s.outputBytes += r.reserved()
	s.records.put(key, r.CreatedMS, r)
	return r.result(ClaimGranted)
}

func (s *State) ledgerLen() int { return s.records.len() + s.tombstones.len() }

func (s *State) claimProblem(c Claim) string {
	switch {
	case c.KeyCreatedMS > s.nowMS+s.limits.ClockDriftMS:
		return "the key's creation time is in the future"
	case c.DispatchDeadlineMS <= s.nowMS:
		return "the dispatch deadline has passed"
	case c.DispatchDeadlineMS > c.AtMS+s.limits.MaxDispatchMS:
		return "the dispatch deadline is too late"
	}
	return ""
}

// answer answers a claim of a key that has a record.
func (s *State) answer(r *record, c Claim) ClaimResult {
	switch {
	case !bytes.Equal(r.BodyHash, c.BodyHash) || r.CreatedMS != c.KeyCreatedMS:
		return ClaimResult{Status: ClaimKeyReused, RequestID: r.RequestID}
	case r.Outcome != "":
		out := r.result(ClaimSettled)
		out.Outcome, out.Output = r.Outcome, r.Output
		return out
	case s.nowMS >= r.DeadlineMS:
		return r.result(ClaimUnknown)
	case r.Token == c.Token && r.Node == c.Node:
		return r.result(ClaimGranted)
	default:
		return r.result(ClaimInProgress)
	}
}

func (r *record) result(status ClaimStatus) ClaimResult {
	return ClaimResult{Status: status, RequestID: r.RequestID, DispatchDeadlineMS: r.DeadlineMS}
}

func (s *State) abandon(c Abandon) AbandonResult {
	key := ledgerKey(c.Team, c.Key)
	r := s.records.get(key)
	holds := r != nil && r.Token == c.Token
	switch {
	case holds && r.Outcome != "":
		return AbandonResult{Status: AbandonSettled}
	case holds:
		s.free(key, r)
	case !s.tombstones.has(c.Token) && s.ledgerLen() >= s.limits.MaxRecords:
		return AbandonResult{Status: AbandonFull}
	}
	s.bury(c.Token)
	return AbandonResult{Status: Abandoned}
}

func (s *State) free(key string, r *record) {
	s.outputBytes -= r.reserved()
	s.records.remove(key)
}

// bury leaves a tombstone. A claim of the token was made before this moment, so its dispatch deadline is at most
// MaxDispatchMS (and, if its sender's clock was set back meanwhile, the clock drift) later; after that it is refused
// for its deadline and the tombstone is not needed.
func (s *State) bury(token string) {
	s.tombstones.put(token, s.nowMS+s.limits.MaxDispatchMS+s.limits.ClockDriftMS, struct{}{})
}

func (s *State) settle(c Settle) SettleResult {
	key := ledgerKey(c.Team, c.Key)
	r := s.records.get(key)
	switch {
	case r == nil:
		if c.Outcome == OutcomeNotStarted && s.tombstones.has(c.Token) {
			return SettleResult{Status: SettleFreed, Outcome: c.Outcome} // a resend
		}
		return SettleResult{Status: SettleNoClaim}
	case r.Token != c.Token:
		if c.Outcome == OutcomeNotStarted && s.tombstones.has(c.Token) {
			return SettleResult{Status: SettleFreed, Outcome: c.Outcome}
		}
		return SettleResult{Status: SettleNotHolder}
	case r.Outcome == c.Outcome:
		return SettleResult{Status: SettleRecorded, Outcome: r.Outcome}
	case r.Outcome != "":
		return SettleResult{Status: SettleDiffers, Outcome: r.Outcome}
	case c.Outcome == OutcomeNotStarted:
		s.free(key, r)
		s.bury(c.Token)
		return SettleResult{Status: SettleFreed, Outcome: c.Outcome}
	}
	s.outputBytes -= r.reserved()
	r.Outcome, r.SettledMS, r.Output = c.Outcome, s.nowMS, bytes.Clone(c.Output)
	s.outputBytes += r.reserved()
	return SettleResult{Status: SettleRecorded, Outcome: r.Outcome}
}

// KeyState is what the ledger holds for a key. Outcome is empty until the key is settled.
type KeyState struct {
	Token, RequestID, Node string
	Outcome                Outcome
	Output                 []byte
	Unknown                bool // unsettled after its dispatch deadline
	ClaimedMS, SettledMS   int64
}

// Key returns what the ledger holds for a key; false if there is no record of it.
func (s *State) Key(team, key string) (KeyState, bool) {
	r := s.records.get(ledgerKey(team, key))
	if r == nil {
		return KeyState{}, false
	}
	return KeyState{
		Token: r.Token, RequestID: r.RequestID, Node: r.Node, Outcome: r.Outcome, Output: r.Output,
		Unknown: r.Outcome == "" && s.nowMS >= r.DeadlineMS, ClaimedMS: r.ClaimedMS, SettledMS: r.SettledMS,
	}, true
}

// UnknownKey is a key whose holder did not settle before its dispatch deadline.
type UnknownKey struct {
	Team, Key, RequestID, Node string
	DeadlineMS                 int64
}

// UnknownKeys returns up to n keys of unknown outcome, ordered by team and key, for an operator who clears them up with
// the service that ran them or not.
func (s *State) UnknownKeys(n int) []UnknownKey {
	var out []UnknownKey
	for _, e := range s.records.sorted() {
		if len(out) >= n {
			break
		}
		r := &e.value
		if r.Outcome == "" && s.nowMS >= r.DeadlineMS {
			team, key, _ := strings.Cut(e.key, "\x00")
			out = append(out, UnknownKey{team, key, r.RequestID, r.Node, r.DeadlineMS})
		}
	}
	return out
}

// Expired reports whether a key created at this time is refused because of its age.
func (s *State) Expired(keyCreatedMS int64) bool { return keyCreatedMS <= s.horizonMS }
