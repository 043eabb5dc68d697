package routing

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
)

// Options configures Combined. The evaluator is the simulation in core/policytest.
type Options struct {
	// Seed seeds all randomness: the same seed and calls give the same choices.
	Seed uint64
	// SplitHotPrefixes gives a prefix that carries much of the load more than one home; see
	// maxHomes. It is off by default: with 40 % of the prompts on one document the evaluator's
	// p95 falls by 4 to 5 %, but at 18 engines without such a document it rises by 22 to 35 %.
	// A hot prefix spreads in any case, as replicas that took some of its requests cache it too.
	SplitHotPrefixes bool
	// ZoneDelay is the round trip added for a replica in another availability zone.
	ZoneDelay time.Duration
	// StalenessHalfLife is the age at which half of a load report's deviation from the mean
	// is discounted.
	StalenessHalfLife time.Duration
	// Jitter is the largest random part of the score, as a share of the predicted time, for
	// a load report of unbounded age. A new report gets none.
	Jitter float64
	// HomeCachedShare is the share of a prefix that its home is assumed to cache although this
	// entry has not sent it there: another entry may have.
	HomeCachedShare float64
	// CacheSlots and CacheAge size the estimator of cached prefixes; see package prefix.
	CacheSlots int
	CacheAge   time.Duration
}

// DefaultOptions returns the options for the given random seed.
func DefaultOptions(seed uint64) Options {
	return Options{
		Seed:              seed,
		ZoneDelay:         3 * time.Millisecond, // one way takes over 1 ms
		StalenessHalfLife: 2 * time.Second,      // reports arrive about a second late
		Jitter:            0.2,
		HomeCachedShare:   0.5,
	}
}

const (
	// defaultPrefillRate is used until an agent has measured its own rate, in tokens/s.
	defaultPrefillRate = 40_000
	// homeDepth is the number of digests (4,096 tokens) that determine a prompt's home. It is
	// longer than most shared instructions and shorter than the documents that follow them.
	homeDepth = 8
	// defaultBytesPerToken is used if the request has no PromptBytes.
	defaultBytesPerToken = 4
	// missingMemoryWeight is the weight of a token of missing memory relative to a token of
	// prefill. Memory is freed when requests finish, which takes longer than prefilling as
	// many tokens.
	missingMemoryWeight = 2
)

// weightUnit is the denominator of queuedWeights.
const weightUnit = 64

// chunkTokens is the number of prompt tokens that an engine prefills between two decisions
// by priority. A request waits for at most that much of a longer request's running
// prefill. Common engines use 2,048 to 8,192.
const chunkTokens = 4096

// queuedWeights holds the share, in units of 1/weightUnit, of the queued prompt tokens of
// each class that a request waits for. Rows are the request's class, columns the class of
// the queued tokens. The weights follow the order of the agent's queue (package
// scheduling), shorter requests first. The small weights of longer classes steer short
// requests away from replicas where they would delay a long one; without them the
// evaluator's p95 of long requests rises from 27 s to 100 s.
type queuedWeights [call.NumClasses][call.NumClasses]int64

var (
	shortSlowdownWeights = queuedWeights{
		call.Short:  {64, 1, 1, 1},
		call.Medium: {64, 64, 13, 13},
		call.Long:   {64, 64, 64, 64},
		call.Huge:   {64, 64, 64, 64},
	}
	firstTokenWeights = queuedWeights{
		call.Short:  {64, 3, 3, 3},
		call.Medium: {64, 64, 13, 13},
		call.Long:   {64, 64, 64, 64},
		call.Huge:   {64, 64, 64, 64},
	}
)

func weightsFor(objective document.Objective) *queuedWeights {
	if objective == document.TimeToFirstToken {
		return &firstTokenWeights
	}
	return &shortSlowdownWeights
}
