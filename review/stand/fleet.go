package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed wire.json
var wireText []byte

//go:embed config.json
var configText []byte

// wire holds the names of the platform's pages.
var wire = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(wireText, &out); err != nil {
		panic(err)
	}
	return out
}()

// Bounds of the deployment, as the sheet of bmi-tabline gives them.
const (
	heartbeatMS  = 1200
	drainTimeout = 2500 * time.Millisecond
	contactTime  = 3 * time.Second
	graceTime    = 8 * time.Second
)

// errCannotRun ends a case that could not be set up.
type errCannotRun struct{ text string }

func (e errCannotRun) Error() string { return e.text }

func cannotRun(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

// record is the log of a case.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	bad   []string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &record{f: f, start: now()}
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule was broken.
func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.bad = append(r.bad, text)
	r.mu.Unlock()
	r.say("BROKEN %s", text)
}

func (r *record) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bad)
}

// machine is one process of the system under test.
type machine struct {
	fl       *fleet
	name     string
	zone     string
	ip       string
	core     bool
	run      []string // command and arguments
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

type fleet struct {
	rec      *record
	dir      string
	nets     string // first three octets
	ports    map[string]int
	cores    []*machine
	fronts   []*machine
	template string
	run      map[string]string // by role class
	client   *http.Client
	version  int
}

var zones = []string{"zone-a", "zone-b"}

// newFleet lays out the machines of a small deployment on loopback addresses.
func newFleet(rec *record, cores, fronts int) *fleet {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		cannotRun("%v", err)
	}
	fl := &fleet{
		rec: rec, dir: dir, run: map[string]string{}, client: &http.Client{Timeout: 2 * time.Second},
		nets: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)), ports: map[string]int{},
	}
	fl.client.Transport = &http.Transport{DisableKeepAlives: true}
	fl.readDeployFile()
	for _, name := range []string{"front", "ready", "control", "directory", "peer", "metrics"} {
		fl.ports[name] = freePort(fl.nets + ".1")
	}
	for i := range cores {
		fl.add(fmt.Sprintf("core-%s-%d", zones[i%2], i), zones[i%2], 10+i, true)
	}
	for i := range fronts {
		fl.add(fmt.Sprintf("front-%s-%d", zones[i%2], i), zones[i%2], 50+i, false)
	}
	return fl
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// readDeployFile takes the commands and the template from the deploy file.
func (fl *fleet) readDeployFile() {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	for _, part := range strings.Split(string(text), "[roles.")[1:] {
		run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindStringSubmatch(part)
		on := regexp.MustCompile(`(?m)^on = "(.*)"`).FindStringSubmatch(part)
		file := regexp.MustCompile(`(?m)^template = "(.*)"`).FindStringSubmatch(part)
		if run == nil || on == nil || file == nil {
			cannotRun("the deploy file has a role without run, on or template")
		}
		fl.run[on[1]] = run[1]
		body, err := os.ReadFile(file[1])
		if err != nil {
			cannotRun("%v", err)
		}
		fl.template = string(body)
	}
}

func (fl *fleet) address(m *machine, port string) string {
	return fmt.Sprintf("%s:%d", m.ip, fl.ports[port])
}

func (fl *fleet) add(name, zone string, last int, core bool) {
	m := &machine{fl: fl, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", fl.nets, last), core: core}
	class := "front"
	if core {
		class = "core"
		fl.cores = append(fl.cores, m)
	} else {
		fl.fronts = append(fl.fronts, m)
	}
	m.settings = filepath.Join(fl.dir, name+".json")
	m.run = strings.Fields(strings.ReplaceAll(fl.run[class], "/etc/berylledge/settings.json", m.settings))
}

// render fills in the template as the platform does, for the forms that the template uses.
func (fl *fleet) render(m *machine, first bool) {
	listen := map[string]any{}
	if m.core {
		listen["control"], listen["directory"] = fl.address(m, "control"), fl.address(m, "directory")
	} else {
		listen["front"], listen["ready"] = fl.address(m, "front"), fl.address(m, "ready")
	}
	var seeds []string
	for _, c := range fl.cores[:min(3, len(fl.cores))] {
		seeds = append(seeds, fl.address(c, "control"))
	}
	data := any(nil)
	if m.core {
		data = filepath.Join(fl.dir, m.name+".data")
	}
	fields := map[string]any{
		"nodeName": m.name, "ip": m.ip, "zone": m.zone, "region": "north",
		"zones": map[string]any{"zone-a": "north", "zone-b": "north"}, "listen": listen,
		"internalPorts": []any{fl.ports["peer"], fl.ports["metrics"]}, "seeds": seeds, "bootstrap": first, "dataDir": data,
		"heartbeatMs": heartbeatMS, "faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"gracePeriodS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "ttl_max_s": 5,
		},
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000},
	}
	// The cases set no value for which the template has a section.
	template := regexp.MustCompile(`(?s)\{\{#([A-Za-z_.0-9]+)\}\}.*?\{\{/[A-Za-z_.0-9]+\}\}`).ReplaceAllString(fl.template, "")
	text := regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)(\|json)?\}\}`).ReplaceAllStringFunc(template, func(s string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(s, "{}"), "|json")
		var v any = fields
		for _, step := range strings.Split(name, ".") {
			switch at := v.(type) {
			case map[string]any:
				v = at[step]
			case []any:
				v = at[step[0]-'0']
			}
		}
		if asJSON {
			out, _ := json.Marshal(v)
			return string(out)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts the process of a machine.
func (m *machine) start(first bool) {
	m.fl.render(m, first)
	out, err := os.OpenFile(filepath.Join(m.fl.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command(m.run[0], m.run[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		m.fl.rec.say("%s ended: %v", m.name, err)
		_ = out.Close()
		close(done)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

func (m *machine) wait() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// all returns the machines of the system.
func (fl *fleet) all() []*machine { return append(append([]*machine{}, fl.cores...), fl.fronts...) }

// startAll starts the system for the first time and waits until it takes a configuration.
func (fl *fleet) startAll(change func(map[string]any)) {
	for _, m := range fl.all() {
		m.start(true)
	}
	fl.putConfig(change)
}

// end ends all processes and removes the folder.
func (fl *fleet) end() {
	for _, m := range fl.all() {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fl.dir)
	} else {
		fl.rec.say("logs are kept in a temporary folder")
		fmt.Fprintln(os.Stderr, fl.dir)
	}
}

// putConfig sends the configuration, changed by change, until it is acknowledged.
func (fl *fleet) putConfig(change func(map[string]any)) {
	var doc map[string]any
	if err := json.Unmarshal(configText, &doc); err != nil {
		cannotRun("%v", err)
	}
	fl.version++
	doc["version"] = fl.version
	if change != nil {
		change(doc)
	}
	body, _ := json.Marshal(doc)
	end := now().Add(20 * time.Second)
	for i := 0; now().Before(end); i++ {
		status, _, err := fl.call(http.MethodPut, "http://"+fl.address(fl.cores[i%len(fl.cores)], "control")+"/config", body)
		if err == nil && status == http.StatusOK {
			fl.rec.say("configuration %d acknowledged", fl.version)
			return
		}
		sleep(150 * time.Millisecond)
	}
	cannotRun("no control node acknowledged the configuration")
}

// call makes one call to a control node.
func (fl *fleet) call(method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := fl.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// waitReady waits until all entry nodes are ready.
func (fl *fleet) waitReady() {
	end := now().Add(15 * time.Second)
	for _, m := range fl.fronts {
		for {
			status, _, err := fl.call(http.MethodGet, "http://"+fl.address(m, "ready")+wire["ready"], nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if now().After(end) {
				cannotRun("%s is not ready", m.name)
			}
			sleep(100 * time.Millisecond)
		}
	}
}
