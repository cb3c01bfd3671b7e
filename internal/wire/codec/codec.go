// Package codec decodes CBOR messages from other processes and enforces limits on their size and structure.
//
// Usage:
//
//	m, err := codec.Decode[Message](body, maxMessage, "membership message")
package codec

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Structural limits that apply to a message of any size. They bound the memory that decoding a malformed message can allocate.
const (
	maxArrayElements = 4096
	maxMapPairs      = 64
	maxNestingLevels = 8
)

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestingLevels,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Decode decodes a message of at most limit bytes. what is a description of the message for error texts.
func Decode[T any](data []byte, limit int, what string) (T, error) {
	var v, zero T
	if len(data) > limit {
		return zero, errors.Newf("%s of %d bytes exceeds the limit of %d", what, len(data), limit)
	}
	if err := decMode.Unmarshal(data, &v); err != nil {
		return zero, errors.Wrapf(err, "decode a %s", what)
	}
	return v, nil
}
