package rawup

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// AwaitRead waits until the other side, a process of this machine, has read all bytes that were written to an IPv4 connection, so that a
// reset that follows discards none of them. It returns at once if the connection has ended.
func AwaitRead(t testing.TB, c net.Conn) {
	t.Helper()
	near, far := procAddress(c.LocalAddr()), procAddress(c.RemoteAddr())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return poll.Error(err)
		}
		for line := range strings.Lines(string(table)) {
			f := strings.Fields(line) // number, local and remote address, state, bytes not acknowledged and not read
			if len(f) < 5 {
				continue
			}
			unacknowledged, unread, _ := strings.Cut(f[4], ":")
			if f[1] == near && f[2] == far && unacknowledged != noBytes || f[1] == far && f[2] == near && unread != noBytes {
				return poll.Continue("%s of %s to %s", f[4], f[1], f[2])
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

const noBytes = "00000000"

// procAddress returns an address as /proc/net/tcp has it: the IP number in the byte order of the machine.
func procAddress(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}
