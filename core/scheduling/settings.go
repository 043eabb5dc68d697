package scheduling

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
)

// Settings are the weights and shares of a Priority queue. An objective changes nothing else.
type Settings struct {
	// Limit is the number of items that the queue holds.
	Limit int
	// CapacityTokens is the engine's KV cache memory; 0 when unknown.
	CapacityTokens int64
	// PrefillRate is the engine's prompt tokens prefilled a second.
	PrefillRate float64
	// ShortShare is the share of the memory that only short items may take.
	ShortShare float64
	// ShortTurn is the short tokens that may start for each token of a longer item that
	// went before waiting short ones because it had aged.
	ShortTurn float64
	// MaxWait is the age at which an item goes before those of shorter classes.
	MaxWait [call.NumClasses]time.Duration
}

// Settings by default.
const (
	// DefaultLimit is the size that the decision's time is measured at.
	DefaultLimit = 10_000
	// defaultPrefillRate matches the measured engines, in tokens/s.
	defaultPrefillRate = 40_000
	// startMargin is the part of an item's prefill time that is kept before its latest
	// start: it ages by then.
	startMargin = 1.0
)

// SettingsFor returns the settings of an objective for an engine of the given memory.
func SettingsFor(objective document.Objective, capacityTokens int64) Settings {
	s := Settings{
		Limit:          DefaultLimit,
		CapacityTokens: capacityTokens,
		PrefillRate:    defaultPrefillRate,
	}
	if objective == document.TimeToFirstToken {
		s.ShortShare = 0.1 // five prompts of the short class in 400,000 tokens
		s.ShortTurn = 1
		s.MaxWait = [call.NumClasses]time.Duration{0, 5 * time.Second, 20 * time.Second, 30 * time.Second}
		return s
	}
	s.ShortShare = 0.2
	s.ShortTurn = 4
	s.MaxWait = [call.NumClasses]time.Duration{0, 10 * time.Second, 60 * time.Second, 90 * time.Second}
	return s
}

// reserve returns the memory that an item of the class must leave free. An item larger
// than what is left of the engine may take it all, or it could never start.
func (s *Settings) reserve(class call.Class, need int64) int64 {
	if class == call.Short || s.CapacityTokens <= 0 {
		return 0
	}
	share := int64(s.ShortShare * float64(s.CapacityTokens))
	return min(share, max(0, s.CapacityTokens-need))
}

// need returns the memory that an item takes at this engine.
func (s *Settings) need(item *Item) int64 {
	need := item.need()
	if s.CapacityTokens > 0 {
		need = min(need, s.CapacityTokens)
	}
	return need
}

// prefill returns the time to prefill the item's uncached prompt on an idle engine.
func (s *Settings) prefill(item *Item) time.Duration {
	rate := s.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(float64(uncached(item)) / rate * float64(time.Second))
}

func uncached(item *Item) int64 {
	return int64(max(0, item.Work.PromptTokens-item.Cached))
}
