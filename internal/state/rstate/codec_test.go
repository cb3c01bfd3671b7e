package rstate_test

import (
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// TestMain fixes the seed of the property tests; `go test -rapid.seed N` tries another one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// samples has each kind of command once, with all fields set.
func samples() []rstate.Command {
	s := settle("k", "tok", rstate.OutcomeRan, t0+6)
	s.Output = []byte("booked")
	p := put(0, "c1", config(fleet.Limits{RetentionMS: hour}), t0)
	p.Note = "first"
	lease := acquire("h", t0+8)
	lease.ChecksFence = true
	fp := poison.Fingerprint{0xab, 15: 0xcd}
	return []rstate.Command{
		p, claim("k", "tok", t0+5), s, abandon("k", "tok", t0+7), lease,
		rstate.RenewLease{Upstream: "u", Holder: "h", Fence: 1, TTLMS: 9, AtMS: t0 + 9},
		rstate.RecordOrder{Upstream: "u", Holder: "h", Fence: 1, OrderID: "o", Order: upapi.OrderRole, CreatedMS: t0, AtMS: t0 + 10},
		rstate.ReleaseLease{Upstream: "u", Holder: "h", Fence: 1, AtMS: t0 + 11},
		rstate.GrantDownload{DownloadID: "d", Upstream: "u", Bytes: 12, AtMS: t0 + 12},
		rstate.Crash{Op: rstate.CrashReportDeath, Upstream: "u", Incarnation: 3, Members: append(fp[:], fp[:]...), AtMS: t0 + 13},
		rstate.Crash{Op: rstate.CrashAskSolo, Fingerprint: fp, Upstream: "v", Node: "n", Run: 4, AtMS: t0 + 600},
		rstate.Crash{Op: rstate.CrashEndSolo, Fingerprint: fp, Node: "n", Run: 4, AtMS: t0 + 600},
		rstate.Crash{Op: rstate.CrashReportSuccess, Fingerprint: fp, Version: 0, AtMS: t0 + 600},
		rstate.Crash{Op: rstate.CrashExpire, AtMS: t0 + 600},
		rstate.ClearQuarantine{Fingerprint: fp.String(), Operator: "op", AtMS: t0 + 601},
	}
}

// Guards against a changed encoding of commands, which would make old logs unreadable, and against a changed result or
// state for the same log, which would make replicas of two versions differ. A difference needs a new FormatVersion.
func TestFormatAndStateAreStable(t *testing.T) {
	l := rstate.NewLog(rstate.Limits{})
	var out strings.Builder
	for i, c := range samples() {
		data, err := rstate.EncodeCommand(c)
		assert.NilError(t, err)
		back, err := rstate.DecodeCommand(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, c)
		answer := l.Apply(uint64(i+1), data)
		result, err := rstate.DecodeResult(answer)
		assert.NilError(t, err)
		var digest string
		l.Query(func(s *rstate.State) { digest, err = s.Digest() })
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%T\n  command %s\n  result  %x %+v\n  state   %s\n", c, hex.EncodeToString(data), answer, result, digest)
	}
	golden.Assert(t, out.String(), "commands.golden")
}

// Guards against a decoder that accepts what a later writer would mean differently, or that is driven to large
// allocations. The bytes are CBOR; the comment of a row gives them in diagnostic notation.
func TestDecodeIsStrict(t *testing.T) {
	for name, row := range map[string]string{
		"unknown field":      "8301 0b a4 01 6166 02 616f 03 01 04 01",           // [1, 11, {1: "f", 2: "o", 3: 1, 4: 1}]
		"duplicate field":    "8301 0b a4 01 6166 01 6166 02 616f 03 01",         // [1, 11, {1: "f", 1: "f", 2: "o", 3: 1}]
		"trailing bytes":     "8301 0b a3 01 6166 02 616f 03 01 00",              // [1, 11, {...}], 0
		"indefinite length":  "8301 0b bf 01 6166 02 616f 03 01 ff",              // [1, 11, {_ ...}]
		"tag":                "8301 0b a3 01 c0 6166 02 616f 03 01",              // [1, 11, {1: 0("f"), ...}]
		"empty id":           "8301 0b a3 01 60 02 616f 03 01",                   // [1, 11, {1: "", ...}]
		"negative time":      "8301 0b a3 01 6166 02 616f 03 20",                 // [1, 11, {..., 3: -1}]
		"invalid UTF-8":      "8301 0b a3 01 61ff 02 616f 03 01",                 // [1, 11, {1: "\xff", ...}]
		"array of 2^32":      "9b 0000000100000000",                              // a header without elements
		"unknown kind":       "8301 18 63 a0",                                    // [1, 99, {}]
		"result as command":  "8301 18 40 a2 01 6161 02 6162",                    // [1, 64, {1: "a", 2: "b"}]
		"unknown version":    "8302 0b a3 01 6166 02 616f 03 01",                 // [2, 11, {...}]
		"time out of bounds": "8301 0b a3 01 6166 02 616f 03 1b7fffffffffffffff", // [1, 11, {..., 3: 2^63-1}]
	} {
		data, err := hex.DecodeString(strings.ReplaceAll(row, " ", ""))
		assert.NilError(t, err)
		_, err = rstate.DecodeCommand(data)
		assert.Assert(t, err != nil, name)
		var kind *rstate.UnknownKindError
		var version *rstate.VersionError
		assert.Equal(t, errors.As(err, &kind), name == "unknown kind" || name == "result as command", name)
		assert.Equal(t, errors.As(err, &version), name == "unknown version", name)
	}
	var size *rstate.SizeError
	_, err := rstate.DecodeCommand(make([]byte, rstate.MaxCommandBytes+1))
	assert.Assert(t, errors.As(err, &size))
	big := settle("k", "t", rstate.OutcomeRan, t0)
	big.Output = make([]byte, rstate.MaxOutput+1)
	var field *rstate.FieldError
	_, err = rstate.EncodeCommand(big)
	assert.Assert(t, errors.As(err, &field))
	assert.Equal(t, field.Field, "output")
}

// Guards against replicas that differ after a command that cannot be decoded: the index counts as applied on all.
func TestUndecodableCommandChangesOnlyTheIndex(t *testing.T) {
	l := rstate.NewLog(rstate.Limits{})
	r, err := rstate.DecodeResult(l.Apply(1, []byte{0xff}))
	assert.NilError(t, err)
	assert.Equal(t, r.(rstate.Refused).Code, rstate.RefusedDecode)
	data, err := l.Snapshot()
	assert.NilError(t, err)
	other := rstate.NewLog(rstate.Limits{MaxRecords: 1})
	assert.NilError(t, other.Restore(data))
	assert.Assert(t, other.Restore([]byte("x")) != nil)
	other.Query(func(s *rstate.State) { assert.Equal(t, s.Applied(), uint64(1)) })
}

// Guards against a snapshot that mixes the states of two moments, because it is encoded while commands are applied.
func TestSnapshotBesideCommands(t *testing.T) {
	const n = 300
	l, digests, done := rstate.NewLog(rstate.Limits{MaxContents: 1}), make([]string, n+1), make(chan struct{})
	r := newRig(t, rstate.Limits{MaxContents: 1})
	var commands []rstate.Command
	for i := range n {
		k, cfg := fmt.Sprint("k", i/2), config(fleet.Limits{MaxInFlight: i})
		commands = append(commands, []rstate.Command{claim(k, k, t0), settle(k, k, rstate.OutcomeRan, t0), put(uint64(i/3), k, cfg, t0)}[i%3])
		r.s.Apply(uint64(i+1), commands[i])
		digests[i+1], _ = r.s.Digest()
	}
	go func() {
		defer close(done)
		for i, c := range commands {
			data, _ := rstate.EncodeCommand(c)
			l.Apply(uint64(i+1), data)
		}
	}()
	for at := uint64(0); at < n; {
		data, err := l.Snapshot()
		assert.NilError(t, err)
		s, err := rstate.Restore(data)
		assert.NilError(t, err)
		got, _ := s.Digest()
		if at = s.Applied(); at > 0 {
			assert.Equal(t, got, digests[at], "at index %d", at)
		}
	}
	<-done
}

// FuzzDecodeCommand guards against a decoder that panics, and against a command that is accepted but does not survive
// being encoded again or makes Apply panic.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range samples() {
		data, err := rstate.EncodeCommand(c)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := rstate.DecodeCommand(data)
		if err != nil {
			return
		}
		again, err := rstate.EncodeCommand(c)
		assert.NilError(t, err)
		back, err := rstate.DecodeCommand(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, c, back, cmpopts.EquateEmpty())
		r := newRig(t, rstate.Limits{})
		for i, s := range append(samples(), c) {
			r.s.Apply(uint64(i+1), s)
		}
		r.reload()
	})
}
