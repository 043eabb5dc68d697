package dispatch

import (
	"math"
	"time"

	"acaciacleat.example/core/evidence"
)

// Outcome is how a request ended at an upstream.
type Outcome uint8

const (
	// Served requests were answered.
	Served Outcome = iota
	// Shed requests were refused for lack of capacity, with proof that they did not run.
	Shed
	// Failed requests got a wrong answer or an internal error of the upstream.
	Failed
	// Abandoned requests were given up for reasons unrelated to the upstream.
	Abandoned
	// Lost requests got no answer or an incomplete one.
	Lost
	// Unreached requests found nothing listening at the upstream's address.
	Unreached
	// Misdirected requests reached another incarnation at the upstream's address.
	Misdirected
)

// shedPause is how long an upstream without capacity gets no requests: about the time until a
// slot is free.
const shedPause = 60 * time.Millisecond

// recordOutcome records the outcome of a request that was sent at sentAt. Outcomes are used
// instead of health checks because a check can pass while requests fail, or fail while requests
// succeed, and takes a slot.
func (f *Fleet) recordOutcome(now time.Time, u *upstreamState, outcome Outcome, sentAt time.Time) {
	switch outcome {
	case Served:
		u.cooldown.Served(sentAt)
		if !u.saysDraining() { // It answers what it took before; that doesn't contradict its statement.
			f.recordEvidence(now, u, evidence.Answered, sentAt)
		}
	case Shed:
		u.health.Pause(now, shedPause)
	case Failed:
		f.recordEvidence(now, u, evidence.Erred, sentAt)
	case Lost:
		f.recordEvidence(now, u, evidence.Silent, sentAt)
	case Unreached:
		f.recordEvidence(now, u, evidence.Absent, sentAt)
	case Misdirected:
		f.recordEvidence(now, u, evidence.Replaced, sentAt)
	}
}

// Observe records the outcome of a call other than a request to an upstream, sent at sentAt.
func (f *Fleet) Observe(now time.Time, upstream Upstream, outcome Outcome, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.findIncarnation(upstream); u != nil {
		f.recordOutcome(now, u, outcome, sentAt)
	}
}

// recordEvidence records this entry's own evidence and signals that there is a report to send.
func (f *Fleet) recordEvidence(now time.Time, u *upstreamState, kind evidence.Kind, sentAt time.Time) {
	f.evidence.Observe(now, u.subject(), &u.health, kind, sentAt)
	if f.evidence.Pending() {
		f.signalPending()
	}
}

func (u *upstreamState) subject() evidence.Subject {
	return evidence.Subject{Tag: uint32(u.tag), Name: u.incarnation}
}

// RecordFault records that an upstream made another one refuse a prompt that both were to
// prefill, sent at sentAt. A fault of an ended incarnation does not count against the next.
//
// Without it, the engine that refused would count as full, and every further set would include
// the faulty one again until the registry removes it, which during a registry outage does not
// happen.
func (f *Fleet) RecordFault(now time.Time, upstream Upstream, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.findIncarnation(upstream); u != nil {
		f.recordEvidence(now, u, u.faultKind(now, sentAt), sentAt)
	}
}

// fastRefusal is the time within which an engine reports that a helper refuses a part. A slower
// refusal means that the engine was waiting for a helper that did not answer, at least not to
// this engine.
const fastRefusal = 500 * time.Millisecond

// faultKind returns the evidence against a helper that did not prefill its part: Draining if it
// refused at once while it had capacity for parts, otherwise Silent.
func (u *upstreamState) faultKind(now, sentAt time.Time) evidence.Kind {
	parts := 0
	for _, l := range u.loads {
		if l.helper && !l.placement.streaming {
			parts++
		}
	}
	if now.Sub(sentAt) < fastRefusal && parts < u.Slots {
		return evidence.Draining
	}
	return evidence.Silent
}

// probeThreshold is the probability that a member of a set is down from which a probe is worth
// its round trip.
const probeThreshold = 0.05

// downProbability returns the probability that a helper of a plan is down and no entry knows it
// yet. It follows from the engines that were found down recently, because engines that go down
// together are found one after the other. It is zero for a single engine, which needs no probe.
func (f *Fleet) downProbability(now time.Time, p *plan) float64 {
	if len(p.helpers) == 0 {
		return 0
	}
	known := len(f.services[p.primary.Service])
	each := min(f.evidence.RecentlyDown(now)/float64(known), 1)
	return 1 - math.Pow(1-each, float64(len(p.helpers)))
}

// TakeReports returns the reports for other entries since the last call.
func (f *Fleet) TakeReports(now time.Time) []evidence.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.TakeReports(now)
}

// ApplyReports applies the reports of the entry with the given origin.
func (f *Fleet) ApplyReports(now time.Time, origin uint64, reports []evidence.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, report := range f.evidence.Check(reports) {
		u := f.tags[Tag(report.Tag)]
		if u == nil {
			f.evidence.CountDropped(evidence.Unknown, 1)
			continue
		}
		f.evidence.ApplyReport(now, origin, u.subject(), &u.health, report, len(f.services[u.Service]))
	}
}

// TakeVerdicts returns the exclusions and readmissions since the last call.
func (f *Fleet) TakeVerdicts() []evidence.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.TakeVerdicts()
}

// Excluded returns the number of upstreams that are excluded by evidence.
func (f *Fleet) Excluded(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.upstreams {
		if u.health.Excluded(now) {
			n++
		}
	}
	return n
}

// DroppedReports returns how many reports of other entries were dropped for a reason.
func (f *Fleet) DroppedReports(reason evidence.DropReason) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.Dropped(reason)
}
