package reservation

import (
	"sort"
	"time"

	"acaciacleat.example/core/call"
)

// Report is what an engine says it holds.
type Report struct {
	// TakenAt is when the engine was in that state, by the agent's clock: the time of
	// receipt less the age that the report states.
	TakenAt time.Time
	Held    []Holding
	// ForeignTokens is memory held under names that are no call.ID.
	ForeignTokens int64
}

// Holding is one holder of memory in a Report.
type Holding struct {
	ID     call.ID
	Tokens int64
}

// Difference is where the book and the engine's report disagree. Both lists are ordered.
type Difference struct {
	// Orphans are held by the engine and owned by nobody: cancel them.
	Orphans []call.ID
	// Missing are in the book as confirmed but not held by the engine: their streams are
	// over or broken. The agent releases those of which it has no open stream.
	Missing []call.ID
}

// Reconcile compares the book with an engine's report. Orphans count as used memory
// until a later report no longer lists them.
//
// What goes wrong: an agent restarts, or the answer to a cancel is lost, and the engine
// keeps memory for a request that nobody remembers. It shows as free memory in the book
// while the engine refuses for lack of it. The report lags, so what changed in the book
// about the time of the report, or after, is left for the next one.
func (b *Book) Reconcile(report Report) Difference {
	var difference Difference
	certain := report.TakenAt.Add(-b.options.ReportMargin)
	listed := make(map[call.ID]bool, len(report.Held))
	b.orphaned = report.ForeignTokens
	for _, holding := range report.Held {
		listed[holding.ID] = true
		if b.held[holding.ID] != nil {
			continue
		}
		if over, known := b.released[holding.ID]; known && over.at.After(certain) {
			continue // released after the report was taken, or nearly so
		}
		b.orphaned += holding.Tokens
		difference.Orphans = append(difference.Orphans, holding.ID)
	}
	for id, r := range b.held {
		if !listed[id] && r.State == Confirmed && r.Since.Before(certain) {
			difference.Missing = append(difference.Missing, id)
		}
	}
	order(difference.Orphans)
	order(difference.Missing)
	return difference
}

func order(ids []call.ID) {
	sort.Slice(ids, func(i, j int) bool { return before(ids[i], ids[j]) })
}
