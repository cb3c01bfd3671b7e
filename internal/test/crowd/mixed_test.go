package crowd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/node/gwnode"
)

// kinds are crowds of several kinds, to be sent at once.
func kinds() map[string]func(i int, c net.Conn) {
	body := strings.Repeat("b", bodyBytes-1)
	names, odd := shortLines(3700), strings.Repeat("x:\r\n y\r\n\tz:\r\n", 1000)
	return map[string]func(i int, c net.Conn){
		"bodies": func(i int, c net.Conn) { unfinished(requestHead(i), body)(i, c) },
		"names":  func(i int, c net.Conn) { _ = write(c, requestHead(i)+"Content-Length: 1\r\n"+names+"\r\n") },
		"odd":    func(i int, c net.Conn) { _ = write(c, requestHead(i)+odd) },
		"idle":   func(int, net.Conn) {},
		"pipeline": func(i int, c net.Conn) {
			_ = write(c, strings.Repeat(requestHead(i)+"Content-Length: 0\r\n\r\n", 2000))
		},
	}
}

// sendAtOnce sends all kinds of crowds to each address at once and returns when they have arrived.
func sendAtOnce(t *testing.T, each int, addresses ...string) {
	t.Helper()
	crowd := newCrowd(t)
	done := make(chan struct{})
	forms := kinds()
	for _, address := range addresses {
		for _, send := range forms {
			go func() {
				crowd.each(each, address, send)
				done <- struct{}{}
			}()
		}
	}
	for range len(addresses) * len(forms) {
		<-done
	}
}

// ended fails the test unless the process ends by itself within the time that its settings give it.
func (p *process) ended(grace time.Duration) {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.t.Fatalf("%s has not ended %s after SIGTERM", p.name, grace)
	}
}

// Guards against crowds that are borne one by one and not together: two listeners and several kinds at once, with a reload and a
// planned stop in the middle.
func TestCrowdsAtOnceLetTheEntryNodeServeAndStop(t *testing.T) {
	const callers = 40 // of each kind at each listener
	limits := gwnode.Limits{MemoryMB: smallestMB, Descriptors: maxFiles}
	g := startGroup(t, limits, launch{}, goodUpstream(t))
	sendAtOnce(t, callers, at(g.entryIP, callersPort), at(g.entryIP, peerPort), at(g.entryIP, metricsPort), at(g.entryIP, readyPort))
	g.entry.settle()
	target{process: g.entry, mostMB: smallestMB, answers: g.ordinary}.check(t)
	assert.NilError(t, g.entry.cmd.Process.Signal(syscall.SIGHUP))
	g.configure(2, "second")
	g.serves("second")
	assert.NilError(t, g.entry.cmd.Process.Signal(syscall.SIGTERM))
	sendAtOnce(t, callers/4, at(g.entryIP, callersPort), at(g.entryIP, peerPort)) // it goes on during the stop
	g.entry.ended(graceS * time.Second)
}

var termLine = regexp.MustCompile(`(?m)^berylledge_group_term (\S+)$`)

// term returns the term of the group as a control node knows it.
func (g *group) term(ip string) (term string) {
	g.t.Helper()
	g.await("the term at "+ip, func() error { // values are brought up to date once a second
		found := termLine.FindStringSubmatch(read(at(ip, metricsPort), "/metrics"))
		if found == nil || found[1] == "0" {
			return fmt.Errorf("no term in the metrics of %s", ip)
		}
		term = found[1]
		return nil
	})
	return term
}

// Guards against control nodes that a crowd makes deaf: heartbeats must arrive, the leader must stay, and an order must be acknowledged, also
// while the crowd grows; and the node must end when it is told to.
func TestCrowdsAtOnceLetTheControlNodeLead(t *testing.T) {
	const callers = 40 // of each kind at each listener
	limits := gwnode.Limits{MemoryMB: smallestMB, Descriptors: maxFiles}
	up := goodUpstream(t)
	g := startGroup(t, limits, launch{}, up)
	before := g.term(g.ips[0])
	sequence := int64(1)
	for _, ip := range g.ips {
		sendAtOnce(t, callers, at(ip, controlPort), at(ip, directoryPort), at(ip, peerPort))
		// At the node with the crowd: a heartbeat, which the entry node acts on, and an order.
		data, err := json.Marshal(roster.Upstream{
			Service: "good", Address: up, DataCentre: "a", State: roster.Ready, StartedMs: 5, Sequence: sequence + 1,
		})
		assert.NilError(t, err)
		sequence++
		g.await("a heartbeat at "+ip, func() error { return ask(http.MethodPut, at(ip, controlPort), "/v1/traffic/upstreams/good", data) })
		g.await("an order at "+ip, func() error { return ask(http.MethodPost, at(ip, controlPort), "/v1/traffic/evacuations/a", nil) })
		g.await("its end at "+ip, func() error { return ask(http.MethodDelete, at(ip, controlPort), "/v1/traffic/evacuations/a", nil) })
		g.serves("good")
	}
	for _, p := range g.controls {
		p.settle()
		p.check(smallestMB, maxFiles)
	}
	assert.Equal(t, g.term(g.ips[0]), before, "the leader has changed beside the crowd")
	// A reload and a planned stop in the middle.
	assert.NilError(t, g.controls[0].cmd.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, g.controls[0].cmd.Process.Signal(syscall.SIGTERM))
	g.controls[0].ended(graceS * time.Second)
	g.await("an order at another control node", func() error {
		return ask(http.MethodPost, at(g.ips[1], controlPort), "/v1/traffic/evacuations/a", nil)
	})
}

// Guards against a process of `berylledge serve` that bears each crowd and not several at once, or does not stop beside them.
func TestCrowdsAtOnceLetServeAnswerAndStop(t *testing.T) {
	const callers = 40 // of each kind at each listener
	p, address := pipelines(t, map[string]http.HandlerFunc{"good": result(2)})
	host, _, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	sendAtOnce(t, callers, address, at(host, peerPort))
	p.settle()
	target{process: p, mostMB: memoryMB, answers: func() error { return submitted(address) }}.check(t)
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.ended(graceS * time.Second)
}
