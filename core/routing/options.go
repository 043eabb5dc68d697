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
	// HotSpread lets a prefix that carries much of the load have more than one home.
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
	// LoadBound is the multiple of the mean load above which a replica loses its
	// claims as a home.
	LoadBound float64
	// CacheSlots and CacheAge size the estimator of cached prefixes; see package prefix.
	CacheSlots int
	CacheAge   time.Duration
}

// DefaultOptions returns the options that the evaluator chose.
func DefaultOptions(seed uint64) Options {
	return Options{
		Seed:       seed,
		HotSpread:  true,
		ZoneDelay:  3 * time.Millisecond, // the brief: over 1 ms one way
		Staleness:  2 * time.Second,      // reports lag about a second
		Jitter:     0.2,
		HomeBelief: 0.5,
		LoadBound:  1.25, // the usual bound of consistent hashing with bounded loads
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

// weightUnit is the denominator of aheadWeights.
const weightUnit = 8

// aheadWeights tells, in weightUnits, which share of the prompt tokens of another class a
// request of one class waits for: rows are the request's class, columns the other's. They
// follow the agent's queue (package scheduling): shorter first, aged longer ones now and
// then. Running prefill counts by half at least, for engines interleave it in chunks.
type aheadWeights struct {
	queued  [call.NumClasses][call.NumClasses]int64
	running [call.NumClasses][call.NumClasses]int64
}

var (
	shortSlowdownWeights = aheadWeights{
		queued: [call.NumClasses][call.NumClasses]int64{
			call.Short:  {8, 2, 1, 1},
			call.Medium: {8, 8, 3, 3},
			call.Long:   {8, 8, 8, 8},
			call.Huge:   {8, 8, 8, 8},
		},
		running: runningWeights,
	}
	firstTokenWeights = aheadWeights{
		queued: [call.NumClasses][call.NumClasses]int64{
			call.Short:  {8, 3, 2, 2},
			call.Medium: {8, 8, 5, 5},
			call.Long:   {8, 8, 8, 8},
			call.Huge:   {8, 8, 8, 8},
		},
		running: runningWeights,
	}
	runningWeights = [call.NumClasses][call.NumClasses]int64{
		call.Short:  {8, 4, 4, 4},
		call.Medium: {8, 8, 4, 4},
		call.Long:   {8, 8, 8, 8},
		call.Huge:   {8, 8, 8, 8},
	}
)

func weightsFor(objective document.Objective) *aheadWeights {
	if objective == document.TimeToFirstToken {
		return &firstTokenWeights
	}
	return &shortSlowdownWeights
}
