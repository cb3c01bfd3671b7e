// Package flags holds the settings of a process: one flag and one environment variable each, all checked before anything
// starts.
//
// Usage:
//
//	cmd := &cli.Command{Name: "serve", Flags: flags.Flags(), Action: func(ctx context.Context, c *cli.Command) error {
//		s := flags.From(c)
//		if problems := s.Check(); len(problems) > 0 { return flags.Error(problems) }
//		...
//	}}
package flags

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/berylledge/berylledge/internal/node/quota"
)

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Settings are all settings of `berylledge serve`.
type Settings struct {
	Node        string
	Roles       []string
	DataCentre  string
	Region      string
	Listen      string // for callers and upstreams, and for administration
	PeerListen  string // for other processes of the system
	Join        []string
	Control     []string // "id=address" of the initial voters
	Data        string
	ConfigFile  string
	EntryValid  time.Duration
	SpreadDelay time.Duration
	DrainLimit  time.Duration
	MemoryMB    float64 // in 10^6 bytes; 0: what the system permits
	Descriptors int     // 0: what the system permits
	LogLevel    string
	LogJSON     bool
	Seed        uint64
}

// Names of the flags.
const (
	flagNode        = "node"
	flagRoles       = "roles"
	flagDataCentre  = "data-centre"
	flagRegion      = "region"
	flagListen      = "listen"
	flagPeerListen  = "peer-listen"
	flagJoin        = "join"
	flagControl     = "control"
	flagData        = "data"
	flagConfigFile  = "config-file"
	flagEntryValid  = "entry-valid"
	flagSpreadDelay = "spread-delay"
	flagDrainLimit  = "drain-limit"
	flagMemory      = "memory-mb"
	flagDescriptors = "descriptors"
	flagLogLevel    = "log-level"
	flagLogJSON     = "log-json"
	flagSeed        = "seed"
)

func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("BERYLLEDGE_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// Flags returns the flags of `serve`.
func Flags() []cli.Flag {
	str := func(name, value, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
	}
	list := func(name string, value []string, usage string) cli.Flag {
		return &cli.StringSliceFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
	}
	span := func(name string, value time.Duration, usage string) cli.Flag {
		return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
	}
	return []cli.Flag{
		str(flagNode, "", "name of this process, unique in the fleet"),
		list(flagRoles, []string{RoleEntry}, "roles of this process: entry, control"),
		str(flagDataCentre, "", "data centre of this VM"),
		str(flagRegion, "", "region of this VM"),
		str(flagListen, "", "IP number and port for callers and upstreams (entry role), for administration and metrics (any role)"),
		str(flagPeerListen, "", "IP number and port for the other processes"),
		list(flagJoin, nil, "peer addresses of processes to join through"),
		list(flagControl, nil, "initial voters of the control group as name=peer address, the same on each of them (control role)"),
		str(flagData, "", "folder for durable state (control role)"),
		str(flagConfigFile, "", "configuration to start a new control group with (control role)"),
		span(flagEntryValid, 30*time.Second, "how long callers may keep the address of an entry VM"),
		span(flagSpreadDelay, 2*time.Second, "time until all nodes know that this one stops"),
		span(flagDrainLimit, 2*time.Minute, "a planned stop waits no longer than this for requests in flight"),
		&cli.FloatFlag{
			Name: flagMemory, Sources: env(flagMemory),
			Usage: "memory of this process in 10^6 bytes; 0 takes what GOMEMLIMIT, the cgroup and the VM permit, less a tenth of the last two",
		},
		&cli.IntFlag{Name: flagDescriptors, Usage: "descriptors of this process; 0 takes RLIMIT_NOFILE", Sources: env(flagDescriptors)},
		str(flagLogLevel, "info", "least level of log lines: trace, debug, info, warn, error"),
		&cli.BoolFlag{Name: flagLogJSON, Usage: "write log lines as JSON", Sources: env(flagLogJSON)},
		&cli.Uint64Flag{Name: flagSeed, Usage: "seed of sampling and jitter; 0 takes one from the clock", Sources: env(flagSeed)},
	}
}

// From reads the settings of a command.
func From(c *cli.Command) Settings {
	return Settings{
		Node: c.String(flagNode), Roles: c.StringSlice(flagRoles), DataCentre: c.String(flagDataCentre),
		Region: c.String(flagRegion), Listen: c.String(flagListen), PeerListen: c.String(flagPeerListen),
		Join: c.StringSlice(flagJoin), Control: c.StringSlice(flagControl), Data: c.String(flagData),
		ConfigFile: c.String(flagConfigFile), EntryValid: c.Duration(flagEntryValid),
		SpreadDelay: c.Duration(flagSpreadDelay), DrainLimit: c.Duration(flagDrainLimit),
		MemoryMB: c.Float(flagMemory), Descriptors: c.Int(flagDescriptors),
		LogLevel: c.String(flagLogLevel), LogJSON: c.Bool(flagLogJSON), Seed: c.Uint64(flagSeed),
	}
}

const bytesPerMB = 1_000_000

// Quota returns what the process may use; what the settings do not name comes from the system.
func (s *Settings) Quota() quota.Quota { return quota.Of(int64(s.MemoryMB*bytesPerMB), s.Descriptors) }

// Has reports whether the process has a role.
func (s *Settings) Has(role string) bool { return slices.Contains(s.Roles, role) }

// Problem is a setting that cannot be used.
type Problem struct {
	Flag    string
	Value   string
	Allowed string
}

func (p Problem) Error() string {
	return fmt.Sprintf("--%s %q: %s", p.Flag, p.Value, p.Allowed)
}

// InvalidError holds all problems of the settings.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return "settings:\n  " + strings.Join(lines, "\n  ")
}

type checker struct{ problems []Problem }

func (c *checker) add(flag, value, allowed string) {
	c.problems = append(c.problems, Problem{flag, value, allowed})
}

func (c *checker) name(flag, value string) {
	ok := value != "" && len(value) <= 63
	for _, r := range value {
		ok = ok && (r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	}
	if !ok {
		c.add(flag, value, "1 to 63 of a-z, 0-9, '-', '_', '.' are required")
	}
}

func (c *checker) address(flag, value string, listen bool) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.add(flag, value, "an IP number and a port are required, e.g. 10.0.0.5:7001")
		return
	}
	ip, err := netip.ParseAddr(host)
	if err != nil || ip.IsUnspecified() {
		c.add(flag, value, "the host must be an IP number of this VM, not a name or 0.0.0.0, because others are told this address")
	}
	if port == "0" && !listen {
		c.add(flag, value, "the port must be given")
	}
}

func (c *checker) span(flag string, v, low, high time.Duration) {
	if v < low || v > high {
		c.add(flag, v.String(), fmt.Sprintf("%s to %s are allowed", low, high))
	}
}

// Check returns an *InvalidError with all problems, or nil.
func (s *Settings) Check() error {
	c := &checker{}
	c.name(flagNode, s.Node)
	c.name(flagDataCentre, s.DataCentre)
	c.name(flagRegion, s.Region)
	if len(s.Roles) == 0 {
		c.add(flagRoles, "", "at least one of entry, control is required")
	}
	for _, r := range s.Roles {
		if r != RoleEntry && r != RoleControl {
			c.add(flagRoles, r, "entry and control are allowed")
		}
	}
	c.address(flagPeerListen, s.PeerListen, true)
	for _, a := range s.Join {
		c.address(flagJoin, a, false)
	}
	if !(s.MemoryMB >= 0) {
		c.add(flagMemory, fmt.Sprint(s.MemoryMB), "0 or more is allowed")
	}
	if s.Descriptors < 0 {
		c.add(flagDescriptors, strconv.Itoa(s.Descriptors), "0 or more is allowed")
	}
	s.checkEntry(c)
	s.checkControl(c)
	if hclog.LevelFromString(s.LogLevel) == hclog.NoLevel {
		c.add(flagLogLevel, s.LogLevel, "trace, debug, info, warn and error are allowed")
	}
	if len(c.problems) > 0 {
		return &InvalidError{c.problems}
	}
	return nil
}

func (s *Settings) checkEntry(c *checker) {
	if !s.Has(RoleEntry) {
		if s.Listen != "" { // administration of a process with only the control role
			s.checkListen(c)
		}
		return
	}
	s.checkListen(c)
	if !s.Has(RoleControl) && len(s.Join) == 0 {
		c.add(flagJoin, "", "an entry node needs at least one process to join through")
	}
	c.span(flagEntryValid, s.EntryValid, 100*time.Millisecond, time.Hour)
	c.span(flagSpreadDelay, s.SpreadDelay, 100*time.Millisecond, time.Minute)
	c.span(flagDrainLimit, s.DrainLimit, time.Second, 24*time.Hour)
}

func (s *Settings) checkListen(c *checker) {
	c.address(flagListen, s.Listen, true)
	if s.Listen == s.PeerListen && !strings.HasSuffix(s.Listen, ":0") {
		c.add(flagListen, s.Listen, "it must differ from --"+flagPeerListen)
	}
}

func (s *Settings) checkControl(c *checker) {
	if !s.Has(RoleControl) {
		for _, f := range []struct{ flag, value string }{
			{flagData, s.Data}, {flagConfigFile, s.ConfigFile}, {flagControl, strings.Join(s.Control, ",")},
		} {
			if f.value != "" {
				c.add(f.flag, f.value, "only a process with the control role uses it")
			}
		}
		return
	}
	if s.Data == "" {
		c.add(flagData, "", "a folder for durable state is required with the control role")
	} else if info, err := os.Stat(filepath.Dir(filepath.Clean(s.Data))); err != nil || !info.IsDir() {
		c.add(flagData, s.Data, "the folder that holds it must exist")
	}
	s.checkVoters(c)
	if s.ConfigFile != "" {
		if _, err := os.Stat(s.ConfigFile); err != nil {
			c.add(flagConfigFile, s.ConfigFile, "the file cannot be read: "+err.Error())
		}
	}
}

// maxVoters is the largest size of a control group.
const maxVoters = 7

func (s *Settings) checkVoters(c *checker) {
	seen := map[string]bool{}
	for _, v := range s.Control {
		id, address, ok := strings.Cut(v, "=")
		if !ok || seen[id] || seen[address] {
			c.add(flagControl, v, "name=address with names and addresses that differ is required")
			continue
		}
		seen[id], seen[address] = true, true
		c.name(flagControl, id)
		c.address(flagControl, address, false)
	}
	if n := len(s.Control); n > maxVoters || n > 0 && n%2 == 0 {
		c.add(flagControl, strings.Join(s.Control, ","), "1, 3, 5 or 7 voters are allowed")
	}
	if len(s.Control) > 0 && !seen[s.Node] {
		c.add(flagControl, strings.Join(s.Control, ","), "the list must hold this node "+s.Node)
	}
	if len(s.Control) == 0 && len(s.Join) == 0 {
		c.add(flagControl, "", "the initial voters are required, or --"+flagJoin+" to be added to a group later")
	}
}
