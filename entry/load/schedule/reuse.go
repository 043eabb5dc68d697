package schedule

// cacheBlockTokens is the block size of the engines' prefix caches; the stand-in engine uses the
// same.
const cacheBlockTokens = 512

// prefixIndex maps the seeds of a common text and a document to the length in tokens of the longest
// prefix that an earlier prompt took from the two. Document 0 stands for the common text alone.
type prefixIndex map[prefixKey]int

type prefixKey struct{ common, document uint64 }

// matchAndAdd returns the number of tokens of the text's prefix that were seen before, rounded
// down to whole blocks, and records the text.
func (index prefixIndex) matchAndAdd(text *Text) int {
	if text.Tokens == 0 {
		return 0
	}
	common := prefixKey{common: text.CommonSeed}
	reusable := min(index[common], text.CommonTokens)
	index[common] = max(index[common], text.CommonTokens)
	if text.DocumentSeed == 0 {
		return reusable / cacheBlockTokens * cacheBlockTokens
	}
	key := prefixKey{common: text.CommonSeed, document: text.DocumentSeed}
	length := text.CommonTokens + text.DocumentTokens
	if seen := index[key]; seen > 0 {
		reusable = min(seen, length)
	}
	index[key] = max(index[key], length)
	return reusable / cacheBlockTokens * cacheBlockTokens
}
