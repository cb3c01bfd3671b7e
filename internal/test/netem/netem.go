// Package netem puts bit rates, delays and cuts on the connections between processes that a test runs on loopback.
//
// A Net knows in which site each address is. All traffic from one site to another shares one link, in the order in which it is
// sent. A process that dials through a Net has both directions of its connections shaped; the other side needs no change.
//
// Usage:
//
//	n := netem.New(clock.Real(), 1_000_000) // bytes a second between two sites, each way
//	n.Place("127.0.0.2", "north")
//	hub, err := peer.New(peer.Options{Dial: n.Dialer("127.0.0.2"), ...})
//	n.Cut("127.0.0.2", "127.0.0.3")  // bytes between them wait until Join
//	n.Delay("127.0.0.2", time.Second)
//	n.Sent("north", "south")         // bytes so far
package netem

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// chunkBytes is the longest run of bytes that takes the link at once, so that connections share it.
const chunkBytes = 4 << 10

// Net is the network between the processes of a test. It may be used from any goroutine.
type Net struct {
	clock clock.Clock
	rate  int64

	mu      sync.Mutex
	sites   map[string]string        // by address
	links   map[pair]*link           // between sites
	cut     map[pair]bool            // between addresses, both orders
	delays  map[string]time.Duration // by address
	changed chan struct{}            // closed when cuts change
}

type pair struct{ from, to string }

type link struct {
	free time.Time // when all that was sent so far has passed
	sent int64
}

// New returns a network whose links between sites carry a number of bytes a second each way.
func New(c clock.Clock, rate int64) *Net {
	return &Net{
		clock: c, rate: rate, sites: map[string]string{}, links: map[pair]*link{}, cut: map[pair]bool{},
		delays: map[string]time.Duration{}, changed: make(chan struct{}),
	}
}

// Place says in which site an address is.
func (n *Net) Place(ip, site string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[ip] = site
}

// Cut holds up all bytes between two addresses.
func (n *Net) Cut(a, b string) { n.setCut(a, b, true) }

// Join ends a cut. What was held up arrives.
func (n *Net) Join(a, b string) { n.setCut(a, b, false) }

func (n *Net) setCut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair{a, b}], n.cut[pair{b, a}] = on, on
	close(n.changed)
	n.changed = make(chan struct{})
}

// Delay lets all bytes to and from an address take that much longer.
func (n *Net) Delay(ip string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[ip] = d
}

// Sent returns the bytes that were sent from a site to another one.
func (n *Net) Sent(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[pair{from, to}]; l != nil {
		return l.sent
	}
	return 0
}

// Dialer returns the function that opens the connections of the process with an address.
func (n *Net) Dialer(ip string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if err := n.open(ctx, pair{ip, to}); err != nil {
			return nil, err
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, net: n, out: pair{ip, to}, in: pair{to, ip}}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		return c, nil
	}
}

// open waits until two addresses are not cut off from each other.
func (n *Net) open(ctx context.Context, p pair) error {
	for {
		n.mu.Lock()
		cut, changed := n.cut[p], n.changed
		n.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return os.ErrDeadlineExceeded
		}
	}
}

// pass waits until a number of bytes have passed from an address to another one.
func (n *Net) pass(ctx context.Context, p pair, bytes int) error {
	if err := n.open(ctx, p); err != nil {
		return err
	}
	if clock.Sleep(ctx, n.clock, n.reserve(p, bytes)) != nil {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// reserve takes the link for a number of bytes and returns how long they need.
func (n *Net) reserve(p pair, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := n.delays[p.from] + n.delays[p.to]
	sites := pair{n.sites[p.from], n.sites[p.to]}
	if sites.from == sites.to {
		return wait
	}
	l := n.links[sites]
	if l == nil {
		l = &link{}
		n.links[sites] = l
	}
	now := n.clock.Now()
	l.free = clock.Later(l.free, now).Add(time.Duration(int64(bytes) * int64(time.Second) / n.rate))
	l.sent += int64(bytes)
	return wait + l.free.Sub(now)
}

// conn is a connection both of whose directions are shaped.
type conn struct {
	net.Conn
	net     *Net
	out, in pair
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc

	mu              sync.Mutex
	readBy, writeBy time.Time
}

// until returns a context that ends at a deadline; the zero time means that there is none.
func (c *conn) until(deadline *time.Time) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	at := *deadline
	c.mu.Unlock()
	if at.IsZero() {
		return c.ctx, func() {}
	}
	return context.WithDeadline(c.ctx, at)
}

func (c *conn) Write(b []byte) (int, error) {
	ctx, cancel := c.until(&c.writeBy)
	defer cancel()
	done := 0
	for done < len(b) {
		part := b[done:min(done+chunkBytes, len(b))]
		if err := c.net.pass(ctx, c.out, len(part)); err != nil {
			return done, err
		}
		written, err := c.Conn.Write(part)
		done += written
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

func (c *conn) Read(b []byte) (int, error) {
	read, err := c.Conn.Read(b[:min(len(b), chunkBytes)])
	if read == 0 {
		return 0, err
	}
	ctx, cancel := c.until(&c.readBy)
	defer cancel()
	if held := c.net.pass(ctx, c.in, read); held != nil {
		return 0, held
	}
	return read, err
}

func (c *conn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readBy = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeBy = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}
