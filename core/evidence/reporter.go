package evidence

import (
	"time"

	"acaciacleat.example/core/decay"
)

const (
	// suspicionQuorum is the number of other entries that must suspect an incarnation to
	// exclude it. A single one may be partitioned from it.
	suspicionQuorum = 2
	// suspicionTTL is how long a suspicion counts: the time of several requests to a busy
	// upstream.
	suspicionTTL = time.Second
	// maxSuspectShare and maxProofShare bound the share of a service's upstreams that one entry
	// can exclude by suspicions and by proof. An entry that reports more is most likely
	// partitioned itself.
	maxSuspectShare = 0.25
	maxProofShare   = 0.5
	// reportTTL is how long a suspicion or proof counts towards these shares.
	reportTTL = 2 * time.Second
	// contradictionWindow is the time within which an answer contradicts a proof. A restart
	// under the same ID takes longer.
	contradictionWindow = 1500 * time.Millisecond
	// maxContradictions is the decaying number of contradicted proofs above which an entry is
	// distrusted; contradictionDecay is its averaging time. A few are tolerated, because a
	// process may have restarted in the meantime.
	contradictionDecay = 30 * time.Second
	maxContradictions  = 2.5
	// maxReporters bounds the entries that are tracked: several times the intended deployment
	// size.
	maxReporters = 2000
)

// reporter is another entry with the upstreams that it has recently reported as down.
type reporter struct {
	reported     map[uint32]time.Time
	contradicted decay.Sum
	lastReport   time.Time
}

func (t *Tracker) reporter(now time.Time, origin uint64) *reporter {
	rep := t.reporters[origin]
	if rep == nil {
		t.evictReporters(now)
		rep = &reporter{reported: make(map[uint32]time.Time)}
		t.reporters[origin] = rep
	}
	rep.lastReport = now
	return rep
}

// evictReporters makes room if too many reporters are tracked.
func (t *Tracker) evictReporters(now time.Time) {
	if len(t.reporters) < maxReporters {
		return
	}
	for origin, rep := range t.reporters {
		if now.Sub(rep.lastReport) > contradictionDecay {
			delete(t.reporters, origin)
		}
	}
	if len(t.reporters) >= maxReporters {
		clear(t.reporters)
	}
}

func (rep *reporter) contradict(now time.Time) { rep.contradicted.Add(now, 1, contradictionDecay) }

// mayReport reports whether the entry may report an upstream of a service with the given number
// of known upstreams as down, and records the report if so.
func (rep *reporter) mayReport(now time.Time, tag uint32, kind Kind, known int) bool {
	if rep.contradicted.Value(now, contradictionDecay) > maxContradictions {
		return false
	}
	for other, at := range rep.reported {
		if now.Sub(at) > reportTTL {
			delete(rep.reported, other)
		}
	}
	share := maxSuspectShare
	if kind.proof() {
		share = maxProofShare
	}
	if _, repeated := rep.reported[tag]; !repeated && len(rep.reported) >= max(int(share*float64(known)), 1) {
		return false
	}
	rep.reported[tag] = now
	return true
}

// Check counts and drops the reports that no correct entry would send.
func (t *Tracker) Check(reports []Report) []Report {
	if len(reports) > MaxReports {
		t.CountDropped(Excess, len(reports)-MaxReports)
		reports = reports[:MaxReports]
	}
	kept := make([]Report, 0, len(reports))
	for _, r := range reports {
		valid := r.Kind == Answered || r.Kind >= Silent && r.Kind <= Announced
		if !valid || r.AgeMs < 0 || r.AgeMs > maxReportAge.Milliseconds() {
			t.CountDropped(Malformed, 1)
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

// ApplyReport applies a checked report from the entry origin on an upstream. known is the number
// of upstreams of its service.
func (t *Tracker) ApplyReport(now time.Time, origin uint64, subject Subject, r *Record, report Report, known int) {
	at := now.Add(-time.Duration(report.AgeMs) * time.Millisecond)
	if report.Kind == Answered {
		if r.hasEvidence() && at.After(r.evidenceAt) {
			t.readmit(now, at, subject, r, origin)
		}
		return
	}
	if r.answeredSentAt.After(at) {
		t.CountDropped(Overruled, 1)
		return
	}
	if !t.reporter(now, origin).mayReport(now, report.Tag, report.Kind, known) {
		t.CountDropped(Distrusted, 1)
		return
	}
	r.shared = true
	if report.Kind.proof() {
		t.applyProof(now, at, origin, subject, r, report.Kind)
		return
	}
	if r.addSuspicion(origin, at) && !r.Excluded(now) {
		t.exclude(now, at, subject, r, Silent, origin, r.exclusionTime(Silent))
	}
}

// applyProof excludes an incarnation on another entry's proof. The first proof counts for
// unconfirmedTime. Once a second entry confirms it, it counts for as long as this entry's own
// proof would. A random time is added to both. Further proof is ignored while own or confirmed
// proof excludes the incarnation.
func (t *Tracker) applyProof(now, at time.Time, origin uint64, subject Subject, r *Record, kind Kind) {
	if r.firstProofAt.IsZero() {
		r.firstProofAt = now
	}
	excluded := r.Excluded(now) && r.kind.proof()
	switch {
	case r.unconfirmedReporter == origin:
		r.lastProofAt = now // Repeated proof does not extend the exclusion.
	case excluded && r.unconfirmedReporter == 0:
		return
	case r.unconfirmedReporter != 0:
		// Confirmed. The jitter makes entries retry at different times; the first one reports
		// its result to the others.
		duration := r.exclusionTime(kind)
		r.unconfirmedReporter = 0
		t.exclude(now, at, subject, r, kind, origin, duration+t.jitter(duration))
	default:
		r.unconfirmedReporter, r.lastProofAt = origin, now
		t.exclude(now, at, subject, r, kind, origin, unconfirmedTime+t.jitter(unconfirmedTime))
	}
}

// jitter returns a random extra delay before this entry retries, so that one entry retries
// first and tells the others.
func (t *Tracker) jitter(duration time.Duration) time.Duration {
	return time.Duration(t.random.Int64N(int64(duration)))
}

// addSuspicion records the suspicion of an entry; it reports whether enough entries suspect the
// incarnation.
func (r *Record) addSuspicion(origin uint64, at time.Time) bool {
	oldest := 0
	for i, s := range r.suspects {
		if s.origin == origin {
			r.suspects[i].at = latest(s.at, at)
			return r.suspectedByQuorum(at)
		}
		if s.at.Before(r.suspects[oldest].at) {
			oldest = i
		}
	}
	r.suspects[oldest] = suspicion{origin: origin, at: at}
	return r.suspectedByQuorum(at)
}

// suspectedByQuorum reports whether enough entries suspect the incarnation at the given time.
func (r *Record) suspectedByQuorum(at time.Time) bool {
	n := 0
	for _, s := range r.suspects {
		if s.origin != 0 && at.Sub(s.at) < suspicionTTL {
			n++
		}
	}
	return n >= suspicionQuorum
}
