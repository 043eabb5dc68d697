// Package engine is a stand-in for a model engine, for tests and the dev mode: an http.Handler with
// continuous batching, chunked prefill, a KV cache of limited size with reusable prefix blocks, and
// deterministic answers.
//
// Times are those of a real engine with the configured rates, but generating the text costs almost
// no CPU time, so that many engines fit into one process. An idle engine runs no goroutine and no
// timer.
package engine

import (
	"time"

	"acaciacleat.example/peers/weights"
)

// Defaults of Config.
const (
	DefaultModel          = "assistant-1"
	DefaultEngineTokens   = 400_000
	DefaultPrefillRate    = 40_000
	DefaultStepTokens     = 2048
	DefaultDecodeStep     = 15 * time.Millisecond
	DefaultDecodePerSeq   = 50 * time.Microsecond
	DefaultMaxBatch       = 64
	DefaultMaxQueue       = 4096
	DefaultAnswerTokens   = 1024
	DefaultKeepAlive      = time.Second
	DefaultWeightRate     = 2e9
	DefaultModelBytes     = 16e9
	DefaultAdapterBytes   = 200e6
	DefaultEventsRetained = 16384
)

// Config configures the engine's size, speed and behaviour. Zero fields take the defaults.
type Config struct {
	Model    string
	Version  string
	Adapters []string
	Role     string

	// EngineTokens is the size of the KV cache in tokens. A request holds memory for its prompt and
	// max_tokens while it runs; the prefix cache uses the free memory.
	EngineTokens int64
	// CacheTokens bounds the prefix cache; 0 means EngineTokens, a negative value no cache.
	CacheTokens int64
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepTokens is the token budget of one step, used first for decoding and then for prompts.
	StepTokens int
	// DecodeStep is the base duration of a decode step; each request that decodes adds
	// DecodePerSeq.
	DecodeStep   time.Duration
	DecodePerSeq time.Duration
	// TokensPerStep is how many tokens a request decodes in one step; 0 means 1.
	TokensPerStep int
	// MaxBatch bounds the running requests, MaxQueue the waiting ones.
	MaxBatch int
	MaxQueue int
	// Preempt lets a waiting request preempt a running one of lower priority, which returns to the
	// queue, loses its memory and is recomputed later.
	Preempt bool
	// AnswerTokens is the longest natural answer, and the max_tokens of a request without that
	// field.
	AnswerTokens int
	// KeepAlive is the longest pause without data on a stream.
	KeepAlive time.Duration

	// ReportLag is the age of the state in a report.
	ReportLag time.Duration
	// EventDelay is the delay until a cache event can be read, EventLoss the fraction of events
	// that are lost, selected by Seed.
	EventDelay time.Duration
	EventLoss  float64
	Seed       uint64
	// EventsRetained is how many of the latest events are kept at least; older events, once removed,
	// are missing for readers.
	EventsRetained int

	// CheckFence makes the engine refuse orders with an outdated fencing token.
	CheckFence bool
	// Weights provides the size of the artifact that an order loads, and the rate. Without it,
	// ModelBytes, AdapterBytes and WeightRate (bytes per second) apply.
	Weights      weights.Store
	ModelBytes   int64
	AdapterBytes int64
	WeightRate   float64
	// KVBytesPerBlock is the padding per exported block; KVRate is the speed of exports and imports
	// in bytes per second, 0 for no delay.
	KVBytesPerBlock int
	KVRate          float64
}

// orDefault returns value, or preset if value is zero.
func orDefault[T comparable](value, preset T) T {
	var zero T
	if value == zero {
		return preset
	}
	return value
}

func (c Config) withDefaults() Config {
	c.Model = orDefault(c.Model, DefaultModel)
	c.EngineTokens = orDefault(c.EngineTokens, DefaultEngineTokens)
	c.CacheTokens = max(0, orDefault(c.CacheTokens, c.EngineTokens))
	c.PrefillRate = orDefault(c.PrefillRate, DefaultPrefillRate)
	c.StepTokens = orDefault(c.StepTokens, DefaultStepTokens)
	c.DecodeStep = orDefault(c.DecodeStep, DefaultDecodeStep)
	c.DecodePerSeq = orDefault(c.DecodePerSeq, DefaultDecodePerSeq)
	c.TokensPerStep = orDefault(c.TokensPerStep, 1)
	c.MaxBatch = orDefault(c.MaxBatch, DefaultMaxBatch)
	c.MaxQueue = orDefault(c.MaxQueue, DefaultMaxQueue)
	c.AnswerTokens = orDefault(c.AnswerTokens, DefaultAnswerTokens)
	c.KeepAlive = orDefault(c.KeepAlive, DefaultKeepAlive)
	c.EventsRetained = orDefault(c.EventsRetained, DefaultEventsRetained)
	c.ModelBytes = orDefault(c.ModelBytes, DefaultModelBytes)
	c.AdapterBytes = orDefault(c.AdapterBytes, DefaultAdapterBytes)
	c.WeightRate = orDefault(c.WeightRate, DefaultWeightRate)
	return c
}
