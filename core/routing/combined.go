package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/prefix"
)

// Combined minimises the predicted time to first token. The prediction depends on the prompt
// tokens that are not cached, the zone, the free memory and the tokens ahead: the prompt tokens
// that the agent would run first by its priority rules. Older load reports have less weight and
// add jitter, so that entries with the same old reports don't all choose the same replica.
type Combined struct {
	options   Options
	random    *rand.Rand
	estimator *prefix.Estimator
	loads     *prefixLoads
	groups    map[string]*group
	matches   []prefix.Match
}

// NewCombined returns a Combined policy.
func NewCombined(options Options) *Combined {
	return &Combined{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		estimator: prefix.NewEstimator(options.CacheSlots, options.CacheAge),
		loads:     newPrefixLoads(),
		groups:    make(map[string]*group),
		matches:   make([]prefix.Match, 0, prefix.MaxDigests),
	}
}

// Estimator returns the policy's estimator of cached prefixes, to which the caller passes
// cache events and usage counts. Choose registers the holders; see Holder.
func (c *Combined) Estimator() *prefix.Estimator { return c.estimator }

// Holder returns the estimator's holder for a replica.
func (c *Combined) Holder(replica *Replica, now time.Time) prefix.Holder {
	return c.estimator.Register(replica.Agent, replica.Incarnation, now)
}

// Choose implements Policy. The estimator then counts the prompt as cached at the chosen
// replica.
func (c *Combined) Choose(request *Request, replicas []Replica, now time.Time) Choice {
	if len(replicas) == 0 {
		return Choice{Index: -1}
	}
	g := c.group(request.Model)
	g.refresh(c.estimator, replicas, now)
	c.matches = c.estimator.Match(request.Prefix, now, c.matches[:0])
	key := homeKey(request)
	g.selectCandidates(c.matches, key, len(replicas), c.random)
	g.estimateLoads(request, replicas, now, c.options.StalenessHalfLife)
	if g.usableCount == 0 {
		return Choice{Index: -1}
	}
	c.applyCacheMatches(g, request)
	c.creditHomes(g, request, key, now)
	choice := c.best(g, request, replicas)
	c.estimator.RecordPrompt(g.members[choice.Index].holder, request.Prefix, now)
	return choice
}

// homeKey returns the digest that determines the homes of a prompt; 0 if it has none.
func homeKey(request *Request) uint64 {
	if depth := min(len(request.Prefix), homeDepth); depth > 0 {
		return request.Prefix[depth-1]
	}
	return 0
}

// applyCacheMatches sets the part of the prompt that each replica is estimated to cache.
func (c *Combined) applyCacheMatches(g *group, request *Request) {
	for _, match := range c.matches {
		if i, ok := g.index(match.Holder); ok {
			g.members[i].cachedTokens = prefixTokens(request, match.Depth)
		}
	}
}

// creditHomes counts a part of the prompt's prefix as cached at its homes.
//
// Each of many entries sees few of the requests with a given prefix and would send them to
// a replica of its own choice, so that each replica computes the prefix again and the
// caches fill with copies. Rendezvous hashing gives all entries the same homes without
// communication. The credit is at most HomeCachedShare of the tokens of homeDepth digests. If
// a home has more tokens ahead than another replica by more than the credit, the other replica
// gets the request. This bounds the load of the homes.
func (c *Combined) creditHomes(g *group, request *Request, key uint64, now time.Time) {
	if key == 0 {
		return
	}
	homes := 1
	c.loads.add(key, request.Demand.PromptTokens, now)
	if c.options.SplitHotPrefixes {
		homes = c.loads.homes(key, len(g.members), now)
	}
	credit := c.options.HomeCachedShare * prefixTokens(request, min(len(request.Prefix), homeDepth))
	for _, i := range g.ranked[:g.rankedCount] {
		m := &g.members[i]
		if homes == 0 {
			return
		}
		if m.usable {
			homes--
			m.cachedTokens = max(m.cachedTokens, credit)
		}
	}
}

// best returns the usable candidate with the lowest score: the predicted time to first token, with
// a random part that grows with the age of the load report.
func (c *Combined) best(g *group, request *Request, replicas []Replica) Choice {
	choice := Choice{Index: -1}
	lowest := math.Inf(1)
	salt := c.random.Uint64()
	zoneDelay := c.options.ZoneDelay.Seconds()
	prompt, demand := float64(request.Demand.PromptTokens), float64(request.Demand.Tokens())
	for _, i := range g.candidates {
		m := &g.members[i]
		if !m.usable {
			continue
		}
		replica := &replicas[i]
		tokens := m.tokensAhead + max(0, prompt-m.cachedTokens)
		if missingMemory := demand - m.cachedTokens - float64(replica.Load.FreeTokens); missingMemory > 0 && replica.Load.CapacityTokens > 0 {
			tokens += missingMemoryWeight * missingMemory
		}
		predicted := tokens / m.prefillRate
		if replica.Zone != request.Zone {
			predicted += zoneDelay
		}
		score := predicted * (1 + c.options.Jitter*m.staleness*unitInterval(mix(m.hash^salt)))
		if score < lowest {
			lowest = score
			choice = Choice{Index: i, Predicted: time.Duration(predicted * float64(time.Second))}
		}
	}
	return choice
}

// unitInterval maps random bits to a number in [0, 1).
func unitInterval(bits uint64) float64 { return float64(bits>>11) * 0x1p-53 }

// prefixTokens estimates the number of prompt tokens that the first depth digests cover.
func prefixTokens(request *Request, depth int) float64 {
	bytes := float64(prefix.Boundary(depth))
	if request.PromptBytes > 0 {
		return bytes / float64(request.PromptBytes) * float64(request.Demand.PromptTokens)
	}
	return min(bytes/defaultBytesPerToken, float64(request.Demand.PromptTokens))
}

// tokensAhead returns the prompt tokens that a request of the class waits for at a replica,
// not counting this entry's own requests since the load report. For a request shorter than
// Long, the running prefill of longer requests counts only up to chunkTokens, because the
// engine interrupts it then.
func tokensAhead(class call.Class, weights *queuedWeights, load *Load) float64 {
	row := &weights[class]
	queued, running, longer := int64(0), int64(0), int64(0)
	for other := range row {
		queued += row[other] * load.QueuedPrompt[other]
		if other > int(class) && class < call.Long {
			longer += load.RunningPrompt[other]
		} else {
			running += load.RunningPrompt[other]
		}
	}
	return float64(queued)/weightUnit + float64(running+min(longer, chunkTokens))
}
