package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// shortLines returns header lines with names of three letters, of which no two are equal, and no value: parsed into strings and maps
// they take many times their size.
func shortLines(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := range n {
		b.WriteByte(letters[i/26/26%26])
		b.WriteByte(letters[i/26%26])
		b.WriteByte(letters[i%26])
		b.WriteString(":\r\n")
	}
	return b.String()
}

func requestHead(i int) string {
	return fmt.Sprintf("POST /good/ HTTP/1.1\r\nHost: %s\r\nBerylledge-Request: crowd%d\r\n", host, i)
}

// Guards against heads of legal size that fill the memory because each of their lines is kept as strings and an entry of a map. The
// request stays, since its body of one byte does not arrive.
func TestManyHeaderLinesStayInMemory(t *testing.T) {
	const (
		callers = 300
		lines   = 5200 // of three bytes of name: within 16 KiB as names and values are counted
	)
	head := shortLines(lines)
	for name, listen := range listeners() {
		t.Run(name, func(t *testing.T) {
			to := listen(t)
			newCrowd(t).each(callers, to.address, func(i int, c net.Conn) {
				_ = write(c, requestHead(i)+"Content-Length: 1\r\n"+head+"\r\n")
			})
			to.process.settle()
			to.check(t)
		})
	}
}

// check fails unless the process is within its limits and answers an ordinary request beside the crowd.
func (l target) check(t *testing.T) {
	t.Helper()
	l.process.check(l.mostMB, maxFiles)
	(&system{t: t}).await("an ordinary request beside the crowd", l.answers)
	l.process.check(l.mostMB, maxFiles)
}

// Guards against heads over the limit or without end that are kept in memory for as long as they last.
func TestHeadsWithoutEndStayInMemory(t *testing.T) {
	const callers = 150
	forms := map[string]string{
		"lines": strings.Repeat(shortLines(17_576), 9),                  // 949 kB, of 17,576 names
		"line":  "x: " + strings.Repeat("a", 950_000),                   // one value
		"odd":   strings.Repeat("x:\r\n y\r\n\tz:\r\n", 68_000) + "x: ", // continued lines
	}
	for name, listen := range listeners() {
		for form, head := range forms {
			t.Run(name+" "+form, func(t *testing.T) {
				to := listen(t)
				newCrowd(t).each(callers, to.address, func(i int, c net.Conn) { _ = write(c, requestHead(i)+head) })
				to.process.settle()
				to.check(t)
			})
		}
	}
}

// Guards against empty lines that are read for ever, before the first request of a connection or after a request with a body, where
// net/http passes over some.
func TestEmptyLinesBeforeARequestEnd(t *testing.T) {
	const (
		callers = 60
		most    = 64 << 20 // that a caller sends at most before the test gives up
	)
	for name, listen := range listeners() {
		t.Run(name, func(t *testing.T) {
			to := listen(t)
			newCrowd(t).each(callers, to.address, func(i int, c net.Conn) {
				go func() { _, _ = io.Copy(io.Discard, c) }() // the answers, until the connection ends
				if i%2 == 1 && !write(c, requestHead(i)+"Content-Length: 1\r\n\r\nx") {
					return
				}
				empty := strings.Repeat("\r\n", 8<<10)
				for range most / len(empty) {
					if !write(c, empty) {
						return // closed, as it must be
					}
				}
				t.Errorf("a caller could send %d bytes of empty lines", most)
			})
			to.check(t)
		})
	}
}

// Guards against limits that refuse a caller inside the configured limits: the largest head and the largest body at once, on the
// smallest VM, in calm.
func TestLargestLegalRequestIsServedBySmallestVM(t *testing.T) {
	s := startSystem(t, smallestMB, map[string]string{"good": goodUpstream(t)})
	var head strings.Builder
	size := len("/good/") + len(host) + len("Berylledge-Request") + len("crowd0") + len("Content-Length") + len(fmt.Sprint(bodyBytes))
	for i := 0; ; i++ {
		name, value := fmt.Sprintf("X-Ordinary-%03d", i), strings.Repeat("v", 20)
		if size+len(name)+len(value) > headBytes {
			break
		}
		size += len(name) + len(value)
		head.WriteString(name + ": " + value + "\r\n")
	}
	for range 3 {
		c, err := net.Dial("tcp", at(s.entryIP, callersPort))
		assert.NilError(t, err)
		newCrowd(t).conns = []net.Conn{c}
		assert.Assert(t, write(c, requestHead(0)+head.String()+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)))
		assert.Assert(t, write(c, strings.Repeat("b", bodyBytes)))
		buffer := make([]byte, 64)
		n, err := io.ReadAtLeast(c, buffer, len("HTTP/1.1 200"))
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200"), "%s", buffer[:n])
	}
	s.entry.check(smallestMB, maxFiles)
}
