package upapi

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the size in bytes of the blocks in which prompts are hashed, about 256 tokens of English text.
const PrefixBlock = 1024

// MaxPrefixBlocks bounds the hashes of one prompt. A prompt that is longer is told apart by its first 256 KiB only.
const MaxPrefixBlocks = 256

// PrefixHashes returns one hash for each whole block of PrefixBlock bytes of a prompt, at most MaxPrefixBlocks. Entry i
// identifies the model and the first (i+1)*PrefixBlock bytes: it is the xxhash64 of the hash before (8 bytes, little
// endian) followed by the block, and the chain starts with the xxhash64 of the name of the model. Equal prefixes
// therefore have equal hashes on every node and engine, and engines use these values in CacheEvent.Prefix. A rest
// shorter than a block is not hashed.
func PrefixHashes(model, prompt string) []uint64 {
	n := min(len(prompt)/PrefixBlock, MaxPrefixBlocks)
	if n == 0 {
		return nil
	}
	out := make([]uint64, 0, n)
	h := xxhash.Sum64String(model)
	var d xxhash.Digest
	var seed [8]byte
	for i := range n {
		d.Reset()
		binary.LittleEndian.PutUint64(seed[:], h)
		_, _ = d.Write(seed[:]) // never fails
		_, _ = d.WriteString(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		h = d.Sum64()
		out = append(out, h)
	}
	return out
}
