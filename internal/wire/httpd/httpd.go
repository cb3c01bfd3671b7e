// Package httpd runs go-zero rest engines behind listeners whose life the project controls, and makes httpc clients
// without a circuit breaker.
//
// go-zero ends its listeners one second after SIGTERM. A VM that stops as planned must accept connections until each
// address that it gave out has expired, so the rest engine is used as a handler of an http.Server here.
//
// Usage:
//
//	s, err := httpd.New(httpd.Options{Name: "callers", Address: "127.0.0.1:7001"}, routes)
//	defer s.Close()
//	s.Shutdown(ctx) // closes the listener and waits for requests in flight
package httpd

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"
	"github.com/zeromicro/go-zero/rest/handler"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/wire/dial"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

// Options configure a Server.
type Options struct {
	Name     string
	Address  string       // IP number and port; port 0 takes a free one
	Listener net.Listener // used instead of Address when set
	TLS      *tls.Config
	MaxBytes int64 // largest request body; 0 means DefaultMaxBytes
	// ReadTimeout bounds the time in which a whole request is read; 0 means DefaultReadTimeout.
	ReadTimeout time.Duration
	NotFound    http.Handler
	// LongHeader answers requests whose header is over MaxHeaderBytes; nil means a plain answer.
	LongHeader http.Handler
	// Account counts connections, heads and bodies with those of other servers; nil: no bound for all together.
	Account *memory.Account
	// Side is who connects; zero: callers.
	Side memory.Side
	// BodyFactor is what a byte of a body takes while its handler decodes it; JSONFactor for handlers that use ReadJSON, 0 for those that read
	// a body whole first.
	BodyFactor int64
	// Refused is told which peers were refused because of a limit; nil: nobody is.
	Refused func(Refusal)
}

// Limits that hold for each server. They bound what a slow or hostile peer can take.
const (
	DefaultMaxBytes    = 2 << 20
	DefaultReadTimeout = 30 * time.Second
	MaxHeaderBytes     = 16 << 10
	// hardHeaderBytes is where net/http itself breaks a request off, with a plain answer. Below it, the handler for
	// headers over MaxHeaderBytes answers in the format of the interface.
	hardHeaderBytes   = 256 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
)

// Server is a running HTTP server.
type Server struct {
	http *http.Server
	addr string
	wg   sync.WaitGroup
}

// forever is longer than any process runs.
const forever = 100 * 365 * 24 * time.Hour

var setUpOnce = sync.OnceFunc(func() {
	logx.Disable()
	// go-zero kills the process some seconds after SIGTERM unless it is told to wait.
	proc.SetTimeToForceQuit(forever)
})

// New starts a server for the routes.
func New(o Options, routes []rest.Route) (*Server, error) {
	setUpOnce()
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	guard := &Guard{Clock: clock.Real(), Account: o.Account, Side: o.Side, BodyFactor: o.BodyFactor, WriteTimeout: writeTimeout, Refused: o.Refused}
	handler, err := engine(o, guard, routes)
	if err != nil {
		return nil, err
	}
	l := o.Listener
	if l == nil {
		if l, err = net.Listen("tcp", o.Address); err != nil {
			return nil, errors.Wrapf(err, "listen for %s", o.Name)
		}
	}
	s := &Server{addr: l.Addr().String()}
	if o.TLS != nil {
		l = tls.NewListener(l, o.TLS) // net/http needs the connection itself, so that heads are bounded by hardHeaderBytes alone
	} else {
		l = guard.Listen(l)
	}
	s.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       o.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    hardHeaderBytes,
		ConnState:         guard.ConnState,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	s.wg.Go(func() { _ = s.http.Serve(l) }) // returns http.ErrServerClosed after Shutdown or Close
	return s, nil
}

func engine(o Options, guard *Guard, routes []rest.Route) (http.Handler, error) {
	conf := rest.RestConf{ServiceConf: service.ServiceConf{Name: o.Name, Mode: service.ProMode}}
	conf.Log = logx.LogConf{ServiceName: o.Name, Mode: "console", Encoding: "plain", Level: "severe"}
	opts := []rest.RunOption{rest.WithChain(chain.New(handler.RecoverHandler, limitHeader(o.LongHeader), limitBody(o.MaxBytes, guard)))}
	if o.NotFound != nil {
		opts = append(opts, rest.WithNotFoundHandler(o.NotFound), rest.WithNotAllowedHandler(o.NotFound))
	}
	srv, err := rest.NewServer(conf, opts...)
	if err != nil {
		return nil, errors.Wrapf(err, "server %s", o.Name)
	}
	logx.Disable()
	srv.AddRoutes(routes)
	serverless, err := rest.NewServerless(srv)
	if err != nil {
		return nil, errors.Wrapf(err, "routes of %s", o.Name)
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// limitHeader refuses requests with a header over MaxHeaderBytes.
func limitHeader(answer http.Handler) chain.Middleware {
	if answer == nil {
		answer = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "header too large", http.StatusRequestHeaderFieldsTooLarge)
		})
	}
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			size := len(r.RequestURI)
			for name, values := range r.Header {
				for _, v := range values {
					size += len(name) + len(v)
				}
			}
			if size > MaxHeaderBytes {
				answer.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// limitBody bounds request bodies. The handler sees the error when it reads, so that it can answer in its own format, and
// the connection is closed, because the rest of the body is not read.
func limitBody(limit int64, guard *Guard) chain.Middleware {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			counted, release := guard.countBody(w, withBody(r, http.MaxBytesReader(w, r.Body, limit)))
			defer release()
			next.ServeHTTP(w, counted)
		})
	}
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.addr }

// ServeHTTP serves a request that did not come over the listener.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.Handler.ServeHTTP(w, r) }

// Shutdown stops accepting connections and waits until no request is in flight or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err == nil {
		s.wg.Wait()
	}
	return err
}

// Close ends the server and cuts its connections.
func (s *Server) Close() error {
	err := s.http.Close()
	s.wg.Wait()
	return err
}

// NewClient returns an httpc client. The breaker is off, because the project's own router and retry budget decide
// whether an upstream is tried: a breaker would refuse work without saying truthfully whether it ran.
func NewClient(name string, maxIdlePerHost int, tlsConf *tls.Config) (httpc.Service, *http.Transport) {
	setUpOnce()
	breaker.NoBreakerFor(name)
	t := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DialContext:         dial.Dialer{Clock: clock.Real(), Timeout: dialTimeout}.DialContext,
		TLSClientConfig:     tlsConf,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return httpc.NewServiceWithClient(name, &http.Client{Transport: t, CheckRedirect: refuseRedirect}), t
}

// CountDials counts the connections of a client in an account, and closes those that are kept when the account is short of descriptors.
func CountDials(t *http.Transport, a *memory.Account) {
	dialed := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		a.Outgoing(1)
		c, err := dialed(ctx, network, address)
		if err != nil {
			a.Outgoing(-1)
			return nil, err
		}
		return &countedConn{Conn: c, account: a}, nil
	}
	a.OnShort(func() { go t.CloseIdleConnections() })
}

// countedConn is counted until it is closed.
type countedConn struct {
	net.Conn
	account *memory.Account
	once    sync.Once
}

// Close ends the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.account.Outgoing(-1) })
	return c.Conn.Close()
}

// refuseRedirect makes a client return a redirect as the answer. No server of the project sends one, and following it would run work
// again, at an address that nobody chose.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// maxResponseHeaderBytes bounds what a server in trouble can make a client keep; the default of net/http is 10 MB.
const maxResponseHeaderBytes = 256 << 10

// dialTimeout is well above the round trip between regions and well below any deadline.
const dialTimeout = 2 * time.Second

// WriteJSON sends a value as the response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // the peer is gone; it will ask again
}

// ReadJSON decodes a request body into v and refuses unknown fields and trailing data.
func ReadJSON(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the JSON value")
	}
	return nil
}

// TooLarge reports whether reading a body failed because it is over the limit.
func TooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
