package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// proxy passes connections to an address on and harms them.
type proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	delay   time.Duration    // of each piece of data, both ways
	held    [2]chan struct{} // by direction; data waits until the channel is closed, nil: it passes
	conns   map[net.Conn]bool
	stopped bool
	harmed  time.Time // end of the last hold or delay
}

// direction of data.
const (
	toTarget = iota
	fromTarget
)

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) close() {
	p.cancel()
	p.heal()
	p.mu.Lock()
	p.stopped = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.pass(c) })
	}
}

// track keeps a connection until it is closed; false means that the proxy has ended.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *proxy) pass(in net.Conn) {
	if !p.track(in) {
		return
	}
	defer p.drop(in)
	p.wait(toTarget) // a connection through a cut is not made
	out, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		reset(in) // as a closed port does
		return
	}
	if !p.track(out) {
		return
	}
	defer p.drop(out)
	p.wg.Go(func() { p.copy(out, in, toTarget) })
	p.copy(in, out, fromTarget)
}

func (p *proxy) copy(to, from net.Conn, way int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.wait(way)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			p.wait(way)
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// wait holds data as long as the direction is cut, and delays it.
func (p *proxy) wait(way int) {
	for {
		p.mu.Lock()
		held, delay := p.held[way], p.delay
		p.mu.Unlock()
		if held != nil {
			<-held
			continue
		}
		if delay > 0 {
			_ = clock.Sleep(p.ctx, clock.Real(), delay) // ends early with the proxy
		}
		return
	}
}

// hold cuts directions without a sign; TCP sends what was held once they are healed.
func (p *proxy) hold(ways ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, way := range ways {
		if p.held[way] == nil {
			p.held[way] = make(chan struct{})
		}
	}
}

func (p *proxy) slow(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.harmed = delay, time.Now()
}

// lastHarm returns the end of the last hold or delay, or the time if there is one.
func (p *proxy) lastHarm() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delay > 0 || p.held[toTarget] != nil || p.held[fromTarget] != nil {
		return time.Now()
	}
	return p.harmed
}

// resetAll ends all connections without a farewell.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// heal ends all faults.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.harmed = 0, time.Now()
	for way, c := range p.held {
		if c != nil {
			close(c)
			p.held[way] = nil
		}
	}
}
