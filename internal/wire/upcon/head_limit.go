package upcon

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/berylledge/berylledge/internal/wire/memory"
)

// maxHead bounds the head of an answer, in bytes, with what is read ahead of its body.
const maxHead = 256 << 10

const unlimited = -1

// ErrHeadTooLarge is the reason when the head of an answer does not end.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// ErrHeadNoRoom is the reason when the process has no memory for the head of an answer.
var ErrHeadNoRoom = errors.New("the memory for answers is in use")

// headStep is reserved at a time.
const headStep = 16 << 10

// meter passes on what it reads, up to a limit, and reserves what the head takes once it is parsed.
type meter struct {
	from io.Reader
	left int // bytes; unlimited: no limit
	// copied receives what is read under a limit; nil: it is not needed.
	copied *bytes.Buffer
	held   *memory.Reservation // nil: no bound
	bytes  int                 // of the head so far
	lines  int
}

// begin bounds the head that follows.
func (m *meter) begin(most int) { m.left, m.bytes, m.lines = most, 0, 0 }

// end takes the bound off. What the head takes stays reserved until release.
func (m *meter) end() { m.left, m.copied = unlimited, nil }

// release gives back what the head took.
func (m *meter) release() {
	if memory.HeadCost(m.bytes, m.lines) > memory.FreeBytes {
		m.held.Shrink(0)
	}
}

func (m *meter) Read(p []byte) (int, error) {
	if m.left == unlimited {
		return m.from.Read(p)
	}
	if m.left == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := m.from.Read(p[:min(len(p), m.left)])
	m.left -= n
	if m.copied != nil {
		m.copied.Write(p[:n])
	}
	if !m.cover(p[:n]) {
		return 0, ErrHeadNoRoom
	}
	return n, err
}

var headEnd = []byte("\r\n\r\n")

// cover reserves what the head takes so far. What follows it in the same read belongs to the body.
func (m *meter) cover(read []byte) bool {
	if i := bytes.Index(read, headEnd); i >= 0 {
		read = read[:i]
	}
	m.bytes += len(read)
	m.lines += bytes.Count(read, []byte{'\n'})
	need := memory.HeadCost(m.bytes, m.lines)
	return need <= memory.FreeBytes || m.held.Cover((need+headStep-1)/headStep*headStep)
}
