package procs_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/test/build"
	"github.com/berylledge/berylledge/pkg/caller"
)

// command runs a command of the program until it succeeds, and returns its output.
func (s *system) command(args ...string) string {
	s.t.Helper()
	var out []byte
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		var err error
		if out, err = exec.CommandContext(ctx, build.Program(), args...).CombinedOutput(); err != nil {
			return poll.Continue("%s: %v\n%s", strings.Join(args, " "), err, out)
		}
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(50*time.Millisecond))
	return string(out)
}

// Guards against a repair that loses state: one voter of three is killed, a spare is added and promoted in its place, and a
// second voter is killed right after. Bookings made before are still answered from the ledger, the configuration is still
// there, new bookings run, and none runs twice.
func TestSecondLossRightAfterRepair(t *testing.T) {
	s := startSystem(t)
	c := caller.New(caller.Options{Seeds: s.seeds()[2:], Team: "crew"})
	t.Cleanup(c.Close)
	book := func(key string) *caller.Answer {
		t.Helper()
		var a *caller.Answer
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			var err error
			if a, err = c.Do(context.Background(), bookOnly(key), nil); err != nil {
				return poll.Continue("%v", err)
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
		return a
	}
	book("before the loss")
	peerOf := func(n *node) string { return quoted.FindAllStringSubmatch(n.line, -1)[1][1] }
	spare := startNode(t, "spare", "--roles", "control", "--data-centre", "a", "--peer-listen", "127.0.0.1:0",
		"--join", peerOf(s.nodes[2]), "--data", filepath.Join(t.TempDir(), "spare"))
	last := s.nodes[2].address
	change := []string{"--address", last, "--operator", "test"}

	s.nodes[0].signal(syscall.SIGKILL)
	s.nodes[0].exit()
	book("while one is lost")
	s.command(append([]string{"control", "add", spare.name}, change...)...)
	s.command(append([]string{"control", "promote", spare.name}, change...)...)
	s.command(append([]string{"control", "remove", "n1"}, change...)...)
	s.nodes[1].signal(syscall.SIGKILL)
	s.nodes[1].exit()
	lost := time.Now()

	book("after the second loss")
	t.Logf("a booking is answered %d ms after the second loss", time.Since(lost).Milliseconds())
	for _, key := range []string{"before the loss", "while one is lost"} {
		stages := book(key).Stages
		assert.Assert(t, stages[len(stages)-1].Replayed, "%s: the outcome was lost", key)
	}
	for key, n := range s.upstreams["book"].counts().Keys {
		assert.Equal(t, n, 1, key)
	}
	history := s.command("config", "history", "--address", last)
	assert.Assert(t, strings.Contains(history, "initial-"), history)
}
