package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// words is the vocabulary of answers, one token per word. Its size is a power of two.
var words = [...]string{
	"span ", "prune ", "brake ", "pump ", "lift ", "line ", "tower ", "check ",
	"bamboo ", "seal ", "hoist ", "route ", "valve ", "crew ", "log ", "clear ",
	"safe ", "wear ", "oil ", "cable ", "north ", "south ", "east ", "west ",
	"one ", "two ", "three ", "due ", "late ", "open ", "shut ", "done. ",
}

// answer is the answer of a model to a prompt. It is a pure function of both, so that a
// continuation on any engine can be compared byte by byte with the whole answer.
type answer struct {
	seed uint64
}

func newAnswer(model, prompt string) answer {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(model)
	d.WriteString("\x00")
	d.WriteString(prompt)
	return answer{seed: d.Sum64()}
}

// token returns the text of the token at index i.
func (a answer) token(i int) string {
	return words[mix(a.seed+uint64(i))%uint64(len(words))]
}

// text returns the text of the tokens in the range [from, to).
func (a answer) text(from, to int) string {
	if to == from+1 {
		return a.token(from)
	}
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(a.token(i))
	}
	return b.String()
}

// length returns the answer's natural length, between a quarter of maximum and maximum.
func (a answer) length(maximum int) int {
	minimum := max(1, maximum/4)
	return minimum + int(mix(a.seed^lengthSalt)%uint64(maximum-minimum+1))
}

const lengthSalt = 0x6c656e677468

// mix is the finaliser of SplitMix64: similar inputs give unrelated outputs.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
