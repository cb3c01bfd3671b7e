// Package gwnode builds one process of a fleet that forwards requests: an entry node that serves callers, or a control node
// that keeps the configuration and the list of upstreams. docs/gate.md describes the settings file.
//
// Usage:
//
//	s, err := gwnode.ReadSettings("/etc/berylledge/gate.json")
//	p, err := gwnode.New(s, gwnode.Options{Dialect: proto.Own(), Clock: clock.Real(), Logger: logger, Path: path})
//	<-ctx.Done() // SIGTERM
//	p.Drain(context.Background())
//	p.Close()
package gwnode

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/pace"
)

// Settings are all settings of a process, as its settings file holds them. Unknown fields are ignored.
type Settings struct {
	Node       string            `json:"node"`
	IP         string            `json:"ip"`
	Advertise  string            `json:"advertise"` // IP number at which other processes reach this one; empty: IP
	DataCentre string            `json:"data_centre"`
	Region     string            `json:"region"`
	Regions    map[string]string `json:"regions"` // by data centre
	Listen     Listen            `json:"listen"`
	PeerPort   int               `json:"peer_port"` // for other processes, the same on all VMs
	Metrics    int               `json:"metrics_port"`
	Seeds      []string          `json:"seeds"` // addresses of control nodes; only the IP numbers are used
	FirstStart bool              `json:"first_start"`
	Data       string            `json:"data"` // folder for durable state, control nodes only
	BeatMS     conf.MS           `json:"heartbeat_ms"`
	Losses     int               `json:"losses"` // disks that may be lost at the same time
	Bounds     Bounds            `json:"bounds"`
	Limits     Limits            `json:"limits"`
}

// Listen holds the addresses that the process serves. A process with Callers is an entry node, one with Control a control
// node.
type Listen struct {
	Callers   string `json:"callers"`
	Ready     string `json:"ready"`
	Control   string `json:"control"`
	Directory string `json:"directory"`
}

// Bounds are what the fleet is held to.
type Bounds struct {
	StopS        float64 `json:"stop_s"`         // from SIGTERM until the process is killed
	RetryRatio   float64 `json:"retry_ratio"`    // repeats of a service for each of its requests
	RetryWindowS float64 `json:"retry_window_s"` // in which they are counted
	RetrySlack   float64 `json:"retry_slack"`    // repeats that are allowed besides
	EntryValidS  float64 `json:"entry_valid_s"`  // longest time that callers keep an address
	EvacuationMS conf.MS `json:"evacuation_ms"`  // time within which an evacuation must be obeyed; 0: none is ordered
	ColdOverage  float64 `json:"cold_overage"`   // an upstream that is cold may get this multiple of its cold rate in any second
	ColdSlack    float64 `json:"cold_slack"`     // and this many requests besides
}

// pace returns the bounds of upstreams that are cold.
func (b Bounds) pace() pace.Bounds {
	return pace.Bounds{ColdOverage: b.ColdOverage, ColdSlack: b.ColdSlack}
}

// Limits are the resources of the VM; 0: unknown.
type Limits struct {
	CPUShare    float64 `json:"cpu_share"` // of each core
	Cores       float64 `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"` // in 10^6 bytes, for each process
	Descriptors int     `json:"descriptors"`
	LinkMbps    float64 `json:"link_mbps"`
}

// maxCapacity bounds capacities to what fits into any integer.
const maxCapacity = 1 << 30

// capacity returns the processor time of the VM in thousandths of a core; 0: unknown.
func (l Limits) capacity() int {
	thousandths := l.CPUShare * l.Cores * 1000
	if !(thousandths > 0) {
		return 0
	}
	return int(min(max(math.Round(thousandths), 1), maxCapacity))
}

// Problem is a setting that cannot be used.
type Problem struct{ Field, Value, Allowed string }

// SettingsError holds all problems of a settings file.
type SettingsError struct {
	Path     string
	Problems []Problem
}

func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s %q: %s", p.Field, p.Value, p.Allowed)
	}
	return "settings " + e.Path + ":\n  " + strings.Join(lines, "\n  ")
}

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	body, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrap(err, "settings")
	}
	if err := conf.DecodeJSON(body, &s); err != nil {
		return s, &SettingsError{path, []Problem{{"file", "", err.Error()}}}
	}
	if problems := s.check(); len(problems) > 0 {
		return s, &SettingsError{path, problems}
	}
	return s, nil
}

const maxPort = 65535

func (s *Settings) check() []Problem {
	var out []Problem
	need := func(ok bool, field, value, allowed string) {
		if !ok {
			out = append(out, Problem{field, value, allowed})
		}
	}
	need(s.Node != "", "node", s.Node, "a name is required")
	need(s.DataCentre != "", "data_centre", s.DataCentre, "a name is required")
	ip, err := netip.ParseAddr(s.IP)
	need(err == nil && !ip.IsUnspecified(), "ip", s.IP, "an IP number of this VM is required")
	advertised, err := netip.ParseAddr(s.Advertise)
	need(s.Advertise == "" || err == nil && !advertised.IsUnspecified(), "advertise", s.Advertise, "an IP number is required")
	need(s.PeerPort > 0 && s.PeerPort <= maxPort, "peer_port", strconv.Itoa(s.PeerPort), "1 to 65535 are allowed")
	need(s.Metrics >= 0 && s.Metrics <= maxPort, "metrics_port", strconv.Itoa(s.Metrics), "0 to 65535 are allowed")
	for field, address := range map[string]string{
		"listen.callers": s.Listen.Callers, "listen.ready": s.Listen.Ready,
		"listen.control": s.Listen.Control, "listen.directory": s.Listen.Directory,
	} {
		_, _, err := net.SplitHostPort(address)
		need(address == "" || err == nil, field, address, "an IP number and a port are required")
	}
	for _, seed := range s.Seeds {
		_, err := netip.ParseAddrPort(seed)
		need(err == nil, "seeds", seed, "an IP number and a port are required")
	}
	need(s.Listen.Callers != "" || s.Listen.Control != "", "listen", "", "callers or control is required")
	need(s.Listen.Control == "" || s.Data != "", "data", s.Data, "a control node needs a folder")
	need(s.BeatMS >= 0, "heartbeat_ms", fmt.Sprint(s.BeatMS), "0 or more is allowed")
	need(s.Losses >= 0 && s.Losses <= maxLosses, "losses", strconv.Itoa(s.Losses), "0 to 3 are allowed")
	need(s.Bounds.EvacuationMS >= 0, "bounds.evacuation_ms", fmt.Sprint(s.Bounds.EvacuationMS), "0 or more is allowed")
	need(s.Bounds.ColdOverage >= 0 && s.Bounds.ColdSlack >= 0, "bounds.cold_overage, cold_slack",
		fmt.Sprint(s.Bounds.ColdOverage, s.Bounds.ColdSlack), "0 or more is allowed")
	need(s.Limits.CPUShare >= 0 && s.Limits.Cores >= 0 && s.Limits.MemoryMB >= 0 && s.Limits.Descriptors >= 0 && s.Limits.LinkMbps >= 0,
		"limits", fmt.Sprint(s.Limits), "0 or more is allowed")
	need(s.Bounds.RetryRatio >= 0, "bounds.retry_ratio", fmt.Sprint(s.Bounds.RetryRatio), "0 or more is allowed")
	return out
}

// maxLosses keeps the control group at seven voters at most; each further one slows all changes down.
const maxLosses = 3

// Defaults for bounds that a settings file leaves out.
const (
	defaultBeat        = time.Second
	defaultStop        = 10 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	entryValid         = time.Second // short, so that callers leave a node that stops in good time
)

func seconds(s float64, standard time.Duration) time.Duration {
	if s <= 0 {
		return standard
	}
	return time.Duration(s * float64(time.Second))
}

// seedPeers returns the peer addresses of the seeds.
func (s *Settings) seedPeers() []string {
	var out []string
	for _, seed := range s.Seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil { // check has refused others
			out = append(out, s.peerAddress(at.Addr().String()))
		}
	}
	return out
}

// ownPeer returns the peer address of this process as others reach it.
func (s *Settings) ownPeer() string {
	if s.Advertise != "" {
		return s.peerAddress(s.Advertise)
	}
	return s.peerAddress(s.IP)
}

func (s *Settings) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PeerPort))
}
