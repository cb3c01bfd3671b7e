// Package raftcl is the client of the control group: it brings commands of a node to a control node, in whatever state
// the group is.
//
// Usage:
//
//	c := raftcl.New(raftcl.Options{Clock: clk, Call: call, Control: addresses})
//	result, err := c.Propose(ctx, rstate.Claim{...})
//
// A command is sent again through another control node after an error, also if its outcome is not known: all commands
// of package rstate are idempotent by their token, change id or order id.
package raftcl

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/state/rstate"
)

// Options configure a Client.
type Options struct {
	Clock clock.Clock
	// Call brings an encoded command to a control node and returns the encoded result.
	Call func(ctx context.Context, address string, command []byte) ([]byte, error)
	// ControlNodes returns the addresses of control nodes, nearest first.
	ControlNodes func() []string
}

// Client proposes commands. It is safe for concurrent use.
type Client struct {
	o    Options
	good atomic.Pointer[string] // control node that answered last
}

// UnavailableError says that no control node answered before the context ended. The command may still take effect.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return "the control group did not answer: " + e.Cause.Error()
}

// Unwrap returns the cause of the last try.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// New returns a client.
func New(o Options) *Client { return &Client{o: o} }

const (
	// tryTimeout bounds one try, so that a control node that is cut off silently does not use up the whole time.
	tryTimeout = 400 * time.Millisecond
	pause      = 20 * time.Millisecond
)

// Propose brings a command to the group and returns its result.
func (c *Client) Propose(ctx context.Context, cmd rstate.Command) (rstate.Result, error) {
	data, err := rstate.EncodeCommand(cmd)
	if err != nil {
		return nil, err
	}
	last := errors.New("no control node is known")
	for round := 0; ; round++ {
		for _, address := range c.order() {
			out, err := c.try(ctx, address, data)
			if err == nil {
				c.good.Store(&address)
				return rstate.DecodeResult(out)
			}
			last = err
			if ctx.Err() != nil {
				return nil, &UnavailableError{last}
			}
		}
		if clock.Sleep(ctx, c.o.Clock, pause<<min(round, 4)) != nil {
			return nil, &UnavailableError{last}
		}
	}
}

func (c *Client) try(ctx context.Context, address string, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return c.o.Call(ctx, address, data)
}

// order returns the control nodes with the one that answered last in front.
func (c *Client) order() []string {
	all := c.o.ControlNodes()
	good := c.good.Load()
	if good == nil {
		return all
	}
	out := []string{}
	for _, a := range all {
		if a == *good {
			out = append([]string{a}, out...)
		} else {
			out = append(out, a)
		}
	}
	return out
}
