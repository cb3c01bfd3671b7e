package proxy

import (
	"net/http"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// A caller that does not accept maxChunkBytes of its response within chunkTimeout is treated as disconnected.
// Such a rate is far below that of the slowest links in use, and an unbounded caller would hold a connection and
// the buffered response indefinitely.
const (
	maxChunkBytes = 16 << 10
	chunkTimeout  = 10 * time.Second
)

// callerWriter writes a response in chunks and sets a write deadline for each of them.
type callerWriter struct {
	http.ResponseWriter
	clock   clock.Clock
	control *http.ResponseController
}

func newCallerWriter(w http.ResponseWriter, c clock.Clock) *callerWriter {
	return &callerWriter{w, c, http.NewResponseController(w)}
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *callerWriter) extendDeadline() {
	_ = w.control.SetWriteDeadline(w.clock.Now().Add(chunkTimeout)) // if deadlines are not supported, the write has no time limit
}

// WriteHeader sets a write deadline too, for responses without a body.
func (w *callerWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

func (w *callerWriter) Write(data []byte) (int, error) {
	total := 0
	for {
		chunk := data[:min(len(data), maxChunkBytes)]
		w.extendDeadline()
		n, err := w.ResponseWriter.Write(chunk)
		total += n
		data = data[n:]
		if err != nil || len(data) == 0 {
			return total, err
		}
	}
}
