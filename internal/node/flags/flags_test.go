package flags_test

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/node/flags"
)

func good(t *testing.T) flags.Settings {
	return flags.Settings{
		Node: "e1", Roles: []string{"entry", "control"}, DataCentre: "a", Region: "r", Listen: "127.0.0.1:7001",
		PeerListen: "127.0.0.1:7002", Control: []string{"e1=127.0.0.1:7002"}, Data: t.TempDir(), EntryValid: time.Second,
		SpreadDelay: time.Second, DrainLimit: time.Minute, LogLevel: "info",
	}
}

// Guards against a setting that is wrong or contradicts another and is taken all the same, or is refused without naming
// its flag.
func TestCheckNamesTheFlag(t *testing.T) {
	s := good(t)
	assert.NilError(t, s.Check())
	for flag, changes := range map[string][]func(*flags.Settings){
		"node":         {func(s *flags.Settings) { s.Node = "" }, func(s *flags.Settings) { s.Node = "E 1" }},
		"roles":        {func(s *flags.Settings) { s.Roles = nil }, func(s *flags.Settings) { s.Roles = []string{"proxy"} }},
		"data-centre":  {func(s *flags.Settings) { s.DataCentre = "" }},
		"region":       {func(s *flags.Settings) { s.Region = strings.Repeat("r", 64) }},
		"listen":       {func(s *flags.Settings) { s.Listen = "localhost:1" }, func(s *flags.Settings) { s.Listen = s.PeerListen }, func(s *flags.Settings) { s.Roles, s.Listen = []string{"control"}, "0.0.0.0:7001" }, func(s *flags.Settings) { s.Roles, s.Listen = []string{"control"}, s.PeerListen }},
		"peer-listen":  {func(s *flags.Settings) { s.PeerListen = "0.0.0.0:7002" }, func(s *flags.Settings) { s.PeerListen = "" }},
		"join":         {func(s *flags.Settings) { s.Join = []string{"host:1"} }, func(s *flags.Settings) { s.Roles = []string{"entry"} }},
		"control":      {func(s *flags.Settings) { s.Control = []string{"x=127.0.0.1:7002"} }, func(s *flags.Settings) { s.Control = append(s.Control, "b=127.0.0.1:7003") }, func(s *flags.Settings) { s.Control = nil }},
		"data":         {func(s *flags.Settings) { s.Data = "" }, func(s *flags.Settings) { s.Data = "/none/none" }},
		"config-file":  {func(s *flags.Settings) { s.ConfigFile = "/none" }},
		"entry-valid":  {func(s *flags.Settings) { s.EntryValid = 0 }},
		"spread-delay": {func(s *flags.Settings) { s.SpreadDelay = time.Hour }},
		"drain-limit":  {func(s *flags.Settings) { s.DrainLimit = -1 }},
		"log-level":    {func(s *flags.Settings) { s.LogLevel = "loud" }},
	} {
		for _, change := range changes {
			s := good(t)
			change(&s)
			assert.Assert(t, names(s.Check(), flag), "%s: %v", flag, s.Check())
		}
	}
}

func names(err error, flag string) bool {
	var invalid *flags.InvalidError
	if !errors.As(err, &invalid) {
		return false
	}
	for _, p := range invalid.Problems {
		if p.Flag == flag && p.Allowed != "" {
			return true
		}
	}
	return false
}

// Guards against a value that passes in some combination: 1,000 random settings with one broken text field each.
func TestRandomBrokenSettingsAreRefused(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	fields := []string{"Node", "DataCentre", "Region", "Listen", "PeerListen", "LogLevel"}
	for range 1000 {
		s := good(t)
		bad := []byte("!")
		for range r.IntN(12) {
			bad = append(bad, byte(33+r.IntN(90)))
		}
		reflect.ValueOf(&s).Elem().FieldByName(fields[r.IntN(len(fields))]).SetString(string(bad))
		var invalid *flags.InvalidError
		assert.Assert(t, errors.As(s.Check(), &invalid), "%+v", s)
	}
}
