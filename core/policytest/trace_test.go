package policytest

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/prefix"
)

// What the prompts of a trace are like.
const (
	shareDepth    = 4   // digests of an organisation's instructions: 2,048 tokens
	documentsEach = 12  // long documents that an organisation asks about again and again
	shareOfLong   = 50  // 1 in 50 prompts is over 100,000 tokens
	hotShare      = 0.4 // of prompts in a hot trace are about one document
	hotPrompt     = 12_000
	flooder       = 10 // the organisation after the usual ones
)

// arrival is one prompt of a trace.
type arrival struct {
	at           time.Duration
	organisation int
	prompt       int
	digests      []uint64
}

// shape is what a trace is like.
type shape struct {
	length      time.Duration
	utilisation float64 // of the prefill rate, if nothing were cached
	noLong      bool    // leave out prompts over 100,000 tokens
	hot         bool
	// flood is the share of the prefill rate that one more organisation asks for in short
	// prompts.
	flood float64
}

// trace makes prompts: two thirds short questions after the organisation's instructions,
// the rest about one of its documents. Organisation sizes follow 1/rank.
func trace(seed uint64, engines int, shape shape) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	var arrivals []arrival
	at := time.Duration(0)
	perSecond := shape.utilisation * prefillRate * float64(engines) / meanPrompt
	for at < shape.length {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		a := arrival{at: at, organisation: rank(random, 10)}
		document := uint64(0)
		switch draw := random.IntN(shareOfLong * 2); {
		case draw < 2:
			a.prompt = 100_000 + int(math.Min(random.ExpFloat64()*80_000, 250_000))
			document = 1 + uint64(random.IntN(4))
		case draw < 70:
			a.prompt = 2100 + random.IntN(5000)
		default:
			a.prompt = 8000 + random.IntN(32_000)
			document = 10 + uint64(rank(random, documentsEach))
		}
		if shape.hot && random.Float64() < hotShare {
			a.prompt, a.organisation, document = hotPrompt, 0, 99
		}
		a.digests = digests(&a, document, random)
		if shape.noLong && a.prompt > call.MediumMax {
			continue
		}
		arrivals = append(arrivals, a)
	}
	return withFlood(arrivals, seed, engines, shape)
}

// The mean prompts of the usual organisations and of the flooding one.
const (
	meanPrompt = 0.02*170_000 + 0.68*4600 + 0.3*24_000
	meanFlood  = 4600
)

// withFlood adds the flooding organisation's prompts and leaves the others as they are.
func withFlood(arrivals []arrival, seed uint64, engines int, shape shape) []arrival {
	random := rand.New(rand.NewPCG(seed, 8))
	perSecond := shape.flood * prefillRate * float64(engines) / meanFlood
	for at := time.Duration(0); perSecond > 0 && at < shape.length; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		a := arrival{at: at, organisation: flooder, prompt: 2100 + random.IntN(5000)}
		a.digests = digests(&a, 0, random)
		arrivals = append(arrivals, a)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// rank draws from 0 to n-1 with weights 1/(1+rank).
func rank(random *rand.Rand, n int) int {
	for {
		if i := random.IntN(n); random.Float64() < 1/float64(1+i) {
			return i
		}
	}
}

// digests names the blocks: the organisation's instructions, then the document but for the
// last tenth, which is the question.
func digests(a *arrival, document uint64, random *rand.Rand) []uint64 {
	count := prefix.Depth(a.prompt * 4)
	list := make([]uint64, count)
	question := random.Uint64()
	for i := range list {
		key := [4]uint64{uint64(a.organisation), 0, 0, uint64(i)}
		if i >= shareDepth {
			key[1] = document
			if document == 0 || prefix.Boundary(i+1) > a.prompt*4*9/10 {
				key[2] = question
			}
		}
		hash := uint64(14695981039346656037)
		for _, part := range key {
			hash = (hash ^ part) * 0x9e3779b97f4a7c15
			hash ^= hash >> 29
		}
		list[i] = hash
	}
	return list
}
