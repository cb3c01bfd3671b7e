package upcon

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxHead bounds the head of an answer, in bytes, with what is read ahead of its body.
const maxHead = 256 << 10

const unlimited = -1

// ErrHeadTooLarge is the reason when the head of an answer does not end.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// meter passes on what it reads, up to a limit.
type meter struct {
	from io.Reader
	left int // bytes; unlimited: no limit
	// copied receives what is read under a limit; nil: it is not needed.
	copied *bytes.Buffer
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
	return n, err
}
