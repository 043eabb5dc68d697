package routing

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
)

// Options tunes Combined. Figures named "evaluator" come from core/policytest.
type Options struct {
	// Seed drives all randomness: the same seed and calls give the same choices.
	Seed uint64
	// HotSpread lets a prefix that carries much of the load have more than one home. It is
	// off by default: with 40 % of the prompts on one document the evaluator's p95 fell by
	// 4 to 5 %, but at 18 engines without one it rose by 22 to 35 %. A hot prefix spreads
	// anyhow, as replicas that took some of its requests cache it too.
	HotSpread bool
	// ZoneDelay is added for a replica in another availability zone: a round trip.
	ZoneDelay time.Duration
	// Staleness is the age at which half of a digest's deviation from the mean is believed.
	Staleness time.Duration
	// Jitter is the largest random part of the score, as a share of the predicted time,
	// for a digest of unbounded age; a fresh digest has none.
	Jitter float64
	// HomeBelief is the share of a prefix that its home is believed to cache although the
	// reader did not send it there: another entry may have.
	HomeBelief float64
	// CacheSlots and CacheAge size the estimator of cached prefixes; see package prefix.
	CacheSlots int
	CacheAge   time.Duration
}

// DefaultOptions returns the options that the evaluator chose.
func DefaultOptions(seed uint64) Options {
	return Options{
		Seed:       seed,
		ZoneDelay:  3 * time.Millisecond, // the brief: over 1 ms one way
		Staleness:  2 * time.Second,      // reports lag about a second
		Jitter:     0.2,
		HomeBelief: 0.5,
	}
}

const (
	// defaultPrefillRate is used before an agent has measured its own, in tokens/s.
	defaultPrefillRate = 40_000
	// homeDepth is the number of digests (4,096 tokens) that decide a prompt's home: more
	// than most shared instructions, less than the documents that follow them.
	homeDepth = 8
	// defaultBytesPerToken is used when the request does not tell its bytes.
	defaultBytesPerToken = 4
	// memoryWait weighs missing memory against prefill: it is freed by finishing requests,
	// which takes longer than prefilling as many tokens.
	memoryWait = 2
)

// weightUnit is the denominator of queuedWeights.
const weightUnit = 64

// chunkTokens is what an engine prefills between two decisions by priority; a request
// waits for so much of a longer one's running prefill. Common engines use 2,048 to 8,192.
const chunkTokens = 4096

// queuedWeights tells, in weightUnits, which share of the queued prompt tokens of another
// class a request of one class waits for: rows are the request's class, columns the
// other's. They follow the agent's queue (package scheduling): shorter first. The small
// weights of longer classes keep short requests from slowing a long one where there is a
// choice; without them the evaluator's long p95 rose from 27 s to 100 s.
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
