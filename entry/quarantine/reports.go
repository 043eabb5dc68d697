package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
)

// maxPendingReports bounds the reports that wait to be sent. Beyond it the oldest are dropped;
// the crashes of a request with at least minRecordedCrashes of them are in the store as well.
const maxPendingReports = corequarantine.MaxReports

// queuedReport is a report that waits to be sent, with the time at which it was queued.
type queuedReport struct {
	corequarantine.Report
	at time.Time
}

// queueReport queues a report for the other entries. It is called with mu held.
func (k *Keeper) queueReport(r corequarantine.Report) {
	if len(k.reports) >= maxPendingReports {
		k.reports = k.reports[1:]
	}
	k.reports = append(k.reports, queuedReport{r, time.Now()})
	select {
	case k.pending <- struct{}{}:
	default: // The receiver has been notified already.
	}
}

// Pending returns a channel that has a value when there may be reports.
func (k *Keeper) Pending() <-chan struct{} { return k.pending }

// Reports returns the reports queued since the last call.
func (k *Keeper) Reports() []corequarantine.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	reports := make([]corequarantine.Report, len(k.reports))
	for i, r := range k.reports {
		reports[i] = r.Report
		if r.Kind == corequarantine.CrashReport || r.Kind == corequarantine.RepeatedCrashReport {
			reports[i].AgeMs = time.Since(r.at).Milliseconds()
		}
	}
	k.reports = nil
	return reports
}

// Current returns the current holds and those on probation, the longest first, for an entry whose link has just
// opened. Holds that don't fit in one message reach it by the store.
func (k *Keeper) Current() []corequarantine.Report {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	holds := k.ledger.Holds()
	prints := slices.SortedFunc(maps.Keys(holds), func(a, b fingerprint.Print) int {
		return cmp.Or(holds[b].Until.Compare(holds[a].Until), bytes.Compare(a[:], b[:]))
	})
	if omitted := len(prints) - maxPendingReports; omitted > 0 {
		k.config.Log.Warn().Int("held_back", len(prints)).Int("omitted", omitted).
			Msg("more requests are held back than fit in one message; an entry learns the others from the store")
		prints = prints[:maxPendingReports]
	}
	reports := make([]corequarantine.Report, len(prints))
	for i, print := range prints {
		reports[i] = holdReport(now, print, holds[print])
	}
	return reports
}

// Receive applies the reports of another entry.
func (k *Keeper) Receive(vm string, reports []corequarantine.Report) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, dropped := corequarantine.Check(reports)
	k.dropped += uint64(dropped)
	for _, r := range kept {
		if r.Kind == corequarantine.TrialReport {
			k.wasTried(now, r.Print)
			continue
		}
		if !k.ledger.HandleReport(now, r) {
			continue
		}
		switch r.Kind {
		case corequarantine.CrashReport, corequarantine.RepeatedCrashReport:
			k.queueRecord(now, r.Print)
		case corequarantine.HoldReport, corequarantine.SegmentHoldReport:
			k.logHeld(vm, r.Print, r.LeftMs)
		case corequarantine.AnswerReport:
			k.clearRequest(r.Print)
			k.config.Log.Info().Stringer("fingerprint", r.Print).Str("said_by", vm).
				Msg("nothing is held against a request any more: an upstream has answered it")
		}
	}
	k.evidenceChanged(now)
}

// wasTried records that another entry tries a request or a segment.
func (k *Keeper) wasTried(now time.Time, print fingerprint.Print) {
	if all := k.gates.Load(); all != nil {
		if g := (*all)[print]; g != nil {
			g.wasTried(now)
		}
	}
}

// logHeld logs a request that is held back because of another entry's report or row.
func (k *Keeper) logHeld(from string, print fingerprint.Print, leftMs int64) {
	k.config.Log.Warn().Stringer("fingerprint", print).Str("said_by", from).Int64("for_ms", leftMs).
		Msg("request is held back: another entry says so")
}

// Dropped returns the number of malformed reports that other entries have sent.
func (k *Keeper) Dropped() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dropped
}
