package serve_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/stats"
	"github.com/berylledge/berylledge/internal/node/flags"
	"github.com/berylledge/berylledge/internal/node/meter"
	"github.com/berylledge/berylledge/internal/node/serve"
	"github.com/berylledge/berylledge/internal/test/fake"
	"github.com/berylledge/berylledge/internal/test/leak"
	"github.com/berylledge/berylledge/internal/test/loopip"
	"github.com/berylledge/berylledge/pkg/caller"
	"github.com/berylledge/berylledge/pkg/fleet"
	"github.com/berylledge/berylledge/pkg/upapi"
)

func TestMain(m *testing.M) { leak.Verify(m) }

func start(t *testing.T) *serve.Process {
	t.Helper()
	address, dir := loopip.Address(t), t.TempDir()
	cfg := fleet.Config{
		FormatVersion: fleet.FormatVersion,
		// The least limit that admission goes down to, so that it does not adapt when a request takes long on a busy machine.
		Limits: fleet.Limits{MaxInFlight: 4},
		Ranks:  []fleet.Rank{{Name: "urgent", Share: 0.5}}, Teams: []fleet.Team{{Name: "crew"}},
		Pipelines: []fleet.Pipeline{{Name: "ask", DeadlineMS: 8000, Stages: []fleet.Stage{{Name: "encode", Kind: fleet.Encode}}}},
	}
	file := filepath.Join(dir, "config.json")
	assert.NilError(t, os.WriteFile(file, cfg.Print(), 0o600))
	s := flags.Settings{
		Node: "n1", Roles: []string{flags.RoleEntry, flags.RoleControl}, DataCentre: "a", Region: "r", Listen: "127.0.0.1:0",
		PeerListen: address, Control: []string{"n1=" + address}, Data: filepath.Join(dir, "state"), ConfigFile: file,
		EntryValid: time.Second, SpreadDelay: time.Second, DrainLimit: 5 * time.Second, LogLevel: "error", Seed: 7,
	}
	assert.NilError(t, s.Check())
	p, err := serve.New(s, serve.Options{Clock: clock.Real()})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	u, err := fake.New(fake.Options{
		ID: "enc", Kind: upapi.KindEncoder, Services: []string{"encode"}, DataCentre: "a", Region: "r", Clock: clock.Real(),
		Entries: []string{p.Address()},
	})
	assert.NilError(t, err)
	t.Cleanup(u.Close)
	return p
}

// Guards against metrics that are not wired to the parts of a process, and against a published metric without a
// description in the catalogue.
func TestProcessPublishesItsMetrics(t *testing.T) {
	p := start(t)
	c := caller.New(caller.Options{Seeds: []string{p.Address()}, Team: "crew"})
	t.Cleanup(c.Close)
	submit := caller.Submit{Pipeline: "ask", Rank: "urgent", Input: "x"}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.Do(context.Background(), submit, nil); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	submit.Pipeline = "unknown"
	_, err := c.Do(context.Background(), submit, nil)
	assert.ErrorContains(t, err, "unknown_pipeline")

	var text string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + p.Address() + stats.Path)
		assert.NilError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		text = string(body)
		for _, line := range []string{
			`berylledge_requests_total{outcome="on_time",rank="urgent",team="crew"} 1`, `code="unknown_pipeline"`,
			`berylledge_attempts_total{stage="encode"}`, `berylledge_control_leader 1`, `berylledge_config_revision 1`,
			`berylledge_nodes{state="alive"} 1`, `berylledge_admission_limit 4`, `berylledge_dropped_messages_total{where="control"} 0`,
		} {
			if !strings.Contains(text, line) {
				return poll.Continue("%s is missing in\n%s", line, text)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))

	help := map[string]string{}
	for _, m := range meter.Catalogue() {
		help[stats.Prefix+m.Name] = m.Help + " " + string(m.Type)
	}
	published := regexp.MustCompile(`(?m)^# HELP (\S+) (.*)\n# TYPE \S+ (\S+)$`).FindAllStringSubmatch(text, -1)
	assert.Assert(t, len(published) > 15, "%d metrics", len(published))
	for _, m := range published {
		assert.Equal(t, m[2]+" "+m[3], help[m[1]], m[1])
	}
}
