package memory

import (
	"errors"
	"io"
)

// firstRead is the size of the first buffer of a body; larger ones are reserved as the bytes arrive, not as they are announced. growth is
// the factor from one buffer to the next towards an announced size, where few buffers leave little garbage.
const (
	firstRead = 64 << 10
	growth    = 4
	// probeBytes is read before the buffer of a body without an announced size grows.
	probeBytes = 512
)

// ReadAll reads all of in and covers the buffer. size is the number of bytes that are announced, or below 0. It returns ErrFull when the
// account has no room.
func (r *Reservation) ReadAll(in io.Reader, size int64) ([]byte, error) {
	if r == nil {
		return io.ReadAll(in)
	}
	want := int64(firstRead)
	if size >= 0 {
		want = min(size+1, want) // the byte beside is for reading the end
	} else {
		want = FreeBytes
	}
	var buf []byte
	for {
		var rest []byte
		if len(buf) == cap(buf) {
			if size < 0 && len(buf) > 0 { // it may have ended here, and no larger buffer is needed
				probe := make([]byte, probeBytes)
				n, err := in.Read(probe)
				if rest = probe[:n]; n == 0 {
					if errors.Is(err, io.EOF) {
						return buf, nil
					}
					if err != nil {
						return buf, err
					}
				}
			}
			if want > FreeBytes && !r.Cover(want+int64(len(buf))) { // both buffers are held while one is copied
				return buf, ErrFull
			}
			next := make([]byte, len(buf), want)
			copy(next, buf)
			buf = append(next, rest...)
			r.Shrink(want)
			want *= 2
			if size >= int64(cap(buf)) {
				want = min(want*growth/2, size+1)
			}
		}
		n, err := in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}
