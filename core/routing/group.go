package routing

import (
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/prefix"
	"github.com/cespare/xxhash/v2"
)

// maxGroups bounds the number of groups, in case callers choose the model names.
const maxGroups = 1024

const (
	// maxHomes bounds the number of homes of a prefix: the replicas to which all entries
	// prefer to send its prompts, by rendezvous hashing.
	maxHomes = 8
	// fullScanLimit is the largest group of which every replica is scored. In a larger group
	// at most sampleSize likely holders, the homes and sampleSize random replicas are scored.
	// This bounds the time of a choice, and entries with the same old reports choose differently.
	fullScanLimit = 32
	sampleSize    = 24
	// recheckInterval is the number of choices after which the replicas of a large group are
	// compared with the members again.
	recheckInterval = 64
)

// member holds the values that a choice computes for one replica. The fields before usable,
// and lastCandidate, are kept between choices.
type member struct {
	agent       string
	incarnation call.Incarnation
	holder      prefix.Holder
	hash        uint64
	takenAt     time.Time
	takenOffset int64 // takenAt in ns since the group's origin

	usable        bool
	lastCandidate uint64  // choiceCount of the last choice that had the member as a candidate
	ownTokens     float64 // prompt tokens of this entry's requests since the load report
	tokensAhead   float64 // prompt tokens that the replica runs before the request
	cachedTokens  float64 // prompt tokens estimated to be cached
	prefillRate   float64 // prompt tokens per second
	staleness     float64 // 0 for a new load report, approaches 1 with its age
}

// group holds the replicas of one model, in the order of the caller's slice.
type group struct {
	origin time.Time
	// firstReplica is the first element of the last slice, to recognise the same slice.
	firstReplica *Replica
	choiceCount  uint64
	members      []member
	hashes       []uint64
	// indexByHolder maps a holder to its index in members.
	indexByHolder []int32
	// candidates are the indexes that the current choice scores, and usableCount is the number
	// of usable replicas among them.
	candidates  []int
	usableCount int
	// ranked holds the rankedCount indexes with the highest rendezvous weights, and
	// rankWeights these weights, in descending order.
	ranked      [maxHomes]int
	rankWeights [maxHomes]uint64
	rankedCount int
}

func (c *Combined) group(model string) *group {
	g := c.groups[model]
	if g == nil {
		if len(c.groups) >= maxGroups {
			clear(c.groups)
		}
		g = &group{}
		c.groups[model] = g
	}
	return g
}

// refresh updates members to match replicas. In a large group the replicas are compared
// only every recheckInterval choices. If a replica's index changes meanwhile, it is scored
// with another replica's cache contents, which may cost time but is harmless otherwise.
func (g *group) refresh(estimator *prefix.Estimator, replicas []Replica, now time.Time) {
	g.choiceCount++
	same := g.firstReplica == &replicas[0] && len(g.members) == len(replicas)
	if same && len(replicas) > fullScanLimit && g.choiceCount%recheckInterval != 0 {
		return
	}
	if len(g.members) != len(replicas) {
		g.members = make([]member, len(replicas))
		g.hashes = make([]uint64, len(replicas))
	}
	if g.origin.IsZero() {
		g.origin = now
	}
	g.firstReplica = &replicas[0]
	for i := range replicas {
		m := &g.members[i]
		if m.agent == replicas[i].Agent && m.incarnation == replicas[i].Incarnation && m.hash != 0 {
			continue
		}
		m.agent = replicas[i].Agent
		m.incarnation = replicas[i].Incarnation
		m.hash = mix(xxhash.Sum64String(m.agent))
		g.hashes[i] = m.hash
		m.holder = estimator.Register(m.agent, m.incarnation, now)
		g.setIndex(m.holder, i)
	}
}

func (g *group) setIndex(h prefix.Holder, i int) {
	if missing := int(h) + 1 - len(g.indexByHolder); missing > 0 {
		g.indexByHolder = append(g.indexByHolder, make([]int32, missing)...)
	}
	g.indexByHolder[h] = int32(i)
}

// index returns the index of a holder in members; false if it does not belong to the group.
func (g *group) index(h prefix.Holder) (int, bool) {
	if int(h) >= len(g.indexByHolder) {
		return 0, false
	}
	i := int(g.indexByHolder[h])
	return i, i < len(g.members) && g.members[i].holder == h
}

// selectCandidates ranks the replicas for key and sets the indexes that the choice scores.
func (g *group) selectCandidates(matches []prefix.Match, key uint64, count int, random *rand.Rand) {
	g.candidates = g.candidates[:0]
	g.rank(key)
	if count <= fullScanLimit {
		for i := range count {
			g.candidates = append(g.candidates, i)
		}
		return
	}
	for _, match := range matches {
		if i, ok := g.index(match.Holder); ok {
			g.addCandidate(i)
		}
		if len(g.candidates) >= sampleSize {
			break
		}
	}
	for _, i := range g.ranked[:g.rankedCount] {
		g.addCandidate(i)
	}
	for range sampleSize {
		g.addCandidate(random.IntN(count))
	}
}

func (g *group) addCandidate(i int) {
	if m := &g.members[i]; m.lastCandidate != g.choiceCount {
		m.lastCandidate = g.choiceCount
		g.candidates = append(g.candidates, i)
	}
}

// estimateLoads computes the tokens ahead at each candidate, and moves them towards the mean
// by more the older the load report is.
func (g *group) estimateLoads(request *Request, replicas []Replica, now time.Time, halfLife time.Duration) {
	class := call.ClassOf(request.Demand.PromptTokens)
	weights := weightsFor(request.Objective)
	at := int64(now.Sub(g.origin))
	total := 0.0
	g.usableCount = 0
	for _, i := range g.candidates {
		m := &g.members[i]
		r := &replicas[i]
		m.cachedTokens = 0
		m.usable = Usable(request, r)
		if !m.usable {
			continue
		}
		if m.takenAt != r.LoadTakenAt {
			m.takenAt = r.LoadTakenAt
			m.takenOffset = g.sinceOrigin(r.LoadTakenAt)
		}
		m.ownTokens = float64(r.InFlightPrompt)
		m.prefillRate = prefillRateOf(&r.Load)
		m.tokensAhead = tokensAhead(class, weights, &r.Load)
		m.staleness = stalenessOf(at-m.takenOffset, halfLife)
		total += m.tokensAhead
		g.usableCount++
	}
	g.shrinkToMean(total / float64(max(1, g.usableCount)))
}

// sinceOrigin converts the time of a load report to ns since the origin. A report that was
// never received counts as a century old.
func (g *group) sinceOrigin(seen time.Time) int64 {
	if seen.IsZero() {
		return -int64(100 * 365 * 24 * time.Hour)
	}
	return int64(seen.Sub(g.origin))
}

// shrinkToMean moves the tokens ahead of each candidate towards the mean, by the staleness
// of its load report, and adds this entry's own requests since the report.
//
// Without the shift, the replica with the least load in an old report would get every request
// until the next report, and the queues would swing between replicas. The queue that an old
// report showed has probably changed since, so its deviation from the mean counts only in
// part. This entry's own requests since the report are certain and count in full.
func (g *group) shrinkToMean(mean float64) {
	for _, i := range g.candidates {
		m := &g.members[i]
		if m.usable {
			m.tokensAhead += m.staleness*(mean-m.tokensAhead) + m.ownTokens
		}
	}
}

func prefillRateOf(load *Load) float64 {
	if load.PrefillRate > 0 {
		return load.PrefillRate
	}
	return defaultPrefillRate
}

// stalenessOf returns age / (age + halfLife). It is close to 1 for a load report that was
// never received, see sinceOrigin.
func stalenessOf(age int64, halfLife time.Duration) float64 {
	a := float64(max(0, age))
	return a / (a + float64(halfLife))
}

// rank finds the indexes with the highest rendezvous weights for key, whether or not the
// replicas are usable. It ranks none if key is 0.
func (g *group) rank(key uint64) {
	g.rankedCount = 0
	if key == 0 {
		return
	}
	least := uint64(0)
	for i, hash := range g.hashes {
		// Both the hash and the key are well mixed, so that one multiplication is enough.
		if w := (hash ^ key) * fibonacciMultiplier; w > least || g.rankedCount < maxHomes {
			least = g.insertRanked(i, w)
		}
	}
}

// fibonacciMultiplier is 2^64 divided by the golden ratio, rounded to an odd number.
const fibonacciMultiplier = 0x9e3779b97f4a7c15

// insertRanked inserts an index into the ranking and returns the lowest weight in it.
func (g *group) insertRanked(i int, w uint64) uint64 {
	if g.rankedCount < maxHomes {
		g.rankedCount++
	}
	j := g.rankedCount - 1
	for ; j > 0 && g.rankWeights[j-1] < w; j-- {
		g.rankWeights[j], g.ranked[j] = g.rankWeights[j-1], g.ranked[j-1]
	}
	g.rankWeights[j], g.ranked[j] = w, i
	return g.rankWeights[g.rankedCount-1]
}

// mix is the finaliser of splitmix64: every input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
