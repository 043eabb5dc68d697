package routing

import (
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/prefix"
)

// The names of policies that ByName accepts.
const (
	NameNaive          = "naive"
	NameLeastLoaded    = "least-loaded"
	NamePowerOfTwo     = "power-of-two"
	NamePrefixOnly     = "prefix-only"
	NameCombined       = "combined"
	NameCombinedSpread = "combined-spread" // with Options.SplitHotPrefixes
	NamePlain          = "plain"
)

// Names lists the names that ByName accepts.
var Names = []string{NameNaive, NameLeastLoaded, NamePowerOfTwo, NamePrefixOnly, NameCombined, NameCombinedSpread, NamePlain}

// ByName returns a new policy of the given name; false if there is none.
func ByName(name string, seed uint64) (Policy, bool) {
	options := DefaultOptions(seed)
	switch name {
	case NameNaive:
		return &Naive{}, true
	case NameLeastLoaded:
		return LeastLoaded{}, true
	case NamePowerOfTwo:
		return NewPowerOfTwo(seed), true
	case NamePrefixOnly:
		return NewPrefixOnly(), true
	case NameCombined:
		return NewCombined(options), true
	case NameCombinedSpread:
		options.SplitHotPrefixes = true
		return NewCombined(options), true
	case NamePlain:
		return NewPlain(), true
	default:
		return nil, false
	}
}

// LeastLoaded is a baseline: the replica that reported the fewest prompt tokens, whatever
// the age of the report.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(request *Request, replicas []Replica, _ time.Time) Choice {
	best := -1
	for i := range replicas {
		if !Usable(request, &replicas[i]) {
			continue
		}
		if best < 0 || reportedTokens(&replicas[i]) < reportedTokens(&replicas[best]) {
			best = i
		}
	}
	return Choice{Index: best}
}

// reportedTokens returns the sum of prompt tokens in the last load report.
func reportedTokens(replica *Replica) int64 {
	sum := int64(0)
	for class := range replica.Load.QueuedPrompt {
		sum += replica.Load.QueuedPrompt[class] + replica.Load.RunningPrompt[class]
	}
	return sum
}

// PowerOfTwo is a baseline: the less loaded of two random replicas, counting the entry's
// own requests too.
type PowerOfTwo struct{ random *rand.Rand }

// NewPowerOfTwo returns a PowerOfTwo with the given random seed.
func NewPowerOfTwo(seed uint64) *PowerOfTwo {
	return &PowerOfTwo{random: rand.New(rand.NewPCG(seed, 0))}
}

// Choose implements Policy.
func (p *PowerOfTwo) Choose(request *Request, replicas []Replica, _ time.Time) Choice {
	a := p.draw(request, replicas, -1)
	if a < 0 {
		return Choice{Index: -1}
	}
	b := p.draw(request, replicas, a)
	if b >= 0 && reportedTokens(&replicas[b])+replicas[b].InFlightPrompt < reportedTokens(&replicas[a])+replicas[a].InFlightPrompt {
		a = b
	}
	return Choice{Index: a}
}

// draw returns the index of a random usable replica other than exclude; -1 if there is
// none.
func (p *PowerOfTwo) draw(request *Request, replicas []Replica, exclude int) int {
	if len(replicas) == 0 {
		return -1
	}
	first := p.random.IntN(len(replicas))
	for step := range replicas {
		i := (first + step) % len(replicas)
		if i != exclude && Usable(request, &replicas[i]) {
			return i
		}
	}
	return -1
}

// PrefixOnly is a baseline: the replica with the longest cached prefix, else the
// prefix's rendezvous home, whatever their load.
type PrefixOnly struct {
	estimator *prefix.Estimator
	group     group
}

// NewPrefixOnly returns a PrefixOnly without any recorded prefix.
func NewPrefixOnly() *PrefixOnly { return &PrefixOnly{estimator: prefix.NewEstimator(0, 0)} }

// Choose implements Policy.
func (p *PrefixOnly) Choose(request *Request, replicas []Replica, now time.Time) Choice {
	if len(replicas) == 0 {
		return Choice{Index: -1}
	}
	g := &p.group
	g.refresh(p.estimator, replicas, now)
	best := p.longestCached(request, replicas, now)
	if best < 0 {
		best = p.home(request, replicas)
	}
	if best < 0 {
		return Choice{Index: -1}
	}
	p.estimator.RecordPrompt(g.members[best].holder, request.Prefix, now)
	return Choice{Index: best}
}

// longestCached returns the usable replica with the longest cached prefix; -1 if none has
// a part of the prompt.
func (p *PrefixOnly) longestCached(request *Request, replicas []Replica, now time.Time) int {
	for _, match := range p.estimator.Match(request.Prefix, now, nil) {
		if i, ok := p.group.index(match.Holder); ok && Usable(request, &replicas[i]) {
			return i
		}
	}
	return -1
}

// home returns the first usable rendezvous home. Prompts too short to have digests are
// spread over the replicas.
func (p *PrefixOnly) home(request *Request, replicas []Replica) int {
	key := homeKey(request)
	if key == 0 {
		key = mix(p.group.choiceCount)
	}
	p.group.rank(key)
	for _, i := range p.group.ranked[:p.group.rankedCount] {
		if Usable(request, &replicas[i]) {
			return i
		}
	}
	return (&Naive{}).Choose(request, replicas, time.Time{}).Index
}
