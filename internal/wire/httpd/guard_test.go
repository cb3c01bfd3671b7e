package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

const patience = 20 * time.Second

// refusals records what a server reports.
type refusals struct {
	mu     sync.Mutex
	limits []string
}

func (l *refusals) add(r httpd.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = append(l.limits, r.Limit)
}

func (l *refusals) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.limits...)
}

func (l *refusals) await(t *testing.T, limit string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, got := range l.list() {
			if got == limit {
				return poll.Success()
			}
		}
		return poll.Continue("%v", l.list())
	}, poll.WithTimeout(patience))
}

// echoServer answers each POST with the length of its body.
func echoServer(t *testing.T, a *memory.Account) (*httpd.Server, *refusals) {
	t.Helper()
	told := &refusals{}
	s, err := httpd.New(httpd.Options{Name: "t", Address: "127.0.0.1:0", Account: a, Refused: told.add}, []rest.Route{{
		Method: http.MethodPost, Path: "/",
		Handler: func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			_, _ = fmt.Fprint(w, len(body))
		},
	}})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, told
}

type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func dialServer(t *testing.T, s *httpd.Server) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	return &client{c, t, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// answer reads an answer and returns its status and body.
func (c *client) answer() (int, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode, string(body)
}

func post(lines, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n%s", len(body), lines, body)
}

// Guards against lines of a body that count as header lines, also of requests that are sent ahead on one connection, and against
// counts that go on from one request to the next.
func TestBodiesAreNoHeaderLines(t *testing.T) {
	for name, account := range map[string]*memory.Account{
		"no account": nil, "account": memory.New(memory.Options{Clock: clock.Real(), Bytes: 8 << 20, Descriptors: 100}),
	} {
		s, told := echoServer(t, account)
		c := dialServer(t, s)
		request := post(strings.Repeat("A: b\r\n", 300), strings.Repeat("\n", 30_000))
		go func() { _, _ = io.WriteString(c, strings.Repeat(request, 10)) }()
		for range 10 {
			status, body := c.answer()
			assert.Equal(t, status, http.StatusOK, name)
			assert.Equal(t, body, "30000", name)
		}
		assert.Equal(t, len(told.list()), 0, "%v", told.list())
	}
}

// Guards against heads whose lines take many times their size once they are parsed.
func TestHeaderLinesAreBounded(t *testing.T) {
	s, told := echoServer(t, nil)
	c := dialServer(t, s)
	c.send(post(strings.Repeat("Ab:\r\n", 900), ""))
	status, _ := c.answer()
	assert.Equal(t, status, http.StatusOK)
	c.send(post(strings.Repeat("Ab:\r\n", 2500), ""))
	status, _ = c.answer()
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	told.await(t, httpd.LimitHeadLines)
}

// Guards against heads that are bounded each and not together, and against an account that keeps what ended.
func TestHeadsShareTheAccount(t *testing.T) {
	a := memory.New(memory.Options{Clock: clock.Real(), Bytes: 600 << 10, Descriptors: 100})
	s, told := echoServer(t, a)
	open := "POST / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("Ab:\r\n", 800) // 250 kB as counted
	var conns []*client
	for range 4 {
		c := dialServer(t, s)
		c.send(open)
		conns = append(conns, c)
	}
	told.await(t, httpd.LimitHeads)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := a.Usage(); u.Held > 600<<10 { // a head that yields counts until its connection has ended
			return poll.Continue("%+v", u)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
	for _, c := range conns {
		_ = c.Close()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := a.Usage(); u.Held > 0 || u.Open > 0 {
			return poll.Continue("%+v", u)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
	c := dialServer(t, s)
	c.send(post("", "in"))
	status, _ := c.answer()
	assert.Equal(t, status, http.StatusOK)
}

// Guards against bodies that are bounded each and not together, and against an answer of the handler that takes a cut body for a bad
// one.
func TestBodiesShareTheAccount(t *testing.T) {
	a := memory.New(memory.Options{Clock: clock.Real(), Bytes: 2 << 20, Descriptors: 100})
	s, told := echoServer(t, a)
	c := dialServer(t, s)
	c.send(post("", strings.Repeat("b", 1<<20))) // counts twice
	status, _ := c.answer()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	told.await(t, httpd.LimitBodies)
	unfinished := dialServer(t, s)
	unfinished.send(post("", strings.Repeat("b", 700<<10))[:600<<10])
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := a.Usage(); u.Held < 1100<<10 {
			return poll.Continue("%+v", u)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
	other := dialServer(t, s)
	other.send(post("", strings.Repeat("b", 400<<10)))
	status, body := other.answer()
	assert.Equal(t, status, http.StatusOK, "the larger one yields")
	assert.Equal(t, body, fmt.Sprint(400<<10))
	status, _ = unfinished.answer()
	assert.Equal(t, status, http.StatusRequestTimeout)
	told.await(t, httpd.LimitBody)
}

// Guards against more connections than the VM has descriptors.
func TestConnectionsShareTheDescriptors(t *testing.T) {
	a := memory.New(memory.Options{Clock: clock.Real(), Bytes: 8 << 20, Descriptors: 40})
	s, told := echoServer(t, a)
	for range 40 {
		dialServer(t, s)
	}
	told.await(t, httpd.LimitIdle)
	assert.Assert(t, a.Usage().Open <= 24)
	c := dialServer(t, s)
	c.send(post("", "in"))
	status, _ := c.answer()
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a limit on the lines of heads where the account has memory for them.
func TestLinesAreServedWhileTheAccountHasRoom(t *testing.T) {
	a := memory.New(memory.Options{Clock: clock.Real(), Bytes: 4 << 20, Descriptors: 100})
	s, told := echoServer(t, a)
	c := dialServer(t, s)
	c.send(post(strings.Repeat("a:\r\n", 8000), ""))
	status, _ := c.answer()
	assert.Equal(t, status, http.StatusOK, "%v", told.list())
	c.send(post(strings.Repeat("a:\r\n", 16_000), "")) // 5 MB as counted
	status, _ = c.answer()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	told.await(t, httpd.LimitHeads)
}

// Guards against requests whose small body never arrives: each keeps a descriptor and its head. They yield, and are told that they have
// not run.
func TestConnectionsThatWaitForABodyYield(t *testing.T) {
	a := memory.New(memory.Options{Clock: clock.Real(), Bytes: 8 << 20, Descriptors: 40})
	s, told := echoServer(t, a)
	first := dialServer(t, s)
	first.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n")
	for range 40 {
		dialServer(t, s).send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n")
	}
	status, _ := first.answer()
	assert.Equal(t, status, http.StatusRequestTimeout)
	told.await(t, httpd.LimitBody)
	c := dialServer(t, s)
	c.send(post("", "in"))
	status, _ = c.answer()
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a refusal of the line ends before a request that RFC 9112 has a server pass over, and against passing over any number.
func TestFewEmptyLinesArePassedOver(t *testing.T) {
	s, _ := echoServer(t, nil)
	for empty, want := range map[string]int{"\r\n": 200, "\r\n\r\n": 200, "\n\n\n": 200, strings.Repeat("\r\n", 5): 400} {
		c := dialServer(t, s)
		c.send(empty + post("", "in"))
		status, _ := c.answer()
		assert.Equal(t, status, want, "%q", empty)
	}
}

// Guards against bytes after a malformed trailer that are taken for the next request of the connection.
func TestNoRequestFollowsAMalformedTrailer(t *testing.T) {
	a := memory.New(memory.Options{Clock: clock.Real(), Bytes: 8 << 20, Descriptors: 100})
	s, _ := echoServer(t, a)
	c := dialServer(t, s)
	c.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\nno colon\r\n\r\n" + post("", "in"))
	status, _ := c.answer()
	assert.Equal(t, status, http.StatusBadRequest)
	_, err := c.in.ReadByte()
	assert.Assert(t, err != nil, "the connection goes on")
}
