package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of a block of the prefix cache, in tokens.
const BlockTokens = 512

const blockBytes = BlockTokens * BytesPerToken

// PrefixBlocks returns the numbers of the whole blocks of a prompt for model, first block
// first. A block's number depends on all text before it, so two prompts share a number
// exactly where they share the prefix up to the block's end. Cache events carry these
// numbers.
func PrefixBlocks(model, text string) []uint64 {
	blocks := make([]uint64, 0, len(text)/blockBytes)
	previous := xxhash.Sum64String(model)
	var d xxhash.Digest
	var head [8]byte
	for len(text) >= blockBytes {
		binary.LittleEndian.PutUint64(head[:], previous)
		d.Reset()
		d.Write(head[:])
		d.WriteString(text[:blockBytes])
		previous = d.Sum64()
		blocks = append(blocks, previous)
		text = text[blockBytes:]
	}
	return blocks
}
