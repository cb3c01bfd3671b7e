// Package pack compresses documents, alone or against a document that the receiver has.
//
// Successive versions of a configuration differ in few places, so that one version packed against the one before has a small
// part of its size.
//
// Usage:
//
//	packed := pack.Compress(document, earlier) // earlier may be nil
//	document, err := pack.Expand(packed, earlier, pack.MostBytes)
package pack

import (
	"math/bits"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// MostBytes bounds an expanded document, so that a short damaged or hostile input does not take all memory.
const MostBytes = 32 << 20

// Sizes of the window, in bytes. With an earlier document it must cover that one and the new one, or matches in the first are not
// found.
const (
	plainWindow = 256 << 10
	leastWindow = 64 << 10
	mostWindow  = 8 << 20
)

// earlierID names the earlier document in a packed one; Expand refuses a packed document whose earlier one it lacks.
const earlierID = 1

// plain packs documents alone; EncodeAll may be called from any goroutine.
var plain = sync.OnceValue(func() *zstd.Encoder { return encoder(zstd.WithWindowSize(plainWindow)) })

// expander unpacks documents that were packed alone.
var expander = sync.OnceValue(func() *zstd.Decoder { return decoder(MostBytes) })

func encoder(options ...zstd.EOption) *zstd.Encoder {
	w, err := zstd.NewWriter(nil, append(options, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))...)
	if err != nil { // the options are valid
		panic(err)
	}
	return w
}

func decoder(most int, options ...zstd.DOption) *zstd.Decoder {
	r, err := zstd.NewReader(nil, append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(most)), zstd.WithDecoderMaxWindow(mostWindow))...)
	if err != nil { // the options are valid
		panic(err)
	}
	return r
}

// Compress packs a document against an earlier one, which may be empty. Equal inputs give equal results.
func Compress(document, earlier []byte) []byte {
	if len(earlier) == 0 {
		return plain().EncodeAll(document, nil)
	}
	w := encoder(zstd.WithWindowSize(window(len(document)+len(earlier))), zstd.WithEncoderDictRaw(earlierID, earlier))
	defer func() { _ = w.Close() }() // nothing is buffered
	return w.EncodeAll(document, nil)
}

// Expand returns the document of a packed one. An error means that it is damaged, longer than most bytes, or was packed against
// another document.
func Expand(packed, earlier []byte, most int) ([]byte, error) {
	r := expander()
	if len(earlier) > 0 || most != MostBytes {
		options := []zstd.DOption(nil)
		if len(earlier) > 0 {
			options = append(options, zstd.WithDecoderDictRaw(earlierID, earlier))
		}
		r = decoder(most, options...)
		defer r.Close()
	}
	document, err := r.DecodeAll(packed, nil)
	return document, errors.Wrap(err, "expand a document")
}

// window returns the smallest power of two that covers a length, within the bounds.
func window(length int) int {
	return min(max(1<<bits.Len(uint(length)), leastWindow), mostWindow)
}
