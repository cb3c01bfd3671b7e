package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/berylledge/berylledge/internal/node/gwnode"
	"github.com/berylledge/berylledge/internal/test/build"
)

func TestMain(m *testing.M) { build.Main(m) }

const (
	controlPort   = 7301
	directoryPort = 7302
	callersPort   = 7303
	peerPort      = 7305
	controlNodes  = 3
	entryNodes    = 3
	firstEntry    = 11  // the last part of the addresses of entry nodes
	proxied       = 100 // added to the last part of an address: the proxy before it
	stopSeconds   = 2.0
)

// process is one process of the program with the proxies before it.
type process struct {
	f       *fleet
	number  int // last part of its address
	name    string
	path    string // settings file
	data    string
	log     *os.File
	peers   *proxy
	callers *proxy // entry nodes

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	busy   bool      // a fault stops it
	hit    time.Time // last kill or freeze, or its end
}

// fleet is a whole system on loopback.
type fleet struct {
	dir   string
	net   int // third part of the addresses
	seeds []string
	parts parts
	nodes map[int]*process
}

func (f *fleet) ip(number int) string            { return fmt.Sprintf("127.9.%d.%d", f.net, number) }
func (f *fleet) at(number, port int) string      { return fmt.Sprintf("%s:%d", f.ip(number), port) }
func (f *fleet) proxyAt(number, port int) string { return f.at(number+proxied, port) }

func numbers(first, count int) (out []int) {
	for i := range count {
		out = append(out, first+i)
	}
	return out
}

func newFleet(t testing.TB, net int, parts parts) *fleet {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak-run-")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{dir: dir, net: net, parts: parts, nodes: map[int]*process{}}
	for _, n := range numbers(1, controlNodes) {
		f.seeds = append(f.seeds, f.proxyAt(n, controlPort))
	}
	t.Cleanup(func() {
		for _, p := range f.nodes {
			p.close()
		}
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	for _, n := range append(numbers(1, controlNodes), numbers(firstEntry, entryNodes)...) {
		p, err := f.add(n)
		if err == nil {
			err = p.start(true)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func (f *fleet) add(number int) (*process, error) {
	p := &process{f: f, number: number, name: fmt.Sprint("n", number), data: filepath.Join(f.dir, fmt.Sprint("data", number))}
	p.path = filepath.Join(f.dir, p.name+".json")
	f.nodes[number] = p
	var err error
	if p.log, err = os.Create(filepath.Join(f.dir, p.name+".log")); err != nil {
		return nil, err
	}
	if p.peers, err = newProxy(f.proxyAt(number, peerPort), f.at(number, peerPort)); err != nil {
		return nil, err
	}
	if p.entry() {
		p.callers, err = newProxy(f.proxyAt(number, callersPort), f.at(number, callersPort))
	}
	return p, err
}

func (p *process) entry() bool { return p.number >= firstEntry }

func (p *process) settings(first bool) gwnode.Settings {
	f := p.f
	s := gwnode.Settings{
		Node: p.name, IP: f.ip(p.number), Advertise: f.ip(p.number + proxied), DataCentre: "a", Region: "north",
		Regions: map[string]string{"a": "north"}, PeerPort: peerPort, Seeds: f.seeds, FirstStart: first, BeatMS: beatMS, Losses: 1,
		Bounds: gwnode.Bounds{StopS: stopSeconds, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 60, EntryValidS: 1},
	}
	f.parts.settings(&s)
	if p.entry() {
		s.Listen.Callers = f.at(p.number, callersPort)
		return s
	}
	s.Data = p.data
	s.Listen.Control, s.Listen.Directory = f.at(p.number, controlPort), f.at(p.number, directoryPort)
	return s
}

// start starts the process and does not wait for it.
func (p *process) start(first bool) error {
	body, err := json.Marshal(p.settings(first))
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path, body, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(build.Program(), "gate", "--settings", p.path)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // its end is what matters
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
		p.hit = time.Now()
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// lastDisturbed returns when the process was last killed or frozen; a freeze lasts until its end.
func (p *process) lastDisturbed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hit
}

// lastDisturbed returns when a process was last killed or frozen or the way to one was last harmed.
func (f *fleet) lastDisturbed() (last time.Time) {
	for _, p := range f.nodes {
		for _, t := range []time.Time{p.lastDisturbed(), p.peers.lastHarm()} {
			if t.After(last) {
				last = t
			}
		}
	}
	return last
}

// wait reports whether the process ends within a time.
func (p *process) wait(most time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(most):
		return false
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(time.Minute)
}

func (p *process) close() {
	if p.cmd != nil {
		p.kill()
	}
	for _, x := range []*proxy{p.peers, p.callers} {
		if x != nil {
			x.close()
		}
	}
	_ = p.log.Close()
}

// take reserves the process for one fault.
func (p *process) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return false
	}
	p.busy = true
	return true
}

func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// damage overwrites the middle of the state file.
func (p *process) damage() error {
	f, err := os.OpenFile(filepath.Join(p.data, "group", "state.db"), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	junk := make([]byte, info.Size()/2)
	for i := range junk {
		junk[i] = 0xa5
	}
	_, err = f.WriteAt(junk, info.Size()/4)
	return err
}
