package proto

import (
	"math"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/gate/roster"
)

// Limits of what upstreams say of themselves. Another writer may send a heartbeat that describes no upstream; one that is
// accepted reaches every node.
const (
	maxNameBytes = 256
	maxSlots     = 1 << 20
	maxInteger   = 1 << 53 // larger integers are not exact in every JSON implementation
	maxColdMs    = 10 * 60 * 1000
)

// ValidateHeartbeat returns an error if the heartbeat does not describe a usable upstream.
func ValidateHeartbeat(u roster.Upstream) error {
	if err := ValidateID(u.ID); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(u.Address)
	switch {
	case !isName(u.Service):
		return errors.New("the service must have 1 to 256 bytes, without control characters")
	case !isName(u.DataCentre):
		return errors.New("the data centre must have 1 to 256 bytes, without control characters")
	case err != nil:
		return errors.Wrap(err, "the address must be an IP number and a port")
	case address.Port() == 0:
		return errors.New("the port of the address must not be 0")
	case u.State != roster.Ready && u.State != roster.Draining:
		return errors.New("the state must be ready or draining")
	case u.Slots < 0 || u.Slots > maxSlots:
		return errors.Newf("the slots must be 0 to %d", maxSlots)
	case !isExact(u.StartedMs) || !isExact(u.Sequence):
		return errors.New("the start and the sequence must be 0 to 2^53")
	case u.ColdMs < 0 || u.ColdMs > maxColdMs:
		return errors.New("the cold time must be 0 to 10 minutes")
	}
	return nil
}

// isName reports whether a name can be logged and compared in any process.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

// ColdMs returns the milliseconds for which an upstream says that it stays cold, or -1 if the value is not allowed. Parts of a
// millisecond count as a whole one.
func ColdMs(ms float64) int64 {
	if !(ms >= 0 && ms <= maxColdMs) { // also false if it is not a number
		return -1
	}
	return int64(math.Ceil(ms))
}

func isExact(n int64) bool { return n >= 0 && n <= maxInteger }

// ValidateID returns an error if an upstream's id cannot be sent in a header.
func ValidateID(id string) error {
	if !isToken(id) {
		return errors.New("the id must have 1 to 256 visible ASCII characters")
	}
	return nil
}

// ValidHandle reports whether the handle of a result can be sent in a list in a header.
func ValidHandle(handle string) bool { return isToken(handle) && !strings.Contains(handle, ",") }

func isToken(s string) bool {
	isHidden := func(r rune) bool { return r <= ' ' || r > '~' }
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, isHidden)
}
