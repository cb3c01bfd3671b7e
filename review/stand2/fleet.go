package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// Ports of the processes and stand-ins, below those that the kernel chooses by itself. Each has an address of its own.
const (
	reservePort   = 7900
	frontPort     = 8625
	readyPort     = 8621
	controlPort   = 8628
	directoryPort = 8629
	peerPort      = 7740
	metricsPort   = 7755
	runnerPort    = 8636
)

// noEnd is the context of waits that nothing ends.
var noEnd = context.Background()

// fleet is a small deployment: processes of the deploy file on addresses of one network 127.88.N.0/24.
type fleet struct {
	clock   clock.Clock
	rec     *recorder
	run     map[string][]string // commands of the deploy file, by class
	prefix  string
	reserve net.Listener
	folder  string
	nodes   map[string]*node
	proxied bool // the seeds are addresses of proxies
	// tune changes the settings of a process before they are written; nil: none.
	tune func(name string, settings map[string]any)
}

// node is one process of the system.
type node struct {
	name, ip, kind string
	proxy          string // address of a proxy in front of the process
	cmd            *exec.Cmd
	ended          chan struct{}
	started        int
}

// advertised is the address at which other processes reach a core machine through a proxy.
func (n *node) advertised() string { return n.proxy }

func newFleet(c clock.Clock, rec *recorder) (*fleet, error) {
	f := &fleet{clock: c, rec: rec, nodes: map[string]*node{}}
	var err error
	if f.run, err = readCommands("deploy/system.toml"); err != nil {
		return nil, err
	}
	for n := 1; n < 250; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.1:%d", n, reservePort))
		if err == nil {
			f.reserve, f.prefix = l, fmt.Sprintf("127.88.%d.", n)
			break
		}
	}
	if f.reserve == nil {
		return nil, errors.New("no free loopback network")
	}
	f.folder, err = os.MkdirTemp("", "stand2-")
	return f, err
}

// settingsPath stands in the commands of the deploy file.
const settingsPath = "/etc/berylledge/settings.json"

var roleLine = regexp.MustCompile(`(?s)run = "([^"]*)".*?on = "([^"]*)"`)

// readCommands returns the commands of a deploy file by the class of machines on which they run.
func readCommands(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := map[string][]string{}
	for _, part := range strings.Split(string(text), "[roles.")[1:] {
		if m := roleLine.FindStringSubmatch(part); m != nil {
			out[m[2]] = strings.Fields(m[1])
		}
	}
	if out["front"] == nil || out["core"] == nil {
		return nil, errors.New("the deploy file has no role on front or core")
	}
	return out, nil
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("%s%d", f.prefix, host) }

// Zones of the deployment, and the region of each.
var zones = map[string]string{"za": "ra", "zb": "ra", "zc": "rb"}

var zoneNames = []string{"za", "zb", "zc"}

// addCores adds n machines of class core, and fronts adds machines of class front; they are not started.
func (f *fleet) addCores(n int) {
	for i := range n {
		f.add(fmt.Sprintf("core-%d", i+1), "core", i+1)
	}
}

func (f *fleet) addFronts(n int) {
	for i := range n {
		f.add(fmt.Sprintf("front-%d", i+1), "front", 21+i)
	}
}

func (f *fleet) add(name, kind string, host int) {
	f.nodes[name] = &node{name: name, ip: f.ip(host), kind: kind, proxy: f.ip(200 + host)}
}

func (f *fleet) seeds() []string {
	var out []string
	for i := 1; i <= 3; i++ {
		ip := f.ip(i)
		if f.proxied {
			ip = f.nodes[fmt.Sprintf("core-%d", i)].proxy
		}
		out = append(out, fmt.Sprintf("%s:%d", ip, controlPort))
	}
	return out
}

// settings returns what deploy/settings.tmpl makes for a machine of a small deployment.
func (f *fleet) settings(n *node, zone string) map[string]any {
	listen := map[string]string{"callers": "", "ready": "", "control": "", "directory": ""}
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "descriptors": 4100, "link_mbps": 1000.0}
	if n.kind == "core" {
		listen["control"] = fmt.Sprintf("%s:%d", n.ip, controlPort)
		listen["directory"] = fmt.Sprintf("%s:%d", n.ip, directoryPort)
		limits = map[string]any{"cpu_share": 0.24, "cores": 1, "memory_mb": 280, "descriptors": 4096, "link_mbps": 1000.0}
	} else {
		listen["callers"] = fmt.Sprintf("%s:%d", n.ip, frontPort)
		listen["ready"] = fmt.Sprintf("%s:%d", n.ip, readyPort)
	}
	return map[string]any{
		"node": n.name, "ip": n.ip, "data_centre": zone, "region": zones[zone], "regions": zones, "listen": listen,
		"peer_port": peerPort, "metrics_port": metricsPort, "seeds": f.seeds(), "first_start": n.started == 0,
		"data": filepath.Join(f.folder, n.name), "heartbeat_ms": 1200, "losses": 1,
		"bounds": map[string]any{"stop_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58, "entry_valid_s": 5},
		"limits": limits,
	}
}

// start starts a process, or starts it again.
func (f *fleet) start(name string) error {
	n := f.nodes[name]
	zone := zoneNames[int(n.name[len(n.name)-1]-'1')%len(zoneNames)]
	s := f.settings(n, zone)
	if f.tune != nil {
		f.tune(name, s)
	}
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := slices.Clone(f.run[n.kind])
	for i, word := range words {
		if word == settingsPath {
			words[i] = path
		}
	}
	n.cmd = exec.Command(words[0], words[1:]...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.started++
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		f.rec.note("process %s ended: %v", name, cmd.ProcessState)
		close(ended)
	}(n.cmd, n.ended)
	f.rec.note("process %s started", name)
	return nil
}

func (f *fleet) startAll() error {
	for name := range f.nodes {
		if err := f.start(name); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	_ = f.reserve.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
