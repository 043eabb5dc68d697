package dispatch

import (
	"time"

	"acaciacleat.example/core/pace"
)

// speed is what is known of an upstream's pace, see package pace.
type speed struct {
	estimate pace.Estimate
	// factor is the pace as of the last advance; zero means 1.
	factor float64
	// pauseSeenAt is when a pause of one of its streams was last observed.
	pauseSeenAt time.Time
}

// paceFactor returns how many times as long as published the upstream takes.
func (u *upstreamState) paceFactor() float64 {
	if u.speed.factor == 0 {
		return 1
	}
	return u.speed.factor
}

// atPace returns the time that the upstream takes for work of the given time at the published pace.
func (u *upstreamState) atPace(work time.Duration) time.Duration {
	if factor := u.paceFactor(); factor != 1 {
		return time.Duration(float64(work) * factor)
	}
	return work
}

// prefillBacklog returns the time that the upstream takes for its backlog.
func (u *upstreamState) prefillBacklog() time.Duration { return u.atPace(u.backlog) }

// workIn returns the work, as time at the published pace, that the upstream does in a time.
func (u *upstreamState) workIn(spent time.Duration) time.Duration {
	if factor := u.paceFactor(); factor != 1 {
		return time.Duration(float64(spent) / factor)
	}
	return spent
}

// refreshPace brings the factor up to date.
func (u *upstreamState) refreshPace(now time.Time) { u.speed.factor = u.speed.estimate.Factor(now) }

// applyPace has the model use a pace that has changed from now on.
func (u *upstreamState) applyPace(now time.Time) {
	if u.speed.estimate.Factor(now) != u.paceFactor() {
		u.advance(now)
		u.refreshPace(now)
	}
}

func (u *upstreamState) paceSubject() pace.Subject {
	return pace.Subject{Tag: uint32(u.tag), Name: u.incarnation, Estimate: &u.speed.estimate}
}

// RecordPause records the time between two consecutive events of a placed request's stream.
func (f *Fleet) RecordPause(now time.Time, id PlacementID, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pl := f.placements[id]
	if pl == nil || pl.spec == nil || !pl.streaming || pause <= 0 {
		return
	}
	u := pl.loads[0].upstream
	if pl.firstEventAt.Equal(now.Add(-pause)) && len(pl.loads) > 1 {
		return // The first event came when another engine was done, in the middle of a pass.
	}
	if now.Sub(u.speed.pauseSeenAt) < pause/2 {
		return // The streams of an engine get their events from the same passes.
	}
	u.speed.pauseSeenAt = now
	// Memory is at least as large as the context of all streams and parts on the engine.
	longest := pl.spec.PassTime(u.streams, u.memoryTokens) + networkDelay + u.prefillSince(now.Add(-pause))
	if len(pl.loads) > 1 {
		longest += pl.spec.Hop * time.Duration(max(pl.spec.Stride, 1))
	}
	shortest := pl.spec.PassTime(1, pl.promptTokens/len(pl.loads))
	f.observePace(now, u, pace.Between(pause, shortest, longest), 1)
}

// prefillSince returns the most prefill that an engine has done since a time, at the published pace:
// all that was completed since, and the longest that isn't complete.
func (u *upstreamState) prefillSince(since time.Time) time.Duration {
	since = since.Add(-propagationDelay)
	var completed, begun time.Duration
	for _, l := range u.loads {
		switch pl := l.placement; {
		case !pl.streaming:
			begun = max(begun, l.work)
		case !pl.firstEventAt.Before(since):
			completed += l.work
		}
	}
	return completed + begun
}

// firstEventRepeats is how often a first event counts that took as long as several passes.
const firstEventRepeats = 2

// observeFirstEvent learns from the first event of an own placement. It is called before the
// placement's loads change.
//
// Where several engines prefilled parts, the slowest one decided, so each is at most as slow as the
// whole set. How slow a set is at least counts for the engines that may be to blame, shared by their
// number.
func (f *Fleet) observeFirstEvent(now time.Time, pl *placement) {
	if pl.spec == nil || pl.placedAt.IsZero() {
		return
	}
	if primary := pl.loads[0].upstream; primary.streams >= pl.spec.Slots {
		return // It may have waited for a slot.
	}
	took := now.Sub(pl.placedAt)
	suspects := 0
	for _, l := range pl.loads {
		if b := l.firstEventBounds(took); b.Least > 1 && l.upstream.speed.estimate.Ceiling(now) > b.Least {
			suspects++
		}
	}
	for _, l := range pl.loads {
		b := l.firstEventBounds(took)
		switch {
		case b.Least <= 1:
		case l.upstream.speed.estimate.Ceiling(now) > b.Least:
			b.Least = 1 + (b.Least-1)/float64(suspects)
		default:
			b.Least = pace.Fastest
		}
		f.observePace(now, l.upstream, b, firstEventRepeats)
	}
}

// firstEventBounds returns the bounds of the pace of an engine by the time to a first event.
func (l *load) firstEventBounds(took time.Duration) pace.Bounds {
	pl, u := l.placement, l.upstream
	passes := 2 * pl.spec.PassTime(u.streams, u.memoryTokens)
	return pace.Between(took, l.work, networkDelay+sendSlack+passes+u.prefillSince(pl.placedAt)+l.work)
}

// sendSlack is the time for what precedes the send of a chosen request: probes, reservations and a
// new connection.
const sendSlack = 25 * time.Millisecond

// observePace records an observation of an upstream's pace.
func (f *Fleet) observePace(now time.Time, u *upstreamState, b pace.Bounds, times int) {
	f.paces.Observe(now, u.paceSubject(), b, times)
	u.applyPace(now)
	if f.paces.Pending() {
		f.signalPending()
	}
}

// TakePaces returns the reports of paces for other entries since the last call.
func (f *Fleet) TakePaces(now time.Time) []pace.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paces.TakeReports(now)
}

// CurrentPaces returns the paces that this entry has observed, for an entry whose link opens.
func (f *Fleet) CurrentPaces(now time.Time) []pace.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []pace.Report
	for _, u := range f.upstreams {
		if r, ok := pace.Current(now, u.paceSubject()); ok && len(reports) < pace.MaxReports {
			reports = append(reports, r)
		}
	}
	return reports
}

// ApplyPaces applies the paces that the entry with the given origin reports.
func (f *Fleet) ApplyPaces(now time.Time, origin uint64, reports []pace.Report) {
	if len(reports) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.paces.Valid(reports) {
		if u := f.tags[Tag(r.Tag)]; u != nil {
			f.paces.Apply(now, origin, u.paceSubject(), r)
			u.applyPace(now)
		}
	}
}

// TakePaceChanges returns the upstreams that have become slow or are no longer since the last call.
func (f *Fleet) TakePaceChanges(now time.Time) []pace.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		f.paces.Check(now, u.paceSubject())
	}
	return f.paces.TakeChanges()
}

// Slow returns the number of upstreams that are slow.
func (f *Fleet) Slow() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.upstreams {
		if u.speed.estimate.Slow() {
			n++
		}
	}
	return n
}

// DroppedPaces returns how many reports of paces were dropped as invalid.
func (f *Fleet) DroppedPaces() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paces.Dropped()
}

// passTime returns the time of a pass of an engine without prefill.
func (s *search) passTime(u *upstreamState) time.Duration {
	return u.atPace(s.spec.PassTime(u.streams, u.contextTokens))
}

// smallestPart returns the time of a part, at the published pace, if the prompt is split over the
// largest set.
func (s *search) smallestPart() time.Duration {
	return s.prefillTime / time.Duration(largestSet(len(s.candidates)))
}

// paceCost is the cost of having an engine in a set because it takes longer than at the published
// pace: the set waits for it.
func (s *search) paceCost(u *upstreamState, part time.Duration) float64 {
	if u.paceFactor() <= 1 {
		return 0
	}
	published, slow := s.passWait(u)+part, s.passWait(u)+u.atPace(part)
	return costPerWaitSecond*(slow-published).Seconds() + s.comparisonCost(slow) - s.comparisonCost(published)
}
