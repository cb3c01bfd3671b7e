package stream_test

import (
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/berylledge/berylledge/internal/flow/stream"
	"github.com/berylledge/berylledge/pkg/upapi"
)

var work = upapi.Work{RequestID: "r", Stage: "s", Attempt: 1}

func chunk(w upapi.Work, offset int) upapi.Chunk {
	return upapi.Chunk{
		Choices: []upapi.Choice{{Text: strconv.Itoa(offset) + ","}},
		Ext:     upapi.Extension{Work: w, Offset: offset},
	}
}

func endMarker(chunkCount int) upapi.Chunk {
	return upapi.Chunk{Ext: upapi.Extension{Work: work, End: true, Count: chunkCount}}
}

// Guards against lost, duplicated or reordered chunks of a response and chunks of other work: any order of chunks, mixed with
// duplicates and chunks of other work, gives the same text, and a missing chunk is always reported.
func TestAssemblerReturnsCompleteStreamOrGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(t, "n")
		order := rapid.Permutation(seq(n)).Draw(t, "order")
		lost := rapid.IntRange(-1, n-1).Draw(t, "lost") // offset of the lost chunk; -1: none
		other := upapi.Work{RequestID: "other", Stage: "s", Attempt: 1}
		a, text, want := stream.NewAssembler(work, 0), "", ""
		if rapid.Bool().Draw(t, "early_end") {
			a.Add(endMarker(n))
		}
		for _, i := range order {
			assert.Equal(t, a.Add(chunk(other, i)).Drop, stream.OtherWork)
			if i == lost {
				continue
			}
			text += join(a.Add(chunk(work, i)).Texts)
			assert.Equal(t, a.Add(chunk(work, i)).Drop, stream.Duplicate)
		}
		a.Add(endMarker(n))
		for _, i := range seq(n) {
			want += strconv.Itoa(i) + ","
		}
		var gap *stream.GapError
		if lost >= 0 {
			assert.Assert(t, errors.As(a.Err(), &gap))
			assert.Equal(t, gap.Next, lost)
			text += join(a.Add(chunk(work, lost)).Texts)
		}
		assert.NilError(t, a.Err())
		assert.Equal(t, text, want)
	})
}

func seq(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func join(texts []string) (out string) {
	for _, t := range texts {
		out += t
	}
	return out
}

// Guards against an end marker whose count is lower than the chunks already received, and a second end marker with another
// count.
func TestAssemblerRejectsConflictingEnd(t *testing.T) {
	a := stream.NewAssembler(work, 0)
	a.Add(chunk(work, 0))
	a.Add(chunk(work, 1))
	assert.Equal(t, a.Add(endMarker(1)).Drop, stream.ConflictingEnd)
	assert.Equal(t, a.Add(endMarker(2)).Drop, stream.NotDropped)
	assert.Equal(t, a.Add(endMarker(3)).Drop, stream.ConflictingEnd)
	assert.Equal(t, a.Add(chunk(work, 2)).Drop, stream.AfterEnd)
	assert.Assert(t, a.Complete())
}

// Guards against unbounded memory use when an upstream sends many chunks but never the next one in order.
func TestAssemblerLimitsBufferedChunks(t *testing.T) {
	a := stream.NewAssembler(work, 0)
	// Chunk 0 is missing, so all others are buffered.
	for i := 1; i <= stream.MaxBufferedChunks; i++ {
		assert.Equal(t, a.Add(chunk(work, i)).Drop, stream.NotDropped)
	}
	assert.Equal(t, a.Add(chunk(work, stream.MaxBufferedChunks+1)).Drop, stream.TooFarAhead)
}

// Guards against a resume that repeats or skips events, and against a response that ends twice.
func TestBufferResumesAfterAnyEvent(t *testing.T) {
	b := stream.NewBuffer()
	_, _, changed := b.EventsAfter(0)
	b.Append("token", []byte("a"))
	<-changed
	b.Append("token", []byte("b"))
	assert.Assert(t, b.Finish("end", nil))
	assert.Assert(t, !b.Finish("error", nil))
	b.Append("token", []byte("late"))
	events, done, _ := b.EventsAfter(1)
	assert.Assert(t, done)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].ID, 2)
	assert.Equal(t, string(events[0].Data), "b")
	events, _, _ = b.EventsAfter(3)
	assert.Equal(t, len(events), 0)
}
