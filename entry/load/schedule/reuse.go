package schedule

// reuseBlock is the size, in tokens, of the blocks in which engines cache; the stand-in's
// is the same.
const reuseBlock = 512

// reuse remembers the longest text seen that begins with a common text and a document.
// The document 0 stands for the common text alone.
type reuse map[reuseKey]int

type reuseKey struct{ common, document uint64 }

// take returns the tokens of a text that were seen before, in whole blocks, and adds it.
func (k reuse) take(text *Text) int {
	if text.Tokens == 0 {
		return 0
	}
	common := reuseKey{common: text.Common}
	reusable := min(k[common], text.CommonTokens)
	k[common] = max(k[common], text.CommonTokens)
	if text.Document == 0 {
		return reusable / reuseBlock * reuseBlock
	}
	key := reuseKey{common: text.Common, document: text.Document}
	length := text.CommonTokens + text.DocumentTokens
	if seen := k[key]; seen > 0 {
		reusable = min(seen, length)
	}
	k[key] = max(k[key], length)
	return reusable / reuseBlock * reuseBlock
}
