package stream

import (
	"fmt"

	"github.com/berylledge/berylledge/pkg/upapi"
)

// MaxBufferedChunks is the number of chunks buffered while an earlier one is missing. It limits the memory that an upstream
// can use up by sending chunks far ahead of the next one.
const MaxBufferedChunks = 256

// DropReason is the reason why a chunk was discarded.
type DropReason string

// Reasons for dropping a chunk.
const (
	NotDropped     DropReason = ""
	OtherWork      DropReason = "foreign"   // belongs to another request, stage or attempt
	Duplicate      DropReason = "duplicate" // already received
	TooFarAhead    DropReason = "ahead"     // buffer full
	AfterEnd       DropReason = "after_end" // offset beyond the count announced by the end
	ConflictingEnd DropReason = "conflict"  // end with a count that contradicts an earlier end or the chunks received
)

// AddResult is the result of adding a chunk: the texts that are now in order, or why the chunk was dropped.
type AddResult struct {
	Texts []string
	Drop  DropReason
}

// Assembler orders the chunks of one attempt. It is not safe for concurrent use.
type Assembler struct {
	work     upapi.Work
	next     int
	buffered map[int]string
	ended    bool
	count    int
	cost     upapi.Cost
}

// NewAssembler returns an assembler for an attempt whose first chunk has the offset from.
func NewAssembler(work upapi.Work, from int) *Assembler {
	return &Assembler{work: work, next: from, buffered: map[int]string{}}
}

// Add processes a chunk, which may arrive out of order.
func (a *Assembler) Add(c upapi.Chunk) AddResult {
	if c.Ext.Work != a.work {
		return AddResult{Drop: OtherWork}
	}
	if c.Ext.End {
		return a.handleEnd(c)
	}
	if len(c.Choices) != 1 {
		return AddResult{Drop: OtherWork}
	}
	return a.insert(c.Ext.Offset, c.Choices[0].Text)
}

func (a *Assembler) handleEnd(c upapi.Chunk) AddResult {
	if a.ended && a.count != c.Ext.Count || c.Ext.Count < a.next {
		return AddResult{Drop: ConflictingEnd}
	}
	a.ended, a.count, a.cost = true, c.Ext.Count, c.Ext.Cost
	return AddResult{}
}

func (a *Assembler) insert(offset int, text string) AddResult {
	switch _, known := a.buffered[offset]; {
	case offset < a.next || known:
		return AddResult{Drop: Duplicate}
	case a.ended && offset >= a.count:
		return AddResult{Drop: AfterEnd}
	case offset > a.next && len(a.buffered) >= MaxBufferedChunks:
		return AddResult{Drop: TooFarAhead}
	}
	a.buffered[offset] = text
	var texts []string
	for {
		t, ok := a.buffered[a.next]
		if !ok {
			return AddResult{Texts: texts}
		}
		delete(a.buffered, a.next)
		texts = append(texts, t)
		a.next++
	}
}

// Next returns the offset of the first missing chunk.
func (a *Assembler) Next() int { return a.next }

// Complete reports whether the end marker and all chunks before it have been received.
func (a *Assembler) Complete() bool { return a.ended && a.next == a.count }

// Cost returns the cost reported with the end marker.
func (a *Assembler) Cost() upapi.Cost { return a.cost }

// GapError reports a stream that stopped before it was complete.
type GapError struct {
	Next  int // offset of the first missing chunk
	Ended bool
	Count int // announced count, if Ended
}

func (e *GapError) Error() string {
	if e.Ended {
		return fmt.Sprintf("stream ended with chunk %d of %d missing", e.Next, e.Count)
	}
	return fmt.Sprintf("stream broke before chunk %d", e.Next)
}

// Err returns nil if the stream is complete, else a *GapError.
func (a *Assembler) Err() error {
	if a.Complete() {
		return nil
	}
	return &GapError{Next: a.next, Ended: a.ended, Count: a.count}
}
