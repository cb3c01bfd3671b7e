// Package loopip gives each test loopback IP numbers of its own. A test that has to know the address of a process before that
// starts cannot ask the kernel for a free port and close it: until the process listens there, the kernel may give the same port to
// any other listener or connection. Ports of an IP number that nobody else uses stay free.
//
// Usage:
//
//	address := loopip.Address(t) // 127.77.0.12:7001
//	start(t, "--peer-listen", address)
package loopip

import (
	"fmt"
	"net"
	"testing"
)

const (
	network     = "127.77"
	hostNumbers = 250 // in one network of the third number
	numbers     = 40 * hostNumbers
	// reservePort is held while an IP number is in use, so that test processes that run beside each other take different ones.
	reservePort = 7000
	servePort   = 7001
)

// New returns an IP number that no other test uses before the end of this one. The ports of package loopip are below those that the
// kernel chooses by itself.
func New(t testing.TB) string {
	t.Helper()
	for i := range numbers {
		ip := fmt.Sprintf("%s.%d.%d", network, i/hostNumbers, 1+i%hostNumbers)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, reservePort))
		if err != nil {
			continue // held by another test
		}
		t.Cleanup(func() {
			if err := l.Close(); err != nil {
				t.Errorf("release %s: %v", ip, err)
			}
		})
		return ip
	}
	t.Fatalf("none of %d IP numbers of %s is free", numbers, network)
	return ""
}

// Address returns an address at which nothing listens, and nothing but the test will.
func Address(t testing.TB) string {
	t.Helper()
	return fmt.Sprintf("%s:%d", New(t), servePort)
}

// Addresses returns n addresses as Address does, each with an IP number of its own.
func Addresses(t testing.TB, n int) []string {
	t.Helper()
	out := make([]string, n)
	for i := range out {
		out[i] = Address(t)
	}
	return out
}
