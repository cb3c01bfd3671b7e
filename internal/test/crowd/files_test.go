package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/node/gwnode"
	"github.com/berylledge/berylledge/internal/test/loopip"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// Guards against requests whose body never arrives, though it is small: they keep a connection, with the head, for as long as the
// route permits, and must yield to ordinary requests when the descriptors are in use.
func TestUnfinishedSmallBodiesYieldTheirDescriptors(t *testing.T) {
	const callers = 400 // the process has 256 descriptors
	for name, listen := range listeners() {
		t.Run(name, func(t *testing.T) {
			to := listen(t)
			newCrowd(t).each(callers, to.address, func(i int, c net.Conn) { _ = write(c, requestHead(i)+"Content-Length: 1\r\n\r\n") })
			to.process.settle()
			to.check(t)
		})
	}
}

// group is three control nodes and an entry node.
type group struct {
	*system
	ips      []string // of the control nodes
	controls []*process
	settings []gwnode.Settings // of the control nodes
}

// startGroup starts a group whose settings name these limits.
func startGroup(t *testing.T, limits gwnode.Limits, with launch, upstream string) *group {
	t.Helper()
	g := &group{system: &system{t: t, launch: with, entryIP: loopip.New(t)}}
	var seeds []string
	for range 3 {
		ip := loopip.New(t)
		g.ips, seeds = append(g.ips, ip), append(seeds, at(ip, controlPort))
	}
	g.controlIP = g.ips[0]
	base := gwnode.Settings{
		DataCentre: "a", Region: "north", Regions: map[string]string{"a": "north"}, PeerPort: peerPort, Metrics: metricsPort, Seeds: seeds,
		FirstStart: true, Losses: 1, BeatMS: 1000, Limits: limits,
		Bounds: gwnode.Bounds{StopS: graceS, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50, EntryValidS: 5},
	}
	for i, ip := range g.ips {
		s := base
		s.Node, s.IP, s.Data = fmt.Sprintf("c%d", i+1), ip, t.TempDir()
		s.Listen = gwnode.Listen{Control: at(ip, controlPort), Directory: at(ip, directoryPort)}
		g.settings = append(g.settings, s)
		g.controls = append(g.controls, g.gate(s))
	}
	g.control = g.controls[0]
	e := base
	e.Node, e.IP, e.Listen = "e1", g.entryIP, gwnode.Listen{Callers: at(g.entryIP, callersPort), Ready: at(g.entryIP, readyPort)}
	g.entry = g.gate(e)
	g.configure(1, "good")
	g.beat(upstream, 1)
	g.await("the fleet serves", g.ordinary)
	return g
}

// graceS is the time for a planned stop in seconds.
const graceS = 20

// configure stores a version of the configuration in which a path leads to the upstream.
func (g *group) configure(version uint64, path string) {
	g.t.Helper()
	g.put("/v1/traffic", conf.Config{
		Version: version, Limits: conf.Limits{HeaderBytes: headBytes, BodyBytes: bodyBytes, HeaderTime: headMS, IdleTime: idleMS},
		Services: []conf.Service{{Name: "good"}},
		Routes: []conf.Route{{
			Name: path, Host: host, Prefix: "/" + path + "/", Kind: conf.Unsafe, Timeout: 120_000, Target: 60_000, Attempts: 1,
			Split: []conf.Weight{{Service: "good", Weight: 1}},
		}},
	})
}

// beat sends a heartbeat of the upstream.
func (g *group) beat(address string, sequence int64) {
	g.t.Helper()
	g.put("/v1/traffic/upstreams/good", roster.Upstream{
		Service: "good", Address: address, DataCentre: "a", State: roster.Ready, StartedMs: 5, Sequence: sequence,
	})
}

// serves waits until the entry node has a configuration in which a path leads to the upstream.
func (g *group) serves(path string) {
	g.t.Helper()
	g.await("requests for "+path, func() error {
		return ask(http.MethodPost, at(g.entryIP, callersPort), "/"+path+"/", []byte("in"))
	})
}

// Guards against a crowd that takes all descriptors of a process that was not told how many it has: the control nodes must still reach
// each other, start again, and agree on configurations that entry nodes fetch.
func TestIdleConnectionsCutNoNodeOff(t *testing.T) {
	const (
		files   = 200 // that each process may open
		callers = 100 // at each listener; 400 at each process
	)
	up := goodUpstream(t)
	g := startGroup(t, gwnode.Limits{}, launch{files: files}, up)
	crowd := newCrowd(t)
	forms := map[string]func(i int, c net.Conn){
		"idle":  func(int, net.Conn) {},
		"heads": func(_ int, c net.Conn) { _ = write(c, "GET / HTTP/1.1\r\n") },
		"small": func(i int, c net.Conn) { _ = write(c, requestHead(i)+"Content-Length: 1\r\n\r\n") },
	}
	version := uint64(1)
	for _, form := range []string{"idle", "heads", "small"} {
		for _, ip := range append([]string{g.entryIP}, g.ips[:2]...) {
			for _, port := range []int{callersPort, readyPort, controlPort, directoryPort, peerPort, metricsPort} {
				crowd.each(callers, at(ip, port), forms[form])
			}
		}
		g.entry.settle()
		version++
		g.configure(version, form)
		g.serves(form)
		// A control node that starts again has to be reached by the others, and to reach them.
		assert.NilError(t, g.controls[2].cmd.Process.Kill())
		<-g.controls[2].exited
		again := g.settings[2]
		again.FirstStart = false
		g.controls[2] = g.gate(again)
		version++
		g.configure(version, form+"-again")
		g.serves(form + "-again")
		g.await("the control node that started again has the configuration", func() error {
			if latest := at(g.ips[2], controlPort); !strings.Contains(read(latest, "/v1/traffic"), form+"-again") {
				return fmt.Errorf("%s has an older one", latest)
			}
			return nil
		})
	}
	for _, p := range append([]*process{g.entry}, g.controls...) {
		p.check(smallestMB, files)
	}
}

// read returns the answer to a GET; empty if it fails.
func read(address, path string) string {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(text)
}

// Guards against connections to upstreams that are kept after their requests and counted by nobody: with as many new callers they
// exceed the descriptors.
func TestKeptConnectionsToUpstreamsCount(t *testing.T) {
	const (
		together = 90  // requests at the same time, each with a connection to the upstream
		idle     = 300 // callers that come afterwards
	)
	arrived := make(chan struct{}, together)
	all := make(chan struct{})
	up := rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		arrived <- struct{}{}
		<-all
		c.WriteString(answerHead(r.Header) + "Content-Length: 2\r\n\r\nok")
	})
	s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t), "together": up.Address})
	crowd := newCrowd(t)
	go func() {
		defer close(all)
		for range together {
			select {
			case <-arrived:
			case <-time.After(patience):
				return
			}
		}
	}()
	crowd.each(together, at(s.entryIP, callersPort), func(i int, c net.Conn) {
		_ = write(c, strings.Replace(requestHead(i), "/good/", "/together/", 1)+"Content-Length: 0\r\n\r\n")
		_, _ = io.ReadFull(c, make([]byte, 16)) // the answer has begun
	})
	crowd.each(idle, at(s.entryIP, callersPort), func(int, net.Conn) {})
	target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
}
