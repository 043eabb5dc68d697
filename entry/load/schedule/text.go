package schedule

import "io"

// Text is a prompt's text: what its class shares, then its document, then what is its
// own. Equal seeds give equal text, so that prefix caches find it again.
type Text struct {
	Common         uint64
	CommonTokens   int
	Document       uint64
	DocumentTokens int
	Own            uint64
	// Tokens is the length of the whole.
	Tokens int
}

// BytesPerToken is the length of the words that texts are made of, about that of a token
// in the usual vocabularies.
const BytesPerToken = 4

// Bytes returns the length of the text.
func (t Text) Bytes() int { return t.Tokens * BytesPerToken }

// Reader returns the text, made as it is read: a prompt of a million tokens is never
// held as a whole.
func (t Text) Reader() io.Reader { return &textReader{text: t} }

type textReader struct {
	text Text
	next int
	word [BytesPerToken]byte
	rest []byte
}

// Read implements io.Reader.
func (r *textReader) Read(p []byte) (int, error) {
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	for n < len(p) && r.next < r.text.Tokens {
		r.word = r.text.word(r.next)
		r.next++
		copied := copy(p[n:], r.word[:])
		r.rest = r.word[copied:]
		n += copied
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// word returns the word at index i: three letters and a space.
func (t Text) word(i int) [BytesPerToken]byte {
	seed := t.Own
	switch {
	case i < t.CommonTokens:
		seed = t.Common
	case i < t.CommonTokens+t.DocumentTokens:
		seed = t.Document
	}
	bits := scramble(seed + uint64(i)*golden)
	return [BytesPerToken]byte{letter(bits), letter(bits >> 16), letter(bits >> 32), ' '}
}

func letter(bits uint64) byte { return 'a' + byte(bits%26) }

// The kinds of seed, so that equal numbers of two kinds give different text.
const (
	kindCommon uint64 = iota + 1
	kindDocument
)

func textSeed(parts ...uint64) uint64 {
	seed := uint64(0)
	for _, part := range parts {
		seed = scramble(seed ^ scramble(part))
	}
	return seed
}

// golden and scramble are SplitMix64: neighbouring inputs give unrelated outputs.
const golden = 0x9e3779b97f4a7c15

func scramble(x uint64) uint64 {
	x += golden
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
