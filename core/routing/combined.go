package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/prefix"
)

// Combined chooses by predicted time to first token: the work ahead under the agent's
// priority rules, the prompt tokens not cached, the zone and the memory. Old digests
// count for less and add jitter, so that entries with the same old view spread out.
type Combined struct {
	options   Options
	random    *rand.Rand
	estimator *prefix.Estimator
	heat      *heat
	groups    map[string]*group
	matches   []prefix.Match
}

// NewCombined returns a Combined policy.
func NewCombined(options Options) *Combined {
	return &Combined{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		estimator: prefix.NewEstimator(options.CacheSlots, options.CacheAge),
		heat:      newHeat(),
		groups:    make(map[string]*group),
		matches:   make([]prefix.Match, 0, prefix.MaxDigests),
	}
}

// Caches is the estimator behind the policy, for the cache events and usage counts that
// the shell hears of. Holders are registered by Choose; see Holder.
func (c *Combined) Caches() *prefix.Estimator { return c.estimator }

// Holder returns the estimator's number for a replica.
func (c *Combined) Holder(replica *Replica, now time.Time) prefix.Holder {
	return c.estimator.Register(replica.Agent, replica.Incarnation, now)
}

// Choose implements Policy. A chosen replica is believed to cache the prompt from now on.
func (c *Combined) Choose(request *Request, replicas []Replica, now time.Time) Choice {
	if len(replicas) == 0 {
		return Choice{Index: -1}
	}
	g := c.group(request.Model)
	g.refresh(c.estimator, replicas, now)
	c.matches = c.estimator.Match(request.Prefix, now, c.matches[:0])
	key := homeKey(request)
	g.pick(c.matches, key, len(replicas), c.random)
	g.measure(request, replicas, now, c.options.Staleness)
	if g.usable == 0 {
		return Choice{Index: -1}
	}
	c.addCached(g, request)
	c.addHomes(g, request, key, now)
	choice := c.best(g, request, replicas)
	c.estimator.RecordPrompt(g.members[choice.Index].holder, request.Prefix, now)
	return choice
}

// homeKey returns the digest that decides the homes of a prompt; 0 when it has none.
func homeKey(request *Request) uint64 {
	if depth := min(len(request.Prefix), homeDepth); depth > 0 {
		return request.Prefix[depth-1]
	}
	return 0
}

// addCached enters what each replica is believed to hold of the prompt.
func (c *Combined) addCached(g *group, request *Request) {
	for _, match := range c.matches {
		if i, ok := g.index(match.Holder); ok {
			g.members[i].cached = prefixTokens(request, match.Depth)
		}
	}
}

// addHomes credits the homes of the prompt's beginning with a part of it.
//
// What goes wrong: each of many entries sees a small part of the requests with one
// prefix and would settle it on a replica of its own, so each replica computes it anew
// and caches fill with copies. It shows as a low share of cached tokens. Rendezvous
// hashing gives all entries the same homes without a message. The credit is a part of
// homeDepth digests, so a home that is busier than another replica by more than that
// loses the request: its load is bounded.
func (c *Combined) addHomes(g *group, request *Request, key uint64, now time.Time) {
	if key == 0 {
		return
	}
	homes := 1
	c.heat.add(key, request.Work.PromptTokens, now)
	if c.options.HotSpread {
		homes = c.heat.homes(key, len(g.members), now)
	}
	credit := c.options.HomeBelief * prefixTokens(request, min(len(request.Prefix), homeDepth))
	for _, i := range g.top[:g.found] {
		m := &g.members[i]
		if homes == 0 {
			return
		}
		if m.usable {
			homes--
			m.cached = max(m.cached, credit)
		}
	}
}

// best returns the replica with the lowest score.
func (c *Combined) best(g *group, request *Request, replicas []Replica) Choice {
	choice := Choice{Index: -1}
	lowest := math.Inf(1)
	salt := c.random.Uint64()
	zoneDelay := c.options.ZoneDelay.Seconds()
	prompt, need := float64(request.Work.PromptTokens), float64(request.Work.Tokens())
	for _, i := range g.candidates {
		m := &g.members[i]
		if !m.usable {
			continue
		}
		replica := &replicas[i]
		work := m.ahead + max(0, prompt-m.cached)
		if missing := need - m.cached - float64(replica.Load.FreeTokens); missing > 0 && replica.Load.CapacityTokens > 0 {
			work += memoryWait * missing
		}
		predicted := work / m.rate
		if replica.Zone != request.Zone {
			predicted += zoneDelay
		}
		score := predicted * (1 + c.options.Jitter*m.doubt*unit(mix(m.hash^salt)))
		if score < lowest {
			lowest = score
			choice = Choice{Index: i, Predicted: time.Duration(predicted * float64(time.Second))}
		}
	}
	return choice
}

// unit maps random bits to [0, 1).
func unit(bits uint64) float64 { return float64(bits>>11) * 0x1p-53 }

// prefixTokens converts a number of digests to prompt tokens.
func prefixTokens(request *Request, depth int) float64 {
	bytes := float64(prefix.Boundary(depth))
	if request.PromptBytes > 0 {
		return bytes / float64(request.PromptBytes) * float64(request.Work.PromptTokens)
	}
	return min(bytes/defaultBytesPerToken, float64(request.Work.PromptTokens))
}

// ahead returns the prompt tokens that a request of the class waits for at a replica,
// without the reader's own requests since the digest.
func ahead(class call.Class, weights *queuedWeights, load *Load) float64 {
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
