package ctlsrv

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// A message that names neither a version nor a run counts only while its sender waits for the answer. One that a partition held up, or
// that waited in the sockets of this process while it was frozen, may come long after its sender has turned to another control node and
// made a newer one there. The close of the connection follows it on the same way.

// closeNotice is how long after a message the close of its connection is awaited: a round trip to the farthest sender, and the time that
// this process takes to notice it.
const closeNotice = 50 * time.Millisecond

var (
	errBody       = errors.New("the body can't be read, or is too large")
	errSenderLeft = errors.New("the sender no longer waits for an answer")
)

// awaitSender returns nil if the sender of a request still waits for its answer, some time after the request was read.
func (s *Server) awaitSender(r *http.Request) error {
	// The context of a request ends with its connection only once its body was read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return errBody
	}
	if clock.Sleep(r.Context(), s.o.Clock, closeNotice) != nil {
		return errSenderLeft
	}
	return nil
}
