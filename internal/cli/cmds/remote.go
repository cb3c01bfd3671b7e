package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/node/admin"
	"github.com/berylledge/berylledge/internal/wire/httpd"
)

const (
	flagAddress  = "address"
	flagOperator = "operator"
	flagDryRun   = "dry-run"
	flagTimeout  = "timeout"
	flagOutput   = "output"
)

// remoteFlags are the flags of each command that asks a running fleet.
func remoteFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagAddress, Aliases: []string{"a"}, Required: true, Sources: cli.EnvVars("BERYLLEDGE_ADDRESS"),
			Usage: "address of a process; with several, the next one is asked when one cannot be reached",
		},
		&cli.DurationFlag{Name: flagTimeout, Value: 30 * time.Second, Usage: "longest time for the whole command"},
		outputFlag("table", "json"),
	}, more...)
}

// changeFlags are the flags of each command that changes something in a running fleet.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return remoteFlags(append([]cli.Flag{
		&cli.StringFlag{Name: flagOperator, Required: true, Sources: cli.EnvVars("BERYLLEDGE_OPERATOR"), Usage: "who makes the change, for the audit history"},
		&cli.BoolFlag{Name: flagDryRun, Usage: "report what would be done"},
	}, more...)...)
}

func orderOf(c *cli.Command) admin.Order {
	return admin.Order{Operator: c.String(flagOperator), DryRun: c.Bool(flagDryRun)}
}

// remote is a client of the administration interface.
type remote struct {
	addresses []string
	http      httpc.Service
	trans     *http.Transport
	clock     clock.Clock
}

func newRemote(addresses []string) *remote {
	r := &remote{addresses: addresses, clock: clock.Real()}
	r.http, r.trans = httpd.NewClient("admin", 4, nil)
	return r
}

// withRemote runs f with a client and the time limit of the command.
func withRemote(f func(ctx context.Context, c *cli.Command, r *remote) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := checkOutput(c); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		r := newRemote(c.StringSlice(flagAddress))
		defer r.trans.CloseIdleConnections()
		return f(ctx, c, r)
	}
}

// unreachedError says that no process answered. Sent is true if one may have received the order.
type unreachedError struct {
	sent  bool
	cause error
}

func (e *unreachedError) Error() string {
	if e.sent {
		return "the outcome is not known: " + e.cause.Error()
	}
	return "no process answers: " + e.cause.Error()
}

func (e *unreachedError) Unwrap() error { return e.cause }

// leaderPause is the time between two tries while the control group elects a leader.
const leaderPause = 200 * time.Millisecond

// do sends an order and decodes the answer into out. All orders can be sent twice with the same effect, so an order whose
// answer was lost is sent again through the next address; one that found no leader is sent again until ctx ends.
func (r *remote) do(ctx context.Context, method, path string, body, out any) error {
	sent := false
	for {
		err := r.round(ctx, method, path, body, out, &sent)
		var e *admin.Error
		if !errors.As(err, &e) || e.Code != admin.CodeNotLeader || clock.Sleep(ctx, r.clock, leaderPause) != nil {
			return exitFor(err, method)
		}
	}
}

func (r *remote) round(ctx context.Context, method, path string, body, out any, sent *bool) error {
	last := errors.New("no address is given")
	for _, address := range r.addresses {
		err := r.one(ctx, address, method, path, body, out)
		var answered *admin.Error
		var conflict *conflictError
		if err == nil || errors.As(err, &answered) || errors.As(err, &conflict) {
			return err
		}
		last = err
		*sent = *sent || !notConnected(err)
	}
	return &unreachedError{*sent, last}
}

// conflictError carries the answer to a configuration that was not accepted.
type conflictError struct{ result admin.PutResult }

func (e *conflictError) Error() string {
	switch {
	case e.result.Winner != nil:
		return fmt.Sprintf("another change came first: revision %d by %s, change id %s", e.result.Winner.Revision,
			e.result.Winner.Operator, e.result.Winner.ChangeID)
	case len(e.result.Problems) > 0:
		return problemsText("configuration", e.result.Problems)
	default:
		return "the change was not accepted: " + e.result.Status
	}
}

func (r *remote) one(ctx context.Context, address, method, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+admin.Prefix+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := r.http.DoRequest(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if data, err = io.ReadAll(resp.Body); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusBadRequest {
		return json.Unmarshal(data, out)
	}
	var put admin.PutResult
	if json.Unmarshal(data, &put) == nil && put.Status != "" {
		return &conflictError{put}
	}
	e := &admin.Error{Status: resp.StatusCode}
	if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
		return fmt.Errorf("%s answered %s", address, resp.Status)
	}
	return e
}

// notConnected reports whether a request certainly did not arrive.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// exitFor gives an error of an order its exit code.
func exitFor(err error, method string) error {
	var e *admin.Error
	var conflict *conflictError
	var lost *unreachedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		if conflict.result.Winner == nil {
			return &exitError{ExitFailed, err}
		}
		return &exitError{ExitConflict, err}
	case errors.As(err, &lost):
		if lost.sent && method != http.MethodGet {
			return &exitError{ExitUnknown, err}
		}
		return &exitError{ExitFailed, err}
	case errors.As(err, &e):
		return &exitError{exitCodes[e.Code], err}
	default:
		return &exitError{ExitFailed, err}
	}
}

var exitCodes = map[string]int{
	admin.CodeBadRequest: ExitUsage, admin.CodeForbidden: ExitFailed, admin.CodeNotFound: ExitFailed,
	admin.CodeNotLeader: ExitConflict, admin.CodeRefused: ExitConflict, admin.CodeNoQuorum: ExitFailed,
	admin.CodeUnknown: ExitUnknown, admin.CodeFailed: ExitFailed,
}

func (r *remote) get(ctx context.Context, path string, out any) error {
	return r.do(ctx, http.MethodGet, path, nil, out)
}

func (r *remote) post(ctx context.Context, path string, body, out any) error {
	return r.do(ctx, http.MethodPost, path, body, out)
}

// arg returns the only argument of a command.
func arg(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usage(fmt.Errorf("%s: exactly one argument is required: %s", c.FullName(), name))
	}
	return c.Args().First(), nil
}

// order makes the action of a command that sends an order about its argument.
func order(argument string, path func(name string) string, body func(c *cli.Command, name string) any) cli.ActionFunc {
	return withRemote(func(ctx context.Context, c *cli.Command, r *remote) error {
		name, err := arg(c, argument)
		if err != nil {
			return err
		}
		var done admin.Done
		if err := r.post(ctx, path(url.PathEscape(name)), body(c, name), &done); err != nil {
			return err
		}
		return showDone(c, done)
	})
}

func plainOrder(c *cli.Command, _ string) any { return orderOf(c) }
