package scheduling

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
)

// Settings are the weights and shares of a Priority queue. An objective affects only these.
type Settings struct {
	// Limit is the maximum number of queued items.
	Limit int
	// CapacityTokens is the engine's KV cache memory; 0 when unknown.
	CapacityTokens int64
	// PrefillRate is the number of prompt tokens that the engine prefills per second.
	PrefillRate float64
	// MaxPrefillAhead is the number of prompt tokens waiting inside the engine at which no
	// further item is started behind them.
	MaxPrefillAhead int64
	// ShortMemoryShare is the share of the memory that only short items may use.
	ShortMemoryShare float64
	// ShortPerAgedToken is the number of short tokens that may start for each token of a
	// longer item that was started ahead of waiting short items because it had aged.
	ShortPerAgedToken float64
	// MaxWait is the age at which an item is started ahead of items of shorter classes.
	MaxWait [call.NumClasses]time.Duration
}

// Default settings.
const (
	// DefaultLimit is the queue length at which BenchmarkPushPop measures a decision.
	DefaultLimit = 10_000
	// defaultPrefillRate is in tokens per second.
	defaultPrefillRate = 40_000
	// defaultMaxPrefillAhead keeps an engine busy for 0.2 s, well over a round trip to its agent.
	defaultMaxPrefillAhead = 8192
	// othersMemoryShare is the share of the memory that short items of a flooding
	// organisation must leave to other organisations.
	othersMemoryShare = 0.5
	// startMarginFactor is the margin before an item's latest start, as a multiple of its
	// prefill time. An item ages at the beginning of this margin at the latest.
	startMarginFactor = 1.0
)

// SettingsFor returns the settings of an objective for an engine of the given memory.
func SettingsFor(objective document.Objective, capacityTokens int64) Settings {
	s := Settings{
		Limit:           DefaultLimit,
		CapacityTokens:  capacityTokens,
		PrefillRate:     defaultPrefillRate,
		MaxPrefillAhead: defaultMaxPrefillAhead,
	}
	// A larger ShortMemoryShare speeds up short items and slows down all others: at 95 % of
	// the prefill capacity, 0.05, 0.1 and 0.2 give a short p95 of 0.30, 0.26 and 0.24 s and a
	// p95 over all classes of 7.2, 8.8 and 13.8 s. A shorter MaxWait of long items has the
	// opposite effect: 40 and 60 s give a long p95 of 54 and 69 s and a short p95 of 0.9 and
	// 0.3 s.
	if objective == document.TimeToFirstToken {
		s.ShortMemoryShare = 0.05
		s.ShortPerAgedToken = 1
		s.MaxWait = [call.NumClasses]time.Duration{0, 20 * time.Second, 50 * time.Second, 60 * time.Second}
		return s
	}
	s.ShortMemoryShare = 0.1
	s.ShortPerAgedToken = 4
	s.MaxWait = [call.NumClasses]time.Duration{0, 20 * time.Second, 60 * time.Second, 90 * time.Second}
	return s
}

// reservedMemory returns the memory that an item of the class must leave free for short
// items. An item that is too large to leave the whole share free may use the entire engine;
// otherwise it could never start.
func (s *Settings) reservedMemory(class call.Class, memory int64) int64 {
	if class == call.Short || s.CapacityTokens <= 0 {
		return 0
	}
	share := int64(s.ShortMemoryShare * float64(s.CapacityTokens))
	return min(share, max(0, s.CapacityTokens-memory))
}

// othersReservedMemory returns the memory that short items of a flooding organisation must
// leave free for other organisations.
func (s *Settings) othersReservedMemory() int64 {
	return int64(othersMemoryShare * float64(s.CapacityTokens))
}

// memory returns the memory that an item occupies at this engine, at most all of it.
func (s *Settings) memory(item *Item) int64 {
	memory := item.memory()
	if s.CapacityTokens > 0 {
		memory = min(memory, s.CapacityTokens)
	}
	return memory
}

// prefillTime returns the time to prefill the item's uncached prompt on an idle engine.
func (s *Settings) prefillTime(item *Item) time.Duration {
	rate := s.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(float64(uncachedTokens(item)) / rate * float64(time.Second))
}

func uncachedTokens(item *Item) int64 {
	return int64(max(0, item.Work.PromptTokens-item.CachedTokens))
}
