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
	// PrefillAhead is the prompt tokens that may wait inside the engine before an item.
	PrefillAhead int64
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
	// defaultPrefillAhead keeps an engine busy for 0.2 s, well over a round trip to its agent.
	defaultPrefillAhead = 8192
	// othersShare of the memory is out of reach for a flooding organisation's short items.
	othersShare = 0.5
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
		PrefillAhead:   defaultPrefillAhead,
	}
	// Chosen by trials in the evaluator at 95 % of the prefill capacity. A larger ShortShare helps short
	// items and costs all others: 0.05, 0.1 and 0.2 gave a short p95 of 0.30, 0.26 and 0.24 s
	// and a p95 over all of 7.2, 8.8 and 13.8 s. A shorter MaxWait of long items does the
	// opposite for them: 40 and 60 s gave a long p95 of 54 and 69 s, a short one of 0.9 and 0.3 s.
	if objective == document.TimeToFirstToken {
		s.ShortShare = 0.05
		s.ShortTurn = 1
		s.MaxWait = [call.NumClasses]time.Duration{0, 20 * time.Second, 50 * time.Second, 60 * time.Second}
		return s
	}
	s.ShortShare = 0.1
	s.ShortTurn = 4
	s.MaxWait = [call.NumClasses]time.Duration{0, 20 * time.Second, 60 * time.Second, 90 * time.Second}
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

// othersReserve is the memory that short items of a flooding organisation leave free, for
// the other organisations.
func (s *Settings) othersReserve() int64 {
	return int64(othersShare * float64(s.CapacityTokens))
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
