package proxy

import (
	"bytes"
	"strconv"
)

// eventLength returns the length of the first event in data, with the empty lines before and after it, or 0 if no event is
// complete. A line ends with CR LF, LF or CR, and an empty line ends an event. Further empty lines end none; they stay with
// the event beside them, so that the stream is forwarded byte for byte.
func eventLength(data []byte) int {
	inEvent, complete := false, false
	rest := data
	for {
		line, after, ok := cutLine(rest)
		switch {
		case !ok && complete, complete && len(line) > 0:
			return len(data) - len(rest)
		case !ok:
			return 0
		case len(line) > 0:
			inEvent = true
		case inEvent:
			complete = true
		}
		rest = after
	}
}

// cutLine splits data after its first line; ok is false if no line has ended. A CR at the end of data ends a line: if its LF
// follows later, that counts as an empty line.
func cutLine(data []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexAny(data, "\r\n")
	if i < 0 {
		return nil, data, false
	}
	n := 1
	if bytes.HasPrefix(data[i:], []byte("\r\n")) {
		n = 2
	}
	return data[:i], data[i+n:], true
}

// isBlank reports whether data consists of empty lines.
func isBlank(data []byte) bool { return len(bytes.Trim(data, "\r\n")) == 0 }

// eventID returns the id of a complete event, or "".
func eventID(event []byte) string {
	for {
		line, rest, ok := cutLine(event)
		if !ok {
			return ""
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
		event = rest
	}
}

// isControl reports whether a complete event holds nothing but comments and the time after which the reader reconnects.
func isControl(event []byte) bool {
	for {
		line, rest, ok := cutLine(event)
		switch {
		case !ok:
			return true
		case len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")):
			return false
		}
		event = rest
	}
}

// isNewer compares event ids, which are increasing numbers. Ids that are not numbers count as newer unless they are equal.
func isNewer(id, last string) bool {
	if id == last {
		return false
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
