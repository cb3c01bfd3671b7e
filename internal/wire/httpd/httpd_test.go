package httpd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/wire/httpd"
)

// Guards against a shutdown that cuts off a request in flight.
func TestShutdownFinishesRequestInFlight(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, err := httpd.New(httpd.Options{Name: "t", Address: "127.0.0.1:0"}, []rest.Route{{
		Method: http.MethodGet, Path: "/slow",
		Handler: func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			_, _ = io.WriteString(w, "whole")
		},
	}})
	assert.NilError(t, err)
	got := make(chan string)
	go func() {
		resp, err := http.Get("http://" + s.Address() + "/slow")
		if err != nil {
			got <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		got <- string(body)
	}()
	<-entered
	stopped := make(chan error)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	close(release)
	assert.Equal(t, <-got, "whole")
	assert.NilError(t, <-stopped)
}

// Guards against bodies over the limit and against fields that the code would ignore silently.
func TestReadJSONRefusesBadBodies(t *testing.T) {
	s, err := httpd.New(httpd.Options{Name: "t", Address: "127.0.0.1:0", MaxBytes: 64}, []rest.Route{{
		Method: http.MethodPost, Path: "/json",
		Handler: func(w http.ResponseWriter, r *http.Request) {
			var v struct{ A int }
			err := httpd.ReadJSON(r, &v)
			if httpd.TooLarge(err) {
				http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			} else if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
		},
	}})
	assert.NilError(t, err)
	defer s.Close()
	for body, want := range map[string]int{
		`{"A":1}`:                          http.StatusOK,
		`{"A":1}{}`:                        http.StatusBadRequest,
		`{"B":1}`:                          http.StatusBadRequest,
		`{"A":`:                            http.StatusBadRequest,
		`{"A":1` + strings.Repeat(" ", 99): http.StatusRequestEntityTooLarge,
	} {
		resp, err := http.Post("http://"+s.Address()+"/json", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want, body)
	}
}

// Guards against events that change on their way.
func TestEventsRoundTrip(t *testing.T) {
	var got []string
	in := "id: 1\nevent: token\ndata: {\"text\":\"a\"}\n\nid: 2\nevent: end\ndata: {}\n\n"
	err := httpd.ReadEvents(strings.NewReader(in), func(id, name, data string) bool {
		got = append(got, id+" "+name+" "+data)
		return true
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []string{`1 token {"text":"a"}`, `2 end {}`})
}

// Guards against a slow writer that holds a connection, and against a long answer that is cut off because the time in
// which its request had to be read has passed.
func TestReadTimeoutEndsWithTheRequest(t *testing.T) {
	const limit = 100 * time.Millisecond
	s, err := httpd.New(httpd.Options{Name: "t", Address: "127.0.0.1:0", ReadTimeout: limit}, []rest.Route{{
		Method: http.MethodPost, Path: "/long",
		Handler: func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				http.Error(w, err.Error(), http.StatusRequestTimeout)
				return
			}
			select {
			case <-r.Context().Done():
			case <-time.After(4 * limit):
				_, _ = io.WriteString(w, "whole")
			}
		},
	}})
	assert.NilError(t, err)
	defer s.Close()
	resp, err := http.Post("http://"+s.Address()+"/long", "text/plain", strings.NewReader("all at once"))
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	assert.NilError(t, err)
	assert.Equal(t, string(got), "whole")

	slow, end := io.Pipe()
	defer end.Close()
	go func() { _, _ = end.Write([]byte("a part")) }()
	resp, err = http.Post("http://"+s.Address()+"/long", "text/plain", slow)
	if err == nil {
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	}
}

// Guards against a server in trouble that sends a head without end, which the client would keep.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	const tooMuch = 64 << 20 // bytes; exceeds the limit plus the buffers of two sockets
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	taken := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		n, _ := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for field := strings.Repeat("X-Fill: aaaaaaaa\r\n", 4<<10); n < tooMuch && err == nil; {
			var m int
			m, err = io.WriteString(c, field)
			n += m
		}
		taken <- n
	}()
	defer l.Close()
	client, transport := httpd.NewClient("head", 1, nil)
	defer transport.CloseIdleConnections()
	_, err = httpd.Post(t.Context(), client.DoRequest, "http://"+l.Addr().String()+"/", nil)
	assert.ErrorContains(t, err, "exceeded")
	assert.Assert(t, <-taken < 8<<20)
}
