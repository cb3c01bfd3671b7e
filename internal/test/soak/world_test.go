package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/proto"
)

const (
	host       = "api.example"
	beatMS     = 250
	callers    = 12
	patience   = 4 * time.Second // of a caller
	lossSlack  = 200 * time.Millisecond
	calmAfter  = 3 * time.Second // since the last unplanned fault
	mostSafe   = 3               // attempts of the safe route
	slowAnswer = 400 * time.Millisecond
	bound      = "bound" // the route with a list of regions
)

var names = proto.Own().Headers

// world is what surrounds the fleet. It checks the promises while the fleet runs.
type world struct {
	f     *fleet
	ups   []*upstream // met by the faults
	all   []*upstream // and those of the second data centre
	parts parts
	rules *rules

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	runs       map[string]int
	refused    map[string]string // what the caller was told, by request
	faults     int               // unplanned ones that last
	lastFault  time.Time
	acked      uint64 // highest version of the configuration
	violations []string
	counts     map[string]int
}

func newWorld(f *fleet, seed uint64) (*world, error) {
	w := &world{f: f, parts: f.parts, rules: newRules(), runs: map[string]int{}, refused: map[string]string{}, counts: map[string]int{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for i := range 6 {
		dataCentre := "a"
		if i >= 4 {
			dataCentre = "b"
		}
		if dataCentre == "b" && !w.parts.twoCentres() {
			break
		}
		u, err := newUpstream(w, fmt.Sprint("u", i), dataCentre, f.at(50+i, 9000), f.proxyAt(50+i, 9000))
		if err != nil {
			w.close()
			return nil, err
		}
		w.all = append(w.all, u)
		if dataCentre == "a" {
			w.ups = w.all
		}
	}
	for i := range callers {
		w.wg.Go(func() {
			w.call(rand.New(rand.NewPCG(seed, uint64(i))), rand.New(rand.NewPCG(seed, 3000+uint64(i))), fmt.Sprint("c", i))
		})
	}
	w.wg.Go(func() { w.operate(rand.New(rand.NewPCG(seed, 1000)), rand.New(rand.NewPCG(seed, 2002))) })
	w.wg.Go(func() { w.read(rand.New(rand.NewPCG(seed, 1001))) })
	return w, nil
}

func (w *world) close() {
	w.cancel()
	w.wg.Wait()
	for _, u := range w.all {
		u.close()
	}
}

// pause shapes the load and the faults; no verdict depends on it.
func (w *world) pause(d time.Duration) {
	_ = clock.Sleep(w.ctx, clock.Real(), d) // ends early with the test
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

func (w *world) violated(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// fault counts an unplanned fault while f runs.
func (w *world) fault(f func()) {
	w.mu.Lock()
	w.faults++
	w.mu.Unlock()
	f()
	w.mu.Lock()
	w.faults--
	w.lastFault = time.Now()
	w.mu.Unlock()
}

// calm reports whether no unplanned fault was there since a time and for a while before.
func (w *world) calm(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults == 0 && since.Sub(w.lastFault) > calmAfter
}

func (w *world) config(version uint64, regions []string) *conf.Config {
	route := func(name string, kind conf.Kind, attempts int) conf.Route {
		return conf.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: 2500, Target: 500, Attempts: attempts,
			Resume: kind == conf.Stream, Split: []conf.Weight{{Service: "desk", Weight: 1}},
		}
	}
	c := &conf.Config{
		Version: version, Services: []conf.Service{{Name: "desk"}}, Limits: conf.Limits{BodyBytes: 1 << 16, HeaderBytes: 8192},
		Routes: []conf.Route{route("once", conf.Unsafe, 2), route("safe", conf.Safe, mostSafe), route("stream", conf.Stream, 3)},
	}
	if w.parts.lists {
		r := route(bound, conf.Safe, mostSafe)
		r.Regions = regions
		c.Routes = append(c.Routes, r)
	}
	if w.parts.cold {
		c.Services[0].ColdTime, c.Services[0].ColdPerSecond = conf.MS(coldFor.Milliseconds()), coldPerSecond
	}
	return c
}

// ask sends a request to a control node, past the proxies.
func (w *world) ask(method string, node int, path string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	port := controlPort
	if strings.HasPrefix(path, proto.Own().Paths.Entries) {
		port = directoryPort
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.f.at(node, port)+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// operate changes the configuration. A change whose answer was lost is sent again, to another node.
func (w *world) operate(rng, lists *rand.Rand) {
	var regions []string
	for version := uint64(1); w.ctx.Err() == nil; version++ {
		next := drawList(lists, regions)
		if w.parts.lists && !slices.Equal(next, regions) {
			w.count("lists")
		}
		regions = next
		acked := w.rules.change(regions)
		for w.ctx.Err() == nil {
			if status, _ := w.ask(http.MethodPut, 1+rng.IntN(controlNodes), "/v1/traffic", w.config(version, regions)); status == http.StatusOK {
				acked()
				w.mu.Lock()
				w.acked = version
				w.counts["changes"]++
				w.mu.Unlock()
				break
			}
			w.pause(100 * time.Millisecond)
		}
		w.pause(time.Duration(300+rng.IntN(600)) * time.Millisecond)
	}
}

// version returns the version that a control node tells; 0: it tells none.
func (w *world) version(node int) uint64 {
	status, body := w.ask(http.MethodGet, node, "/v1/traffic", nil)
	var c conf.Config
	if status != http.StatusOK || json.Unmarshal(body, &c) != nil {
		return 0
	}
	return c.Version
}

func (w *world) highest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acked
}

// read checks that no acknowledged change is lost and that no read is stale.
func (w *world) read(rng *rand.Rand) {
	for w.ctx.Err() == nil {
		node, acked := 1+rng.IntN(controlNodes), w.highest()
		if got := w.version(node); got != 0 {
			w.count("reads")
			if got < acked {
				w.violated("control node %d told version %d after %d was acknowledged", node, got, acked)
			}
		}
		w.pause(50 * time.Millisecond)
	}
}

// caller keeps its connection to one entry node until it ends.
type caller struct {
	w      *world
	rng    *rand.Rand
	extra  *rand.Rand // for what only some seeds do
	name   string
	number int
	entry  int // 0: none
	client *http.Client
}

func (w *world) call(rng, extra *rand.Rand, name string) {
	c := &caller{w: w, rng: rng, extra: extra, name: name}
	for w.ctx.Err() == nil {
		if c.entry == 0 && !c.choose() {
			w.pause(100 * time.Millisecond)
			continue
		}
		c.request()
		w.pause(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
	c.leave()
}

func (c *caller) leave() {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.entry, c.client = 0, nil
}

// choose asks a control node for entry nodes and takes one of them.
func (c *caller) choose() bool {
	path := proto.Own().Paths.Entries + "?data_centre=a&region=north"
	status, body := c.w.ask(http.MethodGet, 1+c.rng.IntN(controlNodes), path, nil)
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &reply) != nil || len(reply.Addresses) == 0 {
		return false
	}
	address := reply.Addresses[c.rng.IntN(len(reply.Addresses))]
	for _, n := range numbers(firstEntry, entryNodes) {
		if c.w.f.at(n, callersPort) == address {
			c.entry = n
		}
	}
	through := c.w.f.proxyAt(c.entry, callersPort)
	c.client = &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", through)
		},
	}}
	return c.entry != 0
}

// refusals are the statuses that promise that a request has not run and will not.
var refusals = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true,
	http.StatusMisdirectedRequest: true,
}

func (c *caller) request() {
	w := c.w
	c.number++
	id := fmt.Sprintf("%s-%d", c.name, c.number)
	kind := []string{"once", "once", "safe", "stream"}[c.rng.IntN(4)]
	if w.parts.lists && c.extra.IntN(3) == 0 {
		kind = bound
	}
	w.rules.sent(id, c.entry)
	body := strings.Repeat(id+" ", 1+c.rng.IntN(200))
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.f.at(c.entry, callersPort)+"/"+kind+"/"+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(names.RequestID, id)
	began := time.Now()
	resp, err := c.client.Do(r)
	if err != nil {
		c.broken(id, began, err)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.broken(id, began, err)
		return
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		w.count("served " + kind)
		if want := wanted(kind, id, body); string(text) != want || resp.Header.Get(names.RequestID) != id {
			w.violated("%s: the answer of %s is %q, not %q", id, resp.Header.Get(names.RequestID), text, want)
		}
	case refusals[resp.StatusCode]:
		w.count("refused")
		w.mu.Lock()
		w.refused[id] = fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(text)))
		w.mu.Unlock()
	default:
		w.count(fmt.Sprint("status ", resp.StatusCode))
	}
	if resp.Close {
		c.leave()
	}
}

// broken takes a request without a whole answer. Around planned stops alone none may be cut off that ran, or that the node
// had for a while.
func (c *caller) broken(id string, began time.Time, err error) {
	w := c.w
	c.leave()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || w.ctx.Err() != nil {
		return
	}
	w.count("broken")
	w.mu.Lock()
	ran := w.runs[id] > 0
	w.mu.Unlock()
	if w.calm(began) && (ran || time.Since(began) > lossSlack) {
		w.violated("%s was cut off after %s without an unplanned fault, ran=%v: %v", id, time.Since(began), ran, err)
	}
}

func digest(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:4])
}

const streamEvents = 6

func eventText(id string, number int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number, id) }

// wanted is the one right answer to a request.
func wanted(kind, id, body string) string {
	if kind != "stream" {
		return id + " " + digest(body)
	}
	out := ""
	for n := range streamEvents {
		out += eventText(id, n+1)
	}
	return out
}

// check looks at what can be judged at the end only.
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, told := range w.refused {
		if w.runs[id] > 0 {
			w.violations = append(w.violations, fmt.Sprintf("%s was refused as not run (%s) and ran %d times", id, told, w.runs[id]))
		}
	}
}
