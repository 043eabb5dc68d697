package reservation

import (
	"sort"
	"time"

	"acaciacleat.example/core/call"
)

// Report is an engine's report of the memory it holds.
type Report struct {
	// TakenAt is when the engine was in the reported state, by the agent's clock: the time of
	// receipt minus the age given in the report.
	TakenAt time.Time
	Held    []Holding
	// ForeignTokens is memory held under names that are not a call.ID.
	ForeignTokens int64
}

// Holding is the memory of one request in a Report.
type Holding struct {
	ID     call.ID
	Tokens int64
}

// Difference lists where the pool and the engine's report disagree. Both lists are sorted.
type Difference struct {
	// Orphans are held by the engine without a reservation. The caller cancels them.
	Orphans []call.ID
	// Missing are confirmed in the pool but not held by the engine, usually because their
	// streams have ended or broken. The agent releases those without an open stream.
	Missing []call.ID
}

// Reconcile compares the pool with an engine's report. Orphans count as used memory
// until a later report no longer lists them.
//
// When an agent restarts or the answer to a cancellation is lost, the engine keeps memory
// for a request that has no reservation; the pool would then show free memory while the
// engine rejects requests for lack of it. Reports lag, so changes made in the pool within
// ReportMargin before the report, or after it, are left to the next one.
func (p *Pool) Reconcile(report Report) Difference {
	var difference Difference
	cutoff := report.TakenAt.Add(-p.options.ReportMargin)
	listed := make(map[call.ID]bool, len(report.Held))
	p.orphanedTokens = report.ForeignTokens
	for _, holding := range report.Held {
		listed[holding.ID] = true
		if p.reservations[holding.ID] != nil {
			continue
		}
		if released, known := p.tombstones[holding.ID]; known && released.releasedAt.After(cutoff) {
			continue // released shortly before the report was taken, or after
		}
		p.orphanedTokens += holding.Tokens
		difference.Orphans = append(difference.Orphans, holding.ID)
	}
	for id, r := range p.reservations {
		if !listed[id] && r.State == Confirmed && r.Since.Before(cutoff) {
			difference.Missing = append(difference.Missing, id)
		}
	}
	sortIDs(difference.Orphans)
	sortIDs(difference.Missing)
	return difference
}

func sortIDs(ids []call.ID) {
	sort.Slice(ids, func(i, j int) bool { return lessID(ids[i], ids[j]) })
}
