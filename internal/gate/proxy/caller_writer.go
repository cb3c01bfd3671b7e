package proxy

import (
	"net/http"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// A caller that takes less than a part of its answer in the time for it counts as gone. Slower than the slowest links in use by far,
// it would hold a connection, and the answer in memory, for as long as it likes.
const (
	partBytes = 16 << 10
	partTime  = 10 * time.Second
)

// callerWriter passes an answer on in parts and bounds the time that the caller takes for each.
type callerWriter struct {
	http.ResponseWriter
	clock   clock.Clock
	control *http.ResponseController
}

func newCallerWriter(w http.ResponseWriter, c clock.Clock) *callerWriter {
	return &callerWriter{w, c, http.NewResponseController(w)}
}

// Unwrap is for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *callerWriter) extend() {
	_ = w.control.SetWriteDeadline(w.clock.Now().Add(partTime)) // without support for it, the write goes on without a bound
}

// WriteHeader also begins the time for an answer without a body.
func (w *callerWriter) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

func (w *callerWriter) Write(data []byte) (int, error) {
	total := 0
	for {
		part := data[:min(len(data), partBytes)]
		w.extend()
		n, err := w.ResponseWriter.Write(part)
		total += n
		data = data[n:]
		if err != nil || len(data) == 0 {
			return total, err
		}
	}
}
