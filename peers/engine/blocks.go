package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of a block of the prefix cache, in tokens.
const BlockTokens = 512

const blockBytes = BlockTokens * BytesPerToken

// PrefixBlocks returns the hashes of the full blocks of a prompt for model, in the order of
// the text. A block's hash covers all text before it, so two prompts share a hash only if
// they share the prefix up to the block's end. Cache events identify blocks by these hashes.
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
