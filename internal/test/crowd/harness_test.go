package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/node/gwnode"
	"github.com/berylledge/berylledge/internal/test/build"
	"github.com/berylledge/berylledge/internal/test/loopip"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

func TestMain(m *testing.M) { build.Main(m) }

const (
	controlPort   = 7201
	directoryPort = 7202
	callersPort   = 7203
	readyPort     = 7204
	peerPort      = 7205
	metricsPort   = 7206
	servePort     = 7207
)

const (
	host       = "api.example"
	memoryMB   = 96       // limits.memory_mb: two thirds of the smallest VM, so that a small crowd is enough
	smallestMB = 144      // memory of the smallest VM
	maxFiles   = 256      // limits.descriptors
	bodyBytes  = 4 << 20  // limits.body_bytes
	headBytes  = 16 << 10 // limits.header_bytes
	// headMS lets heads stay open for longer than the crowd needs to arrive: the bound on time must not hide that of memory.
	headMS   = 30_000
	idleMS   = 60_000
	patience = 40 * time.Second
)

// process is a running process of the program.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	mu     sync.Mutex
	log    bytes.Buffer
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// launch is what a process is started with beside its arguments.
type launch struct {
	env   []string // NAME=value, besides the environment of the test
	files int      // limit of open descriptors of the process; 0: that of the test
}

// command returns the command that runs the program. The shell lowers the limit of descriptors for the program alone.
func (l launch) command(args []string) *exec.Cmd {
	cmd := exec.Command(build.Program(), args...)
	if l.files > 0 {
		cmd = exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, l.files), build.Program()}, args...)...)
	}
	cmd.Env = append(os.Environ(), l.env...)
	return cmd
}

func start(t *testing.T, name string, with launch, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: with.command(args), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("%s:\n%s", name, p.log.Bytes()[max(0, p.log.Len()-4000):])
		}
	})
	return p
}

// status returns a figure of /proc/PID/status in kB.
func (p *process) status(field string) int {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err, "%s has ended", p.name)
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			assert.NilError(p.t, err)
			return n
		}
	}
	p.t.Fatalf("%s has no %s: it has ended", p.name, field)
	return 0
}

func (p *process) descriptors() int {
	p.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(p.t, err, "%s has ended", p.name)
	return len(list)
}

// check fails the test when the process has ended or ever held more than its limits.
func (p *process) check(mostMB, mostFiles int) {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("%s has ended", p.name)
	default:
	}
	peak, files := p.status("VmHWM")<<10, p.descriptors()
	p.t.Logf("%s: peak of memory %.0f MB, %d descriptors", p.name, float64(peak)/1e6, files)
	if peak > mostMB*1_000_000 {
		p.t.Errorf("%s: memory reached %.0f MB, its VM has %d MB", p.name, float64(peak)/1e6, mostMB)
	}
	if files > mostFiles {
		p.t.Errorf("%s: %d descriptors are open, its VM has %d", p.name, files, mostFiles)
	}
}

// system is a control node and an entry node of `berylledge gate`, each with an IP number of its own as on VMs.
type system struct {
	t              *testing.T
	launch         launch
	control, entry *process
	controlIP      string
	entryIP        string
}

// startSystem starts a system whose settings name its memory in MB. ups are the addresses of the upstreams by service.
func startSystem(t *testing.T, memory int, ups map[string]string) *system {
	t.Helper()
	return startSystemWith(t, gwnode.Limits{MemoryMB: float64(memory), Descriptors: maxFiles}, launch{}, ups)
}

// startSystemWith starts a system whose settings name these limits; 0 names none.
func startSystemWith(t *testing.T, limits gwnode.Limits, with launch, ups map[string]string) *system {
	t.Helper()
	s := &system{t: t, launch: with, controlIP: loopip.New(t), entryIP: loopip.New(t)}
	settings := func(name, ip string) gwnode.Settings {
		return gwnode.Settings{
			Node: name, IP: ip, DataCentre: "a", Region: "north", Regions: map[string]string{"a": "north"}, PeerPort: peerPort,
			Metrics: metricsPort, Seeds: []string{at(s.controlIP, controlPort)}, FirstStart: true, BeatMS: 60_000,
			Bounds: gwnode.Bounds{StopS: 2, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50, EntryValidS: 5},
			Limits: limits,
		}
	}
	control, entry := settings("c1", s.controlIP), settings("e1", s.entryIP)
	control.Data = t.TempDir()
	control.Listen = gwnode.Listen{Control: at(s.controlIP, controlPort), Directory: at(s.controlIP, directoryPort)}
	entry.Listen = gwnode.Listen{Callers: at(s.entryIP, callersPort), Ready: at(s.entryIP, readyPort)}
	s.control, s.entry = s.gate(control), s.gate(entry)
	c := conf.Config{Version: 1, Limits: conf.Limits{HeaderBytes: headBytes, BodyBytes: bodyBytes, HeaderTime: headMS, IdleTime: idleMS}}
	for name := range ups {
		c.Services = append(c.Services, conf.Service{Name: name})
		c.Routes = append(c.Routes, conf.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: conf.Unsafe, Timeout: 120_000, Target: 60_000, Attempts: 1,
			Split: []conf.Weight{{Service: name, Weight: 1}},
		})
	}
	s.put("/v1/traffic", c)
	for name, address := range ups {
		s.put("/v1/traffic/upstreams/"+name, roster.Upstream{
			Service: name, Address: address, DataCentre: "a", State: roster.Ready, StartedMs: 5, Sequence: 1,
		})
	}
	s.await("the fleet serves", s.ordinary)
	return s
}

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (s *system) gate(settings gwnode.Settings) *process {
	s.t.Helper()
	data, err := json.Marshal(settings)
	assert.NilError(s.t, err)
	path := filepath.Join(s.t.TempDir(), "settings.json")
	assert.NilError(s.t, os.WriteFile(path, data, 0o600))
	return start(s.t, settings.Node, s.launch, "gate", "--settings", path)
}

// put sends a document to the control node until it is acknowledged.
func (s *system) put(path string, body any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(s.t, err)
	s.await("PUT "+path, func() error { return ask(http.MethodPut, at(s.controlIP, controlPort), path, data) })
}

func (s *system) await(what string, try func() error) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if err := try(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(50*time.Millisecond))
}

// ordinary sends one small request that a sound caller would send.
func (s *system) ordinary() error {
	return ask(http.MethodPost, at(s.entryIP, callersPort), "/good/", []byte("in"))
}

// ask sends a request on a connection of its own and fails unless the status is 200.
func ask(method, address, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Host, r.Close = host, true
	r.Header.Set(proto.Own().Headers.RequestID, "ordinary")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %.200s", resp.Status, text)
	}
	return err
}

// goodUpstream answers each request.
func goodUpstream(t *testing.T) string {
	return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		c.WriteString(answerHead(r.Header) + "Content-Length: 2\r\n\r\nok")
	}).Address
}

func answerHead(h http.Header) string {
	names := proto.Own().Headers
	return "HTTP/1.1 200 OK\r\n" + names.RequestID + ": " + h.Get(names.RequestID) + "\r\n" + names.Signature + ": s\r\n"
}

// crowd is a set of connections that stay open until the end of the test unless the other side closes them.
type crowd struct {
	t     *testing.T
	mu    sync.Mutex
	conns []net.Conn
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{t: t}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	})
	return c
}

// each runs f for n connections at the same time and returns when all have returned. A refused or broken connection is no failure.
func (c *crowd) each(n int, address string, f func(i int, conn net.Conn)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, 5*time.Second)
			if err != nil {
				return // refused, which is allowed
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(patience))
			f(i, conn)
		})
	}
	wg.Wait()
}

// write sends text and reports whether all of it was taken.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// settle waits until a process takes no more from its sockets: its processor time stands still although it does not wait for a
// processor.
func (p *process) settle() {
	p.t.Helper()
	last := -1
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		now, before := p.cpuTicks(), last
		last = now
		if before < 0 || now-before > 1 || p.runnable() {
			return poll.Continue("%s is busy: %d ticks, %d before", p.name, now, before)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(250*time.Millisecond))
}

// runnable reports whether a thread of the process runs or waits for a processor.
func (p *process) runnable() bool {
	p.t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	for _, name := range threads {
		data, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		if fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:])); len(fields) > 0 && fields[0] == "R" {
			return true
		}
	}
	return false
}

func (p *process) cpuTicks() int {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(p.t, err, "%s has ended", p.name)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(p.t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(p.t, err)
	return user + system
}

// serveNode is a process of `berylledge serve` with all roles that is told its memory in MB.
func serveNode(t *testing.T, memory int, args ...string) (p *process, ip string) {
	t.Helper()
	return serveNodeWith(t, launch{env: []string{
		fmt.Sprintf("BERYLLEDGE_MEMORY_MB=%d", memory), fmt.Sprintf("BERYLLEDGE_DESCRIPTORS=%d", maxFiles),
	}}, args...)
}

// serveNodeWith is a process of `berylledge serve` with all roles.
func serveNodeWith(t *testing.T, with launch, args ...string) (p *process, ip string) {
	t.Helper()
	ip = loopip.New(t)
	p = start(t, "n1", with, append([]string{
		"serve", "--node", "n1", "--region", "r", "--roles", "entry,control", "--data-centre", "a",
		"--listen", at(ip, servePort), "--peer-listen", at(ip, peerPort), "--control", "n1=" + at(ip, peerPort), "--data", t.TempDir(),
	}, args...)...)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := answers(at(ip, servePort)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(50*time.Millisecond))
	return p, ip
}

// answers fails unless an ordinary request gets any answer.
func answers(address string) error {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// target is a listener of one of the system's processes.
type target struct {
	address string
	process *process
	mostMB  int
	answers func() error // one ordinary request
	system  *system      // of a process of `gate`
}

// listeners are all listeners of `gate` and `serve`, by name. Each call starts the processes that it needs, so that no figure comes from
// the crowd before.
func listeners() map[string]func(*testing.T) target {
	gate := func(port int, ofEntry bool) func(*testing.T) target {
		return func(t *testing.T) target {
			s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t)})
			if ofEntry {
				return target{at(s.entryIP, port), s.entry, memoryMB, s.ordinary, s}
			}
			address := at(s.controlIP, port)
			return target{address, s.control, memoryMB, func() error { return answers(address) }, s}
		}
	}
	serve := func(port int) func(*testing.T) target {
		return func(t *testing.T) target {
			p, ip := serveNode(t, smallestMB)
			return target{at(ip, port), p, smallestMB, func() error { return answers(at(ip, servePort)) }, nil}
		}
	}
	return map[string]func(*testing.T) target{
		"callers": gate(callersPort, true), "ready": gate(readyPort, true), "metrics": gate(metricsPort, true),
		"peer": gate(peerPort, true), "control": gate(controlPort, false), "directory": gate(directoryPort, false),
		"serve": serve(servePort), "serve peer": serve(peerPort),
	}
}
