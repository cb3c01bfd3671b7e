package exec

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/flow/retry"
	"github.com/berylledge/berylledge/internal/flow/stream"
	"github.com/berylledge/berylledge/internal/wire/httpd"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// maxResultBytes limits the result of a stage.
const maxResultBytes = 8 << 20

func limitBody(r io.Reader) io.Reader { return io.LimitReader(r, maxResultBytes) }

// drainBody reads the rest of a body, so that the connection can be reused, and closes it.
func drainBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	_ = resp.Body.Close()
}

// post sends a message to the chosen upstream. attempt is the context of the attempt, which may end before ctx, that of the
// stage. If the response is nil, the outcome describes the failure.
func (st *stageRun) post(ctx, attempt context.Context, path string, body []byte) (*http.Response, outcome) {
	client := st.o.Client
	if st.stage.NotRepeatable {
		client = st.o.OnceClient
	}
	resp, err := httpd.Post(attempt, client.DoRequest, "http://"+st.choice.Upstream.Address+path, body)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, outcome{class: retry.ClassConnect, connRefused: errors.Is(err, syscall.ECONNREFUSED), message: err.Error()}
		}
		o := outcome{class: errorClass(ctx, err), dispatched: true, connLost: true, message: err.Error()}
		if ctx.Err() == nil && attempt.Err() != nil {
			o.class = retry.ClassTimeout
		}
		return nil, o
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return resp, outcome{}
	case resp.StatusCode < http.StatusBadRequest || resp.StatusCode > maxStatus:
		// No answer of the interface has such a status, so what the body says is not believed. It isn't read either: after 101, no context
		// ends the read.
		_ = resp.Body.Close()
		return nil, outcome{class: retry.ClassReset, dispatched: true, message: "invalid status: " + resp.Status}
	}
	defer drainBody(resp)
	return nil, errorOutcome(resp)
}

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

func errorOutcome(resp *http.Response) outcome {
	var e upapi.Error
	if err := json.NewDecoder(limitBody(resp.Body)).Decode(&e); err != nil {
		return outcome{class: retry.ClassReset, dispatched: true, message: resp.Status}
	}
	o := outcome{dispatched: true, message: string(e.Code) + ": " + e.Message}
	switch e.Code {
	case upapi.CodeNotStarted:
		o.class = retry.ClassNotStarted
	case upapi.CodeBusy:
		o.class = retry.ClassBusy
	case upapi.CodeBadRequest:
		o.class = retry.ClassBadRequest
	case upapi.CodeFailed, upapi.CodeStaleFence, upapi.CodeUnknown:
		o.class = retry.ClassFailed
	default:
		o.class = retry.ClassReset
	}
	return o
}

func errorClass(ctx context.Context, err error) retry.Class {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return retry.ClassCancelled
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return retry.ClassTimeout
	default:
		return retry.ClassReset
	}
}

// watchdog cancels an attempt that makes no progress, so that time is left for another one. It has no timer for
// non-repeatable work, whose outcome would only become unknown if it were cancelled early.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  clock.Timer
	clock  clock.Clock
	reset  time.Time // when the timer was last set
}

// maxChunkGap is the longest pause between two chunks of a stream. It is far above the target of 27 ms for the
// 95th percentile, and below the deadlines of interactive pipelines.
const maxChunkGap = 2 * time.Second

// startWatchdog starts a watchdog for an attempt. The first response may take half of the remaining time.
func (st *stageRun) startWatchdog(ctx context.Context) *watchdog {
	w := &watchdog{clock: st.o.Clock}
	w.ctx, w.cancel = context.WithCancel(ctx)
	if !st.stage.NotRepeatable {
		w.timer = st.o.Clock.AfterFunc(st.deadline.Sub(st.o.Clock.Now())/2, w.cancel)
	}
	return w
}

func (w *watchdog) progress() {
	// The timer is not reset for each chunk, because that costs more than reading the clock.
	if now := w.clock.Now(); w.timer != nil && now.Sub(w.reset) > maxChunkGap/8 {
		w.reset = now
		w.timer.Reset(maxChunkGap)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}

// generate runs an attempt of a generation, delivering its chunks in order as they arrive.
func (st *stageRun) generate(ctx context.Context, work upapi.Work, resume bool) outcome {
	from := 0
	if resume {
		from = len(st.chunks)
		st.emitAttemptEvent(event.StreamResumed, event.F("offset", from))
	}
	body, _ := json.Marshal(upapi.Completion{
		Work: work, Model: st.stage.Model, Prompt: st.prompt(), MaxTokens: st.stage.MaxTokens, Stream: true,
		Priority: st.req.Rank, Team: st.req.Team, DeadlineMS: st.remainingMS(), ResumeFrom: from,
	})
	began := st.o.Clock.Now()
	wd := st.startWatchdog(ctx)
	defer wd.stop()
	resp, o := st.post(ctx, wd.ctx, upapi.PathCompletions, body)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	s := &generation{stageRun: st, assembler: stream.NewAssembler(work, from), next: from, began: began, wd: wd}
	err := httpd.ReadEvents(resp.Body, func(_, _, data string) bool { return s.handleChunk(data) })
	return s.outcome(ctx, work, err)
}

// generation is the state of one streaming attempt.
type generation struct {
	*stageRun
	assembler *stream.Assembler
	next      int // index of the next chunk; below len(chunks) the chunk repeats a delivered one
	began     time.Time
	firstByte time.Duration
	mismatch  bool
	wd        *watchdog
}

// handleChunk processes one event and reports whether to continue reading.
func (g *generation) handleChunk(data string) bool {
	if data == "[DONE]" {
		return false
	}
	var c upapi.Chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		g.emitDropped("malformed chunk")
		return true
	}
	g.wd.progress()
	added := g.assembler.Add(c)
	if added.Drop != stream.NotDropped && added.Drop != stream.Duplicate {
		g.emitDropped(string(added.Drop))
	}
	if len(added.Texts) > 0 && g.firstByte == 0 {
		g.firstByte = g.o.Clock.Now().Sub(g.began)
	}
	newChunks := g.matchDelivered(added.Texts)
	if g.mismatch {
		return false
	}
	if len(newChunks) > 0 {
		g.chunks = append(g.chunks, newChunks...)
		g.resumes = 0
		if g.isAnswer {
			g.emitToken(strings.Join(newChunks, ""))
		}
	}
	return !g.noRoom
}

// matchDelivered compares chunks of a rerun with the delivered ones and returns the new chunks. A rerun that differs cannot
// continue what the caller already has.
func (g *generation) matchDelivered(texts []string) []string {
	for i, t := range texts {
		if g.next >= len(g.chunks) {
			g.next += len(texts) - i
			return texts[i:]
		}
		if g.chunks[g.next] != t {
			g.mismatch = true
			return nil
		}
		g.next++
	}
	return nil
}

func (g *generation) outcome(ctx context.Context, work upapi.Work, err error) outcome {
	if g.assembler.Complete() && !g.mismatch {
		return outcome{ok: true, output: strings.Join(g.chunks, ""), cost: g.assembler.Cost(), firstByte: g.firstByte}
	}
	o := outcome{dispatched: true, class: errorClass(ctx, err), connLost: err != nil, message: g.assembler.Err().Error()}
	if g.mismatch {
		o.class, o.message = retry.ClassMismatch, "the rerun differs from the output already delivered"
	}
	if err != nil {
		o.message += ": " + err.Error()
	}
	g.cancelWork(work)
	return o
}

// cancelTimeout limits the message that frees a slot. If it is lost, the slot stays occupied until the engine notices the
// closed connection.
const cancelTimeout = time.Second

// cancelWork tells the engine to stop, so that abandoned work does not occupy a slot.
func (st *stageRun) cancelWork(work upapi.Work) {
	body, _ := json.Marshal(upapi.Cancel{Work: work})
	url := "http://" + st.choice.Upstream.Address + upapi.PathCancel
	client := st.o.Client
	st.wg.Go(func() {
		ctx, cancel := context.WithTimeout(st.closing, cancelTimeout)
		defer cancel()
		if resp, err := httpd.Post(ctx, client.DoRequest, url, body); err == nil {
			drainBody(resp)
		}
	})
}
