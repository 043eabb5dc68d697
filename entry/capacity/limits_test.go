package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/limits"
	"acaciacleat.example/peers/link"
)

const (
	// requestsPerEntry is the design's requests a second at one entry.
	requestsPerEntry = designRequests / designEntries
	// requestLife is how long a request is in flight: 372 tokens, the design's 1.6 million
	// over 4,300, at 39 ms, and 1.3 s to the first token.
	requestLife = 15_800 * time.Millisecond
	// organisationsPerEntry is the design's 35,000 over its 350 entries.
	organisationsPerEntry = 100
	// skew is the exponent of Zipf's law where a few organisations send most requests.
	skew = 1.1
)

// quotas is a number of entries that keep organisations within their limits.
type quotas struct {
	now     time.Time
	entries []*limits.Entry
	places  map[string]int
	bounds  document.Limits
	ends    []ending

	asks, renewals, bytes, refused int
	// asked counts the questions that each entry had to answer.
	asked []int
}

// busiest is the entry that answered most questions.
func (q *quotas) busiest() int { return slices.Max(q.asked) }

type ending struct {
	at    time.Time
	entry int
	key   limits.Key
}

func newQuotas(entries int, bounds document.Limits) *quotas {
	q := &quotas{now: time.Unix(1_000, 0), places: make(map[string]int), bounds: bounds, asked: make([]int, entries)}
	var all []string
	for i := range entries {
		all = append(all, fmt.Sprintf("entry-%04d", i))
		q.places[all[i]] = i
	}
	for _, name := range all {
		entry := limits.NewEntry(name, 1<<62)
		entry.SetEntries(all)
		q.entries = append(q.entries, entry)
	}
	return q
}

// The sizes of the messages, with the names that the other sizes have too.
type limitSizes struct{ ask, renewHead, renewHold int }

func sizesOfLimits(b *testing.B) limitSizes {
	all := messages()
	one := all["limit-renew"].(*link.LimitRenew)
	two := &link.LimitRenew{Holds: append(slices.Clone(one.Holds), one.Holds...)}
	first, second := frameBytes(b, one), frameBytes(b, two)
	return limitSizes{
		ask:       frameBytes(b, all["limit-ask"]) + frameBytes(b, all["limit-grant"]),
		renewHold: second - first,
		renewHead: 2*first - second,
	}
}

// request admits one request at an entry; the owner answers at once.
func (q *quotas) request(sizes limitSizes, at int, key limits.Key) {
	const tokens = 9_024
	entry := q.entries[at]
	verdict := entry.Decide(q.now, key, &q.bounds, tokens)
	if verdict.Outcome == limits.AskOwner {
		q.asks++
		q.bytes += sizes.ask
		q.asked[q.places[verdict.Owner]]++
		want := entry.NewGrantRequest(q.now, key, tokens)
		grant := q.entries[q.places[verdict.Owner]].HandleGrantRequest(q.now, name(at), &want, &q.bounds)
		entry.HandleGrant(q.now, &grant)
		verdict = entry.Decide(q.now, key, &q.bounds, tokens)
	}
	if verdict.Outcome != limits.Admitted {
		q.refused++
		return
	}
	q.ends = append(q.ends, ending{at: q.now.Add(requestLife), entry: at, key: key})
}

func name(entry int) string { return fmt.Sprintf("entry-%04d", entry) }

// step ends requests and has every entry send its renewals, batched by owner.
func (q *quotas) step(sizes limitSizes) {
	q.now = q.now.Add(tick)
	over := 0
	for over < len(q.ends) && !q.ends[over].at.After(q.now) {
		q.entries[q.ends[over].entry].Release(q.ends[over].key, &q.bounds)
		over++
	}
	q.ends = q.ends[over:]
	for i, entry := range q.entries {
		owners := make(map[string]bool)
		for _, renewal := range entry.Tick(q.now) {
			if !owners[renewal.Owner] {
				owners[renewal.Owner] = true
				q.renewals++
				q.bytes += sizes.renewHead
			}
			q.bytes += sizes.renewHold
			q.entries[q.places[renewal.Owner]].HandleGrantRequest(q.now, name(i), &renewal.Request, &q.bounds)
		}
	}
}

// run sends requests for the given time, uniformly spread or skewed over organisations.
func (q *quotas) run(b *testing.B, sizes limitSizes, seconds int, random *rand.Rand, pick func() uint64) {
	b.Helper()
	perStep := requestsPerEntry * float64(len(q.entries)) * tick.Seconds()
	owed := 0.0
	for range seconds * int(time.Second/tick) {
		for owed += perStep; owed >= 1; owed-- {
			key := limits.Key{Service: serviceName, Organisation: fmt.Sprintf("organisation-%05d", pick())}
			q.request(sizes, random.IntN(len(q.entries)), key)
		}
		q.step(sizes)
	}
}

// BenchmarkCapacityLimits reports the messages and bytes that an entry sends a second for
// the organisations' limits when every organisation has them, in steady state. The number
// of organisations is 100 times that of entries, and requests go to any entry. An entry
// receives as much as it sends.
func BenchmarkCapacityLimits(b *testing.B) {
	rates := document.Limits{RequestsPerSecond: 1e6, TokensPerSecond: 1e12}
	all := rates
	all.Concurrency = 1_000_000
	for _, entries := range []int{35, 100, 350} {
		for _, c := range []struct {
			name   string
			bounds document.Limits
			skewed bool
		}{{"rates", rates, false}, {"rates-skewed", rates, true}, {"all", all, false}, {"all-skewed", all, true}} {
			b.Run(fmt.Sprintf("%s/entries=%d", c.name, entries), func(b *testing.B) {
				limitTraffic(b, entries, c.bounds, c.skewed)
			})
		}
	}
}

func limitTraffic(b *testing.B, entries int, bounds document.Limits, skewed bool) {
	const warm, seconds = 18, 10
	sizes := sizesOfLimits(b)
	random := rand.New(rand.NewPCG(1, 2))
	organisations := uint64(entries * organisationsPerEntry)
	pick := func() uint64 { return random.Uint64N(organisations) }
	if skewed {
		pick = rand.NewZipf(random, skew, 1, organisations-1).Uint64
	}
	before := heap()
	q := newQuotas(entries, bounds)
	q.run(b, sizes, warm, random, pick)
	held := heap() - before
	q.asks, q.renewals, q.bytes = 0, 0, 0
	clear(q.asked)
	q.run(b, sizes, seconds, random, pick)
	per := float64(entries) * seconds
	b.ReportMetric(float64(q.asks)/per, "asks/entry/s")
	b.ReportMetric(float64(q.renewals)/per, "renewals/entry/s")
	b.ReportMetric(float64(q.bytes)/per, "wire-B/entry/s")
	b.ReportMetric(held/float64(entries), "heap-B/entry")
	b.ReportMetric(float64(q.busiest())/seconds, "busiest-owner-asks/s")
	b.ReportMetric(float64(q.refused), "refused")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(q)
}
