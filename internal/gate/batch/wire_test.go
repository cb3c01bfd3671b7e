package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/stage"
)

// wideStage returns the jobs of a stage with 16 pieces that each need the 8 results of the preceding stage.
func wideStage() []stage.Job {
	var inputs []string
	for i := range 8 {
		inputs = append(inputs, fmt.Sprintf("10.1.64.7:8080/91bd3f06e4%02d", i))
	}
	now := time.Unix(1000, 0)
	var out []stage.Job
	for i := range 16 {
		out = append(out, stage.Job{
			Item: stage.Item{Request: "e5b2907c14da6f38", Stage: 3, Piece: i, Inputs: inputs}, Rank: 1, Home: "mona", Bytes: 6000,
			Due: now.Add(time.Second), Deadline: now.Add(9 * time.Second),
		})
	}
	return out
}

// Load pattern: a burst of requests whose last stage has many pieces with many inputs, on entry nodes with narrow
// links. Guards against messages that repeat the inputs for each piece and fill the link of the queue's owner (incident
// SHORT).
func TestAForwardedStageFitsOnePacket(t *testing.T) {
	const packet = 1400 // bytes
	now := time.Unix(1000, 0)
	q := message{Service: "portal", Region: "north"}
	q.pack(wideStage(), now)
	body, err := cbor.Marshal(q)
	assert.NilError(t, err)
	assert.Assert(t, len(body) <= packet, "%d bytes", len(body))
	var back message
	assert.NilError(t, cbor.Unmarshal(body, &back))
	jobs, last, err := back.unpack(now)
	assert.NilError(t, err)
	assert.Equal(t, last, 9*time.Second)
	for i, j := range wideStage() {
		assert.DeepEqual(t, jobs[i].Item, j.Item)
	}

	var made []JobResult
	for i := range 16 {
		made = append(made, JobResult{
			Outcome: stage.Outcome{Handle: fmt.Sprintf("10.1.64.7:8080/91bd3f06e4%02d", i)}, Upstream: "i-7f3a91c200", Owner: "10.1.0.41:7740",
			Timing: stage.PieceTiming{Queued: 20 * time.Millisecond, InCall: 200 * time.Millisecond, Attempts: 1},
		})
	}
	body, err = encodeResults(made)
	assert.NilError(t, err)
	assert.Assert(t, len(body) <= packet, "%d bytes", len(body))
	got, err := decodeResults(body, "10.1.0.41:7740")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, made)
}

// Guards against pieces that receive the inputs of other pieces, and against a malformed message that crashes the
// process.
func TestInputsStayWithTheirPieces(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c := wideStage()[0], wideStage()[1], wideStage()[2]
	b.Inputs, c.Inputs = []string{"x", "y"}, nil
	var q message
	q.pack([]stage.Job{a, b, c, a}, now)
	jobs, _, err := q.unpack(now)
	assert.NilError(t, err)
	assert.DeepEqual(t, jobs[0].Inputs, a.Inputs)
	assert.DeepEqual(t, jobs[1].Inputs, []string{"x", "y"})
	assert.Equal(t, len(jobs[2].Inputs), 0)
	assert.DeepEqual(t, jobs[3].Inputs, a.Inputs)
	q.Jobs[1].Inputs = 7
	_, _, err = q.unpack(now)
	assert.ErrorContains(t, err, "inputs 7 of 2")
}
