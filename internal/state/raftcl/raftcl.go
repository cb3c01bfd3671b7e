// Package raftcl is the client of the control group. It sends commands to a control node and retries on others while the group
// is unavailable.
//
// Usage:
//
//	c := raftcl.New(raftcl.Options{Clock: clk, Call: call, ControlNodes: addresses})
//	result, err := c.Propose(ctx, rstate.Claim{...})
//
// After an error a command is sent again through another control node, even if its outcome is unknown: all commands of
// package rstate are idempotent by their token, change id or order id.
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
	// Call sends an encoded command to a control node and returns the encoded result.
	Call func(ctx context.Context, address string, command []byte) ([]byte, error)
	// ControlNodes returns the addresses of control nodes, nearest first.
	ControlNodes func() []string
}

// Client proposes commands. It is safe for concurrent use.
type Client struct {
	opts           Options
	lastResponsive atomic.Pointer[string] // control node of the last successful attempt
}

// UnavailableError reports that no control node replied successfully before the context ended. The command may still take
// effect.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return "the control group did not answer: " + e.Cause.Error()
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// New returns a client.
func New(o Options) *Client { return &Client{opts: o} }

const (
	// attemptTimeout bounds one attempt, so that an unreachable control node does not use up the caller's deadline.
	attemptTimeout = 400 * time.Millisecond
	minBackoff     = 20 * time.Millisecond // wait after the first round of attempts; doubles four times
)

// Propose proposes a command to the group, retrying until ctx ends, and returns its result.
func (c *Client) Propose(ctx context.Context, cmd rstate.Command) (rstate.Result, error) {
	data, err := rstate.EncodeCommand(cmd)
	if err != nil {
		return nil, err
	}
	lastErr := errors.New("no control node is known")
	for round := 0; ; round++ {
		for _, address := range c.orderedNodes() {
			out, err := c.attempt(ctx, address, data)
			if err == nil {
				c.lastResponsive.Store(&address)
				return rstate.DecodeResult(out)
			}
			lastErr = err
			if ctx.Err() != nil {
				return nil, &UnavailableError{lastErr}
			}
		}
		if clock.Sleep(ctx, c.opts.Clock, minBackoff<<min(round, 4)) != nil {
			return nil, &UnavailableError{lastErr}
		}
	}
}

func (c *Client) attempt(ctx context.Context, address string, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.opts.Call(ctx, address, data)
}

// orderedNodes returns the control nodes, beginning with the one of the last successful attempt.
func (c *Client) orderedNodes() []string {
	all := c.opts.ControlNodes()
	preferred := c.lastResponsive.Load()
	if preferred == nil {
		return all
	}
	out := []string{}
	for _, a := range all {
		if a == *preferred {
			out = append([]string{a}, out...)
		} else {
			out = append(out, a)
		}
	}
	return out
}
