// Package schedule fixes all requests of a load run and their arrival times before the
// run begins, so that a slow answer delays no later request.
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
	// Index is the request's place in the whole schedule; it is kept by Only.
	Index int
	// At is the intended time of sending, from the start of the run.
	At time.Duration
	// Organisation is an index of the mix's list, and Kind one of its classes or calls.
	Organisation int
	Kind         int
	Call         *mix.Call
	// PromptTokens and AnswerTokens are what a generation sends and asks for.
	PromptTokens int
	AnswerTokens int
	Timeout      time.Duration
	Text         Text
	// Reusable is the prompt tokens that earlier requests of the schedule began with: what
	// a router that knows everything could take from caches that forget nothing.
	Reusable int
}

// Class returns the length class of a generation.
func (r *Request) Class() call.Class { return call.ClassOf(r.PromptTokens) }

// Settings are what a schedule needs beside the mix.
type Settings struct {
	// Seed decides everything that is random.
	Seed uint64
	// Rate is in requests per second, plain calls included.
	Rate     float64
	Duration time.Duration
	// MaxRequests bounds the number of requests.
	MaxRequests int
	// Speed divides the mix's deadlines: engines that are as much faster need less time.
	Speed float64
}

// New returns the requests in order of their arrival, which is a Poisson process.
func New(m *mix.Mix, settings Settings) []Request {
	d := newDrawer(m, settings)
	var requests []Request
	known := make(reuse)
	at := time.Duration(0)
	for len(requests) < settings.MaxRequests {
		at += time.Duration(d.random.ExpFloat64() / settings.Rate * float64(time.Second))
		if at >= settings.Duration {
			break
		}
		request := d.request()
		request.Index = len(requests)
		request.At = at
		request.Reusable = known.take(&request.Text)
		requests = append(requests, request)
	}
	return requests
}

// Only returns the requests that keep holds for, with their indexes and times.
func Only(requests []Request, keep func(*Request) bool) []Request {
	var kept []Request
	for i := range requests {
		if keep(&requests[i]) {
			kept = append(kept, requests[i])
		}
	}
	return kept
}

// drawer draws requests at random.
type drawer struct {
	mix           *mix.Mix
	settings      Settings
	random        *rand.Rand
	classes       cumulative
	calls         cumulative
	organisations cumulative
	// popularity has the documents of each class.
	popularity []cumulative
}

func newDrawer(m *mix.Mix, settings Settings) *drawer {
	d := &drawer{
		mix:           m,
		settings:      settings,
		random:        rand.New(rand.NewPCG(settings.Seed, streamOfSchedule)),
		classes:       accumulate(len(m.Classes), func(i int) float64 { return m.Classes[i].Share }),
		calls:         accumulate(len(m.Plain.Calls), func(i int) float64 { return m.Plain.Calls[i].Weight }),
		organisations: accumulate(len(m.Organisations), func(i int) float64 { return m.Organisations[i].Weight }),
	}
	for _, class := range m.Classes {
		zipf := class.Documents.Zipf
		d.popularity = append(d.popularity, accumulate(class.Documents.Count, func(i int) float64 { return math.Pow(float64(i+1), -zipf) }))
	}
	return d
}

// streamOfSchedule separates the schedule's random numbers from others of the same seed.
const streamOfSchedule = 1

func (d *drawer) request() Request {
	organisation := d.organisations.draw(d.random)
	if d.random.Float64() < d.mix.Plain.Share {
		return d.plain(organisation)
	}
	return d.generation(organisation)
}

func (d *drawer) plain(organisation int) Request {
	kind := d.calls.draw(d.random)
	c := &d.mix.Plain.Calls[kind]
	return Request{Organisation: organisation, Kind: kind, Call: c, Timeout: d.timeout(c.TimeoutMs)}
}

func (d *drawer) generation(organisation int) Request {
	kind := d.classes.draw(d.random)
	class := &d.mix.Classes[kind]
	request := Request{
		Organisation: organisation,
		Kind:         kind,
		PromptTokens: class.PromptTokens.Quantile(d.random.Float64()),
		AnswerTokens: class.AnswerTokens.Quantile(d.random.Float64()),
		Timeout:      d.timeout(class.TimeoutMs),
	}
	request.Text = Text{
		Common:       textSeed(d.settings.Seed, kindCommon, uint64(kind)),
		CommonTokens: min(class.CommonTokens, request.PromptTokens),
		Own:          d.random.Uint64(),
		Tokens:       request.PromptTokens,
	}
	d.document(&request, class)
	return request
}

func (d *drawer) document(request *Request, class *mix.Class) {
	if d.random.Float64() >= class.Documents.Share {
		return
	}
	rank := d.popularity[request.Kind].draw(d.random)
	request.Text.Document = textSeed(d.settings.Seed, kindDocument, uint64(request.Kind), uint64(request.Organisation), uint64(rank))
	request.Text.DocumentTokens = int(class.Documents.Part * float64(request.PromptTokens-request.Text.CommonTokens))
}

func (d *drawer) timeout(ms int) time.Duration {
	timeout := float64(ms) * float64(time.Millisecond)
	return time.Duration(timeout / d.settings.Speed)
}

// cumulative holds the running sums of weights.
type cumulative []float64

func accumulate(n int, weight func(int) float64) cumulative {
	sums := make(cumulative, n)
	sum := 0.0
	for i := range sums {
		sum += weight(i)
		sums[i] = sum
	}
	return sums
}

// draw returns an index with the probability of its weight.
func (c cumulative) draw(random *rand.Rand) int {
	point := random.Float64() * c[len(c)-1]
	return min(sort.SearchFloat64s(c, math.Nextafter(point, math.Inf(1))), len(c)-1)
}
