// Package schedule generates all requests of a load run and their arrival times before the run
// begins, so that a slow response delays no later request.
package schedule

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/load/mix"
)

// Request is one request of a run: a generation, or a call of a plain service when Call
// is set.
type Request struct {
	// Index is the request's position in the complete schedule; Filter keeps it.
	Index int
	// At is the intended send time, from the start of the run.
	At time.Duration
	// Organisation is an index into the mix's organisations. Kind is an index into its plain
	// calls if Call is set, else into its classes.
	Organisation int
	Kind         int
	Call         *mix.Call
	// PromptTokens is the prompt length of a generation, AnswerTokens its max_tokens.
	PromptTokens int
	AnswerTokens int
	Timeout      time.Duration
	Text         Text
	// Reusable is the length in tokens of the prompt's prefix that earlier requests of the
	// schedule share: the cache hits of an omniscient router with prefix caches of unlimited
	// size.
	Reusable int
}

// Class returns the length class of a generation.
func (r *Request) Class() call.Class { return call.ClassOf(r.PromptTokens) }

// Settings are the parameters of a schedule beside the mix.
type Settings struct {
	// Seed determines all random numbers.
	Seed uint64
	// Rate is in requests per second, calls of plain services included.
	Rate     float64
	Duration time.Duration
	// MaxRequests bounds the number of requests.
	MaxRequests int
	// Speed divides the mix's deadlines, to match stand-in engines that are faster by this factor.
	Speed float64
}

// New returns the requests in order of arrival. The arrivals are a Poisson process.
func New(m *mix.Mix, settings Settings) []Request {
	g := newGenerator(m, settings)
	var requests []Request
	seen := make(prefixIndex)
	at := time.Duration(0)
	for len(requests) < settings.MaxRequests {
		at += time.Duration(g.random.ExpFloat64() / settings.Rate * float64(time.Second))
		if at >= settings.Duration {
			break
		}
		request := g.nextRequest()
		request.Index = len(requests)
		request.At = at
		request.Reusable = seen.matchAndAdd(&request.Text)
		requests = append(requests, request)
	}
	return requests
}

// Filter returns the requests for which keep returns true, with unchanged indexes and times.
func Filter(requests []Request, keep func(*Request) bool) []Request {
	var kept []Request
	for i := range requests {
		if keep(&requests[i]) {
			kept = append(kept, requests[i])
		}
	}
	return kept
}

// generator generates random requests.
type generator struct {
	mix           *mix.Mix
	settings      Settings
	random        *rand.Rand
	classes       cumulative
	calls         cumulative
	organisations cumulative
	// popularity has the distribution over the documents of each class.
	popularity []cumulative
}

func newGenerator(m *mix.Mix, settings Settings) *generator {
	g := &generator{
		mix:           m,
		settings:      settings,
		random:        rand.New(rand.NewPCG(settings.Seed, scheduleStream)),
		classes:       newCumulative(len(m.Classes), func(i int) float64 { return m.Classes[i].Share }),
		calls:         newCumulative(len(m.Plain.Calls), func(i int) float64 { return m.Plain.Calls[i].Weight }),
		organisations: newCumulative(len(m.Organisations), func(i int) float64 { return m.Organisations[i].Weight }),
	}
	for _, class := range m.Classes {
		zipf := class.Documents.Zipf
		g.popularity = append(g.popularity, newCumulative(class.Documents.Count, func(i int) float64 { return math.Pow(float64(i+1), -zipf) }))
	}
	return g
}

// scheduleStream is the PCG stream of the schedule, which separates its random numbers from others
// of the same seed.
const scheduleStream = 1

func (g *generator) nextRequest() Request {
	organisation := g.organisations.sample(g.random)
	if g.random.Float64() < g.mix.Plain.Share {
		return g.plainCall(organisation)
	}
	return g.generation(organisation)
}

func (g *generator) plainCall(organisation int) Request {
	kind := g.calls.sample(g.random)
	c := &g.mix.Plain.Calls[kind]
	return Request{Organisation: organisation, Kind: kind, Call: c, Timeout: g.timeout(c.TimeoutMs)}
}

func (g *generator) generation(organisation int) Request {
	kind := g.classes.sample(g.random)
	class := &g.mix.Classes[kind]
	request := Request{
		Organisation: organisation,
		Kind:         kind,
		PromptTokens: class.PromptTokens.Quantile(g.random.Float64()),
		AnswerTokens: class.AnswerTokens.Quantile(g.random.Float64()),
		Timeout:      g.timeout(class.TimeoutMs),
	}
	request.Text = Text{
		CommonSeed:   textSeed(g.settings.Seed, seedKindCommon, uint64(kind)),
		CommonTokens: min(class.CommonTokens, request.PromptTokens),
		UniqueSeed:   g.random.Uint64(),
		Tokens:       request.PromptTokens,
	}
	g.assignDocument(&request, class)
	return request
}

func (g *generator) assignDocument(request *Request, class *mix.Class) {
	if g.random.Float64() >= class.Documents.Share {
		return
	}
	rank := g.popularity[request.Kind].sample(g.random)
	request.Text.DocumentSeed = textSeed(g.settings.Seed, seedKindDocument, uint64(request.Kind), uint64(request.Organisation), uint64(rank))
	request.Text.DocumentTokens = int(class.Documents.Part * float64(request.PromptTokens-request.Text.CommonTokens))
}

func (g *generator) timeout(ms int) time.Duration {
	timeout := float64(ms) * float64(time.Millisecond)
	return time.Duration(timeout / g.settings.Speed)
}

// cumulative holds the prefix sums of the weights of a discrete distribution.
type cumulative []float64

func newCumulative(n int, weight func(int) float64) cumulative {
	sums := make(cumulative, n)
	sum := 0.0
	for i := range sums {
		sum += weight(i)
		sums[i] = sum
	}
	return sums
}

// sample returns a random index with a probability proportional to its weight.
func (c cumulative) sample(random *rand.Rand) int {
	point := random.Float64() * c[len(c)-1]
	return min(sort.SearchFloat64s(c, math.Nextafter(point, math.Inf(1))), len(c)-1)
}
