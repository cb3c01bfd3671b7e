package entry

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/berylledge/berylledge/internal/flow/stream"
	"github.com/berylledge/berylledge/pkg/caller"
)

// The encoding of caller.Token, around the text.
var (
	tokenBegin = []byte(`{"text":"`)
	tokenEnd   = []byte(`"}`)
)

// writeAnswer writes the events of a request as one caller.Answer. They are JSON already, written by package exec, and are copied as they
// are: decoded and encoded once more, an answer took five times what the account holds for its events.
func writeAnswer(w io.Writer, id string, events []stream.Event) error {
	out := &errWriter{w: w}
	name, _ := json.Marshal(id) // a string
	out.write([]byte(`{"request_id":`), name, []byte(`,"output":"`))
	for _, e := range events {
		if e.Name == caller.EventToken {
			out.write(bytes.TrimSuffix(bytes.TrimPrefix(e.Data, tokenBegin), tokenEnd))
		}
	}
	out.write([]byte(`","stages":[`))
	stages, end := 0, []byte("{}")
	for _, e := range events {
		switch e.Name {
		case caller.EventStage:
			if stages++; stages > 1 {
				out.write([]byte(","))
			}
			out.write(e.Data)
		case caller.EventEnd:
			end = e.Data
		}
	}
	out.write([]byte(`],"end":`), end, []byte("}\n"))
	return out.err
}

// errWriter writes until the first error.
type errWriter struct {
	w   io.Writer
	err error
}

func (e *errWriter) write(pieces ...[]byte) {
	for _, p := range pieces {
		if e.err == nil {
			_, e.err = e.w.Write(p)
		}
	}
}
