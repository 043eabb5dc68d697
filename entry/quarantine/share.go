package quarantine

import (
	"time"

	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
)

// mostReports bounds the reports that wait to be told. Beyond them the oldest are dropped: what
// counts stands in the store as well.
const mostReports = corequarantine.MaxReports

// report is a Report that waits to be told, with its time.
type report struct {
	corequarantine.Report
	at time.Time
}

// report queues what the other entries are to be told. It is called with mu held.
func (k *Keeper) report(r corequarantine.Report) {
	if len(k.reports) >= mostReports {
		k.reports = k.reports[1:]
	}
	k.reports = append(k.reports, report{r, time.Now()})
	select {
	case k.told <- struct{}{}:
	default: // Whoever takes the reports has been told already.
	}
}

// Told has a value when there may be reports.
func (k *Keeper) Told() <-chan struct{} { return k.told }

// Reports returns what the other entries are to be told since the last call.
func (k *Keeper) Reports() []corequarantine.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	told := make([]corequarantine.Report, len(k.reports))
	for i, r := range k.reports {
		told[i] = r.Report
		if r.Kind == corequarantine.CrashReport || r.Kind == corequarantine.RepeatedCrashReport {
			told[i].AgeMs = time.Since(r.at).Milliseconds()
		}
	}
	k.reports = nil
	return told
}

// Current returns what is held back, for an entry that has just come into touch.
func (k *Keeper) Current() []corequarantine.Report {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var reports []corequarantine.Report
	for print, h := range k.ledger.ActiveHolds(now) {
		if len(reports) >= mostReports {
			break
		}
		reports = append(reports, held(now, print, h))
	}
	return reports
}

// Heard takes the reports of another entry.
func (k *Keeper) Heard(vm string, reports []corequarantine.Report) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, dropped := corequarantine.Check(reports)
	k.dropped += uint64(dropped)
	for _, r := range kept {
		if !k.ledger.HandleReport(now, r) {
			continue
		}
		switch r.Kind {
		case corequarantine.CrashReport, corequarantine.RepeatedCrashReport:
			k.record(now, r.Print)
		case corequarantine.HoldReport:
			k.logHeld(vm, r.Print, r.LeftMs)
		case corequarantine.AnswerReport:
			k.dismiss(r.Print)
			k.config.Log.Info().Stringer("fingerprint", r.Print).Str("said_by", vm).
				Msg("nothing is held against a request any more: an upstream has answered it")
		}
	}
	k.decide(now)
}

func (k *Keeper) logHeld(from string, print fingerprint.Print, leftMs int64) {
	k.config.Log.Warn().Stringer("fingerprint", print).Str("said_by", from).Int64("for_ms", leftMs).
		Msg("request is held back: another entry says so")
}

// Dropped returns the number of reports that no entry should have sent.
func (k *Keeper) Dropped() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dropped
}
