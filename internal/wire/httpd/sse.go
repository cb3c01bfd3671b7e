package httpd

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"
)

// MaxEventBytes is the largest server-sent event that is read.
const MaxEventBytes = 1 << 20

// writeTimeout bounds how long one write to a reader that takes nothing may block, give or take a half. It ends slow
// readers.
const writeTimeout = 10 * time.Second

// EventWriter writes server-sent events.
type EventWriter struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	buf   bytes.Buffer
	until time.Time // write deadline of the connection
}

// NewEventWriter sends the header of a stream of events.
func NewEventWriter(w http.ResponseWriter) *EventWriter {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return &EventWriter{w: w, rc: http.NewResponseController(w)}
}

// Write adds an event to the output; id 0 and an empty name are left out. The data must not contain a newline, which
// JSON does not.
func (e *EventWriter) Write(id int, name string, data []byte) {
	if id > 0 {
		e.buf.WriteString("id: ")
		e.buf.WriteString(strconv.Itoa(id))
		e.buf.WriteByte('\n')
	}
	if name != "" {
		e.buf.WriteString("event: ")
		e.buf.WriteString(name)
		e.buf.WriteByte('\n')
	}
	e.buf.WriteString("data: ")
	e.buf.Write(data)
	e.buf.WriteString("\n\n")
}

// Flush sends the events written so far.
func (e *EventWriter) Flush(now time.Time) error {
	if e.until.Sub(now) < writeTimeout/2 { // not for each token, since it changes a timer of the runtime
		e.until = now.Add(writeTimeout)
		_ = e.rc.SetWriteDeadline(e.until) // not supported by recorders in tests
	}
	if _, err := e.w.Write(e.buf.Bytes()); err != nil {
		return err
	}
	e.buf.Reset()
	return e.rc.Flush()
}

// ReadEvents calls f for each event until the stream ends, f returns false, or an error occurs.
func ReadEvents(r io.Reader, f func(id, name, data string) bool) error {
	var failed error
	sse.Read(r, &sse.ReadConfig{MaxEventSize: MaxEventBytes})(func(e sse.Event, err error) bool {
		if err != nil {
			failed = err
			return false
		}
		return f(e.LastEventID, e.Type, e.Data)
	})
	return failed
}

// Post sends a JSON body with a client and returns the response, whose body the caller closes.
func Post(ctx context.Context, do func(*http.Request) (*http.Response, error), url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return do(req)
}
