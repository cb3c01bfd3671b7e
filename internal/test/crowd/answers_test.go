package crowd

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against heads of answers that are bounded each and not together: upstreams in trouble may answer all requests with very many
// lines, and keep their answers open.
func TestHeadsOfAnswersShareABoundOfMemory(t *testing.T) {
	const callers = 100
	head := strings.Repeat(shortLines(17_576), 3)[:240_000] // whole lines, below the bound of one head
	s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t), "heads": stub(t, func(c net.Conn, r *http.Request) {
		_ = write(c, answerHead(r.Header)+"Content-Length: 2\r\n"+head+"\r\no")
	})})
	newCrowd(t).each(callers, at(s.entryIP, callersPort), func(i int, c net.Conn) {
		_ = write(c, fmt.Sprintf("GET /heads/ HTTP/1.1\r\nHost: %s\r\nBerylledge-Request: heads%d\r\n\r\n", host, i))
	})
	s.entry.settle()
	target{process: s.entry, mostMB: memoryMB, answers: s.ordinary}.check(t)
}

// Guards against one upstream that takes connections and reads nothing: what waits for it must leave room for the large bodies of others.
func TestUpstreamThatDoesNotReadLeavesRoomForOthers(t *testing.T) {
	const callers = 60
	body := strings.Repeat("b", bodyBytes)
	s := startSystem(t, memoryMB, map[string]string{"good": goodUpstream(t), "deaf": stub(t, nil)})
	newCrowd(t).each(callers, at(s.entryIP, callersPort), func(i int, c net.Conn) {
		_ = write(c, strings.Replace(requestHead(i), "/good/", "/deaf/", 1)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)) && write(c, body)
	})
	s.entry.settle()
	target{process: s.entry, mostMB: memoryMB, answers: func() error {
		return ask(http.MethodPost, at(s.entryIP, callersPort), "/good/", []byte(body))
	}}.check(t)
}
