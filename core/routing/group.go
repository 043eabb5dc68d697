package routing

import (
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/prefix"
	"github.com/cespare/xxhash/v2"
)

// maxGroups bounds the models remembered, should their names ever come from callers.
const maxGroups = 1024

const (
	// maxHomes bounds the homes of one prefix.
	maxHomes = 8
	// scanAll is the largest group of which every replica is scored. Of a larger one the
	// likely holders, the homes and sample random replicas are, which bounds the time of
	// a choice and keeps entries with the same old view apart.
	scanAll = 32
	sample  = 24
	// recheck is the number of choices after which a large group's names are compared anew.
	recheck = 64
)

// member is what a choice computes of one replica. Its identity is kept between choices.
type member struct {
	agent       string
	incarnation call.Incarnation
	holder      prefix.Holder
	hash        uint64
	seen        time.Time
	seenAt      int64 // seen in ns since the group's origin

	usable bool
	round  uint64  // the choice in which the member was last a candidate
	own    float64 // prompt tokens of the reader's requests since the digest
	ahead  float64 // prompt tokens to wait for
	cached float64 // prompt tokens believed to be cached
	rate   float64 // prompt tokens prefilled a second
	doubt  float64 // 0 for a fresh digest, towards 1 with its age
}

// group holds the replicas of one model, in the order of the caller's slice.
type group struct {
	origin  time.Time
	first   *Replica
	choices uint64
	members []member
	hashes  []uint64
	// places maps a holder to its place in members.
	places     []int32
	candidates []int
	usable     int
	top        [maxHomes]int
	weight     [maxHomes]uint64
	found      int
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

// refresh brings members in line with replicas. Names in a large group are compared now
// and then only; a replica that changed place meanwhile is scored with another's cache,
// which costs time and nothing else.
func (g *group) refresh(estimator *prefix.Estimator, replicas []Replica, now time.Time) {
	g.choices++
	same := g.first == &replicas[0] && len(g.members) == len(replicas)
	if same && len(replicas) > scanAll && g.choices%recheck != 0 {
		return
	}
	if len(g.members) != len(replicas) {
		g.members = make([]member, len(replicas))
		g.hashes = make([]uint64, len(replicas))
	}
	if g.origin.IsZero() {
		g.origin = now
	}
	g.first = &replicas[0]
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
		g.place(m.holder, i)
	}
}

func (g *group) place(h prefix.Holder, i int) {
	if missing := int(h) + 1 - len(g.places); missing > 0 {
		g.places = append(g.places, make([]int32, missing)...)
	}
	g.places[h] = int32(i)
}

// index returns the place of a holder; false when it is none of this model's.
func (g *group) index(h prefix.Holder) (int, bool) {
	if int(h) >= len(g.places) {
		return 0, false
	}
	i := int(g.places[h])
	return i, i < len(g.members) && g.members[i].holder == h
}

// pick lists the places that the choice will score.
func (g *group) pick(matches []prefix.Match, key uint64, count int, random *rand.Rand) {
	g.candidates = g.candidates[:0]
	g.rank(key)
	if count <= scanAll {
		for i := range count {
			g.candidates = append(g.candidates, i)
		}
		return
	}
	for _, match := range matches {
		if i, ok := g.index(match.Holder); ok {
			g.add(i)
		}
		if len(g.candidates) >= sample {
			break
		}
	}
	for _, i := range g.top[:g.found] {
		g.add(i)
	}
	for range sample {
		g.add(random.IntN(count))
	}
}

func (g *group) add(i int) {
	if m := &g.members[i]; m.round != g.choices {
		m.round = g.choices
		g.candidates = append(g.candidates, i)
	}
}

// measure computes the work ahead at each candidate and draws old digests to the mean.
func (g *group) measure(request *Request, replicas []Replica, now time.Time, staleness time.Duration) {
	class := call.ClassOf(request.Work.PromptTokens)
	weights := weightsFor(request.Objective)
	at := int64(now.Sub(g.origin))
	total := 0.0
	g.usable = 0
	for _, i := range g.candidates {
		m := &g.members[i]
		r := &replicas[i]
		m.cached = 0
		m.usable = Usable(request, r)
		if !m.usable {
			continue
		}
		if m.seen != r.Seen {
			m.seen = r.Seen
			m.seenAt = g.sinceOrigin(r.Seen)
		}
		m.own = float64(r.InFlightPrompt)
		m.rate = rateOf(&r.Load)
		m.ahead = ahead(class, weights, &r.Load)
		m.doubt = doubt(at-m.seenAt, staleness)
		total += m.ahead
		g.usable++
	}
	g.shrink(total / float64(max(1, g.usable)))
}

// sinceOrigin converts the time of a digest; one never received is a century old.
func (g *group) sinceOrigin(seen time.Time) int64 {
	if seen.IsZero() {
		return -int64(100 * 365 * 24 * time.Hour)
	}
	return int64(seen.Sub(g.origin))
}

// shrink moves the work ahead towards the mean by the doubt in its digest.
//
// What goes wrong: the replica that looked emptiest in an old view gets every request
// until the next digest. It shows as queues that swing between replicas. An old
// deviation from the mean has probably passed, so it is believed only in part; the
// reader's own requests since then are certain and count in full.
func (g *group) shrink(mean float64) {
	for _, i := range g.candidates {
		m := &g.members[i]
		if m.usable {
			m.ahead += m.doubt*(mean-m.ahead) + m.own
		}
	}
}

func rateOf(load *Load) float64 {
	if load.PrefillRate > 0 {
		return load.PrefillRate
	}
	return defaultPrefillRate
}

// doubt is age / (age + staleness); a digest never received is so old that it is near 1.
func doubt(age int64, staleness time.Duration) float64 {
	a := float64(max(0, age))
	return a / (a + float64(staleness))
}

// rank finds the places with the highest rendezvous weights for key, usable or not.
func (g *group) rank(key uint64) {
	g.found = 0
	if key == 0 {
		return
	}
	least := uint64(0)
	for i, hash := range g.hashes {
		// The hash and the key are both mixed well: one multiplication orders them anew.
		if w := (hash ^ key) * fibonacci; w > least || g.found < maxHomes {
			least = g.insert(i, w)
		}
	}
}

// fibonacci is 2^64 divided by the golden ratio, made odd.
const fibonacci = 0x9e3779b97f4a7c15

// insert enters a place into the ranking and returns the weight that the next must beat.
func (g *group) insert(i int, w uint64) uint64 {
	if g.found < maxHomes {
		g.found++
	}
	j := g.found - 1
	for ; j > 0 && g.weight[j-1] < w; j-- {
		g.weight[j], g.top[j] = g.weight[j-1], g.top[j-1]
	}
	g.weight[j], g.top[j] = w, i
	return g.weight[g.found-1]
}

// mix is the finaliser of splitmix64, which spreads every input bit over all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
