package upcon

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"
)

func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Trailer) > 0 {
		b.WriteString("Transfer-Encoding: chunked\r\nTrailer: " + strings.Join(slices.Sorted(maps.Keys(r.Trailer)), ", ") + "\r\n")
	} else if len(r.Body) > 0 || r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// encodeBody returns the body as it is sent: with a trailer as one chunk, else as it is.
func encodeBody(r Request) []byte {
	if len(r.Trailer) == 0 {
		return r.Body
	}
	var b bytes.Buffer
	if len(r.Body) > 0 {
		b.WriteString(strconv.FormatInt(int64(len(r.Body)), 16) + "\r\n")
		b.Write(r.Body)
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n")
	for _, name := range slices.Sorted(maps.Keys(r.Trailer)) {
		for _, v := range r.Trailer[name] {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
