package schedule

import "io"

// Text describes a prompt's text: the prefix common to its class, then its document's text, then
// text unique to the prompt. Equal seeds give equal text, which prefix caches recognise.
type Text struct {
	CommonSeed     uint64
	CommonTokens   int
	DocumentSeed   uint64
	DocumentTokens int
	UniqueSeed     uint64
	// Tokens is the total length.
	Tokens int
}

// BytesPerToken is the length of the words in texts, which is about the length of a token in common
// vocabularies.
const BytesPerToken = 4

// Bytes returns the length of the text in bytes.
func (t Text) Bytes() int { return t.Tokens * BytesPerToken }

// Reader returns a reader that generates the text as it is read, so that a prompt of a million
// tokens is never held in memory.
func (t Text) Reader() io.Reader { return &textReader{text: t} }

type textReader struct {
	text     Text
	nextWord int
	word     [BytesPerToken]byte
	pending  []byte
}

// Read implements io.Reader.
func (r *textReader) Read(p []byte) (int, error) {
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	for n < len(p) && r.nextWord < r.text.Tokens {
		r.word = r.text.word(r.nextWord)
		r.nextWord++
		copied := copy(p[n:], r.word[:])
		r.pending = r.word[copied:]
		n += copied
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// word returns the word at index i, three letters and a space.
func (t Text) word(i int) [BytesPerToken]byte {
	seed := t.UniqueSeed
	switch {
	case i < t.CommonTokens:
		seed = t.CommonSeed
	case i < t.CommonTokens+t.DocumentTokens:
		seed = t.DocumentSeed
	}
	bits := splitMix64(seed + uint64(i)*goldenGamma)
	return [BytesPerToken]byte{letter(bits), letter(bits >> 16), letter(bits >> 32), ' '}
}

func letter(bits uint64) byte { return 'a' + byte(bits%26) }

// The kinds of text seeds, so that a common text and a document with equal indexes differ.
const (
	seedKindCommon uint64 = iota + 1
	seedKindDocument
)

// textSeed returns a seed that depends on all parts and on their order.
func textSeed(parts ...uint64) uint64 {
	seed := uint64(0)
	for _, part := range parts {
		seed = splitMix64(seed ^ splitMix64(part))
	}
	return seed
}

// goldenGamma and splitMix64 are the increment and the mixing function of SplitMix64, which gives
// unrelated outputs for neighbouring inputs.
const goldenGamma = 0x9e3779b97f4a7c15

func splitMix64(x uint64) uint64 {
	x += goldenGamma
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
