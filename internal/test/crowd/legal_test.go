package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wellFormed is the head of a request that each listener answers without an error, by the name of the listener. The line that ends it is
// left out.
func wellFormed(listener string) string {
	const upgrade = "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AQIDBAUGBwgJCgsMDQ4PEA==\r\n"
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" }
	switch listener {
	case "callers":
		return get("/good/") + "Berylledge-Request: legal\r\n"
	case "ready":
		return get("/v1/ready")
	case "control":
		return get("/v1/traffic")
	case "directory":
		return get("/v1/traffic/entries?data_centre=a&region=north&host=" + host)
	case "peer", "serve peer":
		return get("/v1/peer") + upgrade
	}
	return get("/metrics")
}

// status sends a request on a connection of its own and returns the status of its answer.
func status(t *testing.T, address, request string) int {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	assert.Assert(t, write(c, request), "the listener took a part of the request only")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	return resp.StatusCode
}

// Guards against a limit that a caller inside the configured limits meets: header_bytes counts names and values, and nothing in the
// pages limits the lines. In calm, each such head is answered as one with few lines is.
func TestLegalHeadsAreServedWhateverTheirLines(t *testing.T) {
	oneName := func(n int) string { return strings.Repeat("a:\r\n", n) }
	heads := map[string]string{
		"1900 names": shortLines(1900), "3700 names": shortLines(3700), "3000 lines": oneName(3000), "16000 lines": oneName(16_000),
	}
	for name, listen := range listeners() {
		t.Run(name, func(t *testing.T) {
			to := listen(t)
			few := status(t, to.address, wellFormed(name)+"\r\n")
			assert.Assert(t, few < http.StatusBadRequest, "%d", few)
			for form, lines := range heads {
				assert.Check(t, status(t, to.address, wellFormed(name)+lines+"\r\n") == few, "%s", form)
			}
			to.check(t)
		})
	}
}

// Guards against a refusal of empty lines before the first request of a connection, of which RFC 9112, section 2.2, wants at least one
// to be passed over. TestEmptyLinesBeforeARequestEnd has the lines without end.
func TestEmptyLinesBeforeARequestArePassedOver(t *testing.T) {
	for name, listen := range listeners() {
		t.Run(name, func(t *testing.T) {
			to := listen(t)
			few := status(t, to.address, wellFormed(name)+"\r\n")
			for _, empty := range []string{"\r\n", "\r\n\r\n", "\n\n"} {
				assert.Check(t, status(t, to.address, empty+wellFormed(name)+"\r\n") == few, fmt.Sprintf("%q", empty))
			}
		})
	}
}
