package gwnode

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/test/rawup"
)

// order sends an order (POST) or a revocation (DELETE) for a data centre to a control node.
func (f *fleet) order(node int, method, dataCentre string) int {
	status, _ := f.do(method, "http://"+f.at(node, controlPort)+"/v1/traffic/evacuations/"+dataCentre, nil)
	return status
}

// acknowledged repeats an order until a control node acknowledges it.
func (f *fleet) acknowledged(node int, method, dataCentre string) {
	f.t.Helper()
	f.eventually(method+" is acknowledged", func() bool { return f.order(node, method, dataCentre) == 200 })
}

// evacuates reports whether a control node holds exactly these data centres as evacuated.
func (f *fleet) evacuates(node int, want ...string) func() bool {
	return func() bool { return fmt.Sprint(f.nodes[node].control.Evacuations().DataCentres) == fmt.Sprint(want) }
}

// counted makes the fleet's upstream count its requests.
func (f *fleet) counted() *atomic.Int32 {
	requests := &atomic.Int32{}
	f.up = countingUpstream(f.t, requests, nil)
	return requests
}

// countingUpstream answers 200 after release is closed; nil: at once.
func countingUpstream(t *testing.T, requests *atomic.Int32, release chan bool) *rawup.Upstream {
	return rawup.New(t, func(c *rawup.Conn, r *rawup.Request) {
		requests.Add(1)
		if release != nil {
			<-release
		}
		c.WriteString(fmt.Sprintf("HTTP/1.1 200 OK\r\nBerylledge-Request: %s\r\nBerylledge-Signature: s\r\nContent-Length: 2\r\n\r\nok",
			r.Header.Get("Berylledge-Request")))
	})
}

// Guards against an acknowledged evacuation that a restart of all control nodes forgets: entry nodes would send work to upstreams that
// are about to lose their power. Guards as well against a revocation that a restart undoes, and against an entry node that serves
// before it knows the evacuation.
func TestEvacuationSurvivesARestartOfAllControlNodes(t *testing.T) {
	f := newFleet(t, 91)
	requests := f.counted()
	for n := 1; n <= 3; n++ {
		f.start(n, true)
	}
	f.put(1, f.config(5, "/x/"))
	f.start(11, true)
	f.eventually("the upstream is registered", func() bool { return f.beat(1, roster.Ready, 1) == 200 })
	f.eventually("the entry node serves", func() bool { return f.request(11, "/x/") == 200 })
	f.acknowledged(1, "POST", "a")
	f.restartControl()
	for n := 1; n <= 3; n++ {
		f.eventually("each control node knows the evacuation", f.evacuates(n, "a"))
	}
	f.eventually("the entry node sends the upstream nothing", func() bool { return f.request(11, "/x/") == 503 })
	f.eventually("the upstream is registered again", func() bool { return f.beat(2, roster.Ready, 2) == 200 })
	before := requests.Load()
	p := f.start(12, false)
	f.eventually("a new entry node knows the upstream", func() bool {
		assert.Equal(t, f.request(12, "/x/"), 503)
		return p.isReady() && len(p.poller.View().Services) == 1
	})
	assert.Equal(t, f.request(12, "/x/"), 503)
	assert.Equal(t, requests.Load(), before, "requests at the evacuated upstream")

	f.acknowledged(3, "DELETE", "a")
	f.restartControl()
	for n := 1; n <= 3; n++ {
		f.eventually("each control node knows the revocation", f.evacuates(n))
	}
	f.eventually("the upstream is registered again", func() bool { return f.beat(2, roster.Ready, 3) == 200 })
	for _, n := range []int{11, 12} {
		f.eventually("each entry node serves again", func() bool { return f.request(n, "/x/") == 200 })
	}
}

// Guards against work that reaches an upstream of an evacuated data centre: from the nearest entry node, after a heartbeat that says
// ready, or while no other data centre can serve. Guards as well against cutting off work in progress there.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	f := newFleet(t, 92)
	f.place = map[int]poller.Place{12: {DataCentre: "b", Region: "north"}}
	answers := make(chan bool)
	release := sync.OnceFunc(func() { close(answers) })
	var inA, inB atomic.Int32
	a, b := countingUpstream(t, &inA, answers), countingUpstream(t, &inB, nil)
	t.Cleanup(release) // before the upstream's own, which waits for its answers
	beat := func(id, dataCentre, address string, sequence int64) bool {
		status, _ := f.do("PUT", "http://"+f.at(1, controlPort)+"/v1/traffic/upstreams/"+id, roster.Upstream{
			Service: "desk", Address: address, DataCentre: dataCentre, State: roster.Ready, StartedMs: 5, Sequence: sequence,
		})
		return status == 200
	}
	f.seeds = f.seeds[:1]
	f.start(1, true)
	f.put(1, f.config(5, "/x/"))
	p := f.start(11, true)
	f.eventually("the upstream is registered", func() bool { return beat("u1", "a", a.Address, 1) })
	f.eventually("the entry node knows it", func() bool { return len(p.poller.View().Services["desk"]) == 1 })
	underWay := make(chan int)
	go func() { underWay <- f.request(11, "/x/") }()
	f.eventually("a request is in progress there", func() bool { return inA.Load() == 1 })

	f.acknowledged(1, "POST", "a")
	f.eventually("the evacuation is in force", func() bool { return p.poller.View().Evacuations.Contains("a") })
	assert.Equal(t, f.request(11, "/x/"), 503, "no other data centre can serve")
	f.eventually("a heartbeat is acknowledged", func() bool { return beat("u1", "a", a.Address, 2) })
	f.eventually("an upstream of another data centre serves", func() bool {
		return beat("u2", "b", b.Address, 1) && f.request(11, "/x/") == 200
	})
	for range 10 {
		assert.Equal(t, f.request(11, "/x/"), 200)
	}
	assert.Equal(t, inA.Load(), int32(1))
	release()
	assert.Equal(t, <-underWay, 200, "the request in progress ends as usual")

	f.acknowledged(1, "DELETE", "a")
	f.eventually("the nearest upstream serves again", func() bool { return f.request(11, "/x/") == 200 && inA.Load() > 1 })
}

// Guards against orders that are taken for data centres that do not exist, and against routes that miss the method.
func TestEvacuationOfAnUnknownDataCentreIsRefused(t *testing.T) {
	f := newFleet(t, 93)
	f.startSmallest()
	for _, method := range []string{"POST", "DELETE"} {
		assert.Equal(t, f.order(1, method, "c"), 404)
		assert.Equal(t, f.order(1, method, "a%20b"), 400)
		f.acknowledged(1, method, "a")
	}
	assert.Equal(t, f.nodes[1].control.Evacuations().Contains("c"), false)
}
