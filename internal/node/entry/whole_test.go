package entry

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/flow/stream"
	"github.com/berylledge/berylledge/pkg/caller"
)

// Guards against an answer that differs from its events once they are copied in place of being decoded and encoded.
func TestWholeAnswerHoldsItsEvents(t *testing.T) {
	want := caller.Answer{
		RequestID: "a\"b", Output: "", End: caller.End{RequestID: "a\"b", Tokens: 4, Bytes: 9, ElapsedUS: 7},
		Stages: []caller.StageEvent{{Stage: "s1", Skipped: true}, {Stage: "s2", Output: "<o\"}]\n", Attempts: 2}},
	}
	out := stream.NewBuffer()
	add := func(name string, v any) {
		data, err := json.Marshal(v)
		assert.NilError(t, err)
		out.Append(name, data)
	}
	add(caller.EventStage, want.Stages[0])
	for _, text := range []string{"", "plain ", "\"}\\{\"text\":\"", "<&>\u2028\x00\n", strings.Repeat("\"", 5), "\"}"} {
		add(caller.EventToken, caller.Token{Text: text})
		want.Output += text
	}
	add(caller.EventStage, want.Stages[1])
	end, err := json.Marshal(want.End)
	assert.NilError(t, err)
	out.Finish(caller.EventEnd, end)
	events, _, _ := out.EventsAfter(0)
	var got bytes.Buffer
	assert.NilError(t, writeAnswer(&got, "a\"b", events))
	var encoded bytes.Buffer
	assert.NilError(t, json.NewEncoder(&encoded).Encode(want))
	assert.Equal(t, got.String(), encoded.String())
}
