package policytest

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/prefix"
)

// The parameters of the prompts of a trace.
const (
	instructionDepth         = 4   // digests of an organisation's instructions: 2,048 tokens
	documentsPerOrganisation = 12  // documents of each organisation, which its prompts share
	longPromptInterval       = 50  // 1 in 50 prompts has over 100,000 tokens
	hotDocumentShare         = 0.4 // share of prompts about one document, if hotDocument is set
	hotPromptTokens          = 12_000
	floodingOrganisation     = 10 // the organisation after the usual ones
)

// arrival is one prompt of a trace.
type arrival struct {
	at           time.Duration
	organisation int
	promptTokens int
	digests      []uint64
}

// workload configures a trace.
type workload struct {
	duration    time.Duration
	utilisation float64 // share of the fleet's prefill rate needed if nothing were cached
	noLong      bool    // omit prompts over 100,000 tokens
	hotDocument bool
	// floodShare is the share of the fleet's prefill rate needed by the short prompts of an
	// additional organisation.
	floodShare float64
}

// drawTrace draws prompts: two thirds are short questions after the organisation's
// instructions, the rest are about one of its documents. Organisation sizes follow 1/rank.
func drawTrace(seed uint64, engines int, workload workload) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	var arrivals []arrival
	at := time.Duration(0)
	perSecond := workload.utilisation * prefillRate * float64(engines) / meanPromptTokens
	for at < workload.duration {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		a := arrival{at: at, organisation: drawRank(random, 10)}
		document := uint64(0)
		switch draw := random.IntN(longPromptInterval * 2); {
		case draw < 2:
			a.promptTokens = 100_000 + int(math.Min(random.ExpFloat64()*80_000, 250_000))
			document = 1 + uint64(random.IntN(4))
		case draw < 70:
			a.promptTokens = 2100 + random.IntN(5000)
		default:
			a.promptTokens = 8000 + random.IntN(32_000)
			document = 10 + uint64(drawRank(random, documentsPerOrganisation))
		}
		if workload.hotDocument && random.Float64() < hotDocumentShare {
			a.promptTokens, a.organisation, document = hotPromptTokens, 0, 99
		}
		a.digests = digestsOf(&a, document, random)
		if workload.noLong && a.promptTokens > call.MediumMax {
			continue
		}
		arrivals = append(arrivals, a)
	}
	return withFlood(arrivals, seed, engines, workload)
}

// The mean prompt tokens of the usual organisations and of the flooding one.
const (
	meanPromptTokens = 0.02*170_000 + 0.68*4600 + 0.3*24_000
	meanFloodTokens  = 4600
)

// withFlood adds the flooding organisation's prompts and does not change the others.
func withFlood(arrivals []arrival, seed uint64, engines int, workload workload) []arrival {
	random := rand.New(rand.NewPCG(seed, 8))
	perSecond := workload.floodShare * prefillRate * float64(engines) / meanFloodTokens
	for at := time.Duration(0); perSecond > 0 && at < workload.duration; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		a := arrival{at: at, organisation: floodingOrganisation, promptTokens: 2100 + random.IntN(5000)}
		a.digests = digestsOf(&a, 0, random)
		arrivals = append(arrivals, a)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// drawRank draws from 0 to n-1 with weights 1/(1+rank).
func drawRank(random *rand.Rand, n int) int {
	for {
		if i := random.IntN(n); random.Float64() < 1/float64(1+i) {
			return i
		}
	}
}

// digestsOf returns the digests of a prompt's blocks: the organisation's instructions, then
// the document, and in the last tenth the question. Without a document, 0, the question follows
// the instructions.
func digestsOf(a *arrival, document uint64, random *rand.Rand) []uint64 {
	count := prefix.Depth(a.promptTokens * 4)
	list := make([]uint64, count)
	question := random.Uint64()
	for i := range list {
		key := [4]uint64{uint64(a.organisation), 0, 0, uint64(i)}
		if i >= instructionDepth {
			key[1] = document
			if document == 0 || prefix.Boundary(i+1) > a.promptTokens*4*9/10 {
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
