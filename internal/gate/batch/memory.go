package batch

import (
	"github.com/berylledge/berylledge/internal/gate/stage"
	"github.com/berylledge/berylledge/internal/wire/memory"
)

const (
	// pieceBytes is what a piece takes while it is planned, queued and called. A header of a few bytes states thousands of them.
	pieceBytes = 1 << 10
	// freePieces are covered by what a connection is charged.
	freePieces = 32
)

// ReservePieces takes the memory for the pieces of a request and reports whether there was room. The owner releases it.
func ReservePieces(a *memory.Account, n int) (held *memory.Reservation, ok bool) {
	if n <= freePieces {
		return nil, true
	}
	held = a.Reserve(memory.Upstream, nil)
	if !held.Cover(int64(n) * pieceBytes) {
		held.Release()
		return nil, false
	}
	return held, true
}

// refusedJobs are the results of jobs for which there is no room: nothing has run.
func refusedJobs(n int) []JobResult {
	out := make([]JobResult, n)
	for i := range out {
		out[i].Reason = stage.ReasonRefused
	}
	return out
}
