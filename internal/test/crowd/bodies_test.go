package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/test/loopip"
)

// Guards against bodies that are bounded each and not together: many of legal size, most of which stop a byte short of their end and
// stay open.
func TestUnfinishedBodiesShareABoundOfMemory(t *testing.T) {
	const callers = 100
	body := strings.Repeat("b", bodyBytes)
	const piece = 64 << 10
	forms := map[string]func(i int, c net.Conn){
		"whole": func(i int, c net.Conn) {
			end := bodyBytes - 1
			if i%8 == 0 {
				end++
			}
			_ = write(c, requestHead(i)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)) && write(c, body[:end])
		},
		"pieces": func(i int, c net.Conn) {
			ok := write(c, requestHead(i)+"Transfer-Encoding: chunked\r\n\r\n")
			for n := 0; ok && n < bodyBytes-piece; n += piece {
				ok = write(c, fmt.Sprintf("%x\r\n%s\r\n", piece, body[:piece]))
			}
			if ok && i%8 == 0 {
				_ = write(c, "0\r\n\r\n")
			}
		},
		"trickle": func(i int, c net.Conn) { // all grow at the same pace
			ok := write(c, requestHead(i)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes))
			for n := 0; ok && n < bodyBytes-piece; n += piece {
				ok = write(c, body[:piece])
			}
		},
	}
	for name, send := range forms {
		t.Run("callers "+name, func(t *testing.T) {
			s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t)})
			newCrowd(t).each(callers, at(s.entryIP, callersPort), send)
			s.entry.settle()
			target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
		})
	}
	// Operators and upstreams send documents of up to 8 MiB.
	t.Run("control", func(t *testing.T) {
		s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t)})
		address := at(s.controlIP, controlPort)
		newCrowd(t).each(callers, address, func(_ int, c net.Conn) {
			_ = write(c, fmt.Sprintf("PUT /v1/traffic HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 2*bodyBytes)) &&
				write(c, `{"version":2,"x":"`) && write(c, body) && write(c, body[:bodyBytes-100])
		})
		s.control.settle()
		target{process: s.control, mostMB: memoryMB, answers: func() error { return answers(address) }}.check(t)
	})
}

// Guards against memory that is held for sides that do not read: callers that leave their answers, and upstreams that do not take what
// is sent to them.
func TestSlowReadersShareABoundOfMemory(t *testing.T) {
	t.Run("callers", func(t *testing.T) {
		const (
			callers = 100
			answers = 6         // that each caller asks for, one after the other
			size    = 900 << 10 // held whole, since an answer may have to be asked for again
		)
		large := strings.Repeat("a", size)
		s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t), "large": stub(t, func(c net.Conn, r *http.Request) {
			_ = write(c, answerHead(r.Header)+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)+large)
		})})
		newCrowd(t).each(callers, at(s.entryIP, callersPort), func(i int, c net.Conn) {
			for n := range answers {
				if !write(c, fmt.Sprintf("GET /large/ HTTP/1.1\r\nHost: %s\r\nBerylledge-Request: slow%d-%d\r\n\r\n", host, i, n)) {
					return
				}
			}
		})
		s.entry.settle()
		target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
	})
	t.Run("upstreams", func(t *testing.T) {
		const callers = 60
		body := strings.Repeat("b", bodyBytes)
		s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t), "deaf": stub(t, nil)})
		newCrowd(t).each(callers, at(s.entryIP, callersPort), func(i int, c net.Conn) {
			_ = write(c, strings.Replace(requestHead(i), "/good/", "/deaf/", 1)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)) &&
				write(c, body)
		})
		s.entry.settle()
		target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
	})
}

// Guards against documents that are written to operators, readers of the directory and of metrics, and callers of `serve` who do not read,
// each with memory and a descriptor of its own for as long as they like.
func TestReadersOfDocumentsThatDoNotRead(t *testing.T) {
	const (
		readers = 300 // the process has 256 descriptors
		asked   = 40  // documents that each reader asks for, one after the other
	)
	for name, listen := range listeners() {
		t.Run(name, func(t *testing.T) {
			to := listen(t)
			if name == "control" { // a configuration of a megabyte
				to.system.put("/v1/traffic", largeConfig(2))
			}
			newCrowd(t).each(readers, to.address, func(_ int, c net.Conn) {
				shrinkWindow(c)
				_ = write(c, strings.Repeat(wellFormed(name)+"\r\n", asked))
			})
			to.process.settle()
			to.check(t)
		})
	}
}

// shrinkWindow makes the kernel take little for a side that does not read.
func shrinkWindow(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
}

// largeConfig has the route of startSystem and a megabyte of others.
func largeConfig(version uint64) conf.Config {
	c := stagedConfig(version)
	for i := range 1000 {
		r := c.Routes[0]
		r.Name, r.Prefix = fmt.Sprintf("r%d-%s", i, strings.Repeat("n", 900)), fmt.Sprintf("/r%d/", i)
		c.Routes = append(c.Routes, r)
	}
	return c
}

// stub is an upstream that answers requests without a body. With answer nil it takes connections and reads nothing.
func stub(t *testing.T, answer func(net.Conn, *http.Request)) string {
	address := loopip.Address(t)
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			if answer == nil {
				continue
			}
			wg.Go(func() {
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					answer(c, r)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return address
}

// Guards against writers of heartbeats that name a new upstream each time: every node keeps what it is told of upstreams.
func TestHeartbeatsOfManyNamesStayInMemory(t *testing.T) {
	const (
		writers = 50
		names   = 1000 // of each writer
	)
	s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t)})
	label := strings.Repeat("n", 200)
	newCrowd(t).each(writers, at(s.controlIP, controlPort), func(i int, c net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for n := range names {
			body := fmt.Sprintf(`{"service":"%s%d-%d","address":"10.9.8.7:80","data_centre":"a","state":1,"born_ms":5,"sequence":1}`, label, i, n)
			if !write(c, fmt.Sprintf("PUT /v1/traffic/upstreams/%s%d-%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", label, i, n, len(body), body)) {
				return
			}
		}
	})
	s.control.settle()
	s.entry.settle()
	target{process: s.control, mostMB: memoryMB, answers: func() error { return answers(at(s.controlIP, controlPort)) }}.check(t)
	target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
}
