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
	// requestsPerEntry is the request rate at one entry of the target deployment (see
	// measure_test.go), in requests per second.
	requestsPerEntry = targetRequests / targetEntries
	// requestDuration is how long a request is in flight: 1.3 s to the first token, and 372 tokens
	// (1.6 million tokens/s over 4,300 requests/s in the target deployment) at 39 ms.
	requestDuration = 15_800 * time.Millisecond
	// organisationsPerEntry is 35,000 organisations over 350 entries, as in the target deployment.
	organisationsPerEntry = 100
	// zipfExponent is the exponent of Zipf's law in the skewed cases, where a few organisations send
	// most requests.
	zipfExponent = 1.1
)

// quotaSimulation simulates entries that enforce the limits of organisations.
type quotaSimulation struct {
	now                time.Time
	entries            []*limits.Entry
	entryIndex         map[string]int
	organisationLimits document.Limits
	pendingEnds        []requestEnd

	grantRequests, renewals, bytes, refused int
	// requestsByOwner counts the grant requests that each entry handled as an owner.
	requestsByOwner []int
}

// maxRequestsPerOwner returns the highest number of grant requests that an entry handled.
func (q *quotaSimulation) maxRequestsPerOwner() int { return slices.Max(q.requestsByOwner) }

type requestEnd struct {
	at    time.Time
	entry int
	key   limits.Key
}

func newQuotaSimulation(entries int, organisationLimits document.Limits) *quotaSimulation {
	q := &quotaSimulation{now: time.Unix(1_000, 0), entryIndex: make(map[string]int), organisationLimits: organisationLimits, requestsByOwner: make([]int, entries)}
	var all []string
	for i := range entries {
		all = append(all, fmt.Sprintf("entry-%04d", i))
		q.entryIndex[all[i]] = i
	}
	for _, name := range all {
		entry := limits.NewEntry(name, 1<<62) // the sequence number of sampleMessages
		entry.SetEntries(all)
		q.entries = append(q.entries, entry)
	}
	return q
}

// limitSizes holds the sizes in bytes of the limit messages, as in sampleMessages. grantExchange is
// the size of a grant request and its answer, renewBase that of a renewal without holds, and renewHold
// that of each hold in it. A hold (link.LimitHold) is the concurrency that an entry holds for one
// organisation.
type limitSizes struct{ grantExchange, renewBase, renewHold int }

func newLimitSizes(b *testing.B) limitSizes {
	all := sampleMessages()
	oneHold := all["limit-renew"].(*link.LimitRenew)
	twoHolds := &link.LimitRenew{Holds: append(slices.Clone(oneHold.Holds), oneHold.Holds...)}
	oneHoldBytes, twoHoldsBytes := frameBytes(b, oneHold), frameBytes(b, twoHolds)
	return limitSizes{
		grantExchange: frameBytes(b, all["limit-ask"]) + frameBytes(b, all["limit-grant"]),
		renewHold:     twoHoldsBytes - oneHoldBytes,
		renewBase:     2*oneHoldBytes - twoHoldsBytes,
	}
}

// request sends one request to an entry. The owner of its limits responds immediately.
func (q *quotaSimulation) request(sizes limitSizes, at int, key limits.Key) {
	const tokens = 9_024 // a prompt of 8,000 tokens and an answer of up to 1,024
	entry := q.entries[at]
	decision := entry.Decide(q.now, key, &q.organisationLimits, tokens)
	if decision.Outcome == limits.AskOwner {
		q.grantRequests++
		q.bytes += sizes.grantExchange
		q.requestsByOwner[q.entryIndex[decision.Owner]]++
		grantRequest := entry.NewGrantRequest(q.now, key, tokens)
		grant := q.entries[q.entryIndex[decision.Owner]].HandleGrantRequest(q.now, entryName(at), &grantRequest, &q.organisationLimits)
		entry.HandleGrant(q.now, &grant)
		decision = entry.Decide(q.now, key, &q.organisationLimits, tokens)
	}
	if decision.Outcome != limits.Admitted {
		q.refused++
		return
	}
	q.pendingEnds = append(q.pendingEnds, requestEnd{at: q.now.Add(requestDuration), entry: at, key: key})
}

func entryName(entry int) string { return fmt.Sprintf("entry-%04d", entry) }

// step ends the requests that are due and lets every entry send its renewals, batched by owner.
func (q *quotaSimulation) step(sizes limitSizes) {
	q.now = q.now.Add(tickInterval)
	ended := 0
	for ended < len(q.pendingEnds) && !q.pendingEnds[ended].at.After(q.now) {
		q.entries[q.pendingEnds[ended].entry].Release(q.pendingEnds[ended].key, &q.organisationLimits)
		ended++
	}
	q.pendingEnds = q.pendingEnds[ended:]
	for i, entry := range q.entries {
		owners := make(map[string]bool)
		for _, renewal := range entry.Tick(q.now) {
			if !owners[renewal.Owner] {
				owners[renewal.Owner] = true
				q.renewals++
				q.bytes += sizes.renewBase
			}
			q.bytes += sizes.renewHold
			q.entries[q.entryIndex[renewal.Owner]].HandleGrantRequest(q.now, entryName(i), &renewal.Request, &q.organisationLimits)
		}
	}
}

// run sends requests for the given time to random entries; pick chooses their organisations.
func (q *quotaSimulation) run(b *testing.B, sizes limitSizes, seconds int, random *rand.Rand, pick func() uint64) {
	b.Helper()
	perStep := requestsPerEntry * float64(len(q.entries)) * tickInterval.Seconds()
	due := 0.0
	for range seconds * int(time.Second/tickInterval) {
		for due += perStep; due >= 1; due-- {
			key := limits.Key{Service: serviceName, Organisation: fmt.Sprintf("organisation-%05d", pick())}
			q.request(sizes, random.IntN(len(q.entries)), key)
		}
		q.step(sizes)
	}
}

// BenchmarkCapacityLimits reports the messages and bytes per second that an entry sends to enforce
// limits when every organisation has them, in steady state. There are 100 times as many organisations
// as entries, and requests go to any entry. An entry receives as much as it sends.
func BenchmarkCapacityLimits(b *testing.B) {
	rates := document.Limits{RequestsPerSecond: 1e6, TokensPerSecond: 1e12}
	all := rates
	all.Concurrency = 1_000_000
	for _, entries := range []int{35, 100, 350} {
		for _, c := range []struct {
			name               string
			organisationLimits document.Limits
			skewed             bool
		}{{"rates", rates, false}, {"rates-skewed", rates, true}, {"all", all, false}, {"all-skewed", all, true}} {
			b.Run(fmt.Sprintf("%s/entries=%d", c.name, entries), func(b *testing.B) {
				limitTraffic(b, entries, c.organisationLimits, c.skewed)
			})
		}
	}
}

func limitTraffic(b *testing.B, entries int, organisationLimits document.Limits, skewed bool) {
	// The warm-up is longer than requestDuration, so that in the measured time as many requests end
	// as begin.
	const warmupSeconds, seconds = 18, 10
	sizes := newLimitSizes(b)
	random := rand.New(rand.NewPCG(1, 2))
	organisations := uint64(entries * organisationsPerEntry)
	pick := func() uint64 { return random.Uint64N(organisations) }
	if skewed {
		pick = rand.NewZipf(random, zipfExponent, 1, organisations-1).Uint64
	}
	before := heapBytes()
	q := newQuotaSimulation(entries, organisationLimits)
	q.run(b, sizes, warmupSeconds, random, pick)
	heapGrowth := heapBytes() - before
	// The counter of refused requests is not reset: it includes the warm-up.
	q.grantRequests, q.renewals, q.bytes = 0, 0, 0
	clear(q.requestsByOwner)
	q.run(b, sizes, seconds, random, pick)
	entrySeconds := float64(entries) * seconds
	b.ReportMetric(float64(q.grantRequests)/entrySeconds, "asks/entry/s")
	b.ReportMetric(float64(q.renewals)/entrySeconds, "renewals/entry/s")
	b.ReportMetric(float64(q.bytes)/entrySeconds, "wire-B/entry/s")
	b.ReportMetric(heapGrowth/float64(entries), "heap-B/entry")
	b.ReportMetric(float64(q.maxRequestsPerOwner())/seconds, "busiest-owner-asks/s")
	b.ReportMetric(float64(q.refused), "refused")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(q)
}
