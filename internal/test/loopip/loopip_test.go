package loopip_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/test/loopip"
)

// Guards against a node that does not start because its address was given to another node of the test: addresses were free ports
// that had been closed again, so that a second call, or a listener without a port, could get the same one.
func TestAddressesAreGivenOnce(t *testing.T) {
	const calls, each, others = 20, 3, 500
	seen := map[string]bool{}
	for range calls {
		for _, a := range loopip.Addresses(t, each) {
			assert.Assert(t, !seen[a], "%s was given twice", a)
			seen[a] = true
		}
	}
	for range others {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		assert.Assert(t, !seen[l.Addr().String()])
	}
	for a := range seen {
		l, err := net.Listen("tcp", a)
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
	}
}

// Guards against IP numbers that are used up: those of a test that has ended are given again.
func TestAddressesOfEndedTestsAreGivenAgain(t *testing.T) {
	var first, second string
	t.Run("first", func(t *testing.T) { first = loopip.New(t) })
	t.Run("second", func(t *testing.T) { second = loopip.New(t) })
	assert.Equal(t, first, second)
}
