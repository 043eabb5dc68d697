// Package prefix estimates which replica holds the KV cache of a prompt's prefix. It computes
// rolling digests of a prompt and records, in bounded memory, to which replicas prompts with
// the same digests were sent. Its types are not safe for concurrent use.
package prefix

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the smallest distance between two digests: 512 tokens of 4 bytes. Engines
	// cache in blocks of 16 to 512 tokens; a shorter match saves under 13 ms at 40,000 tokens/s.
	BlockBytes = 2048
	// MaxDigests is the maximum number of digests of one prompt.
	MaxDigests = 64
	// evenlySpacedDigests is the number of digests at a distance of BlockBytes. They cover the
	// short class (8,000 tokens).
	evenlySpacedDigests = 16
	// growthDivisor divides a boundary to get the distance to the next one. Each boundary is
	// 1/8 longer than the last, so that at most 1/9 of a match is missed and 64 digests cover
	// 7.8 MB, or 1 M tokens of 7 bytes.
	growthDivisor = 8
)

// boundaries holds the prefix lengths in bytes at which digests are taken.
var boundaries = makeBoundaries()

func makeBoundaries() [MaxDigests]int {
	var b [MaxDigests]int
	for i := range b {
		if i < evenlySpacedDigests {
			b[i] = (i + 1) * BlockBytes
			continue
		}
		step := b[i-1] / growthDivisor / BlockBytes * BlockBytes
		b[i] = b[i-1] + step
	}
	return b
}

// Boundary returns the number of prompt bytes that the first depth digests cover.
func Boundary(depth int) int {
	if depth <= 0 {
		return 0
	}
	return boundaries[min(depth, MaxDigests)-1]
}

// Depth returns the number of digests of a prompt with the given number of bytes.
func Depth(bytes int) int {
	return sort.SearchInts(boundaries[:], bytes+1)
}

// Digests appends the rolling digests of prompt to dst, shortest prefix first. The seed
// separates prompts that can't share a cache; it should name the model and its adapter.
// A prompt shorter than BlockBytes has none.
func Digests(seed string, prompt []byte, dst []uint64) []uint64 {
	var hash xxhash.Digest
	hash.Reset()
	// Writing a string or bytes to xxhash never fails.
	_, _ = hash.WriteString(seed)
	_, _ = hash.Write([]byte{0})
	from := 0
	for _, to := range boundaries {
		if to > len(prompt) {
			break
		}
		_, _ = hash.Write(prompt[from:to])
		dst = append(dst, hash.Sum64())
		from = to
	}
	return dst
}
