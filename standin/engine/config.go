// Package engine is a stand-in for a model engine, for tests and the dev mode: an
// http.Handler that batches continuously, prefills in chunks, keeps a KV cache of limited
// size with reusable prefix blocks, and answers each prompt deterministically.
//
// Time passes as in a real engine of the configured rates, but the text costs nothing, so
// that many engines fit into one process. An idle engine runs no goroutine and no timer.
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

// Config is the engine's size, speed and behaviour. Zero fields take the defaults.
type Config struct {
	Model    string
	Version  string
	Adapters []string
	Role     string

	// EngineTokens is the KV cache in tokens. A request holds its prompt and max_tokens
	// from its start to its end; the prefix cache lives in what is free.
	EngineTokens int64
	// CacheTokens bounds the prefix cache; 0 means EngineTokens, negative no cache.
	CacheTokens int64
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepTokens is the budget of one step: decoded tokens and then prompt tokens.
	StepTokens int
	// DecodeStep is the time of a decode step for an empty batch; each request that
	// decodes adds DecodePerSeq.
	DecodeStep   time.Duration
	DecodePerSeq time.Duration
	// TokensPerStep is how many tokens a request decodes in one step; 0 means 1.
	TokensPerStep int
	// MaxBatch bounds the requests that run, MaxQueue those that wait.
	MaxBatch int
	MaxQueue int
	// Preempt lets a waiting request put a running one of lower priority back into
	// the queue, where it loses its memory and later recomputes.
	Preempt bool
	// AnswerTokens is the longest natural answer, and max_tokens when a body has none.
	AnswerTokens int
	// KeepAlive is the longest pause without a byte on a stream.
	KeepAlive time.Duration

	// ReportLag is how old the state in a report is.
	ReportLag time.Duration
	// EventDelay is how late a cache event can be read, EventLoss the share of events
	// that are never seen, chosen by Seed.
	EventDelay time.Duration
	EventLoss  float64
	Seed       uint64
	// EventsRetained is how many events are kept; older ones are a gap.
	EventsRetained int

	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// Weights tells the size of what an order loads and the rate. Without it ModelBytes,
	// AdapterBytes and WeightRate (bytes per second) do.
	Weights      weights.Store
	ModelBytes   int64
	AdapterBytes int64
	WeightRate   float64
	// KVBytesPerBlock pads exported blocks to a size; KVRate is the speed of exports and
	// imports in bytes per second, 0 for no delay.
	KVBytesPerBlock int
	KVRate          float64
}

// or returns value, or preset where value is zero.
func or[T comparable](value, preset T) T {
	var zero T
	if value == zero {
		return preset
	}
	return value
}

func (c Config) withDefaults() Config {
	c.Model = or(c.Model, DefaultModel)
	c.EngineTokens = or(c.EngineTokens, DefaultEngineTokens)
	c.CacheTokens = max(0, or(c.CacheTokens, c.EngineTokens))
	c.PrefillRate = or(c.PrefillRate, DefaultPrefillRate)
	c.StepTokens = or(c.StepTokens, DefaultStepTokens)
	c.DecodeStep = or(c.DecodeStep, DefaultDecodeStep)
	c.DecodePerSeq = or(c.DecodePerSeq, DefaultDecodePerSeq)
	c.TokensPerStep = or(c.TokensPerStep, 1)
	c.MaxBatch = or(c.MaxBatch, DefaultMaxBatch)
	c.MaxQueue = or(c.MaxQueue, DefaultMaxQueue)
	c.AnswerTokens = or(c.AnswerTokens, DefaultAnswerTokens)
	c.KeepAlive = or(c.KeepAlive, DefaultKeepAlive)
	c.EventsRetained = or(c.EventsRetained, DefaultEventsRetained)
	c.ModelBytes = or(c.ModelBytes, DefaultModelBytes)
	c.AdapterBytes = or(c.AdapterBytes, DefaultAdapterBytes)
	c.WeightRate = or(c.WeightRate, DefaultWeightRate)
	return c
}
